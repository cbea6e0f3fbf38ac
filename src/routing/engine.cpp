// Implements the event handlers of a Router. The interface is include/tinspan/router.hpp; read it first.
#include "routing/engine.hpp"

#include <algorithm>

#include "routing/attempt_load.hpp"
#include "routing/settings_validation.hpp"
#include "routing/time_units.hpp"

namespace tinspan {

constexpr double kMaxLateAttemptRate = 0.1;  // above this, lateness is no evidence against a single server
constexpr int kResubscribeDelay = 8;         // in connect timeouts, after the endpoint watch failed

Router::Engine::Engine(const Settings& settings, Micros now, Actions& out) : state_(Validated(settings)) {
  BeginEvent(now, out);
  context_.started_at = context_.now;
  if (settings.discovery == Discovery::kPolled) context_.Emit(Subscribe{});
}

void Router::Engine::UpdateSettings(const Settings& settings) {
  context_.settings = Validated(settings);
  state_.costs.OnSettingsChanged();
}

void Router::Engine::BeginEvent(Micros now, Actions& out) {
  context_.now = std::max(context_.now, now);
  context_.actions = &out;
  state_.purges.RemoveExpired();
}

void Router::Engine::Handle(const EndpointsEvent& event) {
  if (event.kind == EndpointsEvent::Kind::kWatchBroken) {
    const Micros subscribe_at = context_.now + kResubscribeDelay * context_.settings.connect_timeout;
    return state_.schedule.Add(subscribe_at, {.kind = TaskKind::kResubscribe});
  }
  state_.servers.Apply(event);
  state_.capacity.InitializeCapacities();
  state_.ingress.InitializeCapacity(state_.servers.Listed(Role::kCache).size());
}

void Router::Engine::Handle(const RequestEvent& event) {
  if (requests_.Find(event.id) != nullptr) return;  // duplicate id: a caller error, ignored
  if (ToNumber(event.class_id) >= context_.settings.classes.size()) return context_.Emit(Fail{event.id});
  state_.schedule.Prune([this](RequestId id) { return requests_.Find(id) != nullptr; });
  Request& request = requests_.Add(event);
  const bool is_later_part = request.traffic_class.has_parts && event.part > 0;
  const ObjectId hashed_id = is_later_part ? ObjectId{CopyKey(event)} : event.object;
  request.cache_order = state_.servers.RendezvousOrder(Role::kCache, hashed_id);
  state_.costs.RecordRequest(request);
  state_.retries.OnRequest();
  state_.slow_start.UpdateWarmWorkRate(Role::kCache);
  state_.slow_start.UpdateWarmWorkRate(Role::kParent);
  state_.schedule.Add(request.deadline, {TaskKind::kRequestDeadline, event.id});
  if (!dispatcher_.Dispatch(request)) Abandon(request);
  RemoveIfEnded(event.id);
}

void Router::Engine::Handle(const OutcomeEvent& event) {
  Request* request = requests_.Find(event.id);
  if (request == nullptr || event.attempt >= request->attempts.size()) return;
  Attempt& attempt = request->attempts[event.attempt];
  if (!std::exchange(attempt.is_in_flight, false)) return;
  attempt.was_reset = event.outcome == Outcome::kReset;
  ReleaseLoad(state_, attempt);
  recorder_.Record(*request, attempt, event);
  attempt.has_error = event.outcome == Outcome::kError && event.note == FillNote::kNone;
  request->was_served = event.outcome == Outcome::kServed;
  if (event.is_finished || request->was_served) request->is_ended = true;
  if (!ProvesNotExecuted(event.outcome) && !request->first_executed) request->first_executed = event.attempt;
  if (!request->is_ended && request->InFlightCount() == 0) {
    const bool is_over = context_.now >= request->deadline || IsRetryFutile(*request, attempt, event);
    is_over ? Abandon(*request) : Retry(*request);
  }
  RemoveIfEnded(event.id);
}

bool Router::Engine::IsRetryFutile(const Request& request, const Attempt& attempt,
                                   const OutcomeEvent& event) {
  if (event.note == FillNote::kOriginFailed || AttemptRules::IsRequestAtFault(request)) return true;
  return attempt.is_parent_cached_only && event.outcome == Outcome::kMiss;
}

void Router::Engine::Handle(const ResponseStartedEvent& event) {
  if (Request* request = requests_.Find(event.id)) request->is_streaming = true;
}

void Router::Engine::Handle(const ClientDisconnectedEvent& event) {
  Request* request = requests_.Find(event.id);
  if (request == nullptr) return;
  request->is_ended = true;
  if (context_.settings.can_cancel) requests_.CancelAll(*request);
  RemoveIfEnded(event.id);
}

void Router::Engine::Handle(const TimerEvent&) {
  state_.schedule.OnTimer();
  while (const std::optional<Task> task = state_.schedule.PopDue()) Execute(*task);
  state_.schedule.SetNextTimer();
}

void Router::Engine::Handle(const PurgeEvent& event) { state_.purges.Record(event); }

void Router::Engine::Execute(const Task& task) {
  if (task.kind == TaskKind::kResubscribe) return context_.Emit(Subscribe{});
  Request* request = requests_.Find(task.request);
  if (request == nullptr) return;
  if (task.kind == TaskKind::kRemoveRequest) {
    ReleaseAllLoad(state_, *request);
    return requests_.Remove(task.request);
  }
  if (task.kind == TaskKind::kRequestDeadline) OnDeadline(*request);
  if (task.kind == TaskKind::kCheckAttempt) CheckAttempt(*request, task.attempt);
  RemoveIfEnded(task.request);
}

void Router::Engine::OnDeadline(Request& request) {
  if (request.is_streaming) return;
  Abandon(request);
  const Micros remove_at = context_.now + request.traffic_class.deadline;
  state_.schedule.Add(remove_at, {TaskKind::kRemoveRequest, request.event.id});
}

void Router::Engine::CheckAttempt(Request& request, std::size_t index) {
  Attempt& attempt = request.attempts[index];
  if (!attempt.is_in_flight || attempt.is_cancelled || request.is_ended || request.is_streaming) return;
  const bool was_unresponsive = recorder_.IsUnresponsive(attempt);
  recorder_.RecordLate(attempt);
  if (!ShouldCancelLateAttempt(request, attempt, was_unresponsive))
    return dispatcher_.ScheduleCheck(request, index);
  requests_.Cancel(request, index);
  if (context_.settings.can_hedge) Retry(request);
}

bool Router::Engine::ShouldCancelLateAttempt(const Request& request, const Attempt& attempt,
                                             bool was_unresponsive) const {
  const bool can_repeat = request.traffic_class.effect != Effect::kNonIdempotent;
  if (!can_repeat || !context_.settings.can_cancel || !state_.retries.HasToken()) return false;
  if (was_unresponsive && state_.late_attempt_rate.Value() < kMaxLateAttemptRate) return true;
  return state_.servers[attempt.server].health.is_ejected || state_.servers[attempt.source].health.is_ejected;
}

void Router::Engine::Retry(Request& request) {
  const double time_left = ToSeconds(request.deadline - context_.now);
  if (!state_.retries.HasToken() || time_left < state_.costs.TransferTime(request)) return Abandon(request);
  state_.retries.SpendToken();
  if (!dispatcher_.Dispatch(request) && request.InFlightCount() == 0) Abandon(request);
}

void Router::Engine::Abandon(Request& request) {
  if (std::exchange(request.is_ended, true)) return;
  const Settings& settings = context_.settings;
  if (AttemptRules::CanReject(request)) {
    const Micros retry_after = settings.has_retry_after ? settings.max_retry_after : Micros{0};
    context_.Emit(Reject{request.event.id, retry_after});
  } else {
    context_.Emit(Fail{request.event.id});
  }
  if (settings.can_cancel) requests_.CancelAll(request);
}

void Router::Engine::RemoveIfEnded(RequestId request_id) {
  const Request* request = requests_.Find(request_id);
  if (request == nullptr || !request->is_ended || request->InFlightCount() > 0) return;
  recorder_.AttributeErrors(*request);
  requests_.Remove(request_id);
}

}  // namespace tinspan
