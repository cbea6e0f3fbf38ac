#include "routing/slow_start_budget.hpp"

#include <algorithm>
#include <cmath>

#include "routing/time_units.hpp"

namespace tinspan {

constexpr double kOverloadLimitShare = 0.5;  // of the overload limit, for all instances together
constexpr double kBurstShare = 0.25;  // of the budget of one overload window, the most that can accumulate
constexpr double kRoughCapacityShare = 0.7;          // of an approximate capacity, the part that is relied on
constexpr double kWarmRateWeight = 0.05;             // weight of the current rate of a warm server
constexpr double kOverloadWindowsRemembered = 4;     // so that work does not decay much within one window
constexpr double kMinOverloadWindow = 0.5;           // seconds; shorter windows contain too few requests
constexpr double kMinWarmUpTime = 1e-3;              // seconds; avoids a division by 0
constexpr double kGoldenRatio = 0.6180339887498949;  // its multiples modulo 1 are evenly spread

double WorkTimeConstant(const Settings& settings) {
  return kOverloadWindowsRemembered * std::max(ToSeconds(settings.overload_window), kMinOverloadWindow);
}

SlowStartBudget::Limits SlowStartBudget::LimitsOf(const Server& server) const {
  const Settings& settings = context_.settings;
  if (server.role == Role::kParent) {
    return {settings.parent_initial_capacity_share, settings.parent_warm_up_time,
            settings.parent_overload_multiple};
  }
  return {settings.initial_capacity_share, settings.warm_up_time, settings.overload_multiple};
}

double SlowStartBudget::CapacityShare(const Server& server) const {
  if (server.role == Role::kOrigin || server.endpoint.started_at <= Micros{0}) return 1;
  const Limits limits = LimitsOf(server);
  const double initial = limits.initial_capacity_share;
  const double warm_up_time = std::max(ToSeconds(limits.warm_up_time), kMinWarmUpTime);
  const double uptime = ToSeconds(context_.now - server.endpoint.started_at);
  return std::min(1.0, initial + (1 - initial) * uptime / warm_up_time);
}

double SlowStartBudget::OwnCapacityQuota(const Server& server) const {
  const double advertised = servers_.AdvertisedCapacity(server);
  if (advertised <= 0) return WarmWorkRate(server.role).Value();
  const bool is_rough = context_.settings.weight_meaning == WeightMeaning::kRough;
  const Senders senders = server.role == Role::kCache ? Senders::kOwnZone : Senders::kAllZones;
  return (is_rough ? kRoughCapacityShare : 1.0) * advertised / servers_.InstanceCount(senders);
}

void SlowStartBudget::UpdateWarmWorkRate(Role role) {
  const double time_constant = WorkTimeConstant(context_.settings);
  double rate = 0;
  int warm_servers = 0;
  for (const ServerIndex index : servers_.Listed(role)) {
    const Server& server = servers_[index];
    if (IsWarmingUp(server) || server.health.is_ejected) continue;
    rate += server.recent_work.Value(context_.now, time_constant) / time_constant;
    ++warm_servers;
  }
  if (warm_servers > 0) WarmWorkRate(role).Add(rate / warm_servers, kWarmRateWeight);
}

void SlowStartBudget::InitializeBudget(Server& server) const {
  const Micros accrues_from = std::max(server.endpoint.started_at, context_.started_at);
  if (server.slow_start.updated_at >= accrues_from) return;
  const double instance_offset = kGoldenRatio * (context_.settings.instance_index + 1.0);
  const double offset = instance_offset + ToUnitInterval(MixHash(ToNumber(server.endpoint.id), 0));
  server.slow_start.budget = -(offset - std::floor(offset)) * costs_.MaxMeanTransferTime();
  server.slow_start.updated_at = accrues_from;
}

bool SlowStartBudget::HasBudget(Server& server) {
  if (!IsWarmingUp(server)) return true;
  InitializeBudget(server);
  SlowStart& slow_start = server.slow_start;
  const double overload_share = std::min(1.0, kOverloadLimitShare * LimitsOf(server).overload_multiple);
  const double rate = overload_share * CapacityShare(server) * OwnCapacityQuota(server);
  const double burst = kBurstShare * rate * ToSeconds(context_.settings.overload_window);
  slow_start.budget += rate * ToSeconds(context_.now - slow_start.updated_at);
  slow_start.budget = std::min(slow_start.budget, burst);
  slow_start.updated_at = context_.now;
  return slow_start.budget > 0;
}

}  // namespace tinspan
