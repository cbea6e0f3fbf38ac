#include "routing/capacity_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace tinspan {
namespace {

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

double ReductionFactor(ResponseKind kind) {
  if (kind == ResponseKind::kRejection) return kRejectionFactor;
  return kind == ResponseKind::kFill ? kLateFillFactor : kLateHitFactor;
}

}  // namespace

double AdmissionDraw(const Request& request, std::uint64_t salt) {
  return ToUnitInterval(MixHash(ToNumber(request.event.id), salt));
}

void CapacityEstimator::InitializeCapacities() {
  const std::size_t caches =
      servers_.Listed(Role::kCache).size() + servers_.Listed(Role::kRemoteCache).size();
  for (Server& server : servers_.All()) {
    if (!IsUsable(server) || server.load.capacity > 0) continue;
    const std::size_t peers = servers_.Listed(server.role).size();
    server.load.capacity = server.role == Role::kCache
                               ? InitialCapacity(1, Senders::kOwnZone)
                               : InitialFillCapacity(caches, peers, Senders::kAllZones);
  }
}

double CapacityEstimator::InitialFillCapacity(std::size_t cache_count, std::size_t source_count,
                                              Senders senders) const {
  const double fills = kFillShare * static_cast<double>(cache_count);
  return InitialCapacity(fills / static_cast<double>(source_count), senders);
}

double CapacityEstimator::InitialCapacity(double cache_count, Senders senders) const {
  const double part = kInitialCacheCapacity * cache_count / servers_.InstanceCount(senders);
  return std::max(1 / kMinCapacityShare, part + kChanceMargin * std::sqrt(part));
}

void CapacityEstimator::RecordResponse(Load& load, bool is_late, ResponseKind kind) const {
  load.late_rate.Add(is_late ? 1.0 : 0.0);
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

bool CapacityEstimator::HasCapacity(const Load& load, std::uint64_t salt, const Request& request,
                                    double extra) const {
  const double capacity = load.capacity * CapacityShare(request);
  if (load.in_flight + load.expected_fills + extra >= capacity) return false;
  return capacity >= 1 || AdmissionDraw(request, salt) < capacity;
}

double CapacityEstimator::CapacityShare(const Request& request) const {
  const double share =
      kMinCapacityShare + (1 - kMinCapacityShare) * costs_.ValueDensity(request) / costs_.MeanValueDensity();
  return std::clamp(share, kMinCapacityShare, kMaxCapacityShare);
}

}  // namespace tinspan
