// The platform's front: clients, servers and the change log round the core. It decides nothing.
#pragma once

#include "front/ops/door.hpp"
#include "front/platform/downstream_connections.hpp"
#include "front/platform/endpoint_watcher.hpp"
#include "front/platform/upstream_connections.hpp"
#include "front/runner.hpp"
#include "ops/ops.hpp"

namespace tinspan::platform {

class PlatformFront final : public front::Front {
 public:
  PlatformFront(net::EventLoop& loop, const config::Platform& config, core::RequestCoordinator& coordinator,
                std::vector<core::Event>& events)
      : most_backlog_(config.limits.memory_mb * (std::size_t{1} << 20) / 4),
        coordinator_(coordinator),
        site_(config.site),
        downstream_(loop, config, coordinator, events),
        upstream_(loop, config, coordinator, downstream_, events),
        endpoint_watcher_(loop, config, upstream_, events) {
    if (config.ops)
      door_.emplace(
          loop, *config.ops, service_, [this] { return Figures(); }, views_);
  }
  void SetAttachedServices(front::AttachedServices attached) {
    views_ = attached.views;
    upstream_.FailureLog().ReportTo(attached.on_failing_servers);
    attached_ = std::move(attached);
  }

  void Execute(Micros now, const core::Command& command) override;
  void EndRound(Micros now) override;
  void Drain(Micros accept_until) override {
    if (attached_.on_drain) attached_.on_drain();
    service_.Stopping();
    downstream_.Drain(accept_until);
  }
  bool Reload() override;
  bool IsDrained() const override { return downstream_.IsDrained(); }
  std::uint16_t Port() const { return downstream_.Port(); }
  std::optional<std::uint16_t> OpsPort() const {
    return door_ ? std::optional<std::uint16_t>(door_->Port()) : std::nullopt;
  }

 private:
  ops::Figures Figures() const;

  const std::size_t most_backlog_;
  core::RequestCoordinator& coordinator_;
  Site site_;  // in force, with the classes of every retune
  DownstreamConnections downstream_;
  UpstreamConnections upstream_;
  EndpointWatcher endpoint_watcher_;
  ops::Service service_;
  ops::Figures counted_;  // what is counted as it happens; the rest is looked up when asked
  ops::Views views_;
  front::AttachedServices attached_;
  std::optional<front::OpsDoor> door_;
};

}  // namespace tinspan::platform
