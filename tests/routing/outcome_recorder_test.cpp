// Attribution of outcomes to caches, sources and the origin.
#include "routing/router_fixture.hpp"

namespace tinspan {
namespace {

// Guards against ejecting parents because of a slow origin: probable fills are late while the parents
// respond.
TEST(OutcomeRecorder, AttributesLateFillsOfALiveParentToTheOrigin) {
  RouterFixture fixture;
  fixture.settings.can_cancel = false;
  fixture.Start();
  EXPECT_TRUE(fixture.IsOriginProtectedAfterLateFills());
}

// Guards against requests that no server can serve: their errors would get every server ejected in turn.
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

// Whether a request is sent to two servers, one after the other, and rejected after both returned an error.
bool IsRejectedAfterTwoErrors(RouterFixture& fixture, std::uint64_t object) {
  const SendAttempt first = fixture.Send(object);
  fixture.Complete(first.id, 0, Outcome::kError);
  const SendAttempt second = fixture.OnlyAttempt();
  fixture.Complete(first.id, 1, Outcome::kError);
  const bool is_rejected =
      fixture.ActionsOf<Reject>().size() == 1 && fixture.ActionsOf<SendAttempt>().empty();
  return is_rejected && second.server != first.server;
}

TEST(OutcomeRecorder, AsksNoThirdServerAfterTwoErrors) {
  RouterFixture fixture;
  fixture.Start();
  for (std::uint64_t object = 1; object <= 40; ++object) {
    EXPECT_TRUE(IsRejectedAfterTwoErrors(fixture, object));
    for (std::uint64_t good = 1; good <= 4; ++good) fixture.SendAndServe(1000 + 4 * object + good);
  }
}

// An error counts against its server if another server serves the request, or if no other server was tried.
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

// Sends a request whose fill fails if its source is parent 12; it is then retried.
SendAttempt SendWithBadParent(RouterFixture& fixture) {
  const SendAttempt sent = fixture.Send(7);
  const bool is_bad = sent.source == ServerId{12};
  if (is_bad) fixture.Complete(sent.id, 0, Outcome::kRejected, FillNote::kSourceUnreachable);
  fixture.Complete(sent.id, is_bad ? 1 : 0, Outcome::kServed, FillNote::kFilled);
  fixture.AdvanceTime(20ms);
  return sent;
}

TEST(OutcomeRecorder, AttributesAFailedFillToItsSource) {
  RouterFixture fixture;
  fixture.Start();
  const ServerId home = fixture.SendAndServe(7).server;
  int bad_fills = 0;
  for (int i = 0; i < 12; ++i) {
    const SendAttempt sent = SendWithBadParent(fixture);
    EXPECT_EQ(sent.server, home);
    bad_fills += sent.source == ServerId{12} ? 1 : 0;
  }
  EXPECT_GE(bad_fills, 2);
  EXPECT_LE(bad_fills, 4);  // then the parent is ejected and the next one is the source
}

// Fails fills from the origin until it is protected. Returns whether it was.
bool EjectOrigin(RouterFixture& fixture) {
  for (std::uint64_t object = 1; object < 60; ++object) {
    const SendAttempt one = fixture.Send(object);
    fixture.Complete(one.id, 0, Outcome::kRejected, FillNote::kOriginFailed);
    fixture.AdvanceTime(20ms);
    if (one.source_cached_only) return true;
  }
  return false;
}

// Guards against a permanent ejection of the origin if outcomes never report that a fill came from it. After
// a flush with slow fills, half of the fleet permanently rejected requests for objects that parents had not
// cached.
TEST(OutcomeRecorder, ReadmitsTheOriginByFillsThatPossiblyUsedIt) {
  HitOnlyFixture fixture;
  fixture.Start();
  ASSERT_TRUE(EjectOrigin(fixture));
  fixture.AdvanceTime(10s);
  int origin_requests = 0;
  for (std::uint64_t object = 1000; object < 1040; ++object) {  // the origin works again
    const SendAttempt one = fixture.Send(object);
    const bool is_filled = !one.source_cached_only;
    origin_requests += is_filled ? 1 : 0;
    if (is_filled) fixture.Complete(one.id, 0, Outcome::kServed, FillNote::kFilled);
    if (!is_filled) fixture.Complete(one.id, 0, Outcome::kMiss);
    fixture.AdvanceTime(100ms);
  }
  EXPECT_GE(origin_requests, 20);
}

// Guards against a stopped origin that appears healthy because fills of objects that parents have cached
// still succeed.
TEST(OutcomeRecorder, DetectsADeadOriginBehindFillsThatParentsPossiblyCached) {
  HitOnlyFixture fixture;
  fixture.settings.can_cancel = false;
  fixture.endpoints = {RouterFixture::Cache(1),
                       {.id = ServerId{11}, .kind = kParentKind, .zone = ZoneId{1}},
                       {.id = ServerId{21}, .kind = kOriginKind, .zone = ZoneId{1}}};
  fixture.Start();
  EXPECT_TRUE(fixture.IsOriginProtectedAfterLateFills());
}

}  // namespace
}  // namespace tinspan
