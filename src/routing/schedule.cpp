#include "routing/schedule.hpp"

namespace tinspan {

bool Schedule::Entry::operator<(const Entry& other) const {
  return due_at != other.due_at ? due_at > other.due_at : serial > other.serial;
}

void Schedule::Add(Micros due_at, const Task& task) {
  entries_.Push({due_at, next_serial_++, task});
  SetNextTimer();
}

std::optional<Task> Schedule::PopDue() {
  if (entries_.IsEmpty() || entries_.Top().due_at > context_.now) return std::nullopt;
  const Task task = entries_.Top().task;
  entries_.Pop();
  return task;
}

void Schedule::SetNextTimer() {
  if (entries_.IsEmpty() || entries_.Top().due_at >= timer_at_) return;
  timer_at_ = entries_.Top().due_at;
  context_.Emit(SetTimer{timer_at_, 0});
}

}  // namespace tinspan
