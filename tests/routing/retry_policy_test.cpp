// Whether a request may be attempted again, by its effect.
#include "routing/router_fixture.hpp"

namespace tinspan {
namespace {

TEST(RetryPolicy, RetriesANonIdempotentRequestOnlyIfItWasNotExecuted) {
  for (const Outcome outcome : {Outcome::kError, Outcome::kReset, Outcome::kTimedOut, Outcome::kCancelled}) {
    RouterFixture fixture;
    fixture.settings.classes[0].effect = Effect::kNonIdempotent;
    fixture.Start();
    const SendAttempt sent = fixture.Send(7);
    fixture.Complete(sent.id, 0, outcome);
    EXPECT_TRUE(fixture.ActionsOf<SendAttempt>().empty());
    EXPECT_EQ(fixture.ActionsOf<Fail>().size(), 1U);
  }
  for (const Outcome outcome : {Outcome::kRejected, Outcome::kConnectFailed, Outcome::kMiss}) {
    RouterFixture fixture;
    fixture.settings.classes[0].effect = Effect::kNonIdempotent;
    fixture.Start();
    const SendAttempt sent = fixture.Send(7);
    fixture.Complete(sent.id, 0, outcome);
    EXPECT_EQ(fixture.ActionsOf<SendAttempt>().size(), 1U);
  }
}

TEST(RetryPolicy, FailsANonIdempotentRequestThatMayHaveBeenExecuted) {
  RouterFixture fixture;
  fixture.settings.classes[0].effect = Effect::kNonIdempotent;
  fixture.Start();
  fixture.Send(7);
  fixture.AdvanceTime(6s);
  EXPECT_EQ(fixture.ActionsOf<Fail>().size(), 1U);
  EXPECT_TRUE(fixture.ActionsOf<Reject>().empty());
}

TEST(RetryPolicy, KeepsRetriesWithAKeyInTheirCellAndWindow) {
  RouterFixture fixture;
  fixture.settings.classes[0].effect = Effect::kIdempotencyKey;
  fixture.settings.classes[0].idempotency_scope = IdempotencyScope::kCell;
  fixture.settings.classes[0].idempotency_window = 1s;
  for (int i = 0; i < 3; ++i) fixture.endpoints[i].cell = i == 0 ? 0 : 1;
  for (std::uint64_t object = 1; object < 20; ++object) {
    RouterFixture one = RouterFixture();
    one.settings = fixture.settings;
    one.endpoints = fixture.endpoints;
    one.Start();
    const SendAttempt first = one.Send(object);
    one.now += object % 2 ? 999ms : 1000ms;
    one.Complete(first.id, 0, Outcome::kReset);
    const auto again = one.ActionsOf<SendAttempt>();
    if (object % 2 == 0 || first.server == ServerId{1}) {
      // Outside the window, or the only cache of its cell (which may be asked again).
      for (const SendAttempt& next : again) EXPECT_EQ(next.server, first.server);
      EXPECT_TRUE(object % 2 == 1 || again.empty());
    } else {
      ASSERT_EQ(again.size(), 1U);
      EXPECT_NE(again[0].server, ServerId{1});
    }
    EXPECT_EQ(one.ActionsOf<Fail>().size(), again.empty() ? 1U : 0U);
  }
}

TEST(RetryPolicy, AwaitsTheCancelledOutcomeWithoutHedging) {
  RouterFixture fixture;
  fixture.Start();
  const SendAttempt sent = fixture.Send(7);
  fixture.AdvanceTime(1s);
  ASSERT_EQ(fixture.ActionsOf<CancelAttempt>().size(), 1U);
  EXPECT_TRUE(fixture.ActionsOf<SendAttempt>().empty());
  fixture.Complete(sent.id, 0, Outcome::kCancelled);
  EXPECT_NE(fixture.OnlyAttempt().server, sent.server);
}

// Guards against filling an object twice where its answer was lost: the copy is at the cache that was asked.
// One that goes on breaking off is moved on from once it is ejected.
TEST(RetryPolicy, RetriesAtTheSameCacheAfterAReset) {
  RouterFixture fixture;
  fixture.Start();
  const SendAttempt first = fixture.Send(7);
  fixture.Complete(first.id, 0, Outcome::kReset);
  EXPECT_EQ(fixture.OnlyAttempt().server, first.server);
  std::uint32_t attempt = 1;
  while (!fixture.ActionsOf<SendAttempt>().empty() && fixture.OnlyAttempt().server == first.server &&
         attempt < 9) {
    fixture.Complete(first.id, attempt++, Outcome::kReset);
  }
  EXPECT_LT(attempt, 5U);
}

}  // namespace
}  // namespace tinspan
