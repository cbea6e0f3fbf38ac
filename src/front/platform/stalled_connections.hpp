// Which connections to servers owe responses and make no progress.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "front/platform/upstream_exchange.hpp"

namespace tinspan::platform {

/// One look at all connections at one point in time. It changes nothing.
class StallDetector {
 public:
  /// `response_timeout` is what a response may take, its transfer time apart.
  StallDetector(Micros now, Micros response_timeout, UpstreamPool& pool);

  /// Why the connection should be given up; nothing: it should not.
  std::optional<std::string_view> FindStall(const UpstreamPool::PooledConnection& pooled) const;

 private:
  bool IsSilent(const UpstreamPool::PooledConnection& pooled) const;

  Micros now_;
  Micros response_timeout_;
  std::unordered_map<std::uint64_t, Micros> last_received_at_;  // by server, on any of its connections
};

}  // namespace tinspan::platform
