// The timed tasks of a RequestCoordinator.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "routing/task_heap.hpp"
#include "tinspan/router.hpp"

namespace tinspan::core {

/// A task that is due at a point in time.
struct ScheduledTask {
  enum class Kind {
    kRouterTimer,      // `token` was chosen by the Router
    kAttemptTimeout,   // `token` is the request's id
    kRequestDeadline,  // `token` is the request's id
    kDrainDeadline,    // `token` is the drain's id
  };

  Micros due_at;
  std::uint64_t serial;
  Kind kind;
  std::uint64_t token;
  std::uint32_t attempt;

  /// Orders a priority queue by due time, then by insertion.
  bool operator<(const ScheduledTask& other) const {
    return due_at != other.due_at ? due_at > other.due_at : serial > other.serial;
  }
};

/// A queue of tasks by due time; tasks with the same due time are taken in insertion order. Tasks cannot be
/// removed one by one: the caller ignores obsolete ones when they are due, and drops them by Prune().
class Schedule {
 public:
  void AddRouterTimer(Micros due_at, std::uint64_t token) {
    Add(due_at, ScheduledTask::Kind::kRouterTimer, token, 0);
  }
  void AddAttemptTimeout(Micros due_at, RequestId id, std::uint32_t attempt) {
    Add(due_at, ScheduledTask::Kind::kAttemptTimeout, static_cast<std::uint64_t>(id), attempt);
  }
  void AddRequestDeadline(Micros due_at, RequestId id) {
    Add(due_at, ScheduledTask::Kind::kRequestDeadline, static_cast<std::uint64_t>(id), 0);
  }
  void AddDrainDeadline(Micros due_at, std::uint64_t drain_id) {
    Add(due_at, ScheduledTask::Kind::kDrainDeadline, drain_id, 0);
  }
  /// Removes the tasks of requests for which `is_open` returns false, if there may be many of them.
  template <class IsOpen>
  void Prune(IsOpen is_open) {
    tasks_.Prune([&is_open](const ScheduledTask& task) {
      const bool is_of_request = task.kind == ScheduledTask::Kind::kAttemptTimeout ||
                                 task.kind == ScheduledTask::Kind::kRequestDeadline;
      return is_of_request && !is_open(RequestId{task.token});
    });
  }
  std::size_t Size() const { return tasks_.Size(); }
  /// Removes and returns the first task that is due at `now`, if any.
  std::optional<ScheduledTask> TakeDue(Micros now);
  /// When the first task is due; empty if there is none.
  std::optional<Micros> Next() const;

 private:
  void Add(Micros due_at, ScheduledTask::Kind kind, std::uint64_t token, std::uint32_t attempt) {
    tasks_.Push({due_at, next_serial_++, kind, token, attempt});
  }

  TaskHeap<ScheduledTask> tasks_;
  std::uint64_t next_serial_ = 0;
};

}  // namespace tinspan::core
