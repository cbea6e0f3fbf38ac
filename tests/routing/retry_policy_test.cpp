// Whether a request may be retried, by its effect.
#include <algorithm>

#include "routing/router_fixture.hpp"

namespace tinspan {
namespace {

// A fixture with a non-idempotent request whose first attempt ended with this outcome.
RouterFixture AfterOutcome(Outcome outcome) {
  RouterFixture fixture;
  fixture.settings.classes[0].effect = Effect::kNonIdempotent;
  fixture.Start();
  const SendAttempt sent = fixture.Send(7);
  fixture.Complete(sent.id, 0, outcome);
  return fixture;
}

TEST(RetryPolicy, RetriesANonIdempotentRequestThatWasNotExecuted) {
  for (const Outcome outcome : {Outcome::kRejected, Outcome::kConnectFailed, Outcome::kMiss}) {
    EXPECT_EQ(AfterOutcome(outcome).ActionsOf<SendAttempt>().size(), 1U);
  }
}

TEST(RetryPolicy, RetriesNoNonIdempotentRequestThatWasPossiblyExecuted) {
  for (const Outcome outcome : {Outcome::kError, Outcome::kReset, Outcome::kTimedOut, Outcome::kCancelled}) {
    const RouterFixture fixture = AfterOutcome(outcome);
    EXPECT_TRUE(fixture.ActionsOf<SendAttempt>().empty());
    EXPECT_EQ(fixture.ActionsOf<Fail>().size(), 1U);
  }
}

TEST(RetryPolicy, FailsANonIdempotentRequestAtItsDeadline) {
  RouterFixture fixture;
  fixture.settings.classes[0].effect = Effect::kNonIdempotent;
  fixture.Start();
  fixture.Send(7);
  fixture.AdvanceTime(6s);
  EXPECT_EQ(fixture.ActionsOf<Fail>().size(), 1U);
  EXPECT_TRUE(fixture.ActionsOf<Reject>().empty());
}

// A request with an idempotency key whose first attempt is reset. Cache 1 is the only one in its cell.
struct KeyedRetry {
  static constexpr Micros kWindow = 1s;

  KeyedRetry(std::uint64_t object, Micros reset_after) {
    ClassSettings& traffic_class = fixture.settings.classes[0];
    traffic_class.effect = Effect::kIdempotencyKey;
    traffic_class.idempotency_scope = IdempotencyScope::kCell;
    traffic_class.idempotency_window = kWindow;
    for (std::uint32_t i = 0; i < 3; ++i) fixture.endpoints[i].cell = i == 0 ? 0 : 1;
    fixture.Start();
    first = fixture.Send(object);
    fixture.now += reset_after;
    fixture.Complete(first.id, 0, Outcome::kReset);
    retries = fixture.ActionsOf<SendAttempt>();
  }

  // Whether all retries are in the cell of the first attempt. There is exactly one, except if the first
  // attempt was at cache 1, which is alone in its cell.
  bool IsInCellOfFirst() const {
    const bool is_alone = first.server == ServerId{1};
    if (retries.empty()) return is_alone;
    return std::all_of(retries.begin(), retries.end(), [&](const SendAttempt& retry) {
      return (retry.server == ServerId{1}) == is_alone && (is_alone || retries.size() == 1);
    });
  }

  RouterFixture fixture;
  SendAttempt first;
  std::vector<SendAttempt> retries;
};

TEST(RetryPolicy, RetriesARequestWithAKeyInItsCellOnly) {
  for (std::uint64_t object = 1; object < 20; object += 2) {
    const KeyedRetry retry(object, KeyedRetry::kWindow - 1ms);
    EXPECT_TRUE(retry.IsInCellOfFirst());
    EXPECT_EQ(retry.fixture.ActionsOf<Fail>().size(), retry.retries.empty() ? 1U : 0U);
  }
}

TEST(RetryPolicy, RetriesNoRequestWithAKeyAfterItsWindow) {
  for (std::uint64_t object = 2; object < 20; object += 2) {
    const KeyedRetry retry(object, KeyedRetry::kWindow);
    EXPECT_TRUE(retry.retries.empty());
    EXPECT_EQ(retry.fixture.ActionsOf<Fail>().size(), 1U);
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

// Guards against filling an object twice if the response was lost: the cache of the first attempt has the
// copy. If its connections keep being reset, it is ejected and another cache is used.
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
