// The timed tasks of a Router.
#include "routing/schedule.hpp"

#include <gtest/gtest.h>

namespace tinspan {
namespace {

constexpr std::uint64_t kRequests = 50'000;

struct ScheduleTest : ::testing::Test {
  ScheduleTest() { context.actions = &actions; }
  void AddDeadlines() {
    for (std::uint64_t number = 0; number < kRequests; ++number) {
      schedule.Add(Micros{static_cast<std::int64_t>(kRequests - number)},
                   {TaskKind::kRequestDeadline, RequestId{number}});
      schedule.Prune([](RequestId id) { return IsOpen(id); });
    }
  }
  // One request in 1,000 is open.
  static bool IsOpen(RequestId id) { return static_cast<std::uint64_t>(id) % 1000 == 0; }

  Actions actions;
  Context context{};
  Schedule schedule{context};
};

// Guards against memory that grows with the rate of requests: tasks of ended requests stayed until their
// deadline.
TEST_F(ScheduleTest, KeepsFewTasksOfEndedRequests) {
  constexpr std::size_t kMaxTasks = 4096;
  AddDeadlines();
  EXPECT_LE(schedule.Size(), kMaxTasks);
}

// Pruning drops no task of an open request and keeps the order by due time.
TEST_F(ScheduleTest, KeepsTheTasksOfOpenRequestsInOrder) {
  schedule.Add(Micros{0}, {.kind = TaskKind::kResubscribe});
  AddDeadlines();
  context.now = Micros{static_cast<std::int64_t>(kRequests)};
  std::vector<std::uint64_t> open;
  std::size_t resubscriptions = 0;
  while (const std::optional<Task> task = schedule.PopDue()) {
    const auto number = static_cast<std::uint64_t>(task->request);
    if (task->kind == TaskKind::kResubscribe) {
      ++resubscriptions;
    } else if (IsOpen(task->request)) {
      open.push_back(number);
    }
  }
  EXPECT_EQ(resubscriptions, 1u);
  ASSERT_EQ(open.size(), kRequests / 1000);
  for (std::size_t index = 1; index < open.size(); ++index) EXPECT_LT(open[index], open[index - 1]);
}

}  // namespace
}  // namespace tinspan
