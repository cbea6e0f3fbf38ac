// The gateway's front: connects HTTP clients, signing servers and Consul to the core, which makes all
// decisions.
#pragma once

#include <memory>
#include <vector>

#include "front/http/access.hpp"
#include "front/http/consul_watch.hpp"
#include "front/http/downstream_connections.hpp"
#include "front/http/upstream_connections.hpp"
#include "front/ops/admin_listener.hpp"
#include "front/runner.hpp"

namespace tinspan::http {

/// Translates between HTTP and the core's events and commands. Not thread-safe; all arguments of the
/// constructor must outlive it.
class HttpFront final : public front::Front {
 public:
  /// Throws config::Error if the keys are invalid, and std::system_error if listening fails.
  HttpFront(net::EventLoop& loop, const config::Gateway& config, core::RequestCoordinator& coordinator,
            std::vector<core::Event>& events);

  void Execute(net::Micros now, const core::Command& command) override;
  void EndRound(net::Micros now) override;
  net::Micros LongestDeadline() const override { return config_.longest_deadline; }
  void Drain(const core::DrainTimetable& timetable) override {
    if (attached_.on_drain) attached_.on_drain();
    service_.MarkStopping();
    downstream_.Drain(timetable);
  }
  /// Reads the key set again, which allows key rotation.
  bool Reload() override;
  bool IsDrained() const override { return downstream_.IsDrained(); }
  /// Source of /-/records; null: the endpoint does not exist.
  void SetFeed(const core::RecordFeed* feed) { downstream_.SetFeed(feed); }
  std::uint16_t Port() const { return downstream_.Port(); }
  /// Port of the admin listener, if there is one.
  std::optional<std::uint16_t> OpsPort() const {
    return admin_listener_ ? std::optional<std::uint16_t>(admin_listener_->Port()) : std::nullopt;
  }
  /// Connects the services that are attached to this front.
  void SetAttachedServices(front::AttachedServices attached) {
    views_ = attached.views;
    upstream_.FailureLog().ReportTo(attached.on_failing_servers);
    downstream_.SetOnPurge(attached.on_purge);
    attached_ = std::move(attached);
  }

 private:
  void Complete(const core::CompleteRequest& completion);

  const config::Gateway& config_;
  AccessVerifier verifier_;
  Signer signer_;
  net::MemoryBudget response_budget_;  // for responses that are read from servers or wait for clients
  DownstreamConnections downstream_;
  UpstreamConnections upstream_;
  std::vector<std::unique_ptr<ConsulWatch>> watches_;
  std::size_t unlisted_services_;  // number of services without a list from Consul yet
  ops::Service service_{false};    // serving once Consul has listed every service; without standby
  ops::AdminViews views_;
  front::AttachedServices attached_;
  std::optional<front::AdminListener> admin_listener_;
};

/// Parses a JWK set. Throws config::Error if it is invalid.
KeySet ReadKeys(const config::Gateway& config, std::string_view json);
/// Parses the configured signing key. Throws config::Error if it is invalid or has no private part.
Key ReadSigningKey(const config::Gateway& config);

}  // namespace tinspan::http
