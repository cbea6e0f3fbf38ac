// Handles the events of a Router. The interface is include/tinspan/router.hpp; read it first.
#include "routing/engine.hpp"

#include <algorithm>

#include "routing/settings_validation.hpp"
#include "routing/time_units.hpp"

namespace tinspan {
namespace {

constexpr double kMaxLateAttemptRate = 0.1;  // above it, being late says nothing against a single server
constexpr int kResubscribeDelay = 8;         // in connect timeouts, after the endpoint watch broke

const Settings& Validated(const Settings& settings) {
  ValidateSettings(settings);
  return settings;
}

}  // namespace

Router::Engine::Engine(const Settings& settings) : state_(Validated(settings)) {}

void Router::Engine::Start(Micros now, Actions& out) {
  BeginEvent(now, out);
  state_.context.started_at = state_.context.now;
  if (state_.context.settings.discovery == Discovery::kPolled) state_.context.Emit(Subscribe{});
}

void Router::Engine::Retune(const Settings& settings) {
  state_.context.settings = Validated(settings);
  state_.costs.OnSettingsChanged();
}

void Router::Engine::BeginEvent(Micros now, Actions& out) {
  state_.context.now = std::max(state_.context.now, now);
  state_.context.actions = &out;
  state_.purges.RemoveExpired();
}

void Router::Engine::Handle(const EndpointsEvent& event) {
  if (event.kind == EndpointsEvent::Kind::kWatchBroken) {
    const Micros delay = kResubscribeDelay * state_.context.settings.connect_timeout;
    return state_.schedule.Add(state_.context.now + delay, {.kind = TaskKind::kResubscribe});
  }
  state_.servers.Apply(event);
  state_.capacity.InitializeCapacities();
  state_.ingress.InitializeCapacity(state_.servers.Listed(Role::kCache).size());
}

void Router::Engine::Handle(const RequestEvent& event) {
  if (Find(event.id) != nullptr) return;  // a caller's mistake
  if (ToNumber(event.class_id) >= state_.context.settings.classes.size()) {
    return state_.context.Emit(Fail{event.id});
  }
  Request& request = Open(event);
  state_.costs.RecordRequest(request);
  state_.retries.OnRequest();
  state_.slow_start.UpdateWarmWorkRate(Role::kCache);
  state_.slow_start.UpdateWarmWorkRate(Role::kParent);
  state_.schedule.Add(request.deadline, {.kind = TaskKind::kRequestDeadline, .request = event.id});
  if (!dispatcher_.Dispatch(request)) Abandon(request);
  RemoveIfEnded(event.id);
}

Request& Router::Engine::Open(const RequestEvent& event) {
  const Settings& settings = state_.context.settings;
  Request& request = requests_[ToNumber(event.id)];
  request.event = event;
  request.max_attempts = settings.max_attempts;
  request.deadline = state_.context.now + std::max(event.time_left, Micros{0}) - settings.event_interval;
  // Departure from the design, in classes with parts only: the cache is hashed by object and part, so that a
  // client's train of parts does not clump at one cache. The parent stays hashed by the object.
  const bool is_later_part = state_.context.ClassOf(event).has_parts && event.part > 0;
  const ObjectId hashed_as = is_later_part ? ObjectId{CopyKey(event)} : event.object;
  request.cache_order = state_.servers.RendezvousOrder(Role::kCache, hashed_as);
  return request;
}

void Router::Engine::Handle(const OutcomeEvent& event) {
  Request* request = Find(event.id);
  if (request == nullptr || event.attempt >= request->attempts.size()) return;
  Attempt& attempt = request->attempts[event.attempt];
  if (!attempt.is_in_flight) return;
  attempt.is_in_flight = false;
  attempt.was_reset = event.outcome == Outcome::kReset;
  dispatcher_.Release(attempt);
  recorder_.Record(*request, attempt, event);
  attempt.has_error = event.outcome == Outcome::kError && event.note == FillNote::kNone;
  request->was_served = event.outcome == Outcome::kServed;
  if (event.is_finished || request->was_served) request->is_ended = true;
  if (!ProvesNotExecuted(event.outcome) && !request->first_executed) request->first_executed = event.attempt;
  if (!request->is_ended && request->InFlightCount() == 0) {
    const bool is_copy_missing = attempt.is_parent_cached_only && event.outcome == Outcome::kMiss;
    const bool is_hopeless =
        event.note == FillNote::kOriginFailed || is_copy_missing || AttemptRules::IsRequestAtFault(*request);
    const bool is_over = state_.context.now >= request->deadline || is_hopeless;
    is_over ? Abandon(*request) : Retry(*request);
  }
  RemoveIfEnded(event.id);
}

void Router::Engine::Handle(const ResponseStartedEvent& event) {
  if (Request* request = Find(event.id)) request->is_streaming = true;
}

void Router::Engine::Handle(const ClientDisconnectedEvent& event) {
  Request* request = Find(event.id);
  if (request == nullptr) return;
  request->is_ended = true;
  CancelAll(*request);
  RemoveIfEnded(event.id);
}

void Router::Engine::Handle(const TimerEvent&) {
  state_.schedule.OnTimer();
  while (const std::optional<Task> task = state_.schedule.PopDue()) Execute(*task);
  state_.schedule.SetNextTimer();
}

void Router::Engine::Handle(const PurgeEvent& event) { state_.purges.Record(event); }

void Router::Engine::Execute(const Task& task) {
  if (task.kind == TaskKind::kResubscribe) return state_.context.Emit(Subscribe{});
  Request* request = Find(task.request);
  if (request == nullptr) return;
  if (task.kind == TaskKind::kRemoveRequest) return RemoveUnfinished(*request);
  if (task.kind == TaskKind::kRequestDeadline) {
    OnDeadline(*request);
  } else {
    CheckAttempt(*request, task.attempt);
  }
  RemoveIfEnded(task.request);
}

// Outcomes always come; should the caller lose one, the request is not kept for ever.
void Router::Engine::OnDeadline(Request& request) {
  if (request.is_streaming) return;
  Abandon(request);
  const Micros removed_at = state_.context.now + state_.context.ClassOf(request.event).deadline;
  state_.schedule.Add(removed_at, {.kind = TaskKind::kRemoveRequest, .request = request.event.id});
}

void Router::Engine::RemoveUnfinished(const Request& request) {
  for (const Attempt& attempt : request.attempts) {
    if (attempt.is_in_flight) dispatcher_.Release(attempt);
  }
  requests_.erase(ToNumber(request.event.id));
}

// An attempt is looked at once its latency objective is past (sooner accuses servers wrongly), then after
// each further objective.
void Router::Engine::CheckAttempt(Request& request, std::size_t index) {
  Attempt& attempt = request.attempts[index];
  if (!attempt.is_in_flight || attempt.is_cancelled || request.is_ended || request.is_streaming) return;
  const bool was_silent = recorder_.IsSilent(attempt);
  recorder_.RecordOverdue(attempt);
  if (!ShouldMove(request, attempt, was_silent)) return dispatcher_.ScheduleCheck(request, index);
  Cancel(request, index);
  if (state_.context.settings.can_hedge) Retry(request);
}

// Only where its server or source looks dead. Where many attempts are late, what all wait for is slow (a
// flush, congestion): moved, an attempt would only be asked for once more; its server must be ejected first.
bool Router::Engine::ShouldMove(const Request& request, const Attempt& attempt, bool was_silent) const {
  const bool is_idempotent = state_.context.ClassOf(request.event).effect != Effect::kNonIdempotent;
  if (!is_idempotent || !state_.context.settings.can_cancel || !state_.retries.HasToken()) return false;
  const bool is_outlier = state_.servers[attempt.server].health.is_ejected;
  const bool is_source_outlier = state_.servers[attempt.source].health.is_ejected;
  const bool few_are_late = state_.late_attempts.Value() < kMaxLateAttemptRate;
  return (was_silent && few_are_late) || is_outlier || is_source_outlier;
}

void Router::Engine::Retry(Request& request) {
  const double time_left = ToSeconds(request.deadline - state_.context.now);
  if (!state_.retries.HasToken() || time_left < state_.costs.TransferTime(request)) return Abandon(request);
  state_.retries.SpendToken();
  if (!dispatcher_.Dispatch(request) && request.InFlightCount() == 0) Abandon(request);
}

// The final answer of a request that will not be served: at once, and a rejection where a retry is harmless.
void Router::Engine::Abandon(Request& request) {
  if (request.is_ended) return;
  request.is_ended = true;
  const Settings& settings = state_.context.settings;
  if (state_.rules.CanReject(request)) {
    const Micros retry_after = settings.has_retry_after ? settings.max_retry_after : Micros{0};
    state_.context.Emit(Reject{request.event.id, retry_after});
  } else {
    state_.context.Emit(Fail{request.event.id});
  }
  CancelAll(request);
}

void Router::Engine::Cancel(Request& request, std::size_t index) {
  request.attempts[index].is_cancelled = true;
  state_.context.Emit(CancelAttempt{request.event.id, static_cast<std::uint32_t>(index)});
}

void Router::Engine::CancelAll(Request& request) {
  if (!state_.context.settings.can_cancel) return;
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    if (request.attempts[i].is_in_flight && !request.attempts[i].is_cancelled) Cancel(request, i);
  }
}

Request* Router::Engine::Find(RequestId request_id) {
  const auto found = requests_.find(ToNumber(request_id));
  return found == requests_.end() ? nullptr : &found->second;
}

void Router::Engine::RemoveIfEnded(RequestId request_id) {
  const Request* request = Find(request_id);
  if (request == nullptr || !request->is_ended || request->InFlightCount() > 0) return;
  recorder_.AttributeErrors(*request);
  requests_.erase(ToNumber(request_id));
}

}  // namespace tinspan
