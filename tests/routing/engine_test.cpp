// Final responses to requests, deadlines, and events that match no state.
#include <stdexcept>

#include "routing/router_fixture.hpp"

namespace tinspan {
namespace {

TEST(Engine, AnswersAHungRequestAtItsDeadline) {
  RouterFixture fixture;
  fixture.settings.can_cancel = false;
  fixture.Start();
  const RequestEvent event = fixture.Request(7);
  fixture.Send(event);
  fixture.AdvanceTime(4990ms);
  EXPECT_TRUE(fixture.ActionsOf<Reject>().empty() && fixture.ActionsOf<Fail>().empty());
  fixture.AdvanceTime(10ms);
  EXPECT_EQ(fixture.ActionsOf<Reject>().size() + fixture.ActionsOf<Fail>().size(), 1U);
  fixture.Complete(event.id, 0, Outcome::kTimedOut);
  EXPECT_TRUE(fixture.actions.empty());
}

TEST(Engine, GivesOneAnswerWhereOutcomeAndDeadlineCoincide) {
  RouterFixture fixture;
  fixture.settings.can_cancel = false;
  fixture.Start();
  const SendAttempt sent = fixture.Send(7);
  fixture.now = sent.expires_at;
  fixture.Complete(sent.id, 0, Outcome::kTimedOut);
  EXPECT_EQ(fixture.ActionsOf<Reject>().size() + fixture.ActionsOf<Fail>().size(), 1U);
  fixture.AdvanceTime(10ms);
  EXPECT_EQ(fixture.ActionsOf<Reject>().size() + fixture.ActionsOf<Fail>().size(), 0U);
}

TEST(Engine, UsesTheRequestsOwnDeadline) {
  RouterFixture fixture;
  fixture.Start();
  RequestEvent event = fixture.Request(7);
  event.time_left = 700ms;
  EXPECT_LE(fixture.Send(event).expires_at, fixture.now + 700ms);
}

TEST(Engine, SendsNothingAfterTheClientDisconnected) {
  RouterFixture fixture;
  fixture.Start();
  const SendAttempt sent = fixture.Send(7);
  fixture.Handle(ClientDisconnectedEvent{sent.id});
  fixture.Complete(sent.id, 0, Outcome::kConnectFailed);
  fixture.AdvanceTime(6s);
  EXPECT_TRUE(fixture.ActionsOf<SendAttempt>().empty());
  EXPECT_TRUE(fixture.ActionsOf<Fail>().empty() && fixture.ActionsOf<Reject>().empty());
}

TEST(Engine, RetainsTheEndpointListWhereTheWatchBreaks) {
  RouterFixture fixture;
  fixture.settings.discovery = Discovery::kPolled;
  fixture.Start();
  fixture.Handle(EndpointsEvent{.kind = EndpointsEvent::Kind::kWatchBroken});
  EXPECT_TRUE(fixture.ActionsOf<Subscribe>().empty());
  EXPECT_NE(fixture.SendAndServe(7).server, ServerId{});
  fixture.AdvanceTime(4s);  // it subscribes again after some connect timeouts
  EXPECT_EQ(fixture.ActionsOf<Subscribe>().size(), 1U);
}

TEST(Engine, MovesARequestFromASilentCache) {
  RouterFixture fixture;
  fixture.settings.can_hedge = true;
  fixture.Start();
  const SendAttempt sent = fixture.Send(7);
  fixture.AdvanceTime(410ms);
  ASSERT_EQ(fixture.ActionsOf<CancelAttempt>().size(), 1U);
  EXPECT_NE(fixture.OnlyAttempt().server, sent.server);
}

// Guards against a process that hangs: the check of an attempt whose class has no latency objective was due
// again in the moment in which it ran, so the timer event never ended.
TEST(Engine, EndsATimerEventOfAClassWithoutLatencyObjective) {
  RouterFixture fixture;
  fixture.settings.classes[0].latency_objective = Micros{0};
  fixture.settings.classes[0].effect = Effect::kNonIdempotent;
  fixture.Start();
  const SendAttempt sent = fixture.Send(fixture.Request(7, 0));
  fixture.AdvanceTime(10ms);
  fixture.Complete(sent.id, 0, Outcome::kServed);
  EXPECT_NE(fixture.SendAndServe(8).server, ServerId{});
}

TEST(Engine, IgnoresUnmatchedEvents) {
  RouterFixture fixture;
  fixture.Start();
  RequestEvent event = fixture.Request(7);
  event.class_id = ClassId{9};
  fixture.Handle(event);
  EXPECT_EQ(fixture.ActionsOf<Fail>().size(), 1U);
  fixture.Complete(RequestId{999}, 0, Outcome::kServed);
  EXPECT_TRUE(fixture.actions.empty());
  const SendAttempt sent = fixture.Send(7);
  fixture.Complete(sent.id, 5, Outcome::kReset);
  EXPECT_TRUE(fixture.actions.empty());
  RequestEvent twice = fixture.Request(8);
  twice.id = sent.id;
  fixture.Handle(twice);
  EXPECT_TRUE(fixture.actions.empty());
  fixture.now -= 50s;  // a clock that goes back is ignored
  EXPECT_GE(fixture.Send(9).expires_at, 104s);
}

TEST(Engine, ThrowsOnInvalidSettings) {
  RouterFixture fixture;
  fixture.settings.warm_up_time = -1ms;
  EXPECT_THROW(Router(fixture.settings, 1, 0us, fixture.actions), std::invalid_argument);
  fixture.settings = RouterFixture().settings;
  fixture.settings.classes.clear();
  EXPECT_THROW(Router(fixture.settings, 1, 0us, fixture.actions), std::invalid_argument);
}

TEST(Engine, RejectsAtOnceWithoutServers) {
  RouterFixture fixture;
  fixture.endpoints.clear();
  fixture.Start();
  fixture.Handle(fixture.Request(7));
  EXPECT_EQ(fixture.ActionsOf<Reject>().size(), 1U);
}

// Guards against needless retries after all copies became invalid at once: late attempts are cancelled
// everywhere and sent to other caches, where the second fill waits behind the first.
TEST(Engine, MovesNoLateAttemptWhereManyAreLate) {
  for (const bool many_are_late : {false, true}) {
    HitOnlyFixture fixture;
    fixture.Start();
    for (std::uint64_t object = 1; many_are_late && object <= 8; ++object) {
      const SendAttempt late = fixture.Send(object);
      // The cache responds to another request, so it is not taken as failed; the first response is still
      // late.
      fixture.AdvanceTime(20ms);
      const RequestEvent same = fixture.Request(object);
      fixture.Handle(same);
      fixture.Complete(same.id, 0, Outcome::kServed, FillNote::kHit, 20ms);
      fixture.AdvanceTime(600ms);
      fixture.Complete(late.id, 0, Outcome::kServed, FillNote::kFilled, 620ms);
    }
    fixture.Send(100);
    fixture.AdvanceTime(600ms);
    EXPECT_EQ(fixture.ActionsOf<CancelAttempt>().size(), many_are_late ? 0U : 1U);
  }
}

}  // namespace
}  // namespace tinspan
