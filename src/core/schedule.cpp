#include "core/schedule.hpp"

namespace tinspan::core {

std::optional<ScheduledTask> Schedule::TakeDue(Micros now) {
  if (tasks_.empty() || tasks_.top().due_at > now) return std::nullopt;
  const ScheduledTask task = tasks_.top();
  tasks_.pop();
  return task;
}

std::optional<Micros> Schedule::Next() const {
  if (tasks_.empty()) return std::nullopt;
  return tasks_.top().due_at;
}

}  // namespace tinspan::core
