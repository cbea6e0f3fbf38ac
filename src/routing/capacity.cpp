#include "routing/capacity.hpp"

#include <algorithm>
#include <cmath>

#include "routing/slow_start_budget.hpp"

namespace tinspan {

constexpr double kInitialCacheCapacity = 16;  // requests at one cache, all instances together
constexpr double kFillShare = 0.15;  // share of the caches' capacities that the fills of a location need
constexpr double kMarginStandardDeviations = 2;  // margin on top of an instance's expected share
constexpr double kMinCapacity = 20;              // lower limit per server, all instances together
constexpr double kMinCapacityShare = 0.6;        // for requests with the lowest value density
constexpr double kMaxCapacityShare = 1.2;        // for requests with the highest value density
constexpr double kGrowthFactor = 1.01;    // per response in time; stable if one response in six is late
constexpr double kLateHitFactor = 0.95;   // per late hit
constexpr double kLateFillFactor = 0.97;  // per late fill; without congestion one remote fill in four is late
constexpr double kRejectionFactor = 0.9;  // per rejection
constexpr double kLateRateWeight = 0.05;  // weight of one response

// The ingress link.
constexpr double kCongestionThreshold = 0.05;  // share of late fills
constexpr double kAbandonedFillWeight = 0.6;   // share of fills abandoned in congestion that still run
constexpr double kMaxAbandonedShare = 0.4;     // of the capacity, for all abandoned fills together
constexpr Micros kReportLifetime{3'000'000};   // older reports are ignored
constexpr double kReportWeight = 0.3;          // weight of a new report in the smoothed utilization
constexpr double kOpenUtilization = 0.8;       // below this, fills are accepted regardless of the own load
constexpr double kOverloadUtilization = 2;     // above this, only a share of 2 / utilization is accepted
constexpr double kMaxUtilization = 1000;       // higher values are impossible and ignored

static double ReductionFactor(ResponseKind kind) {
  if (kind == ResponseKind::kRejection) return kRejectionFactor;
  return kind == ResponseKind::kFill ? kLateFillFactor : kLateHitFactor;
}

double AdmissionDraw(const Request& request, std::uint64_t salt) {
  return ToUnitInterval(MixHash(ToNumber(request.event.id), salt));
}

void CapacityEstimator::InitializeCapacities() {
  const std::size_t caches =
      servers_.Listed(Role::kCache).size() + servers_.Listed(Role::kRemoteCache).size();
  for (Server& server : servers_.All()) {
    if (!IsUsable(server) || server.load.capacity > 0) continue;
    const std::size_t peers = servers_.Listed(server.role).size();
    server.load.capacity = server.role == Role::kCache ? InitialCapacity(1, Senders::kOwnZone)
                                                       : FirstFillCapacity(caches, peers, Senders::kAllZones);
  }
}

double CapacityEstimator::FirstFillCapacity(std::size_t caches, std::size_t sources, Senders senders) const {
  const double fills = kFillShare * static_cast<double>(caches);
  return InitialCapacity(fills / static_cast<double>(sources), senders);
}

double CapacityEstimator::InitialCapacity(double cache_count, Senders senders) const {
  const double part = kInitialCacheCapacity * cache_count / servers_.InstanceCount(senders);
  return std::max(1 / kMinCapacityShare, part + kMarginStandardDeviations * std::sqrt(part));
}

void CapacityEstimator::RecordResponse(Load& load, bool is_late, ResponseKind kind) const {
  load.late_rate.Add(is_late ? 1.0 : 0.0, kLateRateWeight);
  if (is_late) {
    Reduce(load, kind);
  } else if (load.in_flight + load.expected_fills + 1 > load.capacity / 2) {
    load.capacity *= kGrowthFactor;
  }
}

void CapacityEstimator::Reduce(Load& load, ResponseKind kind) const {
  const double min_capacity = std::min(1.0, kMinCapacity / servers_.InstanceCount(load.senders));
  load.capacity = std::max(min_capacity, load.capacity * ReductionFactor(kind));
}

bool CapacityEstimator::HasCapacity(const Load& load, const Request& request, double extra) const {
  const double capacity = load.capacity * CapacityShare(request);
  if (load.in_flight + load.expected_fills + extra >= capacity) return false;
  return capacity >= 1 || AdmissionDraw(request, load.admission_salt) < capacity;
}

double CapacityEstimator::CapacityShare(const Request& request) const {
  const double value = (1 - kMinCapacityShare) * costs_.ValueDensity(request) / costs_.MeanValueDensity();
  return std::clamp(kMinCapacityShare + value, kMinCapacityShare, kMaxCapacityShare);
}

void IngressLink::InitializeCapacity(std::size_t cache_count) {
  if (load_.capacity != 0 || cache_count == 0) return;
  load_.capacity = capacity_.FirstFillCapacity(cache_count, 1, Senders::kOwnZone);
}

bool IngressLink::CanAccept(const Request& request) const {
  const bool is_reported = HasRecentReport();
  if (is_reported && utilization_ < kOpenUtilization) return true;
  // A link with a reported overload accepts only a few fills: the capacities that its instances estimate, in
  // sum, never become low enough.
  if (is_reported && AdmissionDraw(request, load_.admission_salt) * utilization_ > kOverloadUtilization)
    return false;
  const double abandoned = abandoned_fills_.Value(context_.now, WorkTimeConstant(context_.settings));
  return capacity_.HasCapacity(load_, request, abandoned);
}

bool IngressLink::HasRecentReport() const { return context_.now - reported_at_ < kReportLifetime; }

void IngressLink::RecordReport(const LoadReport& report) {
  const double utilization = report.link_utilization.value_or(-1);
  if (!(utilization >= 0 && utilization <= kMaxUtilization)) return;
  utilization_ += (HasRecentReport() ? kReportWeight : 1) * (utilization - utilization_);
  reported_at_ = context_.now;
}

void IngressLink::RecordAbandonedFill(double fill_probability) {
  const double abandoned = abandoned_fills_.Value(context_.now, WorkTimeConstant(context_.settings));
  if (!IsCongested() || abandoned >= kMaxAbandonedShare * load_.capacity) return;
  const double still_running = kAbandonedFillWeight * fill_probability;
  abandoned_fills_.Add(still_running, context_.now, WorkTimeConstant(context_.settings));
}

bool IngressLink::IsCongested() const { return load_.late_rate.Value() > kCongestionThreshold; }

}  // namespace tinspan
