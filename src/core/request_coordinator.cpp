#include "core/request_coordinator.hpp"

#include <algorithm>
#include <utility>

namespace tinspan::core {
namespace {

template <class Strong>
std::uint64_t Number(Strong id) {
  return static_cast<std::uint64_t>(id);
}
bool ProvesNotRun(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed ||
         outcome == Outcome::kNotSent || outcome == Outcome::kMiss;
}
Actions& StartActions() {
  static thread_local Actions
      actions;  // scratch for the Router's constructor; emptied by RequestCoordinator's
  actions.clear();
  return actions;
}

}  // namespace

RequestCoordinator::RequestCoordinator(const Settings& settings, std::uint64_t seed, Micros now,
                                       CoordinatorOptions options)
    : settings_(settings), options_(options), now_(now), router_(settings, seed, now, StartActions()) {}

void RequestCoordinator::Handle(Micros now, std::span<const Event> events, Commands& out) {
  now_ = std::max(now_, now);
  out_ = &out;
  for (const Event& event : events) std::visit([this](const auto& one) { On(one); }, event);
  RunDue();
  out_ = nullptr;
}

void RequestCoordinator::SetShutdownDeadline(Micros at) {
  ends_by_ = at;
  std::vector<std::uint64_t> open;  // in their order, so that equal events give equal commands
  for (auto& [id, request] : requests_) {
    if (request.answered || request.deadline <= LastAnswer()) continue;
    request.deadline = LastAnswer();
    open.push_back(id);
  }
  std::sort(open.begin(), open.end());
  for (const std::uint64_t id : open) At(LastAnswer(), Due::What::kDeadline, id);
}

std::optional<Micros> RequestCoordinator::NextDeadline() const {
  return due_.empty() ? std::nullopt : std::optional(due_.top().at);
}

// ---- Events. ----

void RequestCoordinator::On(const RequestReceived& event) {
  const auto [place, added] = requests_.try_emplace(Number(event.id));
  if (!added) return;
  Request& request = place->second;
  request.came = event;
  request.most_attempts = settings_.max_attempts;
  // Nobody waits longer than twice its class's whole time: what claims to would be kept for days.
  const std::size_t kind = static_cast<std::size_t>(event.class_id);
  const Micros whole = kind < settings_.classes.size() ? settings_.classes[kind].deadline : Micros{0};
  Micros allow = whole > Micros{0} ? std::min(event.time_left, 2 * whole) : event.time_left;
  if (ends_by_) allow = std::clamp(LastAnswer() - now_, Micros{0}, allow);
  const Micros left = std::max(allow - options_.response_margin, Micros{0});
  request.deadline = now_ + left;
  ++open_;
  At(request.deadline, Due::What::kDeadline, Number(event.id));
  Ask(RequestEvent{.id = event.id,
                   .time_left = left,
                   .class_id = event.class_id,
                   .group = event.group,
                   .object = event.object,
                   .part = event.part,
                   .size_kb = event.size_kb,
                   .is_retry = event.is_retry});
  Forget(event.id);
}

void RequestCoordinator::On(const ClientDisconnected& event) {
  Request* const request = Find(event.id);
  if (request == nullptr || request->answered) return;
  request->answered = true;
  --open_;
  Ask(ClientDisconnectedEvent{event.id});  // calls off what is out
  // What the Router leaves running has nobody to go to.
  for (std::uint32_t i = 0; Find(event.id) != nullptr && i < request->tries.size(); ++i) {
    if (!request->tries[i].out) continue;
    out_->push_back(AbortAttempt{event.id, i});
    End(event.id, *request, i, {.outcome = Outcome::kCancelled});
  }
  Forget(event.id);
}

void RequestCoordinator::On(const ResponseStarted& event) {
  Request* const request = Find(event.id);
  if (request == nullptr || event.attempt >= request->tries.size()) return;
  Try& one = request->tries[event.attempt];
  if (!one.out || request->answered || request->begun) return;
  if (event.issued_at && Purged(*request, one.sent, *event.issued_at)) {
    out_->push_back(AbortAttempt{event.id, event.attempt});
    return End(event.id, *request, event.attempt, {.outcome = Outcome::kError});
  }
  request->begun = event.attempt;
  out_->push_back(ForwardResponse{event.id, event.attempt});
  Ask(ResponseStartedEvent{event.id, event.attempt});
}

void RequestCoordinator::On(const AttemptCompleted& event) {
  Request* const request = Find(event.id);
  if (request == nullptr || event.attempt >= request->tries.size()) return;
  if (!request->tries[event.attempt].out) return;  // given up before
  End(event.id, *request, event.attempt, event);
}

void RequestCoordinator::On(const EndpointsUpdated& event) {
  const auto tell = [this](Standing& standing, Availability availability) {
    // Draining, then gone: the time runs from the first word.
    const bool first = standing.availability == Availability::kUp;
    if (availability != Availability::kUp && first) standing.told = now_;
    standing.availability = availability;
  };
  if (event.kind == EndpointsEvent::Kind::kFull || event.kind == EndpointsEvent::Kind::kStale) {
    for (auto& [id, standing] : standings_) {
      const auto same = [number = id](const EndpointInfo& member) { return Number(member.id) == number; };
      if (std::none_of(event.endpoints.begin(), event.endpoints.end(), same))
        tell(standing, Availability::kRemoved);
    }
  }
  for (const EndpointInfo& member : event.endpoints) tell(standings_[Number(member.id)], member.availability);
  Ask(EndpointsEvent{event.kind, event.endpoints});
}

void RequestCoordinator::On(const PurgeReceived& event) {
  auto& table = event.object ? purged_objects_ : purged_groups_;
  const auto key = event.object ? Number(*event.object) : Number(event.group);
  const auto [place, added] = table.try_emplace(key, Purge{event.purged_at, now_});
  if (!added && event.purged_at > place->second.at) place->second = {event.purged_at, now_};
  Ask(PurgeEvent{
      .age = std::max(now_ - event.purged_at, Micros{0}), .group = event.group, .object = event.object});
}

void RequestCoordinator::RunDue() {
  while (!due_.empty() && due_.top().at <= now_) {
    const Due due = due_.top();
    due_.pop();
    if (due.what == Due::What::kRouter) {
      Ask(TimerEvent{due.token});
      continue;
    }
    const RequestId id{due.token};
    Request* const request = Find(id);
    if (request == nullptr) continue;
    if (due.what == Due::What::kAttempt) {
      if (!request->tries[due.attempt].out || request->begun == due.attempt) continue;
      out_->push_back(AbortAttempt{id, due.attempt});
      End(id, *request, due.attempt, {.outcome = Outcome::kTimedOut});
    } else if (!request->answered && !request->begun) {
      // The Router answers at its own deadline, a tick earlier. Should it ever not, the client is still owed.
      Finish(id, *request, CompleteRequest{.id = id, .status = CompletionStatus::kFailed});
      Ask(ClientDisconnectedEvent{id});
      Forget(id);
    }
  }
  if (now_ < next_forget_) return;
  next_forget_ = now_ + options_.sweep_interval;
  const auto old = [this](const auto& entry) {
    return now_ - entry.second.at > 4 * settings_.purge_retention;
  };
  std::erase_if(purged_objects_, old);
  std::erase_if(purged_groups_, old);
  std::erase_if(standings_, [this](const auto& entry) {
    return entry.second.availability == Availability::kRemoved &&
           now_ - entry.second.told > Micros{60'000'000};
  });
}

// ---- What the Router wants done. ----

template <class RouterEvent>
void RequestCoordinator::Ask(const RouterEvent& event) {
  Actions actions;
  router_.Handle(now_, event, actions);
  for (const Action& action : actions) std::visit([this](const auto& one) { Do(one); }, action);
  // Outcomes of what was called off or could not be sent follow once the actions at hand are done, as on the
  // simulator's wire.
  while (!called_off_.empty()) {
    const AttemptCompleted ended = called_off_.front();
    called_off_.erase(called_off_.begin());
    Request* const request = Find(ended.id);
    if (request != nullptr) End(ended.id, *request, ended.attempt, ended);
  }
}

void RequestCoordinator::Do(const SendAttempt& order) {
  Request* const request = Find(order.id);
  if (request == nullptr) return;
  const auto number = static_cast<std::uint32_t>(request->tries.size());
  const bool another =
      std::any_of(request->tries.begin(), request->tries.end(), [](auto& t) { return t.out; });
  request->tries.push_back({order.server, order.source, now_, true});
  Micros until =
      order.expires_at > Micros{0} ? std::min(order.expires_at, request->deadline) : request->deadline;
  const bool allowed = !request->answered && !another && number < request->most_attempts && until > now_ &&
                       !PastDrain(now_, order.server) && !PastDrain(now_, order.source);
  if (!allowed) {
    called_off_.push_back({.id = order.id, .attempt = number, .outcome = Outcome::kNotSent});
    return;
  }
  At(until, Due::What::kAttempt, Number(order.id), number);
  StartAttempt send{order, number};
  send.action.expires_at = until;
  out_->push_back(std::move(send));
}

void RequestCoordinator::Do(const CancelAttempt& order) {
  Request* const request = Find(order.id);
  if (request == nullptr || order.attempt >= request->tries.size()) return;
  if (!request->tries[order.attempt].out) return;
  if (request->begun == order.attempt && !request->answered) return;  // a begun answer is not called off
  out_->push_back(AbortAttempt{order.id, order.attempt});
  called_off_.push_back({.id = order.id, .attempt = order.attempt, .outcome = Outcome::kCancelled});
}

void RequestCoordinator::Do(const Reject& order) {
  Request* const request = Find(order.id);
  if (request == nullptr) return;
  Finish(order.id, *request,
         CompleteRequest{
             .id = order.id, .status = CompletionStatus::kRejected, .retry_after = order.retry_after});
}

void RequestCoordinator::Do(const Fail& order) {
  Request* const request = Find(order.id);
  if (request != nullptr)
    Finish(order.id, *request, CompleteRequest{.id = order.id, .status = CompletionStatus::kFailed});
}

void RequestCoordinator::Do(const SetTimer& order) { At(order.at, Due::What::kRouter, order.token); }

// ---- Requests. ----

RequestCoordinator::Request* RequestCoordinator::Find(RequestId id) {
  const auto found = requests_.find(Number(id));
  return found == requests_.end() ? nullptr : &found->second;
}

// The only place where a final answer is given.
void RequestCoordinator::Finish(RequestId, Request& request, CompleteRequest answer) {
  if (request.answered) return;
  request.answered = true;
  --open_;
  answer.deadline_exceeded = now_ + 2 * settings_.event_interval >= request.deadline;
  out_->push_back(answer);
}

void RequestCoordinator::End(RequestId id, Request& request, std::uint32_t attempt, AttemptCompleted how) {
  Try& one = request.tries[attempt];
  if (!one.out) return;
  one.out = false;
  one.may_have_run = !ProvesNotRun(how.outcome);
  bool served = how.outcome == Outcome::kServed;
  const bool begun = request.begun == attempt;
  // Whatever a server says of a purge, no copy older than one that had to be heeded goes out.
  if (served && !begun && how.issued_at && Purged(request, one.sent, *how.issued_at)) {
    how.outcome = Outcome::kError;
    served = false;
  }
  if (served)
    Finish(id, request, CompleteRequest{.id = id, .status = CompletionStatus::kServed, .attempt = attempt});
  if (begun && !served)
    Finish(id, request,
           CompleteRequest{.id = id, .status = CompletionStatus::kTruncated, .attempt = attempt});
  Ask(OutcomeEvent{.id = id,
                   .attempt = attempt,
                   .outcome = how.outcome,
                   .elapsed = now_ - one.sent,
                   .is_finished = request.answered,
                   .note = how.note,
                   .fill_wait = how.fill_wait,
                   .load = how.load});
  Forget(id);
}

// Drops a request that has its answer and nothing out.
void RequestCoordinator::Forget(RequestId id) {
  const auto found = requests_.find(Number(id));
  if (found == requests_.end() || !found->second.answered) return;
  const auto& tries = found->second.tries;
  if (std::none_of(tries.begin(), tries.end(), [](const Try& one) { return one.out; }))
    requests_.erase(found);
}

void RequestCoordinator::At(Micros at, Due::What what, std::uint64_t token, std::uint32_t attempt) {
  due_.push({at, serial_++, what, token, attempt});
}

bool RequestCoordinator::CanSend(Micros now, RequestId id, std::uint32_t attempt) const {
  const auto found = requests_.find(Number(id));
  if (found == requests_.end() || found->second.answered || attempt >= found->second.tries.size())
    return false;
  const Request& request = found->second;
  const Try& one = request.tries[attempt];
  if (!one.out || now >= request.deadline) return false;
  if (PastDrain(now, one.server) || PastDrain(now, one.source)) return false;
  if (!MayRepeat(now, request, attempt)) return false;
  // A purge told since the decision: the age that was asked for does not heed it.
  const auto told_since = [&](const auto& table, std::uint64_t key) {
    const auto purge = table.find(key);
    return purge != table.end() && purge->second.told > one.sent &&
           now - purge->second.told >= settings_.purge_window / 2;
  };
  return !told_since(purged_objects_, Number(request.came.object)) &&
         !told_since(purged_groups_, Number(request.came.group));
}

// Guards against a key that lapses while the connection for a repeat comes up: the Router looked at the
// window when it decided, and the server would run the request a second time.
bool RequestCoordinator::MayRepeat(Micros now, const Request& request, std::uint32_t attempt) const {
  const std::size_t kind = static_cast<std::size_t>(request.came.class_id);
  if (kind >= settings_.classes.size()) return true;
  const ClassSettings& one = settings_.classes[kind];
  if (one.effect == Effect::kIdempotent) return true;
  const auto end = request.tries.begin() + attempt;
  const auto first = std::find_if(request.tries.begin(), end, [](const Try& t) { return t.may_have_run; });
  if (first == end) return true;
  return one.effect == Effect::kIdempotencyKey && now - first->sent < one.idempotency_window;
}

bool RequestCoordinator::PastDrain(Micros now, ServerId server) const {
  const auto found = standings_.find(Number(server));
  if (found == standings_.end()) return true;  // never listed
  // Half of the grace is ours: the rest is left for the write.
  return found->second.availability != Availability::kUp &&
         now - found->second.told >= settings_.drain_window / 2;
}

bool RequestCoordinator::Purged(const Request& request, Micros sent, Micros issued) const {
  const auto older = [&](const auto& table, std::uint64_t key) {
    const auto purge = table.find(key);
    return purge != table.end() && issued < purge->second.at &&
           sent - purge->second.told >= settings_.purge_window;
  };
  return older(purged_objects_, Number(request.came.object)) ||
         older(purged_groups_, Number(request.came.group));
}

}  // namespace tinspan::core
