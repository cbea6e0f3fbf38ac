// Which servers this instance has seen fail lately, for the fleet's gossip.
#pragma once

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

#include "net/clock.hpp"

namespace tinspan::front {

/// Collects servers whose connection broke or was given up with requests open, and reports them at intervals.
/// Off (and empty) until ReportTo is called. It cannot grow with every server that ever failed: old entries
/// go with each report.
class UpstreamFailureLog {
 public:
  using ReportCallback = std::function<void(std::vector<std::uint64_t> servers)>;

  void ReportTo(ReportCallback on_report);
  /// A server failed at `now`.
  void Add(net::Micros now, std::uint64_t server);
  /// Call once a round; reports at most once a second.
  void EndRound(net::Micros now);

 private:
  ReportCallback on_report_;
  std::unordered_map<std::uint64_t, net::Micros> failed_at_;  // by server
  net::Micros reported_at_{0};
};

}  // namespace tinspan::front
