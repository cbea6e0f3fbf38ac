// Tests the drain rules: single decisions by a table, and as a property over the lifetime of a connection.
#include "core/drain.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "coordinator_fixture.hpp"

namespace tinspan::core {
namespace {

constexpr Micros Ms(std::int64_t count) { return Micros{count * 1000}; }

struct DecisionCase {
  const char* name;
  Micros after;  // since the start of the drain
  ConnectionActivity activity;
  EndReason reason;
};

// The times of the activity are relative to the start of the drain.
ConnectionActivity At(Micros opened, Micros received, std::size_t in_flight = 0, std::size_t backlog = 0) {
  return {.opened_at = kStart + opened,
          .last_received_at = kStart + received,
          .in_flight = in_flight,
          .backlog_bytes = backlog,
          .has_response = true};
}
ConnectionActivity WithoutResponse(ConnectionActivity activity) {
  activity.has_response = false;
  return activity;
}
ConnectionActivity WithPartialMessage(ConnectionActivity activity) {
  activity.has_partial_message = true;
  return activity;
}
ConnectionActivity WithPendingInput(ConnectionActivity activity) {
  activity.has_pending_input = true;
  return activity;
}

ConnectionActivity WithUnsent(ConnectionActivity activity, Micros seen) {
  activity.last_unsent_at = kStart + seen;
  return activity;
}

ConnectionActivity AfterLooks(ConnectionActivity activity, int looks) {
  activity.checks_past_close = looks;
  return activity;
}

TEST(DrainTest, DecidesForStandby) {
  const ConnectionActivity idle = At(Ms(-5000), Ms(-1000));
  const std::vector<DecisionCase> cases{
      {"idle", Ms(0), idle, EndReason::kIdle},
      {"a request in flight", Ms(0), At(Ms(-5000), Ms(-10), 1), EndReason::kNone},
      {"still in flight after close_by", Ms(5000), At(Ms(-5000), Ms(-10), 1), EndReason::kNone},
      {"a response not read", Ms(3500), At(Ms(-5000), Ms(-10), 0, 1), EndReason::kNone},
      {"newly connected", Ms(40), WithoutResponse(At(Ms(0), Ms(0))), EndReason::kNone},
      {"connected and silent", Ms(60), WithoutResponse(At(Ms(0), Ms(0))), EndReason::kIdle},
      {"partial message, still receiving", Ms(200), WithPartialMessage(At(Ms(-5000), Ms(0))),
       EndReason::kNone},
      {"partial message, then silence", Ms(310), WithPartialMessage(At(Ms(-5000), Ms(0))), EndReason::kIdle},
      {"slow sender", Ms(3390), WithPartialMessage(At(Ms(-5000), Ms(3300))), EndReason::kNone},
      {"slow sender at close_by", Ms(3400), WithPartialMessage(At(Ms(-5000), Ms(3399))),
       EndReason::kTimedOut},
      {"responses not transmitted", Ms(1500), WithUnsent(idle, Ms(1500)), EndReason::kNone},
      {"responses not read for certain", Ms(1500), WithUnsent(idle, Ms(1010)), EndReason::kNone},
      {"responses read", Ms(1500), WithUnsent(idle, Ms(1000)), EndReason::kIdle},
      {"responses not transmitted at close_by", Ms(3400), WithUnsent(idle, Ms(3400)),
       EndReason::kUndelivered},
      {"pending input", Ms(1500), WithPendingInput(idle), EndReason::kNone},
      {"pending input at close_by", Ms(3400), WithPendingInput(idle), EndReason::kNone},
      {"pending input at every check", Ms(3400), AfterLooks(WithPendingInput(idle), 32),
       EndReason::kTimedOut}};
  for (const DecisionCase& test_case : cases) {
    EXPECT_EQ(DecideEnd(StandbyTimetable(kStart), test_case.activity, kStart + test_case.after).reason,
              test_case.reason)
        << test_case.name;
  }
}

TEST(DrainTest, MeetsTheOperatorsTimeLimits) {
  const DrainTimetable standby = StandbyTimetable(kStart);
  // At 4 s there may be no open request younger than 2 s and no idle connection.
  EXPECT_LT(standby.reject_from, kStart + Ms(2000));
  EXPECT_LT(standby.close_by, kStart + Ms(4000));
  for (const Micros longest : {Ms(50), Ms(300), Ms(1000), Ms(3000), Ms(10'000)}) {
    const Micros killed_at = kStart + std::min(longest, Ms(3000)) + Ms(700);
    const DrainTimetable shutdown = ShutdownTimetable(kStart, longest);
    EXPECT_GE(shutdown.accept_until, kStart + std::min(Ms(400), longest + Ms(400)));
    EXPECT_LE(shutdown.accept_until, shutdown.close_idle_from);
    EXPECT_LT(shutdown.reject_from, shutdown.answer_by);
    EXPECT_LT(shutdown.answer_by, shutdown.close_by);
    EXPECT_LE(shutdown.close_by, killed_at - Ms(100));
  }
}

// A shutdown during a standby must not extend the standby's times.
TEST(DrainTest, ShutsDownNoLaterThanTheStandbyBeforeIt) {
  const DrainTimetable standby = StandbyTimetable(kStart);
  const DrainTimetable both = Earliest(standby, ShutdownTimetable(kStart + Ms(2500), Ms(3000)));
  EXPECT_EQ(both.close_by, standby.close_by);
  EXPECT_TRUE(both.fails_open_requests);
  EXPECT_LT(both.accept_until, Micros::max());
}

// ---- One connection with a coordinator, and random requests, responses, standby, active and shutdown. ----

Settings WithDeadline(Effect effect, Micros deadline) {
  Settings settings = WithClass(effect, Ms(5000));
  settings.classes[0].deadline = deadline;
  settings.classes[0].latency_objective = deadline;
  return settings;
}

// Models a front with one client: executes the coordinator's commands and applies DecideEnd.
class ConnectionModel {
 public:
  ConnectionModel(Effect effect, Micros deadline)
      : deadline_(deadline), coordinator_(WithDeadline(effect, deadline), 1, now_, {}) {
    HandleEvents(
        {EndpointsUpdated{EndpointsEvent::Kind::kFull,
                          {MakeMember(kFirstServer), MakeMember(kSecondServer), MakeMember(kOrigin)}}});
  }

  void Advance(Micros time) {
    for (const Micros until = now_ + time; now_ < until;) {
      now_ = std::min(until, now_ + Ms(5));
      HandleEvents({});
    }
  }
  void WriteRequest() {
    if (is_ended_) return;
    const RequestId id = coordinator_.NextRequestId();
    written_at_[id] = now_;
    HandleEvents({RequestReceived{.id = id, .time_left = deadline_, .object = ObjectId{7}, .size_kb = 10}});
  }
  // The server responds to the oldest outstanding attempt.
  void AnswerOldest() {
    if (outstanding_.empty()) return;
    const auto [id, attempt] = *outstanding_.begin();
    outstanding_.erase(outstanding_.begin());
    HandleEvents({AttemptCompleted{.id = id, .attempt = attempt, .issued_at = now_}});
  }
  void Standby() {
    if (!coordinator_.Drain()) coordinator_.StartDrain(StandbyTimetable(now_));
  }
  void Activate() {
    if (!is_stopping_) coordinator_.EndDrain();
  }
  void Stop() {
    if (std::exchange(is_stopping_, true)) return;
    DrainTimetable shutdown = ShutdownTimetable(now_, deadline_);
    if (coordinator_.Drain()) shutdown = Earliest(*coordinator_.Drain(), shutdown);
    coordinator_.StartDrain(shutdown);
  }

  const RequestCoordinator& Coordinator() const { return coordinator_; }
  bool IsEnded() const { return is_ended_; }
  Micros Now() const { return now_; }
  std::size_t OpenRequests() const { return written_at_.size(); }
  // Whether a request that arrived within the last `time` is open.
  bool CarriesRequestOfLast(Micros time) const {
    return std::any_of(written_at_.begin(), written_at_.end(),
                       [&](const auto& entry) { return entry.second > now_ - time; });
  }

 private:
  void HandleEvents(const std::vector<Event>& events) {
    Commands commands;
    coordinator_.Handle(now_, events, commands);
    for (const Command& command : commands) Execute(command);
    EndConnection();
  }
  void Execute(const Command& command) {
    if (const auto* const start = std::get_if<StartAttempt>(&command)) {
      RC_ASSERT(written_at_.contains(start->action.id));  // no attempt after the final response
      outstanding_.emplace(start->action.id, start->attempt);
    } else if (const auto* const abort = std::get_if<AbortAttempt>(&command)) {
      outstanding_.erase({abort->id, abort->attempt});
    } else if (const auto* const complete = std::get_if<CompleteRequest>(&command)) {
      RC_ASSERT(written_at_.erase(complete->id) == 1u);  // exactly one final response
      has_response_ = true;
    }
  }
  void EndConnection() {
    if (!coordinator_.Drain() || is_ended_) return;
    const ConnectionActivity activity{.opened_at = kStart,
                                      .last_received_at = now_,
                                      .in_flight = written_at_.size(),
                                      .has_response = has_response_};
    is_ended_ = DecideEnd(*coordinator_.Drain(), activity, now_).reason != EndReason::kNone;
  }

  Micros now_ = kStart;
  Micros deadline_;
  RequestCoordinator coordinator_;
  std::map<RequestId, Micros> written_at_;  // open requests
  std::set<std::pair<RequestId, std::uint32_t>> outstanding_;
  bool has_response_ = false;
  bool is_ended_ = false;
  bool is_stopping_ = false;
};

enum class Step { kWrite, kAnswer, kWait, kStandby, kActivate, kStop };

void Apply(ConnectionModel& model, Step step, int wait_ms) {
  switch (step) {
    case Step::kWrite:
      return model.WriteRequest();
    case Step::kAnswer:
      return model.AnswerOldest();
    case Step::kWait:
      return model.Advance(Ms(wait_ms));
    case Step::kStandby:
      return model.Standby();
    case Step::kActivate:
      return model.Activate();
    case Step::kStop:
      return model.Stop();
  }
}

// Whatever happened before, the connection of a client that keeps sending is closed by `close_by`, and each
// of its requests has one final response. In standby, only requests that cannot be rejected may hold it open
// longer.
RC_GTEST_PROP(DrainProperty, EveryConnectionEndsByCloseBy, ()) {
  const Effect effect =
      *rc::gen::element(Effect::kIdempotent, Effect::kIdempotencyKey, Effect::kNonIdempotent);
  const Micros deadline = Ms(*rc::gen::element(100, 300, 1500, 3000, 8000));
  ConnectionModel model(effect, deadline);
  const auto steps = *rc::gen::container<std::vector<std::pair<Step, int>>>(
      rc::gen::pair(rc::gen::weightedElement<Step>({{8, Step::kWrite},
                                                    {6, Step::kAnswer},
                                                    {6, Step::kWait},
                                                    {2, Step::kStandby},
                                                    {2, Step::kActivate},
                                                    {1, Step::kStop}}),
                    rc::gen::inRange(1, 1500)));
  for (const auto& [step, wait_ms] : steps) Apply(model, step, wait_ms);
  if (!model.Coordinator().Drain()) model.Standby();
  const DrainTimetable timetable = *model.Coordinator().Drain();
  // The client keeps requests in flight until the end; the server responds in one of three steps.
  while (model.Now() < timetable.close_by + Ms(20)) {
    model.WriteRequest();
    model.WriteRequest();
    if (*rc::gen::inRange(0, 3) == 0) model.AnswerOldest();
    model.Advance(Ms(25));
  }
  if (effect != Effect::kNonIdempotent || timetable.fails_open_requests) {
    RC_ASSERT(model.OpenRequests() == 0u);
    RC_ASSERT(model.IsEnded());
  }
  RC_ASSERT(!model.CarriesRequestOfLast(timetable.close_by - timetable.reject_from));
  model.Advance(deadline + Ms(1000));
  RC_ASSERT(model.OpenRequests() == 0u);
}

}  // namespace
}  // namespace tinspan::core
