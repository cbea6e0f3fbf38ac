// Which server a request is sent to, and with which options.
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

// Guards against all consecutive part requests of a client going to one cache (incident ie147f1).
TEST(Dispatcher, SpreadsPartsOverCachesThatShareAParent) {
  RouterFixture fixture;
  fixture.settings.classes[0].has_parts = true;
  fixture.Start();
  std::vector<ServerId> caches;
  std::vector<ServerId> parents;
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

// An origin that fails every fill; 99 objects are requested.
struct FailingOrigin : RouterFixture {
  FailingOrigin() {
    settings.classes[0].freshness_lifetime = 10s;
    settings.classes[0].stale_grace = 30s;
    Start();
    for (std::uint64_t object = 1; object < 100; ++object) {
      const SendAttempt sent = Send(object);
      attempts.push_back(sent);
      const bool is_protected = sent.source_cached_only;
      if (is_protected) Complete(sent.id, 0, Outcome::kMiss, FillNote::kSourceMiss);
      if (!is_protected) Complete(sent.id, 0, Outcome::kRejected, FillNote::kOriginFailed);
      retry_count += ActionsOf<SendAttempt>().size();
      rejection_counts.push_back(ActionsOf<Reject>().size());
      AdvanceTime(20ms);
    }
  }

  std::vector<SendAttempt> attempts;
  std::size_t retry_count = 0;
  std::vector<std::size_t> rejection_counts;  // one entry per attempt
};

// Guards against further load on a failing origin, which would prevent its recovery.
TEST(Dispatcher, ProtectsAFailingOriginButForHealthProbes) {
  const FailingOrigin fixture;
  const auto protected_count = std::ranges::count_if(fixture.attempts, &SendAttempt::source_cached_only);
  EXPECT_LE(static_cast<std::ptrdiff_t>(fixture.attempts.size()) - protected_count, 9);
  EXPECT_GE(protected_count, 80);
}

TEST(Dispatcher, AcceptsStaleCopiesWhileItProtectsTheOrigin) {
  for (const SendAttempt& attempt : FailingOrigin().attempts) {
    EXPECT_EQ(attempt.max_age, attempt.source_cached_only ? 40s : 0s);
  }
}

TEST(Dispatcher, RejectsAtOnceWhatAFailingOriginCannotFill) {
  const FailingOrigin fixture;
  EXPECT_EQ(fixture.retry_count, 0U);
  EXPECT_EQ(fixture.rejection_counts, std::vector<std::size_t>(fixture.attempts.size(), 1));
}

TEST(Dispatcher, UsesTheOriginAgainAfterGoodHealthProbes) {
  FailingOrigin fixture;
  fixture.AdvanceTime(4s);
  for (std::uint64_t object = 200; object < 205; ++object) {
    const SendAttempt probe = fixture.Send(object);
    EXPECT_FALSE(probe.source_cached_only);
    fixture.Complete(probe.id, 0, Outcome::kServed, FillNote::kFilledViaOrigin);
  }
  EXPECT_EQ(fixture.Send(300).max_age, Micros{0});
}

}  // namespace
}  // namespace tinspan
