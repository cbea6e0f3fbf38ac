// The source of a fill: siblings by Pfreq and epsilon, parents, the origin.
#include "routing/router_fixture.hpp"

namespace tinspan {
namespace {

// Sends a request to the home cache (the first in rendezvous order) while only a sibling has counts for the
// object: drains the home cache, sends `times` requests, which the next cache serves and counts, and restores
// it.
SendAttempt SendWithCountsAtASibling(RouterFixture& fixture, std::uint64_t object, Micros later = 1s,
                                     int times = 1) {
  const ServerId home = fixture.SendAndServe(object).server;
  fixture.AdvanceTime(9s);  // longer than k * tau: the home cache's own count has expired
  const EndpointInfo endpoint = RouterFixture::Cache(static_cast<std::uint64_t>(home));
  fixture.UpdateEndpoints({WithAvailability(endpoint, Availability::kDraining)});
  for (int i = 0; i < times; ++i) fixture.SendAndServe(object);
  fixture.UpdateEndpoints({endpoint});
  fixture.AdvanceTime(later);
  const SendAttempt sent = fixture.Send(object);
  EXPECT_EQ(sent.server, home);
  return sent;
}

TEST(SourceSelector, NamesTheTopSiblingWhereTheHomeCacheCountsZero) {
  RouterFixture fixture;
  fixture.Start();
  EXPECT_FALSE(IsParent(SendWithCountsAtASibling(fixture, 5).source));
}

TEST(SourceSelector, ClearsCountsAfterKTau) {
  RouterFixture fixture;
  fixture.Start();
  EXPECT_TRUE(IsParent(SendWithCountsAtASibling(fixture, 5, 9s).source));
}

TEST(SourceSelector, NamesTheParentWhereSiblingsAreOff) {
  RouterFixture fixture;
  fixture.settings.sibling_scope = SiblingScope::kOff;
  fixture.Start();
  EXPECT_TRUE(IsParent(SendWithCountsAtASibling(fixture, 5).source));
}

TEST(SourceSelector, NamesTheParentAfterASiblingMiss) {
  RouterFixture fixture;
  fixture.Start();
  const SendAttempt first = SendWithCountsAtASibling(fixture, 5);
  fixture.Complete(first.id, 0, Outcome::kMiss, FillNote::kSourceMiss);
  const SendAttempt second = fixture.OnlyAttempt();
  EXPECT_EQ(second.id, first.id);
  EXPECT_EQ(second.server, first.server);
  EXPECT_TRUE(IsParent(second.source));
}

TEST(SourceSelector, StopsNamingSiblingsWherePfreqFallsUnderEpsilon) {
  RouterFixture fixture;
  fixture.Start();
  int named = 0;
  for (std::uint64_t object = 100; object < 110; ++object) {
    const SendAttempt sent = SendWithCountsAtASibling(fixture, object);
    if (IsParent(sent.source)) {
      fixture.Complete(sent.id, 0, Outcome::kServed, FillNote::kFilled);
      continue;
    }
    ++named;
    fixture.Complete(sent.id, 0, Outcome::kMiss, FillNote::kSourceMiss);
    fixture.Complete(sent.id, 1, Outcome::kServed, FillNote::kFilled);
  }
  EXPECT_GE(named, 2);  // Pfreq is 1/2, then 0.5 / 2; then 0.5 / 3 is below epsilon
  EXPECT_LE(named, 6);  // for each summary value that one count has as it ages
}

TEST(SourceSelector, NamesTheParentForTheNextCache) {
  RouterFixture fixture;
  fixture.Start();
  const SendAttempt first = fixture.Send(7);
  fixture.Complete(first.id, 0, Outcome::kConnectFailed);
  const SendAttempt second = fixture.OnlyAttempt();
  EXPECT_NE(second.server, first.server);
  EXPECT_TRUE(IsParent(second.source));
}

TEST(SourceSelector, NamesTheOriginWithoutParents) {
  RouterFixture fixture;
  fixture.endpoints.erase(fixture.endpoints.begin() + 3, fixture.endpoints.begin() + 5);
  fixture.Start();
  EXPECT_EQ(fixture.Send(7).source, ServerId{21});
}

}  // namespace
}  // namespace tinspan
