// Two gateways in a row, as a property over random histories: whatever fails between the client, the gateways
// and the register, an order that must not run twice runs at most once, and one with an idempotency key runs
// again only within its window.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <queue>
#include <utility>
#include <vector>

#include "coordinator_fixture.hpp"
#include "core/attempt_outcome.hpp"

namespace tinspan::core {
namespace {

constexpr Micros kStep{5'000};
constexpr Micros kNearDeadline{3'000'000};
constexpr Micros kFarDeadline{1'500'000};
constexpr Micros kWindow{2'000'000};
constexpr int kMaxTries = 3;  // of a client whose order was rejected

// What becomes of an attempt on its way to the next hop.
enum class Hop { kDelivered, kConnectFailed, kLostAfterDelivery, kLostBeforeDelivery };
// What the register does with an attempt that it receives; kRuns... execute the order.
enum class RegisterReply { kRunsAndAnswers, kRunsAndFails, kRunsAndStaysSilent, kBusy, kUnavailable };

struct Fate {
  Hop hop;
  RegisterReply reply;
  Micros delay;
};

Settings ChainSettings(Effect effect, Micros deadline) {
  Settings settings = WithClass(effect, kWindow);
  settings.classes[0].deadline = deadline;
  settings.classes[0].latency_objective = deadline;
  settings.classes[0].is_write = true;
  return settings;
}

// The status with which the HTTP front answers (HttpFront::Complete).
int StatusOf(const CompleteRequest& completion) {
  if (completion.status == CompletionStatus::kServed) return 201;
  if (completion.deadline_exceeded) return 504;
  return completion.status == CompletionStatus::kRejected ? 503 : 502;
}

int StatusOf(RegisterReply reply) {
  switch (reply) {
    case RegisterReply::kRunsAndAnswers:
      return 201;
    case RegisterReply::kRunsAndFails:
      return 500;
    case RegisterReply::kBusy:
      return 429;
    default:
      return 503;
  }
}

bool Runs(RegisterReply reply) {
  return reply != RegisterReply::kBusy && reply != RegisterReply::kUnavailable;
}

// The near gateway, whose servers all lead to the far gateway, whose servers all lead to the register.
class Chain {
 public:
  Chain(Effect effect, int max_tries, std::vector<Fate> fates)
      : effect_(effect),
        max_tries_(max_tries),
        fates_(std::move(fates)),
        near_(ChainSettings(effect, kNearDeadline), 1, now_, {}),
        far_(ChainSettings(effect, kFarDeadline), 2, now_, {}) {
    const EndpointsUpdated servers{
        EndpointsEvent::Kind::kFull,
        {MakeMember(kFirstServer), MakeMember(kSecondServer), MakeMember(kOrigin)}};
    near_events_.emplace_back(servers);
    far_events_.emplace_back(servers);
  }

  void SendOrder() {
    ++tries_;
    near_id_ = near_.NextRequestId();
    near_events_.emplace_back(
        RequestReceived{.id = near_id_, .time_left = kNearDeadline, .object = ObjectId{7}});
  }
  void RunFor(Micros time) {
    for (const Micros until = now_ + time; now_ < until;) {
      now_ += kStep;
      RunDueReplies();
      RunNear();
      RunFar();
    }
  }
  const std::vector<Micros>& Runs() const { return runs_; }

 private:
  using Attempt = std::pair<RequestId, std::uint32_t>;
  struct DueReply {
    Micros at;
    Attempt attempt;
    AttemptEnding ending;
    bool operator>(const DueReply& other) const { return at > other.at; }
  };

  Fate NextFate() {
    const Fate fate = fates_[next_fate_ % fates_.size()];
    ++next_fate_;
    return fate;
  }
  Outcome OutcomeAt(const AttemptEnding& ending, bool is_complete = true) const {
    return OutcomeOf({.effect = effect_, .is_only_if_cached = false, .is_complete = is_complete}, ending);
  }
  // Handles the events of one round, as the event loop does.
  Commands Handle(RequestCoordinator& gateway, std::vector<Event>& events) const {
    Commands commands;
    gateway.Handle(now_, std::exchange(events, {}), commands);
    return commands;
  }
  void RunNear() {
    for (const Command& command : Handle(near_, near_events_)) {
      if (const auto* const start = std::get_if<StartAttempt>(&command)) {
        SendToFar({start->action.id, start->attempt});
      } else if (const auto* const abort = std::get_if<AbortAttempt>(&command)) {
        DisconnectFrom({abort->id, abort->attempt});
      } else if (const auto* const completion = std::get_if<CompleteRequest>(&command)) {
        OnFinalResponse(*completion);
      }
    }
  }
  // A client may try again only after a rejection.
  void OnFinalResponse(const CompleteRequest& completion) {
    if (StatusOf(completion) == 503 && tries_ < max_tries_) SendOrder();
  }
  void SendToFar(const Attempt& attempt) {
    const Fate fate = NextFate();
    if (fate.hop == Hop::kConnectFailed) return EndNear(attempt, {AttemptEnding::Kind::kConnectFailed});
    if (fate.hop == Hop::kLostBeforeDelivery)
      return EndNear(attempt, {AttemptEnding::Kind::kConnectionLost}, false);
    const RequestId far_id = far_.NextRequestId();
    near_attempts_[far_id] = attempt;
    far_events_.emplace_back(RequestReceived{.id = far_id, .time_left = kFarDeadline, .object = ObjectId{7}});
    if (fate.hop != Hop::kLostAfterDelivery) return;
    DisconnectFrom(attempt);
    EndNear(attempt, {AttemptEnding::Kind::kConnectionLost});
  }
  void DisconnectFrom(const Attempt& attempt) {
    const auto found =
        std::ranges::find_if(near_attempts_, [&](const auto& entry) { return entry.second == attempt; });
    if (found == near_attempts_.end()) return;
    const RequestId far_id = found->first;
    near_attempts_.erase(found);
    far_events_.emplace_back(ClientDisconnected{far_id});
  }
  void EndNear(const Attempt& attempt, const AttemptEnding& ending, bool is_complete = true) {
    near_events_.emplace_back(AttemptCompleted{
        .id = attempt.first, .attempt = attempt.second, .outcome = OutcomeAt(ending, is_complete)});
  }
  void RunFar() {
    for (const Command& command : Handle(far_, far_events_)) {
      if (const auto* const start = std::get_if<StartAttempt>(&command)) {
        SendToRegister({start->action.id, start->attempt});
      } else if (const auto* const completion = std::get_if<CompleteRequest>(&command)) {
        const auto found = near_attempts_.find(completion->id);
        if (found == near_attempts_.end()) continue;
        const Attempt attempt = found->second;
        near_attempts_.erase(found);
        EndNear(attempt, {AttemptEnding::Kind::kHttpStatus, StatusOf(*completion)});
      }
    }
  }
  void SendToRegister(const Attempt& attempt) {
    const Fate fate = NextFate();
    if (fate.hop == Hop::kConnectFailed || fate.hop == Hop::kLostBeforeDelivery) {
      const bool is_refused = fate.hop == Hop::kConnectFailed;
      const auto kind =
          is_refused ? AttemptEnding::Kind::kConnectFailed : AttemptEnding::Kind::kConnectionLost;
      return EndFar(attempt, {kind}, false);
    }
    if (tinspan::core::Runs(fate.reply)) runs_.push_back(now_);
    if (fate.hop == Hop::kLostAfterDelivery) return EndFar(attempt, {AttemptEnding::Kind::kConnectionLost});
    if (fate.reply == RegisterReply::kRunsAndStaysSilent) return;
    replies_.push({now_ + fate.delay, attempt, {AttemptEnding::Kind::kHttpStatus, StatusOf(fate.reply)}});
  }
  void EndFar(const Attempt& attempt, const AttemptEnding& ending, bool is_complete = true) {
    far_events_.emplace_back(AttemptCompleted{
        .id = attempt.first, .attempt = attempt.second, .outcome = OutcomeAt(ending, is_complete)});
  }
  void RunDueReplies() {
    while (!replies_.empty() && replies_.top().at <= now_) {
      const DueReply reply = replies_.top();
      replies_.pop();
      EndFar(reply.attempt, reply.ending);
    }
  }

  Micros now_ = kStart;
  Effect effect_;
  int max_tries_;
  std::vector<Fate> fates_;
  std::size_t next_fate_ = 0;
  RequestCoordinator near_;
  RequestCoordinator far_;
  std::vector<Event> near_events_;
  std::vector<Event> far_events_;
  RequestId near_id_{};
  int tries_ = 0;
  std::map<RequestId, Attempt> near_attempts_;  // by the far gateway's request
  std::priority_queue<DueReply, std::vector<DueReply>, std::greater<>> replies_;
  std::vector<Micros> runs_;
};

std::vector<Fate> AnyFates() {
  const auto any_fate = rc::gen::map(
      rc::gen::tuple(rc::gen::weightedElement<Hop>({{6, Hop::kDelivered},
                                                    {2, Hop::kConnectFailed},
                                                    {1, Hop::kLostAfterDelivery},
                                                    {1, Hop::kLostBeforeDelivery}}),
                     rc::gen::element(RegisterReply::kRunsAndAnswers, RegisterReply::kRunsAndFails,
                                      RegisterReply::kRunsAndStaysSilent, RegisterReply::kBusy,
                                      RegisterReply::kUnavailable),
                     rc::gen::inRange(0, 2500)),
      [](const std::tuple<Hop, RegisterReply, int>& drawn) {
        return Fate{std::get<0>(drawn), std::get<1>(drawn), Micros{std::get<2>(drawn) * 1000}};
      });
  return *rc::gen::nonEmpty(rc::gen::container<std::vector<Fate>>(any_fate));
}

RC_GTEST_PROP(GatewayChainProperty, AnOrderThatMustNotRunTwiceRunsOnce, ()) {
  Chain chain(Effect::kNonIdempotent, kMaxTries, AnyFates());
  chain.SendOrder();
  chain.RunFor(Micros{12'000'000});
  RC_ASSERT(chain.Runs().size() <= 1u);
}

// The client sends the order once: what the gateways repeat is at issue.
RC_GTEST_PROP(GatewayChainProperty, AKeyedOrderRunsAgainOnlyWithinItsWindow, ()) {
  Chain chain(Effect::kIdempotencyKey, 1, AnyFates());
  chain.SendOrder();
  chain.RunFor(kNearDeadline);
  const std::vector<Micros>& runs = chain.Runs();
  const Micros span = runs.empty() ? Micros{0} : runs.back() - runs.front();
  RC_ASSERT(span <= kWindow);
}

}  // namespace
}  // namespace tinspan::core
