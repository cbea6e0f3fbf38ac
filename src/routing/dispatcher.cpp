#include "routing/dispatcher.hpp"

#include <algorithm>

#include "routing/attempt_load.hpp"
#include "routing/time_units.hpp"

namespace tinspan {

constexpr double kLikelyProbability = 0.5;
constexpr double kLocalOverloadFactor = 1.5;  // multiple of the fair share of own requests
constexpr double kMinLocalOverload = 4;       // own requests; fewer never count as overload
constexpr std::uint8_t kFirstRank = 1;        // cache priority of a copy without recent requests
constexpr std::uint8_t kRepeatedRank = 2;     // cache priority of a copy with recent requests
constexpr Micros kMinCheckDelay{1'000};       // between checks of an attempt against its latency objective

bool IsFillLikely(const Attempt& attempt) { return attempt.fill_probability > kLikelyProbability; }
bool IsIngressLikely(const Attempt& attempt) { return attempt.ingress_probability > kLikelyProbability; }

bool Dispatcher::Dispatch(Request& request) {
  const std::vector<ServerIndex>& caches = request.cache_order;
  const auto try_any = [&](ServerIndex index) { return TrySend(request, index); };
  const auto try_preferred = [&](ServerIndex index) { return IsPreferred(request, index) && try_any(index); };
  const auto try_healthy = [&](ServerIndex index) { return IsHealthy(request, index) && try_any(index); };
  return std::ranges::any_of(caches, try_preferred) || std::ranges::any_of(caches, try_healthy) ||
         BypassCaches(request) || std::ranges::any_of(caches, try_any);
}

bool Dispatcher::WasTried(const Request& request, ServerIndex index) {
  return std::ranges::any_of(request.attempts, [&](const Attempt& attempt) {
    return attempt.server == index && attempt.sibling_summary == 0 && !attempt.was_reset;
  });
}

bool Dispatcher::IsPreferred(const Request& request, ServerIndex index) const {
  const Server& server = servers_[index];
  if (server.health.is_ejected && !state_.outliers.IsProbeDue(server)) return false;
  return !WasTried(request, index) && !IsOverloadedLocally(server);
}

bool Dispatcher::IsHealthy(const Request& request, ServerIndex index) const {
  return !servers_[index].health.is_ejected && !WasTried(request, index);
}

bool Dispatcher::IsOverloadedLocally(const Server& server) const {
  double in_flight = 0;
  double weight = 0;
  for (const ServerIndex index : servers_.Listed(Role::kCache)) {
    in_flight += servers_[index].load.in_flight;
    weight += servers_.Weight(servers_[index]);
  }
  const double limit = kLocalOverloadFactor * in_flight * servers_.Weight(server) / weight;
  return server.load.in_flight > std::max(kMinLocalOverload, limit);
}

bool Dispatcher::BypassCaches(Request& request) {
  const bool has_healthy_cache = std::ranges::any_of(request.cache_order, [&](ServerIndex index) {
    return IsHealthy(request, index) && state_.slow_start.HasBudget(servers_[index]);
  });
  if (!context_.settings.can_bypass_cache) return false;
  const auto send_to_first = [&](Role role) {
    return std::ranges::any_of(servers_.RendezvousOrder(role, request.event.object), [&](ServerIndex index) {
      return IsHealthy(request, index) && TrySend(request, index);
    });
  };
  const bool is_write = request.traffic_class.is_write;
  if (!is_write && send_to_first(Role::kParent)) return true;
  return (is_write || !has_healthy_cache) && send_to_first(Role::kOrigin);
}

bool Dispatcher::TrySend(Request& request, ServerIndex index) {
  Server& server = servers_[index];
  if (!state_.rules.CanAttempt(request, index) || !IsUsable(server)) return false;
  if (!state_.slow_start.HasBudget(server) || !CanReceive(server.role)) return false;
  Attempt attempt = PlanAttempt(request, index);
  if (!HasCapacityFor(request, attempt)) return false;
  PlanOriginUse(request, attempt);
  ReserveLoad(state_, attempt);
  state_.outliers.OnRequestSent(server);
  if (attempt.HasSource()) state_.outliers.OnRequestSent(servers_[attempt.source]);
  const SendAttempt action = MakeAction(request, attempt);
  if (action.cache_rank > 0 && server.counter) server.counter->Count(CopyKey(request.event));
  request.attempts.push_back(attempt);
  context_.Emit(action);
  ScheduleCheck(request, request.attempts.size() - 1);
  return true;
}

bool Dispatcher::CanReceive(Role role) const {
  return role == Role::kCache || (context_.settings.can_bypass_cache && role != Role::kRemoteCache);
}

Attempt Dispatcher::PlanAttempt(const Request& request, ServerIndex index) {
  Attempt attempt{.server = index, .source = index, .sent_at = context_.now};
  attempt.transfer_time = state_.costs.MeanTransferTime(request);
  attempt.own_summary = state_.sources.Summary(index, CopyKey(request.event));
  if (servers_[index].role != Role::kCache) {
    attempt.ingress_probability = 1;  // the response itself uses the link
    return attempt;
  }
  ChooseSource(request, attempt);
  if (!attempt.HasSource()) return attempt;
  const bool is_write = request.traffic_class.is_write;
  attempt.fill_probability = is_write ? 1 : 1 - state_.hits.cache_hits.At(attempt.own_summary).Value();
  if (servers_[attempt.source].role != Role::kCache) attempt.ingress_probability = attempt.fill_probability;
  return attempt;
}

void Dispatcher::ChooseSource(const Request& request, Attempt& attempt) {
  const bool is_home = !request.cache_order.empty() && attempt.server == request.cache_order.front();
  std::optional<SiblingChoice> sibling;
  if (is_home && !request.traffic_class.is_write && attempt.own_summary == 0 && !request.has_sibling_failed) {
    sibling = state_.sources.TopSibling(request, attempt.server);
  }
  attempt.sibling_summary = sibling ? sibling->summary : 0;
  attempt.source = sibling ? sibling->server : state_.sources.Upstream(request, attempt.server);
}

bool Dispatcher::HasCapacityFor(const Request& request, const Attempt& attempt) const {
  if (!state_.capacity.HasCapacity(servers_[attempt.server].load, request)) return false;
  const Server& source = servers_[attempt.source];
  if (IsFillLikely(attempt) && !state_.capacity.HasCapacity(source.load, request)) return false;
  return !IsIngressLikely(attempt) || state_.ingress.CanAccept(request);
}

void Dispatcher::PlanOriginUse(const Request& request, Attempt& attempt) {
  if (request.traffic_class.is_write || servers_[attempt.source].role != Role::kParent) return;
  attempt.origin = servers_.Origin();
  if (!attempt.origin) return;
  Server& origin = servers_[*attempt.origin];
  attempt.is_parent_cached_only = origin.health.is_ejected
                                      ? !state_.outliers.IsProbeDue(origin)
                                      : !state_.capacity.HasCapacity(origin.load, request);
  if (attempt.is_parent_cached_only) return;
  attempt.origin_probability = attempt.fill_probability * (1 - state_.hits.parent_hits.Value());
  state_.outliers.OnRequestSent(origin);
}

SendAttempt Dispatcher::MakeAction(const Request& request, const Attempt& attempt) const {
  const ClassSettings& traffic_class = request.traffic_class;
  const Server& server = servers_[attempt.server];
  const Server& source = servers_[attempt.source];
  SendAttempt action{.id = request.event.id, .server = server.endpoint.id, .source = source.endpoint.id};
  action.expires_at = request.deadline;
  action.max_age = MaxAge(request, attempt);
  if (traffic_class.is_write) return action;
  if (server.role == Role::kCache) action.cache_rank = attempt.own_summary > 0 ? kRepeatedRank : kFirstRank;
  action.source_cached_only = attempt.is_parent_cached_only;
  if (state_.purges.LatestPurge(request.event)) return action;
  action.join_fill = context_.settings.can_join_fill;  // not after a purge: a fill in progress may be older
  // Background revalidation is a fill that no outcome reports, so it is not used while the source is warming
  // up.
  const bool is_source_open = !attempt.is_parent_cached_only && !state_.slow_start.IsWarmingUp(source);
  action.revalidate = traffic_class.freshness_lifetime > Micros{0} && is_source_open;
  return action;
}

Micros Dispatcher::MaxAge(const Request& request, const Attempt& attempt) const {
  const ClassSettings& traffic_class = request.traffic_class;
  const Server& source = servers_[attempt.source];
  const bool is_source_ejected = source.health.is_ejected && source.role != Role::kCache;
  Micros max_age{0};
  if ((attempt.is_parent_cached_only || is_source_ejected) && traffic_class.stale_grace > Micros{0}) {
    max_age = traffic_class.freshness_lifetime + traffic_class.stale_grace;
  }
  const std::optional<Micros> purged_at = state_.purges.LatestPurge(request.event);
  if (!purged_at) return max_age;
  const Micros purge_limit =
      std::max(context_.now - *purged_at - context_.settings.event_interval, Micros{1});
  if (traffic_class.freshness_lifetime <= Micros{0}) return purge_limit;
  return std::min(purge_limit, max_age > Micros{0} ? max_age : traffic_class.freshness_lifetime);
}

void Dispatcher::ScheduleCheck(const Request& request, std::size_t attempt) {
  // A check that were due at once would be found due again by the loop that runs it, without end.
  const Micros delay = std::max(FromSeconds(state_.costs.LatencyObjective(request)), kMinCheckDelay);
  const Micros check_at = context_.now + delay;
  state_.schedule.Add(check_at, {TaskKind::kCheckAttempt, request.event.id, attempt});
}

}  // namespace tinspan
