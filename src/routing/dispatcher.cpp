#include "routing/dispatcher.hpp"

#include <algorithm>

#include "routing/time_units.hpp"

namespace tinspan {
namespace {

constexpr double kLikelyProbability = 0.5;
constexpr double kLocalOverloadFactor = 1.5;  // own requests at a cache over its fair part: overloaded
constexpr double kMinLocalOverload = 4;       // so few own requests are never too many
constexpr std::uint8_t kFirstRank = 1;        // to cache a copy that was not asked for lately
constexpr std::uint8_t kRepeatedRank = 2;

// Whether the request was sent there in vain: the work of an attempt that was reset may be done, and after a
// sibling's miss the cache may be filled from upstream.
bool WasTried(const Request& request, ServerIndex index) {
  return std::any_of(request.attempts.begin(), request.attempts.end(), [&](const Attempt& one) {
    return one.server == index && one.sibling_summary == 0 && !one.was_reset;
  });
}

}  // namespace

bool IsFillLikely(const Attempt& attempt) { return attempt.fill_probability > kLikelyProbability; }
bool IsIngressLikely(const Attempt& attempt) { return attempt.ingress_probability > kLikelyProbability; }

bool Dispatcher::Dispatch(Request& request) {
  return SendToPreferredCache(request) || SendToHealthyCache(request) || SendPastCaches(request) ||
         SendToAnyCache(request);
}

bool Dispatcher::SendToPreferredCache(Request& request) {
  for (const ServerIndex index : request.cache_order) {
    const Server& server = state_.servers[index];
    if (WasTried(request, index) || IsOverloadedLocally(server)) continue;
    if (server.health.is_ejected && !state_.outliers.IsProbeDue(server)) continue;
    if (TrySend(request, index)) return true;
  }
  return false;
}

bool Dispatcher::SendToHealthyCache(Request& request) {
  for (const ServerIndex index : request.cache_order) {
    if (WasTried(request, index) || state_.servers[index].health.is_ejected) continue;
    if (TrySend(request, index)) return true;
  }
  return false;
}

// To a parent, or to the origin: writes, and others only where no healthy cache is left, since local overload
// must not spill onto it.
bool Dispatcher::SendPastCaches(Request& request) {
  const bool has_healthy_cache = HasHealthyCache(request);
  if (!state_.context.settings.can_bypass_cache) return false;
  const bool is_write = state_.context.ClassOf(request.event).is_write;
  for (const Role role : {Role::kParent, Role::kOrigin}) {
    const bool is_open = role == Role::kParent ? !is_write : is_write || !has_healthy_cache;
    if (!is_open) continue;
    for (const ServerIndex index : state_.servers.RendezvousOrder(role, request.event.object)) {
      if (WasTried(request, index) || state_.servers[index].health.is_ejected) continue;
      if (TrySend(request, index)) return true;
    }
  }
  return false;
}

bool Dispatcher::SendToAnyCache(Request& request) {
  return std::any_of(request.cache_order.begin(), request.cache_order.end(),
                     [&](ServerIndex index) { return TrySend(request, index); });
}

bool Dispatcher::HasHealthyCache(const Request& request) {
  return std::any_of(request.cache_order.begin(), request.cache_order.end(), [&](ServerIndex index) {
    Server& server = state_.servers[index];
    return !WasTried(request, index) && !server.health.is_ejected && state_.slow_start.HasBudget(server);
  });
}

// Compares the own requests there with the fair part of all own requests at this location's caches.
bool Dispatcher::IsOverloadedLocally(const Server& server) const {
  double in_flight = 0;
  double weight = 0;
  for (const ServerIndex index : state_.servers.Listed(Role::kCache)) {
    in_flight += state_.servers[index].load.in_flight;
    weight += state_.servers.Weight(state_.servers[index]);
  }
  const double fair_part = kLocalOverloadFactor * in_flight * state_.servers.Weight(server) / weight;
  return server.load.in_flight > std::max(kMinLocalOverload, fair_part);
}

bool Dispatcher::TrySend(Request& request, ServerIndex index) {
  if (!state_.rules.CanAttempt(request, index) || !CanReceive(request, index)) return false;
  Attempt attempt = PlanAttempt(request, index);
  if (!HasCapacityFor(request, attempt)) return false;
  PlanOriginUse(request, attempt);
  Reserve(request, attempt);
  const SendAttempt action = MakeAction(request, attempt);
  Server& server = state_.servers[index];
  if (action.cache_rank > 0 && server.counter) server.counter->Count(CopyKey(request.event));
  request.attempts.push_back(attempt);
  state_.context.Emit(action);
  ScheduleCheck(request, request.attempts.size() - 1);
  return true;
}

bool Dispatcher::CanReceive(const Request& request, ServerIndex index) {
  Server& server = state_.servers[index];
  if (!IsUsable(server) || !state_.slow_start.HasBudget(server)) return false;
  if (server.role == Role::kCache) return true;
  return state_.context.settings.can_bypass_cache && server.role != Role::kRemoteCache;
}

Attempt Dispatcher::PlanAttempt(const Request& request, ServerIndex index) {
  const bool is_cache = state_.servers[index].role == Role::kCache;
  Attempt attempt{.server = index, .source = index, .sent_at = state_.context.now};
  attempt.own_summary = state_.sources.Summary(index, CopyKey(request.event));
  if (is_cache) ChooseSource(request, attempt);
  if (attempt.HasSource()) {
    const bool is_write = state_.context.ClassOf(request.event).is_write;
    attempt.fill_probability = is_write ? 1 : 1 - state_.hits.cache_hits.At(attempt.own_summary).Value();
  }
  const bool is_local_source = state_.servers[attempt.source].role == Role::kCache;
  attempt.ingress_probability = is_local_source ? 0 : attempt.fill_probability;
  if (!is_cache) attempt.ingress_probability = 1;  // the answer itself comes over the link
  return attempt;
}

// A sibling is asked once, and only by the home cache for a copy that it has not been asked for lately.
void Dispatcher::ChooseSource(const Request& request, Attempt& attempt) {
  const bool is_home = !request.cache_order.empty() && attempt.server == request.cache_order.front();
  const bool is_write = state_.context.ClassOf(request.event).is_write;
  std::optional<SiblingChoice> sibling;
  if (is_home && !is_write && attempt.own_summary == 0 && !request.has_sibling_failed) {
    sibling = state_.sources.TopSibling(request, attempt.server);
  }
  attempt.sibling_summary = sibling ? sibling->summary : 0;
  attempt.source = sibling ? sibling->server : state_.sources.Upstream(request, attempt.server);
}

bool Dispatcher::HasCapacityFor(const Request& request, const Attempt& attempt) const {
  if (!state_.capacity.HasCapacity(state_.servers[attempt.server], request)) return false;
  const Server& source = state_.servers[attempt.source];
  if (IsFillLikely(attempt) && !state_.capacity.HasCapacity(source, request)) return false;
  return !IsIngressLikely(attempt) || state_.ingress.CanAccept(request);
}

// An origin that is ejected or has no capacity is protected: parents give only what they have cached, misses
// are given up at once, stale copies serve; single requests probe the origin. Guards against slow, failing
// and overloaded origins alike; does harm if the origin is blamed for what a parent does.
void Dispatcher::PlanOriginUse(const Request& request, Attempt& attempt) {
  const bool is_write = state_.context.ClassOf(request.event).is_write;
  if (is_write || state_.servers[attempt.source].role != Role::kParent) return;
  attempt.origin = state_.servers.Origin();
  if (!attempt.origin) return;
  Server& origin = state_.servers[*attempt.origin];
  attempt.is_parent_cached_only = origin.health.is_ejected ? !state_.outliers.IsProbeDue(origin)
                                                           : !state_.capacity.HasCapacity(origin, request);
  if (attempt.is_parent_cached_only) return;
  attempt.origin_probability = attempt.fill_probability * (1 - state_.hits.parent_hits.Value());
  origin.load.expected_fills += attempt.origin_probability;
  state_.outliers.OnRequestSent(origin);
}

void Dispatcher::Reserve(const Request& request, Attempt& attempt) {
  const double transfer_time = state_.costs.MeanTransferTime(request);
  Server& server = state_.servers[attempt.server];
  Server& source = state_.servers[attempt.source];
  SlowStartBudget::Charge(server, transfer_time);
  state_.outliers.OnRequestSent(server);
  if (attempt.HasSource()) {
    SlowStartBudget::Charge(source, transfer_time);
    attempt.source_charge = transfer_time;
    state_.outliers.OnRequestSent(source);
  }
  ++server.load.in_flight;
  source.load.expected_fills += attempt.fill_probability;
  state_.ingress.Reserve(attempt.ingress_probability);
}

void Dispatcher::Release(const Attempt& attempt) {
  --state_.servers[attempt.server].load.in_flight;
  double& expected_fills = state_.servers[attempt.source].load.expected_fills;
  expected_fills = std::max(0.0, expected_fills - attempt.fill_probability);
  state_.ingress.Release(attempt.ingress_probability);
  if (attempt.origin) state_.servers[*attempt.origin].load.expected_fills -= attempt.origin_probability;
}

SendAttempt Dispatcher::MakeAction(const Request& request, const Attempt& attempt) const {
  const Context& context = state_.context;
  const ClassSettings& traffic_class = context.ClassOf(request.event);
  const Server& server = state_.servers[attempt.server];
  const Server& source = state_.servers[attempt.source];
  SendAttempt action{.id = request.event.id,
                     .server = server.endpoint.id,
                     .source = source.endpoint.id,
                     .expires_at = request.deadline,
                     .max_age = MaxAge(request, attempt)};
  if (traffic_class.is_write) return action;
  if (server.role == Role::kCache) action.cache_rank = attempt.own_summary > 0 ? kRepeatedRank : kFirstRank;
  // A fill under way may have begun before a purge.
  const bool is_purged = state_.purges.LatestPurge(request.event).has_value();
  action.join_fill = context.settings.can_join_fill && !is_purged;
  action.source_cached_only = attempt.is_parent_cached_only;
  // Revalidation behind a hit is a fill that no outcome tells of: none at a source that is warming up.
  action.revalidate = traffic_class.freshness_lifetime > Micros{0} && !is_purged &&
                      !attempt.is_parent_cached_only && !state_.slow_start.IsWarmingUp(source);
  return action;
}

// The oldest copy that will do; 0: the class's own limit. Stale copies are better than none where the source
// is in trouble; no copy may be as old as the latest purge.
Micros Dispatcher::MaxAge(const Request& request, const Attempt& attempt) const {
  const ClassSettings& traffic_class = state_.context.ClassOf(request.event);
  const Server& source = state_.servers[attempt.source];
  const bool is_source_ejected = source.health.is_ejected && source.role != Role::kCache;
  Micros max_age{0};
  if ((attempt.is_parent_cached_only || is_source_ejected) && traffic_class.stale_grace > Micros{0}) {
    max_age = traffic_class.freshness_lifetime + traffic_class.stale_grace;
  }
  const std::optional<Micros> purged_at = state_.purges.LatestPurge(request.event);
  if (!purged_at) return max_age;
  const Micros since_purge = state_.context.now - *purged_at - state_.context.settings.event_interval;
  const Micros purge_limit = std::max(since_purge, Micros{1});
  if (traffic_class.freshness_lifetime <= Micros{0}) return purge_limit;
  return std::min(purge_limit, max_age > Micros{0} ? max_age : traffic_class.freshness_lifetime);
}

void Dispatcher::ScheduleCheck(const Request& request, std::size_t attempt) {
  const Micros objective = FromSeconds(state_.costs.LatencyObjective(request));
  state_.schedule.Add(state_.context.now + objective,
                      {.kind = TaskKind::kCheckAttempt, .request = request.event.id, .attempt = attempt});
}

}  // namespace tinspan
