// The change log: events of the cache list and purges, followed over one connection that is made anew
// whenever it ends or falls silent.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

#include "config/config.hpp"
#include "core/request_coordinator.hpp"
#include "front/platform/upstream_connections.hpp"
#include "net/connection.hpp"

namespace simdjson::dom {
class parser;
}

namespace tinspan::platform {

class EndpointWatcher final : public net::Connection::Owner {
 public:
  // Applies what the configuration knows at once, into `events`, and begins to follow.
  EndpointWatcher(net::EventLoop& loop, const config::Platform& config, UpstreamConnections& caches,
                  std::vector<core::Event>& events);
  ~EndpointWatcher();
  // From now on the events come from here; their numbers go on. The old watch is heard until the new one has
  // spoken: what it tells meanwhile is told.
  void Follow(const net::Endpoint& at);
  void EndRound();
  std::size_t Draining() const { return draining_.size(); }  // servers told to drain, not yet gone

  void OnOpen(net::Connection& connection) override;
  void OnData(net::Connection& connection) override;
  void OnClosed(net::Connection& connection) override;

 private:
  void Connect();
  void Reconnect();
  void Watch();
  void Drop(std::unique_ptr<net::Connection>& watch);
  void Line(std::string_view line, bool leaving);  // throws Malformed
  void Unusable(const Malformed& wrong, bool event);
  void Apply(std::string_view json);  // throws Malformed

  net::EventLoop& loop_;
  const config::Platform& config_;
  net::Endpoint at_;
  UpstreamConnections& caches_;
  std::vector<core::Event>& events_;
  std::unique_ptr<simdjson::dom::parser> parser_;
  std::uint64_t seq_ = 0;
  std::unordered_set<ServerId> draining_;
  std::optional<std::uint64_t> stuck_;  // the event after this one could not be used: asked for anew once
  std::unique_ptr<net::Connection> connection_;
  bool spoke_ = false;                                    // a whole line has come on it
  Micros line_at_{0};                                     // when the last one came
  std::unique_ptr<net::Connection> leaving_;              // the watch before, until the new one has spoken
  std::vector<std::unique_ptr<net::Connection>> closed_;  // in this round
  net::TimerQueue::Id timer_{};
  std::mt19937_64 random_;
};

}  // namespace tinspan::platform
