// A listening socket that goes on when descriptors run out.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "net/endpoint.hpp"
#include "net/event_loop.hpp"

namespace tinspan::net {

/// Accepts TCP connections at one address and hands them to its owner.
class Listener final : public EventLoop::Sink {
 public:
  /// Takes over an accepted, non-blocking socket.
  using AcceptCallback = std::function<void(Fd)>;

  /// `shared`: SO_REUSEPORT, so that a second process of a zero-downtime upgrade listens at the same address.
  /// Throws std::system_error where the address cannot be had.
  Listener(EventLoop& loop, const Endpoint& address, AcceptCallback on_accept, bool shared = false);
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  ~Listener() { Close(); }

  /// Accepts what waits in the backlog, then closes: a plain close would reset it, with requests that were
  /// written in full. Where accepting fails for a moment it stays open, and is to be called again: a bounded
  /// time later it closes all the same.
  void CloseAfterAccepting();
  void Close();
  bool IsOpen() const { return static_cast<bool>(fd_); }
  /// The port bound, also where the address asked for port 0.
  std::uint16_t Port() const;

  void OnReady(std::uint32_t events) override;

 private:
  bool RejectOne();
  void RetryLater();

  EventLoop& loop_;
  AcceptCallback on_accept_;
  Fd fd_;
  Fd reserve_;  // given up to accept and close a connection when descriptors have run out
  EventLoop::Handle handle_ = 0;
  std::optional<TimerQueue::Id> retry_timer_;  // accepting failed, and no edge will tell of who waits
  Micros retry_delay_{0};
  std::optional<Micros> closing_since_;
};

}  // namespace tinspan::net
