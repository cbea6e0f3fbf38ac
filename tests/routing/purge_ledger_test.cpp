// The age of copies that may be served after a purge.
#include "routing/router_fixture.hpp"

namespace tinspan {
namespace {

TEST(PurgeLedger, AllowsNoCopyOlderThanThePurge) {
  RouterFixture fixture;
  fixture.Start();
  fixture.Handle(PurgeEvent{.age = 85ms, .object = ObjectId{7}});
  fixture.AdvanceTime(100ms);
  SendAttempt sent = fixture.SendAndServe(7);
  EXPECT_GT(sent.max_age, Micros{0});
  EXPECT_LT(sent.max_age, 185ms);
  EXPECT_FALSE(sent.join_fill);
  EXPECT_EQ(fixture.SendAndServe(8).max_age, Micros{0});
  fixture.AdvanceTime(5800ms);
  sent = fixture.SendAndServe(7);
  EXPECT_GT(sent.max_age, Micros{0});
  EXPECT_LT(sent.max_age, 5985ms);
  fixture.AdvanceTime(300ms);
  EXPECT_EQ(fixture.SendAndServe(7).max_age, Micros{0});
}

TEST(PurgeLedger, LimitsEachAttemptByAPurgeOfTheGroup) {
  RouterFixture fixture;
  fixture.Start();
  fixture.Handle(PurgeEvent{.age = 0us, .group = GroupId{3}});
  RequestEvent event = fixture.Request(7);
  event.group = GroupId{3};
  const SendAttempt first = fixture.Send(event);
  EXPECT_GT(first.max_age, Micros{0});
  EXPECT_LT(first.max_age, 1ms);
  fixture.now += 200ms;
  fixture.Complete(first.id, 0, Outcome::kConnectFailed);
  const SendAttempt second = fixture.OnlyAttempt();
  EXPECT_GT(second.max_age, 100ms);
  EXPECT_LT(second.max_age, 200ms);
}

TEST(PurgeLedger, AppliesTheLaterOfTwoPurges) {
  RouterFixture fixture;
  fixture.Start();
  fixture.Handle(PurgeEvent{.age = 100ms, .object = ObjectId{7}});
  fixture.Handle(PurgeEvent{.age = 3s, .object = ObjectId{7}});
  EXPECT_LT(fixture.SendAndServe(7).max_age, 100ms);
}

}  // namespace
}  // namespace tinspan
