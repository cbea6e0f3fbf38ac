#include "core/request_coordinator.hpp"

#include <algorithm>

#include "core/attempt_outcome.hpp"

namespace tinspan::core {
namespace {

// Upper bound on a request's deadline, as a multiple of its class's deadline: requests whose clients claim to
// wait for days would otherwise be kept that long.
constexpr int kMaxDeadlineMultiple = 2;
// How long a purge is stored, as a multiple of Settings::purge_retention (the time after which no older copy
// is left anywhere).
constexpr int kPurgeRetentionMultiple = 4;

Actions& ConstructorScratch() {
  static thread_local Actions actions;  // output of the Router's constructor, not used
  actions.clear();
  return actions;
}

// The settings of a class, or null if there are none.
const ClassSettings* FindClass(const Settings& settings, ClassId class_id) {
  const auto position = static_cast<std::size_t>(class_id);
  return position < settings.classes.size() ? &settings.classes[position] : nullptr;
}

}  // namespace

bool RequestCoordinator::Request::HasOutstandingAttempt() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const Attempt& attempt) { return attempt.is_outstanding; });
}

RequestCoordinator::RequestCoordinator(const Settings& settings, std::uint64_t seed, Micros now,
                                       CoordinatorOptions options)
    : settings_(settings), options_(options), now_(now), router_(settings, seed, now, ConstructorScratch()) {}

void RequestCoordinator::Handle(Micros now, std::span<const Event> events, Commands& out) {
  now_ = std::max(now_, now);
  out_ = &out;
  for (const Event& event : events) {
    std::visit([this](const auto& typed_event) { On(typed_event); }, event);
  }
  RunDueTasks();
  schedule_.Prune([this](RequestId id) { return Find(id) != nullptr; });
  out_ = nullptr;
}

void RequestCoordinator::StartDrain(const DrainTimetable& timetable) {
  drain_ = timetable;
  ++drain_id_;
  schedule_.AddDrainDeadline(timetable.answer_by, drain_id_);
  if (!timetable.fails_open_requests) return;
  // The deadline also bounds the attempts of the open requests.
  for (auto& [id, request] : requests_) {
    if (!request.is_answered) request.deadline = std::min(request.deadline, timetable.answer_by);
  }
}

void RequestCoordinator::EndDrain() { drain_.reset(); }

void RequestCoordinator::UpdateSettings(const Settings& settings) {
  router_.UpdateSettings(settings);  // first: it throws on invalid settings, and nothing has changed then
  settings_ = settings;
}

// ---- Events. ----

void RequestCoordinator::On(const RequestReceived& event) {
  Request request = MakeRequest(event);
  if (RejectsNewRequests()) return CompleteUnstarted(request);
  const Micros time_left = std::max(AllowedTime(event) - options_.response_margin, Micros{0});
  request.deadline = now_ + time_left;
  const std::optional<Micros> executed_before_at = request.executed_before_at;
  const Micros begun_at = request.begun_at;
  if (!requests_.try_emplace(event.id, std::move(request)).second) return;
  ++open_requests_;
  schedule_.AddRequestDeadline(request.deadline, event.id);
  NotifyRouter(RequestEvent{.id = event.id,
                            .time_left = time_left,
                            .class_id = event.class_id,
                            .group = event.group,
                            .object = event.object,
                            .part = event.part,
                            .size_kb = event.size_kb,
                            .is_retry = event.is_retry,
                            .executed_ago = AgeOf(executed_before_at),
                            .begun_ago = AgeOf(begun_at)});
  EraseIfDone(event.id);
}

RequestCoordinator::Request RequestCoordinator::MakeRequest(const RequestReceived& event) const {
  Request request;
  request.received = event;
  // Without settings of its class, the strictest rules apply.
  const ClassSettings* const settings = FindClass(settings_, event.class_id);
  if (settings != nullptr) request.rules = *settings;
  request.max_attempts = settings_.max_attempts;
  if (request.rules.effect != Effect::kIdempotent) {
    request.executed_before_at = executions_.FirstExecutedAt(event.operation, now_);
  }
  // The deadline of a class covers all tries of a client together.
  request.begun_at = now_ - std::max(request.rules.deadline - event.time_left, Micros{0});
  return request;
}

