#include "net/timer_queue.hpp"

namespace tinspan::net {

TimerQueue::Id TimerQueue::Set(Micros due_at, Callback callback) {
  const Id timer{due_at, next_serial_++};
  callbacks_.emplace(timer, std::move(callback));
  return timer;
}

void TimerQueue::Cancel(const Id& id) { callbacks_.erase(id); }

void TimerQueue::Run(Micros now) {
  while (!callbacks_.empty() && callbacks_.begin()->first.first <= now) {
    const Callback callback = std::move(callbacks_.begin()->second);
    callbacks_.erase(callbacks_.begin());
    callback(now);
  }
}

std::optional<Micros> TimerQueue::Next() const {
  if (callbacks_.empty()) return std::nullopt;
  return callbacks_.begin()->first.first;
}

}  // namespace tinspan::net
