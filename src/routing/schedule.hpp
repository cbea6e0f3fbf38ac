// The tasks that a Router runs at a later time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "routing/context.hpp"
#include "routing/task_heap.hpp"

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

  // Removes the tasks of requests for which `is_open` returns false, if there may be many of them.
  template <class IsOpen>
  void Prune(IsOpen is_open) {
    entries_.Prune([&is_open](const Entry& entry) {
      return entry.task.kind != TaskKind::kResubscribe && !is_open(entry.task.request);
    });
  }

  std::size_t Size() const { return entries_.Size(); }

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
  TaskHeap<Entry> entries_;
  std::uint64_t next_serial_ = 0;
  Micros timer_at_ = Micros::max();
};

}  // namespace tinspan