// Answers a request that arrives too late in a drain to be started.
void RequestCoordinator::CompleteUnstarted(const Request& request) {
  CompleteRequest answer{.id = request.received.id, .reason = CompletionReason::kDraining};
  if (CanReject(request)) {
    answer.status = CompletionStatus::kRejected;
    answer.retry_after = RetryAfter();
  }
  out_->emplace_back(answer);
}

std::optional<Micros> RequestCoordinator::AgeOf(std::optional<Micros> time) const {
  return time ? std::optional(now_ - *time) : std::nullopt;
}

Micros RequestCoordinator::AllowedTime(const RequestReceived& event) const {
  const ClassSettings* const settings = FindClass(settings_, event.class_id);
  Micros allowed = event.time_left;
  if (settings != nullptr && settings->deadline > Micros{0}) {
    allowed = std::min(allowed, kMaxDeadlineMultiple * settings->deadline);
  }
  if (!drain_ || !drain_->fails_open_requests) return allowed;
  return std::clamp(drain_->answer_by - now_, Micros{0}, allowed);
}

void RequestCoordinator::On(const ClientDisconnected& event) {
  Request* const request = Find(event.id);
  if (request == nullptr || request->is_answered) return;
  request->is_answered = true;
  --open_requests_;
  NotifyRouter(ClientDisconnectedEvent{event.id});  // cancels what is outstanding
  // Abort the attempts that the Router did not cancel: no client is left to receive a response.
  for (std::uint32_t attempt = 0; Find(event.id) != nullptr && attempt < request->attempts.size();
       ++attempt) {
    if (!request->attempts[attempt].is_outstanding) continue;
    out_->emplace_back(AbortAttempt{event.id, attempt});
    CompleteAttempt(event.id, *request, attempt, {.outcome = Outcome::kCancelled});
  }
  EraseIfDone(event.id);
}

void RequestCoordinator::On(const ResponseStarted& event) {
  Request* const request = Find(event.id);
  if (request == nullptr || event.attempt >= request->attempts.size()) return;
  const Attempt& attempt = request->attempts[event.attempt];
  if (!attempt.is_outstanding || request->is_answered || request->started_attempt) return;
  if (event.issued_at && IsPurged(*request, attempt, *event.issued_at)) {
    out_->emplace_back(AbortAttempt{event.id, event.attempt});
    return CompleteAttempt(event.id, *request, event.attempt, {.outcome = Outcome::kError});
  }
  request->started_attempt = event.attempt;
  out_->emplace_back(ForwardResponse{event.id, event.attempt});
  NotifyRouter(ResponseStartedEvent{event.id, event.attempt});
}

void RequestCoordinator::On(const AttemptCompleted& event) {
  Request* const request = Find(event.id);
  if (request == nullptr || event.attempt >= request->attempts.size()) return;
  if (!request->attempts[event.attempt].is_outstanding) return;  // aborted before
  CompleteAttempt(event.id, *request, event.attempt, event);
}

void RequestCoordinator::On(const EndpointsUpdated& event) {
  endpoints_.Update(now_, event);
  NotifyRouter(EndpointsEvent{event.kind, event.endpoints});
}

void RequestCoordinator::On(const PurgeReceived& event) {
  purges_.Add(now_, event);
  NotifyRouter(PurgeEvent{
      .age = std::max(now_ - event.purged_at, Micros{0}), .group = event.group, .object = event.object});
}

