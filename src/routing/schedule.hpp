// What a Router must look at again at a later time.
#pragma once

#include <cstdint>
#include <optional>
#include <queue>

#include "routing/context.hpp"

namespace tinspan {

enum class TaskKind {
  kCheckAttempt,     // an attempt is past its latency objective
  kRequestDeadline,  // a request must have its final answer
  kRemoveRequest,    // a request's outcomes are long overdue
  kResubscribe,      // the endpoint watch broke
};

struct Task {
  TaskKind kind = TaskKind::kCheckAttempt;
  RequestId request{};      // unless kResubscribe
  std::size_t attempt = 0;  // kCheckAttempt only
};

// Tasks by time, those of one time in the order added. Asks for one timer, for the first of them.
class Schedule {
 public:
  explicit Schedule(Context& context) : context_(context) {}

  void Add(Micros due_at, const Task& task);

  // The timer has come due: no other is set.
  void OnTimer() { timer_at_ = Micros::max(); }

  // Takes out the next task that is due.
  std::optional<Task> PopDue();

  // Asks for a timer where the first task comes before the one that is set.
  void SetNextTimer();

 private:
  struct Entry {
    Micros due_at;
    std::uint64_t serial;
    Task task;
    bool operator<(const Entry& other) const;  // of two, the later one is less urgent, thus less
  };

  Context& context_;
  std::priority_queue<Entry> entries_;
  std::uint64_t next_serial_ = 0;
  Micros timer_at_ = Micros::max();
};

}  // namespace tinspan
