#include "front/platform/stall_detector.hpp"

#include <algorithm>
#include <cstddef>

namespace tinspan::platform {
namespace {

// How long no byte may arrive in the middle of a response. TCP retransmits a lost packet after 200 ms.
constexpr Micros kPartialResponseTimeout{250'000};
// A single late response may just be slow, so it is allowed a multiple of the timeout.
constexpr int kSingleLateResponseFactor = 4;
constexpr std::size_t kMinLateResponses = 2;

}  // namespace

StallDetector::StallDetector(Micros now, Micros response_timeout, UpstreamPool& pool)
    : now_(now), response_timeout_(response_timeout) {
  for (const UpstreamPool::PooledConnection& pooled : pool.Connections()) {
    Micros& last_received_at = last_received_at_[pooled.server];
    last_received_at = std::max(last_received_at, pooled.connection.LastReceivedAt());
  }
}

std::optional<std::string_view> StallDetector::FindStall(const UpstreamPool::PooledConnection& pooled) const {
  if (!pooled.connection.IsOpen() || pooled.connection.IsReadPaused()) return std::nullopt;
  const bool is_partial = !pooled.connection.Unread().empty();
  if (is_partial && now_ - pooled.connection.LastActivityAt() > kPartialResponseTimeout)
    return "stalled in the middle of a response";
  if (IsSilent(pooled)) return "silent while its server responds on other connections";
  return std::nullopt;
}

// Whether the connection receives nothing while its server sends on other connections, and responses on it
// are late. Such a response never arrives, and neither do those that follow it on the same connection.
bool StallDetector::IsSilent(const UpstreamPool::PooledConnection& pooled) const {
  const Micros silent_since = pooled.SilentSince();
  if (silent_since == Micros{0}) return false;
  const auto last_received = last_received_at_.find(pooled.server);
  const Micros last_received_at =
      last_received == last_received_at_.end() ? Micros{0} : last_received->second;
  if (last_received_at <= silent_since) return false;
  std::size_t late_responses = 0;
  bool has_very_late_response = false;
  for (const auto& [reference, exchange] : pooled.state.exchanges) {
    const Micros waited = now_ - std::max(exchange.started_at, silent_since);
    const Micros timeout = response_timeout_ + exchange.transfer_time;
    late_responses += waited > timeout ? 1 : 0;
    has_very_late_response = has_very_late_response || waited > kSingleLateResponseFactor * timeout;
  }
  return late_responses >= kMinLateResponses || has_very_late_response;
}

}  // namespace tinspan::platform
