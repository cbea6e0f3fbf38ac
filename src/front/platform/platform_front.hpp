// The platform front: connects clients, servers and the endpoint watch with the core, which makes all routing
// decisions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "front/ops/admin_listener.hpp"
#include "front/platform/downstream_connections.hpp"
#include "front/platform/endpoint_watcher.hpp"
#include "front/platform/upstream_connections.hpp"
#include "front/runner.hpp"
#include "ops/ops.hpp"
#include "setup/reload.hpp"

namespace tinspan::platform {

/// Connects the core with the platform's protocols: executes the core's commands and collects events for it.
/// Not thread-safe; all arguments of the constructor must outlive it.
class PlatformFront final : public front::Front {
 public:
  PlatformFront(net::EventLoop& loop, const config::Platform& config, core::RequestCoordinator& coordinator,
                std::vector<core::Event>& events);

  /// Sets the services that run beside the front. Called once, before the first round of the event loop.
  void SetAttachedServices(front::AttachedServices attached);

  void Execute(Micros now, const core::Command& command) override;
  void EndRound(Micros now) override;
  Micros LongestDeadline() const override { return longest_deadline_; }
  void Drain(const core::DrainTimetable& timetable) override;
  /// Reads the configuration file again; requests, connections and the router's state are kept. If the file
  /// is invalid, returns false and keeps the previous settings.
  bool Reload() override;
  bool IsDrained() const override { return downstream_.IsDrained(); }
  std::uint16_t Port() const { return downstream_.Port(); }
  /// Returns the port of the admin listener, or nullopt if none is configured.
  std::optional<std::uint16_t> OpsPort() const {
    return admin_listener_ ? std::optional<std::uint16_t>(admin_listener_->Port()) : std::nullopt;
  }

 private:
  ops::Statistics Statistics() const;
  void Complete(const core::CompleteRequest& command);
  void Respond(RequestId id);
  void ApplySettings(ReloadResult reloaded);
  void ApplyServiceState(Micros now);
  void AddStats(ops::Statistics& figures) const;
  void LogReload(const std::vector<std::string>& added, const std::vector<std::string>& dropped) const;

  // For responses that are read from servers or wait for clients.
  net::MemoryBudget response_budget_;
  const std::size_t max_downstream_backlog_;
  net::EventLoop& loop_;
  core::RequestCoordinator& coordinator_;
  NamedSettings site_;            // in force; includes the classes of all configurations read so far
  config::KeyPaths config_keys_;  // of the last configuration that was applied
  Micros longest_deadline_;       // the smallest value of all configurations read so far
  DownstreamConnections downstream_;
  UpstreamConnections upstream_;
  EndpointWatcher endpoint_watcher_;
  ops::Service service_;
  ops::ServiceState last_service_state_ = ops::ServiceState::kStarting;  // the state that was last applied
  std::uint64_t rejected_draining_count_ = 0;
  std::uint64_t failed_deadline_count_ = 0;
  ops::Statistics counters_;  // only the figures counted as events happen; Statistics() computes the others
  ops::AdminViews views_;
  front::AttachedServices attached_;
  std::optional<front::AdminListener> admin_listener_;
};

}  // namespace tinspan::platform
