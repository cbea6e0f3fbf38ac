// The operators' door: a listener of its own, one line a call, one answer, then the connection is closed.
// It shares the loop with client traffic but no buffer or queue, so that it never waits behind it; what
// it answers comes from ops::Answer.
//
// Guarded against: callers that send nothing or half a line and stay (at most kMostCallers are held, the
// one silent longest is let go for a newcomer, none is held past kMostSilence), lines longer than
// ops::kMostLine (answered `error` at once), and a caller that takes no answer (its queue is bounded).
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>

#include "net/connection.hpp"
#include "net/listener.hpp"
#include "ops/ops.hpp"

namespace tinspan::front {

class OpsDoor final : public net::Connection::Owner {
 public:
  using FiguresNow = std::function<ops::Figures()>;
  static constexpr std::size_t kMostCallers = 8;  // within config::Limits::kKept
  static constexpr net::Micros kMostSilence{10'000'000};

  // Throws std::system_error where the address cannot be had.
  // `views` is read at each call and must outlive the door.
  OpsDoor(net::EventLoop& loop, const net::Endpoint& at, ops::Service& service, FiguresNow figures,
          const ops::Views& views);
  std::uint16_t Port() const { return listener_.Port(); }
  std::uint64_t Answered() const { return answered_; }

  void OnData(net::Connection& connection) override;
  void OnClosed(net::Connection& connection) override;

 private:
  void Accept(net::Fd fd);
  void Sweep(net::Micros now);  // lets go of the silent ones; closed ones are erased here

  net::EventLoop& loop_;
  ops::Service& service_;
  FiguresNow figures_;
  const ops::Views& views_;
  std::unordered_map<std::uint64_t, std::unique_ptr<net::Connection>> callers_;
  std::vector<std::uint64_t> closed_;
  std::uint64_t last_ = 0;
  std::uint64_t answered_ = 0;
  net::Listener listener_;
};

}  // namespace tinspan::front