void RequestCoordinator::RunDueTasks() {
  while (const std::optional<ScheduledTask> task = schedule_.TakeDue(now_)) {
    switch (task->kind) {
      case ScheduledTask::Kind::kRouterTimer:
        NotifyRouter(TimerEvent{task->token});
        break;
      case ScheduledTask::Kind::kAttemptTimeout:
        OnAttemptTimeout(RequestId{task->token}, task->attempt);
        break;
      case ScheduledTask::Kind::kRequestDeadline:
        OnRequestDeadline(RequestId{task->token});
        break;
      case ScheduledTask::Kind::kDrainDeadline:
        OnDrainDeadline(task->token);
        break;
    }
  }
  PruneOutdated();
}

void RequestCoordinator::OnAttemptTimeout(RequestId id, std::uint32_t attempt) {
  Request* const request = Find(id);
  if (request == nullptr) return;
  if (!request->attempts[attempt].is_outstanding || request->started_attempt == attempt) return;
  out_->emplace_back(AbortAttempt{id, attempt});
  CompleteAttempt(id, *request, attempt, {.outcome = Outcome::kTimedOut});
}

// The Router completes a request one event interval before the deadline. This is the fallback that guarantees
// a final response if it does not.
void RequestCoordinator::OnRequestDeadline(RequestId id) {
  Request* const request = Find(id);
  if (request == nullptr || request->is_answered || request->started_attempt) return;
  CompleteWithoutRouter(id, *request, CompletionReason::kDeadline);
}

// Rejects the open requests so that their clients can retry elsewhere. A request that might then be executed
// twice keeps running, or fails if the instance is shutting down.
void RequestCoordinator::OnDrainDeadline(std::uint64_t drain_id) {
  if (!drain_ || drain_id != drain_id_) return;
  std::vector<RequestId> open;
  for (const auto& [id, request] : requests_) {
    if (request.is_answered || request.started_attempt) continue;
    if (drain_->fails_open_requests || CanReject(request)) open.push_back(id);
  }
  std::sort(open.begin(), open.end());  // deterministic: equal events produce equal commands
  for (const RequestId id : open) {
    Request* const request = Find(id);
    if (request != nullptr) CompleteWithoutRouter(id, *request, CompletionReason::kDraining);
  }
}

void RequestCoordinator::PruneOutdated() {
  if (now_ < next_sweep_at_) return;
  next_sweep_at_ = now_ + options_.sweep_interval;
  purges_.Prune(now_, kPurgeRetentionMultiple * settings_.purge_retention);
  endpoints_.PruneRemoved(now_);
  executions_.Prune(now_);
}

// ---- Actions of the Router. ----

template <class RouterEvent>
void RequestCoordinator::NotifyRouter(const RouterEvent& event) {
  Actions actions;
  router_.Handle(now_, event, actions);
  for (const Action& action : actions) {
    std::visit([this](const auto& typed_action) { Execute(typed_action); }, action);
  }
  // The outcomes of cancelled and unsent attempts are reported only after all actions of this event, which is
  // also the order in the simulator.
  while (!deferred_results_.empty()) {
    const AttemptCompleted result = deferred_results_.front();
    deferred_results_.erase(deferred_results_.begin());
    Request* const request = Find(result.id);
    if (request != nullptr) CompleteAttempt(result.id, *request, result.attempt, result);
  }
}

void RequestCoordinator::Execute(const SendAttempt& action) {
  Request* const request = Find(action.id);
  if (request == nullptr) return;
  const auto number = static_cast<std::uint32_t>(request->attempts.size());
  const Micros expires_at =
      action.expires_at > Micros{0} ? std::min(action.expires_at, request->deadline) : request->deadline;
  const bool can_start = CanStart(*request, action, expires_at);
  request->attempts.push_back({.server = action.server, .source = action.source, .sent_at = now_});
  if (!can_start) {
    deferred_results_.push_back({.id = action.id, .attempt = number, .outcome = Outcome::kNotSent});
    return;
  }
  schedule_.AddAttemptTimeout(expires_at, action.id, number);
  RecordExecution(action.id, *request, number);
  StartAttempt command{.action = action,
                       .attempt = number,
                       .effect = request->rules.effect,
                       .deliver_by = SendLimit(*request, number)};
  command.action.expires_at = expires_at;
  out_->emplace_back(command);
}

