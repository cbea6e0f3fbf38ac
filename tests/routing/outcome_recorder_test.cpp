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

// Guards against clients that ask for what nobody can answer: their errors ejected every server in turn.
TEST(OutcomeRecorder, AttributesAnErrorOfTwoServersToTheRequest) {
  RouterFixture fixture;
  fixture.Start();
  for (std::uint64_t object = 1; object <= 40; ++object) {
    const SendAttempt first = fixture.Send(object);
    fixture.Complete(first.id, 0, Outcome::kError);
    const SendAttempt second = fixture.OnlyAttempt();
    EXPECT_NE(second.server, first.server);
    fixture.Complete(first.id, 1, Outcome::kError);
    EXPECT_TRUE(fixture.ActionsOf<SendAttempt>().empty());  // no third is asked
    EXPECT_EQ(fixture.ActionsOf<Reject>().size(), 1U);
    for (std::uint64_t good = 1; good <= 4; ++good) fixture.SendAndServe(1000 + 4 * object + good);
  }
  std::vector<int> sent(4, 0);
  for (std::uint64_t object = 2000; object < 2030; ++object)
    ++sent[static_cast<std::size_t>(fixture.SendAndServe(object).server)];
  for (int cache = 1; cache <= 3; ++cache) EXPECT_GT(sent[cache], 3);
}

// An error that another server makes good is its server's, and so is one without a second opinion.
TEST(OutcomeRecorder, AttributesAnErrorThatAnotherServerAvoidsToItsServer) {
  RouterFixture fixture;
  fixture.Start();
  const auto of_first = [&] {
    int count = 0;
    for (std::uint64_t object = 5000; object < 5030; ++object) {
      count += fixture.SendAndServe(object).server == ServerId{1} ? 1 : 0;
    }
    return count;
  };
  for (std::uint64_t object = 1; object <= 60; ++object) {
    const SendAttempt sent = fixture.Send(object);
    const bool bad = sent.server == ServerId{1};
    if (bad) fixture.Complete(sent.id, 0, Outcome::kError);
    fixture.Complete(sent.id, bad ? 1 : 0, Outcome::kServed, FillNote::kHit);
  }
  EXPECT_EQ(of_first(), 0);
}

TEST(OutcomeRecorder, AttributesAFailedFillToItsSource) {
  RouterFixture fixture;
  fixture.Start();
  const ServerId home = fixture.SendAndServe(7).server;
  int bad_fills = 0;
  for (int i = 0; i < 12; ++i) {
    const SendAttempt one = fixture.Send(7);
    EXPECT_EQ(one.server, home);
    const bool bad = one.source == ServerId{12};
    bad_fills += bad;
    fixture.Complete(one.id, 0, bad ? Outcome::kRejected : Outcome::kServed,
                     bad ? FillNote::kSourceUnreachable : FillNote::kFilled);
    if (bad) fixture.Complete(one.id, 1, Outcome::kServed, FillNote::kFilled);
    fixture.AdvanceTime(20ms);
  }
  EXPECT_GE(bad_fills, 2);
  EXPECT_LE(bad_fills, 4);  // then the parent is ejected and the next one fills
}

// Guards against a ejection of the origin that no answer could ever clear: outcomes never say that a fill
// came from it, so a flush's slow fills had half the fleet reject, for good, what the parents did not hold.
TEST(OutcomeRecorder, ReadmitsTheOriginByFillsThatMayHaveUsedIt) {
  HitOnlyFixture fixture;
  fixture.Start();
  bool protected_count = false;
  for (std::uint64_t object = 1; object < 60 && !protected_count; ++object) {
    const SendAttempt one = fixture.Send(object);
    protected_count = one.source_cached_only;
    fixture.Complete(one.id, 0, Outcome::kRejected, FillNote::kOriginFailed);
    fixture.AdvanceTime(20ms);
  }
  ASSERT_TRUE(protected_count);
  fixture.AdvanceTime(10s);
  int origin_requests = 0;
  for (std::uint64_t i = 0; i < 40; ++i) {  // it is well again
    const SendAttempt one = fixture.Send(1000 + i);
    origin_requests += !one.source_cached_only;
    const bool filled = !one.source_cached_only;
    fixture.Complete(one.id, 0, filled ? Outcome::kServed : Outcome::kMiss,
                     filled ? FillNote::kFilled : FillNote::kNone);
    fixture.AdvanceTime(100ms);
  }
  EXPECT_GE(origin_requests, 20);
}

// Guards against an origin that has stopped and looks well, since fills of what the parents hold go on.
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
