#include "routing/outlier_detector.hpp"

#include <algorithm>
#include <utility>

namespace tinspan {

constexpr double kOrdinaryWeight = 0.25;         // weight of a response or an error in the failure rate
constexpr double kUnreachableEvidence = 2;       // multiple: only a stopped or unresponsive server causes it
constexpr double kEjectThreshold = 0.5;          // failure rate; the peers' mean is added
constexpr double kMaxEjectThreshold = 0.9;       // upper limit of the sum
constexpr double kReadmitThreshold = 0.25;       // failure rate
constexpr int kMaxProbeBackoff = 8;              // in connect timeouts
constexpr double kInstancesPerBackoffStep = 16;  // the more instances probe a server, the longer each waits

void OutlierDetector::RecordUnreachable(ServerIndex index) { Record(index, true, kUnreachableEvidence); }

void OutlierDetector::RecordReset(ServerIndex index, Micros sent_at) {
  RecordResponsive(index);
  const Micros last_reset_at = std::exchange(servers_[index].health.last_reset_at, context_.now);
  if (sent_at >= last_reset_at) RecordFailure(index);
}

void OutlierDetector::Record(ServerIndex index, bool is_failure, double evidence) {
  Server& server = servers_[index];
  Health& health = server.health;
  health.failure_rate += kOrdinaryWeight * evidence * ((is_failure ? 1.0 : 0.0) - health.failure_rate);
  // With less evidence, the response may have come from another server.
  if (!is_failure && evidence >= 1) RecordResponsive(index);
  // Failures that most servers have (lost responses, congestion) are no reason to eject one of them. If all
  // have failed, each still exceeds the raised threshold.
  const double threshold = std::min(kMaxEjectThreshold, kEjectThreshold + MeanFailureRateOfPeers(index));
  if (!health.is_ejected && health.failure_rate > threshold) {
    health.is_ejected = true;
    const Senders senders = server.role == Role::kCache ? Senders::kOwnZone : Senders::kAllZones;
    const double steps = servers_.InstanceCount(senders) / kInstancesPerBackoffStep;
    health.probe_backoff = std::max(1, static_cast<int>(steps));
    OnRequestSent(server);
  } else if (health.is_ejected && health.failure_rate < kReadmitThreshold) {
    health.is_ejected = false;
  } else if (health.is_ejected && is_failure) {
    const int doubled = std::min(health.probe_backoff * 2, kMaxProbeBackoff);
    health.probe_backoff = std::max(health.probe_backoff, doubled);
    OnRequestSent(server);
  } else if (health.is_ejected) {
    health.probe_backoff = 1;
    health.next_probe_at = context_.now;
  }
}

double OutlierDetector::MeanFailureRateOfPeers(ServerIndex index) const {
  double sum = -servers_[index].health.failure_rate;
  const std::vector<ServerIndex>& peers = servers_.Listed(servers_[index].role);
  for (const ServerIndex peer : peers) sum += servers_[peer].health.failure_rate;
  return peers.size() > 1 ? sum / static_cast<double>(peers.size() - 1) : 0.0;
}

bool OutlierDetector::IsProbeDue(const Server& server) const {
  return server.health.is_ejected && context_.now >= server.health.next_probe_at;
}

void OutlierDetector::OnRequestSent(Server& server) const {
  const Micros backoff = server.health.probe_backoff * context_.settings.connect_timeout;
  if (server.health.is_ejected) server.health.next_probe_at = context_.now + backoff;
}

}  // namespace tinspan
