#include "net/event_loop.hpp"

#include <sys/epoll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

namespace tinspan::net {

EventLoop::EventLoop() : epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
  if (!epoll_) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

EventLoop::Handle EventLoop::Add(int fd, std::uint32_t events, Sink& sink) {
  epoll_event event{};
  event.events = events | EPOLLET;
  event.data.u64 = ++last_;
  if (::epoll_ctl(epoll_.Get(), EPOLL_CTL_ADD, fd, &event) != 0) {
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  }
  sinks_[last_] = &sink;
  return last_;
}

void EventLoop::Remove(Handle handle, int fd) {
  sinks_.erase(handle);
  ::epoll_ctl(epoll_.Get(), EPOLL_CTL_DEL, fd, nullptr);
}

void EventLoop::Again(Handle handle) { again_.push_back(handle); }

void EventLoop::Poll(Micros wait) {
  std::array<epoll_event, 256> ready;
  const std::vector<Handle> again = std::exchange(again_, {});
  if (!again.empty()) wait = Micros{0};
  // Rounded up: waking a little early would spin until the timer is due.
  const auto millis = std::clamp<std::int64_t>((wait.count() + 999) / 1000, 0, 60'000);
  const int count = ::epoll_wait(epoll_.Get(), ready.data(), ready.size(), static_cast<int>(millis));
  if (count < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "epoll_wait");
  for (int i = 0; i < count; ++i) {
    const Handle handle = ready[i].data.u64;
    const auto found = sinks_.find(handle);
    // One that is to be told again may be ready for writing only: what it has left to read is not forgotten.
    const bool told_again = std::find(again.begin(), again.end(), handle) != again.end();
    if (found != sinks_.end()) found->second->OnReady(ready[i].events | (told_again ? EPOLLIN : 0u));
  }
  for (const Handle handle : again) {
    // At most once a round: slices of what was read stay valid until the round is over.
    const auto end = ready.begin() + std::max(count, 0);
    if (std::any_of(ready.begin(), end, [handle](auto& event) { return event.data.u64 == handle; })) continue;
    const auto found = sinks_.find(handle);
    if (found != sinks_.end()) found->second->OnReady(EPOLLIN);
  }
}

}  // namespace tinspan::net
