// What a RequestCoordinator has to do at points in time.
#pragma once

#include <cstdint>
#include <optional>
#include <queue>

#include "tinspan/router.hpp"

namespace tinspan::core {

/// Something that is due at a point in time.
struct ScheduledTask {
  enum class Kind {
    kRouterTimer,      // `token` is the decision module's
    kAttemptTimeout,   // of `attempt` of the request `token`
    kRequestDeadline,  // of the request `token`
    kDrainDeadline,    // of the drain with the number `token`
  };

  Micros due_at;
  std::uint64_t serial;
  Kind kind;
  std::uint64_t token;
  std::uint32_t attempt;

  /// Orders a priority queue: first due, first set.
  bool operator<(const ScheduledTask& other) const {
    return due_at != other.due_at ? due_at > other.due_at : serial > other.serial;
  }
};

/// Tasks by time; those of one time come in the order in which they were added. Tasks are not removed: what
/// has become void is recognised when it is due.
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
  void AddDrainDeadline(Micros due_at, std::uint64_t drain_number) {
    Add(due_at, ScheduledTask::Kind::kDrainDeadline, drain_number, 0);
  }
  /// Removes and returns the first task that is due at `now`.
  std::optional<ScheduledTask> TakeDue(Micros now);
  /// When the first task is due.
  std::optional<Micros> Next() const;

 private:
  void Add(Micros due_at, ScheduledTask::Kind kind, std::uint64_t token, std::uint32_t attempt) {
    tasks_.push({due_at, next_serial_++, kind, token, attempt});
  }

  std::priority_queue<ScheduledTask> tasks_;
  std::uint64_t next_serial_ = 0;
};

}  // namespace tinspan::core
