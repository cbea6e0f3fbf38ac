// What outcomes say about caches, sources and the origin.
#include "routing/router_fixture.hpp"

namespace tinspan {
namespace {

// Guards against blaming parents for a slow origin: likely fills that stay out while parents answer.
TEST(OutcomeRecorder, AttributesLateFillsOfALiveParentToTheOrigin) {
  RouterFixture fixture;
  fixture.settings.can_cancel = false;
  fixture.Start();
  EXPECT_TRUE(fixture.LateFillsProtectTheOrigin());
}

// Guards against clients that ask for what nobody can answer: their errors would eject every server in turn.
TEST(OutcomeRecorder, AttributesAnErrorOfTwoServersToTheRequest) {
  RouterFixture fixture;
  fixture.Start();
  for (std::uint64_t object = 1; object <= 40; ++object) {
    const SendAttempt first = fixture.Send(object);
    fixture.Complete(first.id, 0, Outcome::kError);
    fixture.Complete(first.id, 1, Outcome::kError);
    for (std::uint64_t good = 1; good <= 4; ++good) fixture.SendAndServe(1000 + 4 * object + good);
  }
  std::vector<int> sent(4, 0);
  for (std::uint64_t object = 2000; object < 2030; ++object) {
    ++sent[static_cast<std::size_t>(fixture.SendAndServe(object).server)];
  }
  for (int cache = 1; cache <= 3; ++cache) EXPECT_GT(sent[cache], 3);
}

TEST(OutcomeRecorder, AsksNoThirdServerAfterTwoErrors) {
  RouterFixture fixture;
  fixture.Start();
  for (std::uint64_t object = 1; object <= 40; ++object) {
    const SendAttempt first = fixture.Send(object);
    fixture.Complete(first.id, 0, Outcome::kError);
    EXPECT_NE(fixture.OnlyAttempt().server, first.server);
    fixture.Complete(first.id, 1, Outcome::kError);
    EXPECT_TRUE(fixture.ActionsOf<SendAttempt>().empty());
    EXPECT_EQ(fixture.ActionsOf<Reject>().size(), 1U);
    for (std::uint64_t good = 1; good <= 4; ++good) fixture.SendAndServe(1000 + 4 * object + good);
  }
}

// An error that another server makes good is its server's, and so is one without a second opinion.
TEST(OutcomeRecorder, AttributesAnErrorThatAnotherServerAvoidsToItsServer) {
  RouterFixture fixture;
  fixture.Start();
  for (std::uint64_t object = 1; object <= 60; ++object) {
    const SendAttempt sent = fixture.Send(object);
    const bool is_bad = sent.server == ServerId{1};
    if (is_bad) fixture.Complete(sent.id, 0, Outcome::kError);
    fixture.Complete(sent.id, is_bad ? 1 : 0, Outcome::kServed, FillNote::kHit);
  }
  EXPECT_EQ(fixture.CountSentTo(ServerId{1}, 5000), 0);
}

TEST(OutcomeRecorder, AttributesAFailedFillToItsSource) {
  RouterFixture fixture;
  fixture.Start();
  const ServerId home = fixture.SendAndServe(7).server;
  int bad_fills = 0;
  for (int i = 0; i < 12; ++i) {
    const SendAttempt one = fixture.Send(7);
    EXPECT_EQ(one.server, home);
    const bool is_bad = one.source == ServerId{12};
    bad_fills += is_bad ? 1 : 0;
    const FillNote note = is_bad ? FillNote::kSourceUnreachable : FillNote::kFilled;
    fixture.Complete(one.id, 0, is_bad ? Outcome::kRejected : Outcome::kServed, note);
    if (is_bad) fixture.Complete(one.id, 1, Outcome::kServed, FillNote::kFilled);
    fixture.AdvanceTime(20ms);
  }
  EXPECT_GE(bad_fills, 2);
  EXPECT_LE(bad_fills, 4);  // then the parent is ejected and the next one fills
}

// Guards against an ejection of the origin that no answer could ever clear: outcomes never say that a fill
// came from it, so a flush's slow fills had half the fleet reject, for good, what the parents had not cached.
TEST(OutcomeRecorder, ReadmitsTheOriginByFillsThatMayHaveUsedIt) {
  HitOnlyFixture fixture;
  fixture.Start();
  bool is_protected = false;
  for (std::uint64_t object = 1; object < 60 && !is_protected; ++object) {
    const SendAttempt one = fixture.Send(object);
    is_protected = one.source_cached_only;
    fixture.Complete(one.id, 0, Outcome::kRejected, FillNote::kOriginFailed);
    fixture.AdvanceTime(20ms);
  }
  ASSERT_TRUE(is_protected);
  fixture.AdvanceTime(10s);
  int origin_requests = 0;
  for (std::uint64_t i = 0; i < 40; ++i) {  // it is well again
    const SendAttempt one = fixture.Send(1000 + i);
    const bool is_filled = !one.source_cached_only;
    origin_requests += is_filled ? 1 : 0;
    const FillNote note = is_filled ? FillNote::kFilled : FillNote::kNone;
    fixture.Complete(one.id, 0, is_filled ? Outcome::kServed : Outcome::kMiss, note);
    fixture.AdvanceTime(100ms);
  }
  EXPECT_GE(origin_requests, 20);
}

// Guards against an origin that has stopped and looks well, since fills of what the parents have cached go
// on.
TEST(OutcomeRecorder, DetectsADeadOriginBehindFillsThatParentsMayHaveCached) {
  HitOnlyFixture fixture;
  fixture.settings.can_cancel = false;
  fixture.endpoints = {RouterFixture::Cache(1),
                       {.id = ServerId{11}, .kind = kParentKind, .zone = ZoneId{1}},
                       {.id = ServerId{21}, .kind = kOriginKind, .zone = ZoneId{1}}};
  fixture.Start();
  EXPECT_TRUE(fixture.LateFillsProtectTheOrigin());
}

}  // namespace
}  // namespace tinspan
