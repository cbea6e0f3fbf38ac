#include "core/schedule.hpp"

namespace tinspan::core {

std::optional<ScheduledTask> Schedule::TakeDue(Micros now) {
  if (tasks_.IsEmpty() || tasks_.Top().due_at > now) return std::nullopt;
  const ScheduledTask task = tasks_.Top();
  tasks_.Pop();
  return task;
}

std::optional<Micros> Schedule::Next() const {
  if (tasks_.IsEmpty()) return std::nullopt;
  return tasks_.Top().due_at;
}

}  // namespace tinspan::core
