// A listening socket that goes on when descriptors run out.
#pragma once

#include <functional>

#include "net/event_loop.hpp"

namespace tinspan::net {

class Listener final : public EventLoop::Sink {
 public:
  using Taker = std::function<void(Fd)>;
  // Throws std::system_error where the address cannot be had.
  // `shared`: SO_REUSEPORT, so that a second process of a zero-downtime upgrade listens at the same address.
  Listener(EventLoop& loop, const Endpoint& at, Taker taker, bool shared = false);
  ~Listener() { Close(); }
  // Takes what waits to be accepted first: a close would reset it, with requests that were written whole.
  void CloseTakingAll();
  void Close();
  bool IsOpen() const { return static_cast<bool>(fd_); }
  std::uint16_t Port() const;

  void OnReady(std::uint32_t events) override;

 private:
  EventLoop& loop_;
  Taker taker_;
  Fd fd_;
  Fd reserve_;  // given up to accept and close a connection when descriptors have run out
  EventLoop::Handle handle_ = 0;
};

}  // namespace tinspan::net
