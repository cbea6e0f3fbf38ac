#include "net/event_loop.hpp"

#include <sys/epoll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

namespace tinspan::net {
namespace {

constexpr std::size_t kEventsPerCall = 256;
constexpr std::int64_t kMaxWaitMs = 60'000;

// Rounds up: waking too early would spin until the timer is due.
int ToTimeoutMs(Micros wait) {
  constexpr std::int64_t kMicrosPerMilli = 1000;
  const std::int64_t rounded_up = (wait.count() + kMicrosPerMilli - 1) / kMicrosPerMilli;
  return static_cast<int>(std::clamp<std::int64_t>(rounded_up, 0, kMaxWaitMs));
}

}  // namespace

EventLoop::EventLoop() : epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
  if (!epoll_) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

EventLoop::Handle EventLoop::Add(int fd, std::uint32_t events, Sink& sink) {
  epoll_event event{};
  event.events = events | EPOLLET;
  event.data.u64 = ++last_handle_;
  if (::epoll_ctl(epoll_.Get(), EPOLL_CTL_ADD, fd, &event) != 0) {
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  }
  sinks_[last_handle_] = &sink;
  return last_handle_;
}

void EventLoop::Remove(Handle handle, int fd) {
  sinks_.erase(handle);
  ::epoll_ctl(epoll_.Get(), EPOLL_CTL_DEL, fd, nullptr);
}

void EventLoop::ScheduleAgain(Handle handle) { scheduled_again_.push_back(handle); }

void EventLoop::Poll(Micros wait) {
  const std::vector<Handle> again = std::exchange(scheduled_again_, {});
  CollectReadyEvents(again.empty() ? ToTimeoutMs(wait) : 0);
  for (const Handle handle : again) AddReadyEvent(handle, EPOLLIN);
  for (const ReadyEvent& ready : ready_) {
    const auto sink = sinks_.find(ready.handle);
    if (sink != sinks_.end()) sink->second->OnReady(ready.events);
  }
  ready_.clear();
  ready_positions_.clear();
}

// Collects all ready events before any sink is notified. If blocks were dispatched one by one, a client's
// close could be reported in a later round than the one that handles the client's requests. Events are merged
// so that each sink is notified once per round: views of read buffers stay valid until the end of the round.
void EventLoop::CollectReadyEvents(int timeout_ms) {
  std::array<epoll_event, kEventsPerCall> events;
  while (true) {
    const int count = ::epoll_wait(epoll_.Get(), events.data(), events.size(), timeout_ms);
    if (count < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "epoll_wait");
    for (int index = 0; index < count; ++index) AddReadyEvent(events[index].data.u64, events[index].events);
    // New edges may keep arriving, so stop once there are as many ready events as registered sinks.
    if (count < static_cast<int>(events.size()) || ready_.size() >= sinks_.size()) return;
    timeout_ms = 0;
  }
}

void EventLoop::AddReadyEvent(Handle handle, std::uint32_t events) {
  const auto [position, added] = ready_positions_.try_emplace(handle, ready_.size());
  if (added) ready_.push_back({handle, 0});
  ready_[position->second].events |= events;
}

}  // namespace tinspan::net