void RequestCoordinator::Execute(const CancelAttempt& action) {
  Request* const request = Find(action.id);
  if (request == nullptr || action.attempt >= request->attempts.size()) return;
  if (!request->attempts[action.attempt].is_outstanding) return;
  // A response that is being forwarded cannot be cancelled.
  if (request->started_attempt == action.attempt && !request->is_answered) return;
  out_->emplace_back(AbortAttempt{action.id, action.attempt});
  deferred_results_.push_back({.id = action.id, .attempt = action.attempt, .outcome = Outcome::kCancelled});
}

void RequestCoordinator::Execute(const Reject& action) {
  Request* const request = Find(action.id);
  if (request == nullptr) return;
  Complete(*request,
           CompleteRequest{
               .id = action.id, .status = CompletionStatus::kRejected, .retry_after = action.retry_after});
}

void RequestCoordinator::Execute(const Fail& action) {
  Request* const request = Find(action.id);
  if (request == nullptr) return;
  Complete(*request, CompleteRequest{.id = action.id, .status = CompletionStatus::kFailed});
}

void RequestCoordinator::Execute(const SetTimer& action) {
  schedule_.AddRouterTimer(action.at, action.token);
}

// ---- Request state. ----

RequestCoordinator::Request* RequestCoordinator::Find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

// The only function that emits the final response of a request that the Router knows.
void RequestCoordinator::Complete(Request& request, CompleteRequest answer) {
  if (request.is_answered) return;
  request.is_answered = true;
  --open_requests_;
  answer.deadline_exceeded =
      answer.reason != CompletionReason::kDraining && now_ + 2 * settings_.event_interval >= request.deadline;
  out_->emplace_back(answer);
}

// Completes a request without a decision of the Router, which is notified of a disconnect so that it cancels
// the attempts.
void RequestCoordinator::CompleteWithoutRouter(RequestId id, Request& request, CompletionReason reason) {
  CompleteRequest answer{.id = id, .status = CompletionStatus::kFailed, .reason = reason};
  if (reason == CompletionReason::kDraining && CanReject(request)) {
    answer.status = CompletionStatus::kRejected;
    answer.retry_after = RetryAfter();
  }
  Complete(request, answer);
  NotifyRouter(ClientDisconnectedEvent{id});
  EraseIfDone(id);
}

void RequestCoordinator::CompleteAttempt(RequestId id, Request& request, std::uint32_t attempt,
                                         AttemptCompleted result) {
  Attempt& completed = request.attempts[attempt];
  if (!completed.is_outstanding) return;
  completed.is_outstanding = false;
  completed.may_have_run = ExecutionAfter(result.outcome) != Execution::kNeverRan;
  if (completed.may_have_run) {
    RecordExecution(id, request, attempt);
  } else {
    executions_.Forget(request.received.operation, {id, attempt});
  }
  const bool was_started = request.started_attempt == attempt;
  // Never serve a copy older than a purge that the attempt had to respect, even if the server does.
  if (result.outcome == Outcome::kServed && !was_started && result.issued_at &&
      IsPurged(request, completed, *result.issued_at)) {
    result.outcome = Outcome::kError;
  }
  const bool is_served = result.outcome == Outcome::kServed;
  if (is_served || was_started) {
    const CompletionStatus status = is_served ? CompletionStatus::kServed : CompletionStatus::kTruncated;
    Complete(request, CompleteRequest{.id = id, .status = status, .attempt = attempt});
  }
  NotifyRouter(OutcomeEvent{.id = id,
                            .attempt = attempt,
                            .outcome = result.outcome,
                            .elapsed = now_ - completed.sent_at,
                            .is_finished = request.is_answered,
                            .note = result.note,
                            .fill_wait = result.fill_wait,
                            .load = result.load});
  EraseIfDone(id);
}

// Erases the request if it is answered and has no outstanding attempt.
void RequestCoordinator::EraseIfDone(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || !found->second.is_answered) return;
  if (!found->second.HasOutstandingAttempt()) requests_.erase(found);
}

