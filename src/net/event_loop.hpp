// Edge-triggered epoll and timers for one thread.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "net/clock.hpp"
#include "net/fd.hpp"

namespace tinspan::net {

// Callbacks by time; those of one time run in the order they were set.
class TimerQueue {
 public:
  using Id = std::pair<Micros, std::uint64_t>;
  Id Set(Micros at, std::function<void(Micros now)> call) {
    const Id id{at, serial_++};
    calls_.emplace(id, std::move(call));
    return id;
  }
  void Cancel(const Id& id) { calls_.erase(id); }
  void Run(Micros now) {
    while (!calls_.empty() && calls_.begin()->first.first <= now) {
      const auto call = std::move(calls_.begin()->second);
      calls_.erase(calls_.begin());
      call(now);
    }
  }
  std::optional<Micros> Next() const {
    return calls_.empty() ? std::nullopt : std::optional(calls_.begin()->first.first);
  }

 private:
  std::map<Id, std::function<void(Micros)>> calls_;
  std::uint64_t serial_ = 0;
};

class EventLoop {
 public:
  class Sink {  // what is told that its descriptor is ready
   public:
    virtual void OnReady(std::uint32_t events) = 0;

   protected:
    ~Sink() = default;
  };
  using Handle = std::uint64_t;

  EventLoop();
  // Handles are never used twice, so that an event gathered for a descriptor that was closed meanwhile (and
  // whose number may serve another by now) reaches nobody.
  Handle Add(int fd, std::uint32_t events, Sink& sink);
  void Remove(Handle handle, int fd);
  // The sink is told again in the next round without waiting: it stopped before the descriptor was dry, and
  // an edge-triggered epoll will not say so again.
  void Again(Handle handle);
  // Waits for at most `wait` and tells every sink that is ready, each once.
  void Poll(Micros wait);

  TimerQueue& Timers() { return timers_; }

 private:
  struct Ready {
    Handle handle;
    std::uint32_t events;
  };
  void Gather(int millis);
  void Note(Handle handle, std::uint32_t events);

  Fd epoll_;
  Handle last_ = 0;
  std::vector<Ready> ready_;  // of the round at hand, in the order told
  std::unordered_map<Handle, std::size_t> places_;
  std::unordered_map<Handle, Sink*> sinks_;
  std::vector<Handle> again_;
  TimerQueue timers_;
};

}  // namespace tinspan::net
