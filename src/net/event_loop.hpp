// An event loop for one thread: edge-triggered epoll and timers.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "net/clock.hpp"
#include "net/fd.hpp"
#include "net/socket_error.hpp"
#include "net/timer_queue.hpp"

namespace tinspan::net {

/// Waits for file descriptors and notifies their sinks, each at most once per round. The loop and everything
/// registered with it belong to one thread.
class EventLoop {
 public:
  /// Notified when its descriptor is ready.
  class Sink {
   public:
    /// `events`: the epoll(7) event mask, merged over the round.
    virtual void OnReady(std::uint32_t events) = 0;

   protected:
    ~Sink() = default;
  };
  /// Identifies a registration.
  using Handle = std::uint64_t;

  /// Throws std::system_error if epoll_create1 fails.
  EventLoop();

  /// Registers `fd`, edge-triggered. The caller keeps ownership of `fd`, and `sink` must outlive the
  /// registration. Handles are never reused, so an event collected for a descriptor that was closed in the
  /// meantime is dropped even if its number is in use again. Throws std::system_error if epoll_ctl fails.
  Handle Add(int fd, std::uint32_t events, Sink& sink);
  /// Ends a registration. Events already collected for it are dropped.
  void Remove(Handle handle, int fd);
  /// Notifies the sink again in the next round, which then does not wait. Needed by a sink that stopped
  /// before its descriptor was drained, since edge-triggered epoll does not report it again.
  void ScheduleAgain(Handle handle);
  /// Waits for at most `wait` and notifies each ready sink once. Throws std::system_error if epoll_wait
  /// fails.
  void Poll(Micros wait);

  TimerQueue& Timers() { return timers_; }
  /// Errors of the sockets registered with this loop.
  SocketErrorCounters& SocketErrors() { return socket_errors_; }

 private:
  struct ReadyEvent {
    Handle handle;
    std::uint32_t events;
  };

  void CollectReadyEvents(int timeout_ms);
  void AddReadyEvent(Handle handle, std::uint32_t events);

  Fd epoll_;
  Handle last_handle_ = 0;
  std::unordered_map<Handle, Sink*> sinks_;
  std::vector<Handle> scheduled_again_;
  // The events of the current round in notification order, and the position of each handle in them.
  std::vector<ReadyEvent> ready_;
  std::unordered_map<Handle, std::size_t> ready_positions_;
  TimerQueue timers_;
  SocketErrorCounters socket_errors_;
};

}  // namespace tinspan::net
