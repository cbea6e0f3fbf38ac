// The admin listener. A connection carries one call, a line, and is closed after the response. Responses come
// from ops::HandleCall. The listener shares the event loop with client traffic but has its own buffers and
// queues, so that it does not wait behind that traffic.
//
// Protections: at most kMaxCallers connections are open, and the oldest is closed for a new one; a silent
// connection is closed after kIdleTimeout; a line longer than ops::kMaxLineBytes is answered with `error`
// immediately; the write queue is bounded for callers that do not read the response.
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>

#include "net/connection.hpp"
#include "net/listener.hpp"
#include "ops/ops.hpp"

namespace tinspan::front {

/// Listens for admin calls at one address and answers them. Not thread-safe.
class AdminListener final : public net::Connection::Owner {
 public:
  /// Returns the current statistics.
  using StatsProvider = std::function<ops::Statistics()>;
  static constexpr std::size_t kMaxCallers = 8;  // within config::Limits::kReservedDescriptors
  static constexpr net::Micros kIdleTimeout{10'000'000};

  /// Throws std::system_error if the address cannot be bound. `service` and `views` must outlive the
  /// listener; `views` is read at each call.
  AdminListener(net::EventLoop& loop, const net::Endpoint& address, ops::Service& service,
                StatsProvider provide_stats, const ops::AdminViews& views);
  /// The bound port.
  std::uint16_t Port() const { return listener_.Port(); }
  /// The number of calls answered.
  std::uint64_t Answered() const { return answered_calls_; }

  void OnData(net::Connection& connection) override;
  void OnClosed(net::Connection& connection) override;

 private:
  void Accept(net::Fd fd);
  void Sweep(net::Micros now);  // closes silent connections and erases closed ones

  net::EventLoop& loop_;
  ops::Service& service_;
  StatsProvider provide_stats_;
  const ops::AdminViews& views_;
  std::unordered_map<std::uint64_t, std::unique_ptr<net::Connection>> callers_;
  std::vector<std::uint64_t> closed_ids_;
  std::uint64_t last_id_ = 0;
  std::uint64_t answered_calls_ = 0;
  net::Listener listener_;
};

}  // namespace tinspan::front
