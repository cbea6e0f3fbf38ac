// Which servers are ejected and probed.
#include "routing/router_fixture.hpp"

namespace tinspan {
namespace {

TEST(OutlierDetector, SendsAFailingCacheHealthProbesOnly) {
  RouterFixture fixture;
  fixture.Start();
  int sent = 0;
  for (std::uint64_t object = 1; object < 400; ++object) {
    const SendAttempt one = fixture.Send(object);
    if (one.server == ServerId{1}) {
      ++sent;
      fixture.Complete(one.id, 0, Outcome::kConnectFailed);
      if (!fixture.ActionsOf<SendAttempt>().empty()) {
        EXPECT_NE(fixture.OnlyAttempt().server, ServerId{1});
        fixture.Complete(one.id, 1, Outcome::kServed, FillNote::kHit);
      }
    } else {
      fixture.Complete(one.id, 0, Outcome::kServed, FillNote::kHit);
    }
    fixture.AdvanceTime(10ms);
  }
  EXPECT_GE(sent, 3);
  EXPECT_LE(sent, 10);
}

// Guards against ejecting a server for one connection that broke with all that was open on it.
TEST(OutlierDetector, CountsABrokenConnectionOnce) {
  RouterFixture fixture;
  fixture.Start();
  std::vector<SendAttempt> open;
  for (std::uint64_t object = 1; open.size() < 5 && object < 200; ++object) {
    const SendAttempt sent = fixture.Send(object);
    if (sent.server == ServerId{1}) {
      open.push_back(sent);
    } else {
      fixture.Complete(sent.id, 0, Outcome::kServed, FillNote::kHit);
    }
  }
  ASSERT_EQ(open.size(), 5U);
  fixture.now += 10ms;
  for (const SendAttempt& one : open) {
    fixture.Complete(one.id, 0, Outcome::kReset);
    fixture.Handle(ClientDisconnectedEvent{one.id});  // the retry is no part of this
    fixture.Complete(one.id, 1, Outcome::kCancelled);
  }
  int again = 0;
  for (std::uint64_t object = 300; object < 330; ++object) {
    again += fixture.SendAndServe(object).server == ServerId{1} ? 1 : 0;
  }
  EXPECT_GT(again, 3);
}

// Guards against ejecting servers for what most of them show: answers lost on the way, congestion.
TEST(OutlierDetector, EjectsFewerForFailuresThatAllShow) {
  const auto sent_to_first = [](bool all_fail) {
    RouterFixture fixture;
    fixture.Start();
    int count = 0;
    for (std::uint64_t object = 1; object < 900; ++object) {
      const SendAttempt one = fixture.Send(object);
      count += one.server == ServerId{1} ? 1 : 0;
      const bool bad = (all_fail || one.server == ServerId{1}) && object % 10 < 3;
      fixture.Complete(one.id, 0, bad ? Outcome::kError : Outcome::kServed,
                       bad ? FillNote::kNone : FillNote::kHit);
      for (const SendAttempt& again : fixture.ActionsOf<SendAttempt>()) {
        fixture.Complete(again.id, 1, Outcome::kServed, FillNote::kHit);
      }
      fixture.AdvanceTime(10ms);
    }
    return count;
  };
  EXPECT_GT(sent_to_first(true), 300);  // of some 300 requests hashed to it and those moved to it
}

}  // namespace
}  // namespace tinspan
