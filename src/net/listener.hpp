// A listening socket that keeps working when the process runs out of descriptors.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "net/endpoint.hpp"
#include "net/event_loop.hpp"

namespace tinspan::net {

/// Accepts TCP connections at one address and passes them to a callback. Not thread-safe.
class Listener final : public EventLoop::Sink {
 public:
  /// Takes ownership of an accepted, non-blocking socket.
  using AcceptCallback = std::function<void(Fd)>;

  /// `shared`: sets SO_REUSEPORT, so that a second process can listen at the same address during a
  /// zero-downtime upgrade. Throws std::system_error if the address cannot be bound.
  Listener(EventLoop& loop, const Endpoint& address, AcceptCallback on_accept, bool shared = false);
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  ~Listener() { Close(); }

  /// Accepts the connections in the backlog, then closes. Closing alone would reset them, including those
  /// whose clients have already sent a complete request. If accept fails temporarily, the listener stays open
  /// and this must be called again; after a bounded time it closes in any case.
  void CloseAfterAccepting();
  void Close();
  bool IsOpen() const { return static_cast<bool>(fd_); }
  /// The bound port, also if the address has port 0.
  std::uint16_t Port() const;

  void OnReady(std::uint32_t events) override;

 private:
  bool RejectOne();
  void RetryLater();

  EventLoop& loop_;
  AcceptCallback on_accept_;
  Fd fd_;
  Fd reserve_fd_;  // released to accept and close a connection when descriptors run out
  EventLoop::Handle handle_ = 0;
  std::optional<TimerQueue::Id> retry_timer_;  // set while a failed accept awaits its retry
  Micros retry_delay_{0};
  std::optional<Micros> closing_since_;
};

}  // namespace tinspan::net
