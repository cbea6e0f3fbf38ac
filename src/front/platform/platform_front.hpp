// The platform's front: clients, servers and the endpoint watch around the core. It decides nothing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "front/ops/door.hpp"
#include "front/platform/downstream_connections.hpp"
#include "front/platform/endpoint_watcher.hpp"
#include "front/platform/upstream_connections.hpp"
#include "front/runner.hpp"
#include "ops/ops.hpp"
#include "setup/retune.hpp"

namespace tinspan::platform {

/// Connects the core with the platform's protocols: carries its commands out and collects its events. All
/// arguments of the constructor must outlive it.
class PlatformFront final : public front::Front {
 public:
  PlatformFront(net::EventLoop& loop, const config::Platform& config, core::RequestCoordinator& coordinator,
                std::vector<core::Event>& events);

  /// Services that run beside the front; called once, before the first round.
  void SetAttachedServices(front::AttachedServices attached);

  void Execute(Micros now, const core::Command& command) override;
  void EndRound(Micros now) override;
  Micros LongestDeadline() const override { return longest_deadline_; }
  void Drain(const core::DrainTimetable& timetable) override;
  /// Reads the configuration file again; requests, connections and all that was learnt stay. Where the file
  /// cannot be used, the settings before stay in force, and the result is false.
  bool Reload() override;
  bool IsDrained() const override { return downstream_.IsDrained(); }
  std::uint16_t Port() const { return downstream_.Port(); }
  /// Nothing: the configuration names no port for operators.
  std::optional<std::uint16_t> OpsPort() const {
    return ops_door_ ? std::optional<std::uint16_t>(ops_door_->Port()) : std::nullopt;
  }

 private:
  ops::Figures Figures() const;
  void Complete(const core::CompleteRequest& command);
  void Respond(RequestId id);
  void ApplySettings(Retuned retuned);
  void FollowServiceState(Micros now);
  void AddStats(ops::Figures& figures) const;
  void LogReload(const std::vector<std::string>& added, const std::vector<std::string>& dropped) const;

  const std::size_t max_downstream_backlog_;
  net::EventLoop& loop_;
  core::RequestCoordinator& coordinator_;
  Site site_;                // in force, with the classes of every retune
  Micros longest_deadline_;  // the shortest that any configuration so far gave
  DownstreamConnections downstream_;
  UpstreamConnections upstream_;
  EndpointWatcher endpoint_watcher_;
  ops::Service service_;
  ops::Life service_state_ = ops::Life::kStarting;  // as it was acted on last
  std::uint64_t rejected_draining_ = 0;
  std::uint64_t failed_at_deadline_ = 0;
  ops::Figures counters_;  // what is counted as it happens; the rest is looked up when it is requested
  ops::Views views_;
  front::AttachedServices attached_;
  std::optional<front::OpsDoor> ops_door_;
};

}  // namespace tinspan::platform
