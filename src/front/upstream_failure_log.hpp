// Servers with recent connection failures, reported to the other instances by the membership protocol.
#pragma once

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

#include "net/clock.hpp"

namespace tinspan::front {

/// Collects servers to which a connection was lost or closed with requests open, and reports them at
/// intervals. Disabled until ReportTo is called. Its size is bounded: entries older than the retention period
/// are erased before each report.
class UpstreamFailureLog {
 public:
  using ReportCallback = std::function<void(std::vector<std::uint64_t> servers)>;

  /// Enables the log and sets its receiver.
  void ReportTo(ReportCallback on_report);
  /// Records a failure of `server` at `now`. No effect while disabled.
  void Add(net::Micros now, std::uint64_t server);
  /// Must be called once per round; reports at most once per second.
  void EndRound(net::Micros now);

 private:
  ReportCallback on_report_;
  std::unordered_map<std::uint64_t, net::Micros> failed_at_;  // by server
  net::Micros reported_at_{0};
};

}  // namespace tinspan::front
