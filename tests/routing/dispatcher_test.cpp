// Which server a request is sent to, and how.
#include <algorithm>

#include "routing/router_fixture.hpp"

namespace tinspan {
namespace {

TEST(Dispatcher, MovesOnFromALocallyOverloadedCache) {
  RouterFixture fixture;
  fixture.Start();
  const ServerId home = fixture.Send(7).server;
  bool moved = false;
  for (int i = 0; i < 20 && !moved; ++i) moved = fixture.Send(7).server != home;
  EXPECT_TRUE(moved);
}

// Guards against a client's train of parts clumping at one cache (incident ie147f1).
TEST(Dispatcher, SpreadsPartsOverCachesThatShareAParent) {
  RouterFixture fixture;
  fixture.settings.classes[0].has_parts = true;
  fixture.Start();
  std::vector<ServerId> caches, parents;
  for (std::uint32_t part = 0; part < 12; ++part) {
    RequestEvent event = fixture.Request(7);
    event.part = part;
    const SendAttempt sent = fixture.Send(event);
    fixture.Complete(event.id, 0, Outcome::kServed, FillNote::kHit);
    caches.push_back(sent.server);
    parents.push_back(sent.source);
  }
  EXPECT_NE(std::count(caches.begin(), caches.end(), caches[0]), 12);
  EXPECT_EQ(std::count(parents.begin(), parents.end(), parents[0]), 12);
}

TEST(Dispatcher, RanksARepeatedCopyHigher) {
  RouterFixture fixture;
  fixture.Start();
  const int once = fixture.SendAndServe(7).cache_rank;
  EXPECT_GT(once, 0);
  EXPECT_GT(fixture.SendAndServe(7).cache_rank, once);
}

TEST(Dispatcher, SendsWritesUncachedToTheOrigin) {
  RouterFixture fixture;
  fixture.settings.classes[0].is_write = true;
  fixture.Start();
  const SendAttempt sent = fixture.Send(7);
  EXPECT_EQ(sent.cache_rank, 0);
  EXPECT_EQ(sent.source, ServerId{21});
}

// Guards against pressing a failing origin further, which is what keeps it down.
TEST(Dispatcher, ProtectsAFailingOriginButForHealthProbes) {
  RouterFixture fixture;
  fixture.settings.classes[0].freshness_lifetime = 10s;
  fixture.settings.classes[0].stale_grace = 30s;
  fixture.Start();
  int origin_requests = 0, protected_count = 0;
  for (std::uint64_t object = 1; object < 100; ++object) {
    const SendAttempt one = fixture.Send(object);
    if (one.source_cached_only) {
      ++protected_count;
      EXPECT_EQ(one.max_age, 40s);  // a copy past its fresh time is better than none
      fixture.Complete(one.id, 0, Outcome::kMiss, FillNote::kSourceMiss);
    } else {
      ++origin_requests;
      fixture.Complete(one.id, 0, Outcome::kRejected, FillNote::kOriginFailed);
    }
    EXPECT_TRUE(fixture.ActionsOf<SendAttempt>().empty());
    EXPECT_EQ(fixture.ActionsOf<Reject>().size(), 1U);
    fixture.AdvanceTime(20ms);
  }
  EXPECT_LE(origin_requests, 9);
  EXPECT_GE(protected_count, 80);
  fixture.AdvanceTime(4s);
  for (int i = 0; i < 5; ++i) {
    const SendAttempt probe = fixture.Send(200 + static_cast<std::uint64_t>(i));
    EXPECT_FALSE(probe.source_cached_only);
    fixture.Complete(probe.id, 0, Outcome::kServed, FillNote::kFilledViaOrigin);
  }
  EXPECT_EQ(fixture.Send(300).max_age, Micros{0});
}

}  // namespace
}  // namespace tinspan
