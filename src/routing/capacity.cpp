#include "routing/capacity.hpp"

#include <algorithm>
#include <cmath>

#include "routing/slow_start_budget.hpp"

namespace tinspan {

constexpr double kInitialCacheCapacity = 16;  // of a cache, for all its instances together
constexpr double kFillShare = 0.15;           // of its caches' capacities, what a location's fills need
constexpr double kChanceMargin = 2;           // standard deviations of chance on top of an instance's part
constexpr double kMinCapacity = 20;           // of a server, for all its instances together
constexpr double kMinCapacityShare = 0.6;     // for requests that earn little for their sending time
constexpr double kMaxCapacityShare = 1.2;     // for those that earn much
constexpr double kGrowthFactor = 1.01;        // of a response in time: steady where one in six is late
constexpr double kLateHitFactor = 0.95;       // what a late response leaves of the capacity
constexpr double kLateFillFactor = 0.97;      // of fills from afar one in four is late in calm
constexpr double kRejectionFactor = 0.9;
constexpr double kLateRateWeight = 0.05;  // of a response

// The ingress link.
constexpr double kCongestionThreshold = 0.05;  // share of late fills
constexpr double kAbandonedFillWeight = 0.6;   // of a fill left during congestion, what runs on
constexpr double kMaxAbandonedShare = 0.4;     // of the capacity, what such fills take at most
constexpr Micros kReportLifetime{3'000'000};   // an older report says nothing of now
constexpr double kReportWeight = 0.3;          // of a new report among those before it
constexpr double kOpenUtilization = 0.8;       // below it no own load closes the link
constexpr double kOverfullUtilization = 2;     // above it that part of the fills less is accepted
constexpr double kMaxUtilization = 1000;       // no link holds so many times what fits

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
  return std::max(1 / kMinCapacityShare, part + kChanceMargin * std::sqrt(part));
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
  return capacity >= 1 || AdmissionDraw(request, load.draw_salt) < capacity;
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
  // Told to hold many times what fits, it takes few fills: the capacities that all its instances learn
  // together never get low enough.
  if (is_reported && AdmissionDraw(request, load_.draw_salt) * utilization_ > kOverfullUtilization)
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
  const double running_on = kAbandonedFillWeight * fill_probability;
  abandoned_fills_.Add(running_on, context_.now, WorkTimeConstant(context_.settings));
}

bool IngressLink::IsCongested() const { return load_.late_rate.Value() > kCongestionThreshold; }

}  // namespace tinspan
