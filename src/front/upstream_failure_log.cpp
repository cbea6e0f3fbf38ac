#include "front/upstream_failure_log.hpp"

#include <utility>

namespace tinspan::front {
namespace {

constexpr net::Micros kFailureRetention{10'000'000};
constexpr net::Micros kReportInterval{1'000'000};

}  // namespace

void UpstreamFailureLog::ReportTo(ReportCallback on_report) { on_report_ = std::move(on_report); }

void UpstreamFailureLog::Add(net::Micros now, std::uint64_t server) {
  if (on_report_) failed_at_[server] = now;
}

void UpstreamFailureLog::EndRound(net::Micros now) {
  if (!on_report_ || now - reported_at_ < kReportInterval) return;
  reported_at_ = now;
  std::erase_if(failed_at_, [now](const auto& entry) { return now - entry.second > kFailureRetention; });
  std::vector<std::uint64_t> servers;
  servers.reserve(failed_at_.size());
  for (const auto& [server, failed_at] : failed_at_) servers.push_back(server);
  on_report_(std::move(servers));
}

}  // namespace tinspan::front
