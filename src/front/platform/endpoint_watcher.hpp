// The endpoint watch (the platform's change log): receives changes of the endpoint list and purges over one
// connection, which is reopened whenever it ends or becomes silent.
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

/// Follows the endpoint watch. It applies the received events to the server connections and appends them to
/// the core's events. Not thread-safe; all arguments of the constructor must outlive it.
class EndpointWatcher final : public net::Connection::Owner {
 public:
  /// Applies the events in the configuration at once and starts to follow the watch. Throws config::Error if
  /// an event in the configuration is malformed.
  EndpointWatcher(net::EventLoop& loop, const config::Platform& config, UpstreamConnections& upstream,
                  std::vector<core::Event>& events);
  EndpointWatcher(const EndpointWatcher&) = delete;
  EndpointWatcher& operator=(const EndpointWatcher&) = delete;
  EndpointWatcher(EndpointWatcher&&) = delete;
  EndpointWatcher& operator=(EndpointWatcher&&) = delete;
  ~EndpointWatcher();

  /// Follows the watch at `address`, from the last applied sequence number. The previous connection is read,
  /// and its events are applied, until the new connection has sent a line. If the address is unchanged, it
  /// reconnects only if the connection has been silent for too long.
  void Follow(const net::Endpoint& address);
  /// Frees the connections closed in this round (one iteration of the event loop).
  void EndRound();
  /// Number of servers that are draining and not removed yet.
  std::size_t DrainingCount() const { return draining_.size(); }

  void OnOpen(net::Connection& connection) override;
  void OnData(net::Connection& connection) override;
  void OnClosed(net::Connection& connection) override;

 private:
  enum class LineSource { kCurrentConnection, kPreviousConnection };

  void ApplyConfiguredEvents();
  void Connect();
  void Reconnect();
  void RestartTimer();
  void CloseConnection(std::unique_ptr<net::Connection>& connection);
  void HandleLine(std::string_view line, LineSource source);  // throws Malformed
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
  std::uint64_t last_sequence_ = 0;  // of the last event applied or skipped
  std::unordered_set<ServerId> draining_;
  // Sequence number after which a malformed event was received and requested again.
  std::optional<std::uint64_t> malformed_after_;
  std::unique_ptr<net::Connection> connection_;
  bool has_received_line_ = false;  // on connection_
  Micros last_line_at_{0};
  std::unique_ptr<net::Connection> previous_connection_;  // read until connection_ has sent a line
  std::vector<std::unique_ptr<net::Connection>> closed_;  // freed at the end of the round
  net::TimerQueue::Id timer_{};
  std::mt19937_64 random_;
};

}  // namespace tinspan::platform
