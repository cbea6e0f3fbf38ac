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
  const std::vector<Handle> again = std::exchange(again_, {});
  if (!again.empty()) wait = Micros{0};
  // Rounded up: waking a little early would spin until the timer is due.
  const auto millis = std::clamp<std::int64_t>((wait.count() + 999) / 1000, 0, 60'000);
  Gather(static_cast<int>(millis));
  // What was left to read may not be told by any further edge: one that is to be told again is.
  for (const Handle handle : again) Note(handle, EPOLLIN);
  for (const Ready& one : ready_) {
    const auto found = sinks_.find(one.handle);
    if (found != sinks_.end()) found->second->OnReady(one.events);
  }
  ready_.clear();
  places_.clear();
}

// All that is ready, before anybody is told: with more than one block of it, a close that came long ago would
// be heard only after the round that acts for its client. Each sink is told once a round: slices of what was
// read stay valid until the round is over.
void EventLoop::Gather(int millis) {
  std::array<epoll_event, 256> block;
  while (true) {
    const int count = ::epoll_wait(epoll_.Get(), block.data(), block.size(), millis);
    if (count < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "epoll_wait");
    for (int i = 0; i < count; ++i) Note(block[i].data.u64, block[i].events);
    // Edges may come without end: each descriptor's first is what is owed.
    if (count < static_cast<int>(block.size()) || ready_.size() >= sinks_.size()) return;
    millis = 0;
  }
}

void EventLoop::Note(Handle handle, std::uint32_t events) {
  const auto [place, added] = places_.try_emplace(handle, ready_.size());
  if (added) ready_.push_back({handle, 0});
  ready_[place->second].events |= events;
}

}  // namespace tinspan::net
