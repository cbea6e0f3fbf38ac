// The tasks that a Router runs at a later time.
#pragma once

#include <cstdint>
#include <optional>
#include <queue>

#include "routing/context.hpp"

namespace tinspan {

enum class TaskKind {
  kCheckAttempt,     // an attempt has passed its latency objective
  kRequestDeadline,  // a request needs its final response
  kRemoveRequest,    // outcomes of a request are missing long after its deadline
  kResubscribe,      // the endpoint watch failed
};

struct Task {
  TaskKind kind = TaskKind::kCheckAttempt;
  RequestId request{};      // unused by kResubscribe
  std::size_t attempt = 0;  // used by kCheckAttempt only
};

// A queue of tasks by due time; tasks due at the same time run in the order added. Requests one timer, for
// the first task.
class Schedule {
 public:
  explicit Schedule(Context& context) : context_(context) {}

  void Add(Micros due_at, const Task& task);

  // Call this when the timer has expired. No other timer is set then.
  void OnTimer() { timer_at_ = Micros::max(); }

  // Removes and returns the next task that is due; empty if there is none.
  std::optional<Task> PopDue();

  // Requests a timer if the first task is due before the timer that is set.
  void SetNextTimer();

 private:
  struct Entry {
    Micros due_at;
    std::uint64_t serial;
    Task task;
    // A later task is less, so that the top of the queue is the earliest one.
    bool operator<(const Entry& other) const;
  };

  Context& context_;
  std::priority_queue<Entry> entries_;
  std::uint64_t next_serial_ = 0;
  Micros timer_at_ = Micros::max();
};

}  // namespace tinspan
