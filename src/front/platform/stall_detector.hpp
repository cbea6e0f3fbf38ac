// Detection of server connections that have outstanding responses but make no progress.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "front/platform/upstream_exchange.hpp"

namespace tinspan::platform {

/// Checks the connections of a pool for stalls at one point in time. It changes none of them. Construct one
/// for each check, and use it before any connection receives data.
class StallDetector {
 public:
  /// `response_timeout` is how long a response may take, excluding its transfer time.
  StallDetector(Micros now, Micros response_timeout, UpstreamPool& pool);

  /// Returns why the connection should be closed, as text for the log, or nullopt if it is not stalled.
  std::optional<std::string_view> FindStall(const UpstreamPool::PooledConnection& pooled) const;

 private:
  bool IsSilent(const UpstreamPool::PooledConnection& pooled) const;

  Micros now_;
  Micros response_timeout_;
  std::unordered_map<std::uint64_t, Micros> last_received_at_;  // by server, over all its connections
};

}  // namespace tinspan::platform