// Remembers that the attempt may execute the request. All tries of a client end within the deadline of the
// class after the first one, and later ones must still find it after the window has lapsed.
void RequestCoordinator::RecordExecution(RequestId id, const Request& request, std::uint32_t attempt) {
  const ClassSettings& rules = request.rules;
  if (rules.effect == Effect::kIdempotent) return;
  const Micros sent_at = request.attempts[attempt].sent_at;
  const Micros expires_at = sent_at + rules.deadline + rules.idempotency_window;
  executions_.Record(request.received.operation, {id, attempt}, sent_at, expires_at);
}

// ---- Checks before sending. ----

bool RequestCoordinator::CanStart(const Request& request, const SendAttempt& action,
                                  Micros expires_at) const {
  if (request.is_answered || request.HasOutstandingAttempt()) return false;
  if (request.attempts.size() >= request.max_attempts || expires_at <= now_) return false;
  return !IsPastDrain(now_, action.server) && !IsPastDrain(now_, action.source);
}

bool RequestCoordinator::CanSend(Micros now, RequestId id, std::uint32_t attempt) const {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return false;
  const Request& request = found->second;
  if (request.is_answered || attempt >= request.attempts.size() || now >= request.deadline) return false;
  const Attempt& waiting = request.attempts[attempt];
  if (!waiting.is_outstanding) return false;
  if (IsPastDrain(now, waiting.server) || IsPastDrain(now, waiting.source)) return false;
  const std::optional<Micros> send_limit = SendLimit(request, attempt);
  if (send_limit && now >= *send_limit) return false;
  return !purges_.IsOutdated(request.received.group, request.received.object, waiting.sent_at, now,
                             settings_.purge_window);
}

// Until when the class allows this attempt to be sent, given that an earlier attempt or an earlier try of the
// client may have been executed; empty: at any time, and the past: never. Guards against an idempotency key
// that expires between the Router's decision and the write, or the arrival at the server, which would execute
// the request a second time.
std::optional<Micros> RequestCoordinator::SendLimit(const Request& request, std::uint32_t attempt) {
  const ClassSettings& rules = request.rules;
  if (rules.effect == Effect::kIdempotent) return std::nullopt;
  const auto end = request.attempts.begin() + attempt;
  const auto first_executed = std::find_if(request.attempts.begin(), end,
                                           [](const Attempt& earlier) { return earlier.may_have_run; });
  const bool is_repeat = first_executed != end;
  if (!is_repeat && !request.executed_before_at) return std::nullopt;
  if (rules.effect == Effect::kNonIdempotent) return Micros::min();
  Micros executed_at = request.executed_before_at.value_or(Micros::max());
  if (is_repeat) executed_at = std::min({executed_at, first_executed->sent_at, request.begun_at});
  return executed_at + rules.idempotency_window;
}

bool RequestCoordinator::IsPastDrain(Micros now, ServerId server) const {
  return endpoints_.IsPastDrain(now, server, settings_.drain_window);
}

bool RequestCoordinator::IsPurged(const Request& request, const Attempt& attempt, Micros issued_at) const {
  return purges_.IsPurged(request.received.group, request.received.object, attempt.sent_at, issued_at,
                          settings_.purge_window);
}

// Whether it is safe for the client to retry elsewhere: no attempt may have been executed, or a retry is not
// executed again.
bool RequestCoordinator::CanReject(const Request& request) {
  const ClassSettings& rules = request.rules;
  if (rules.effect == Effect::kIdempotent) return true;
  const bool may_have_run =
      request.executed_before_at ||
      std::any_of(request.attempts.begin(), request.attempts.end(),
                  [](const Attempt& attempt) { return attempt.is_outstanding || attempt.may_have_run; });
  if (!may_have_run) return true;
  return rules.effect == Effect::kIdempotencyKey && rules.idempotency_scope == IdempotencyScope::kAll;
}

}  // namespace tinspan::core
