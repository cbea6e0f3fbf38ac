// The gateway's front: HTTP clients, signing servers and Consul round the core. It decides nothing.
#pragma once

#include <memory>
#include <vector>

#include "front/http/access.hpp"
#include "front/http/clients.hpp"
#include "front/http/consul.hpp"
#include "front/http/upstream.hpp"
#include "front/ops/door.hpp"
#include "front/runner.hpp"

namespace tinspan::http {

class HttpFront final : public front::Front {
 public:
  // Throws config::Error on keys that make no sense.
  HttpFront(net::EventLoop& loop, const config::Http& config, core::RequestCoordinator& coordinator,
            std::vector<core::Event>& events);

  void Execute(net::Micros now, const core::Command& command) override;
  void EndRound(net::Micros now) override;
  net::Micros LongestDeadline() const override { return config_.longest; }
  void Drain(const core::DrainTimetable& timetable) override {
    if (attached_.on_drain) attached_.on_drain();
    service_.Stopping();
    clients_.Drain(timetable);
  }
  bool Reload() override;  // the keys: how they are rotated
  bool IsDrained() const override { return clients_.IsDrained(); }
  void SetFeed(const core::RecordFeed* feed) { clients_.SetFeed(feed); }
  std::uint16_t Port() const { return clients_.Port(); }
  std::optional<std::uint16_t> OpsPort() const {
    return door_ ? std::optional<std::uint16_t>(door_->Port()) : std::nullopt;
  }
  void SetAttachedServices(front::AttachedServices attached) {
    views_ = attached.views;
    upstream_.Failing().ReportTo(attached.on_failing_servers);
    clients_.SetPurged(attached.on_purge);
    attached_ = std::move(attached);
  }

 private:
  void Answer(const core::CompleteRequest& answer);

  const config::Http& config_;
  Access access_;
  Signer signer_;
  Clients clients_;
  Upstream upstream_;
  std::vector<std::unique_ptr<ConsulWatch>> watches_;
  std::size_t unlisted_;         // services that Consul has not listed yet
  ops::Service service_{false};  // serving once Consul has listed every service; no standby here
  ops::Views views_;
  front::AttachedServices attached_;
  std::optional<front::OpsDoor> door_;
};

// Throws config::Error.
KeySet ReadKeys(const config::Http& config, std::string_view json);
Key ReadSigningKey(const config::Http& config);

}  // namespace tinspan::http
