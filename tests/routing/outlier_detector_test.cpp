// Ejection and probing of servers.
#include "routing/router_fixture.hpp"

namespace tinspan {
namespace {

// Sends a request that fails at cache 1 and is then served by another cache.
SendAttempt SendWithFailingCache(RouterFixture& fixture, std::uint64_t object) {
  const SendAttempt sent = fixture.Send(object);
  const bool is_failing = sent.server == ServerId{1};
  if (is_failing) {
    fixture.Complete(sent.id, 0, Outcome::kConnectFailed);
    EXPECT_LE(fixture.ActionsOf<SendAttempt>().size(), 1U);
    for (const SendAttempt& retry : fixture.ActionsOf<SendAttempt>()) EXPECT_NE(retry.server, ServerId{1});
  }
  fixture.Complete(sent.id, is_failing ? 1 : 0, Outcome::kServed, FillNote::kHit);
  fixture.AdvanceTime(10ms);
  return sent;
}

TEST(OutlierDetector, SendsAFailingCacheHealthProbesOnly) {
  RouterFixture fixture;
  fixture.Start();
  int sent_there = 0;
  for (std::uint64_t object = 1; object < 400; ++object) {
    sent_there += SendWithFailingCache(fixture, object).server == ServerId{1} ? 1 : 0;
  }
  EXPECT_GE(sent_there, 3);
  EXPECT_LE(sent_there, 10);
}

// Returns `count` attempts in flight at cache 1; requests sent to other caches are served.
std::vector<SendAttempt> OpenAttempts(RouterFixture& fixture, std::size_t count) {
  std::vector<SendAttempt> open;
  for (std::uint64_t object = 1; open.size() < count && object < 200; ++object) {
    const SendAttempt sent = fixture.Send(object);
    if (sent.server == ServerId{1}) {
      open.push_back(sent);
    } else {
      fixture.Complete(sent.id, 0, Outcome::kServed, FillNote::kHit);
    }
  }
  return open;
}

// Guards against ejecting a server because one connection was reset with many attempts on it.
TEST(OutlierDetector, CountsABrokenConnectionOnce) {
  RouterFixture fixture;
  fixture.Start();
  const std::vector<SendAttempt> open = OpenAttempts(fixture, 5);
  ASSERT_EQ(open.size(), 5U);
  fixture.now += 10ms;
  for (const SendAttempt& one : open) {
    fixture.Complete(one.id, 0, Outcome::kReset);
    fixture.Handle(ClientDisconnectedEvent{one.id});  // ends the request, since the retry is not tested
    fixture.Complete(one.id, 1, Outcome::kCancelled);
  }
  EXPECT_GT(fixture.CountSentTo(ServerId{1}, 300), 3);
}

// Requests 899 objects. Cache 1, or every cache, fails three of ten. Returns the number sent to cache 1.
int SentToFirstCache(bool all_fail) {
  RouterFixture fixture;
  fixture.Start();
  int count = 0;
  for (std::uint64_t object = 1; object < 900; ++object) {
    const SendAttempt one = fixture.Send(object);
    const bool is_first = one.server == ServerId{1};
    count += is_first ? 1 : 0;
    const bool is_bad = (all_fail || is_first) && object % 10 < 3;
    const FillNote note = is_bad ? FillNote::kNone : FillNote::kHit;
    fixture.Complete(one.id, 0, is_bad ? Outcome::kError : Outcome::kServed, note);
    for (const SendAttempt& retry : fixture.ActionsOf<SendAttempt>()) {
      fixture.Complete(retry.id, 1, Outcome::kServed, FillNote::kHit);
    }
    fixture.AdvanceTime(10ms);
  }
  return count;
}

// Guards against ejecting servers for failures that most of them have: lost responses, congestion.
TEST(OutlierDetector, EjectsFewerForFailuresThatAllShow) {
  EXPECT_GT(SentToFirstCache(true), 300);  // about 300 requests are hashed to it; more are retried there
}

}  // namespace
}  // namespace tinspan
