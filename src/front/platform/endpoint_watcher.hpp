// The endpoint watch (the platform's change log): changes of the endpoint list and purges, followed over one
// connection that is reopened whenever it ends or falls silent.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "config/config.hpp"
#include "core/events.hpp"
#include "front/platform/upstream_connections.hpp"
#include "front/platform/watch_event.hpp"
#include "net/connection.hpp"
#include "net/event_loop.hpp"

namespace tinspan::platform {

/// Follows the endpoint watch, applies it to the connections to servers and pushes it to the core's events.
/// Not thread-safe; all arguments of the constructor must outlive it.
class EndpointWatcher final : public net::Connection::Owner {
 public:
  /// Applies what the configuration knows at once, into `events`, and begins to follow. Throws config::Error
  /// if an event in the configuration is malformed.
  EndpointWatcher(net::EventLoop& loop, const config::Platform& config, UpstreamConnections& upstream,
                  std::vector<core::Event>& events);
  EndpointWatcher(const EndpointWatcher&) = delete;
  EndpointWatcher& operator=(const EndpointWatcher&) = delete;
  EndpointWatcher(EndpointWatcher&&) = delete;
  EndpointWatcher& operator=(EndpointWatcher&&) = delete;
  ~EndpointWatcher();

  /// From now on the events come from `address`; their sequence numbers go on. The connection before is read
  /// until the new one has sent a line: the events that it sends meanwhile are applied.
  void Follow(const net::Endpoint& address);
  /// Frees the connections that were closed in this round.
  void EndRound();
  /// Servers that were reported draining and are not removed yet.
  std::size_t DrainingCount() const { return draining_.size(); }

  void OnOpen(net::Connection& connection) override;
  void OnData(net::Connection& connection) override;
  void OnClosed(net::Connection& connection) override;

 private:
  enum class Sender { kCurrent, kPrevious };

  void ApplyConfiguredEvents();
  void Connect();
  void Reconnect();
  void RestartTimer();
  void CloseConnection(std::unique_ptr<net::Connection>& connection);
  void HandleLine(std::string_view line, Sender sender);  // throws Malformed
  void OnLinesHandled();
  void HandleMalformed(const Malformed& error, bool is_event);
  void Apply(std::string_view json);  // throws Malformed
  void ApplyEndpointList(EndpointListChange change);

  net::EventLoop& loop_;
  const config::Platform& config_;
  net::Endpoint address_;
  UpstreamConnections& upstream_;
  std::vector<core::Event>& events_;
  WatchEventParser parser_;
  std::uint64_t sequence_ = 0;  // of the last event that was applied
  std::unordered_set<ServerId> draining_;
  std::optional<std::uint64_t>
      malformed_after_;  // the event behind this one was malformed and requested again
  std::unique_ptr<net::Connection> connection_;
  bool has_received_line_ = false;  // on this connection
  Micros last_line_at_{0};
  std::unique_ptr<net::Connection> previous_connection_;  // until the new one has sent a line
  std::vector<std::unique_ptr<net::Connection>> closed_;  // in this round
  net::TimerQueue::Id timer_{};
  std::mt19937_64 random_;
};

}  // namespace tinspan::platform
