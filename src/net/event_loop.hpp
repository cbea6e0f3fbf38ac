// Edge-triggered epoll and timers for one thread.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "net/clock.hpp"
#include "net/fd.hpp"
#include "net/socket_error.hpp"
#include "net/timer_queue.hpp"

namespace tinspan::net {

/// Waits for descriptors and notifies their sinks, each at most once a round. One thread owns the loop and
/// all that is registered with it.
class EventLoop {
 public:
  /// What is notified that its descriptor is ready.
  class Sink {
   public:
    /// `events` as epoll(7) names them, those of the whole round together.
    virtual void OnReady(std::uint32_t events) = 0;

   protected:
    ~Sink() = default;
  };
  /// Names one registration.
  using Handle = std::uint64_t;

  /// Throws std::system_error.
  EventLoop();

  /// Registers `fd`, edge-triggered; the caller still owns it, and `sink` has to outlive the registration.
  /// Handles are never used twice, so that an event gathered for a descriptor that was closed meanwhile (and
  /// whose number may serve another by now) reaches nobody. Throws std::system_error.
  Handle Add(int fd, std::uint32_t events, Sink& sink);
  void Remove(Handle handle, int fd);
  /// The sink is notified again in the next round, which does not wait: it stopped before the descriptor was
  /// drained, and an edge-triggered epoll will not say so again.
  void ScheduleAgain(Handle handle);
  /// Waits for at most `wait` and notifies every sink that is ready, each once. Throws std::system_error.
  void Poll(Micros wait);

  TimerQueue& Timers() { return timers_; }
  /// Of the sockets that are registered here.
  SocketErrorCounters& SocketErrors() { return socket_errors_; }

 private:
  struct ReadyEvent {
    Handle handle;
    std::uint32_t events;
  };

  void Gather(int timeout_ms);
  void AddReady(Handle handle, std::uint32_t events);

  Fd epoll_;
  Handle last_handle_ = 0;
  std::unordered_map<Handle, Sink*> sinks_;
  std::vector<Handle> scheduled_again_;
  // Of the round at hand, in the order in which sinks are notified, with the position of each handle.
  std::vector<ReadyEvent> ready_;
  std::unordered_map<Handle, std::size_t> ready_positions_;
  TimerQueue timers_;
  SocketErrorCounters socket_errors_;
};

}  // namespace tinspan::net
