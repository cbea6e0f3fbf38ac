// Tests of a single voter: what it promises, grants and rejects.
#include "lease/voter_state.hpp"

#include <gtest/gtest.h>

#include "lease_fixture.hpp"

namespace tinspan::lease {
namespace {

using namespace std::chrono_literals;

class VoterStateTest : public testing::Test {
 protected:
  // The voter serves from kServingAt on, because all other voters have replied that they are starting too.
  VoterStateTest() {
    voter.Tick(context, kSilentUntil, kWallMs);
    const auto query = Reply<RecoveryQuery>();
    for (const char* other : {"b", "c"}) {
      voter.Handle(context, kSilentUntil, other, RecoveryReply{kNoToken, query.request_id, {}, false});
    }
    voter.Tick(context, kServingAt, kWallMs);
    context.DrainMessages();
  }

  // Returns the body of the first message queued since the last call, which must be of the type Body.
  template <class Body>
  Body Reply() {
    return std::get<Body>(context.DrainMessages().at(0).message.body);
  }
  void GrantTo(const std::string& holder, Token ballot, Micros now) {
    voter.Handle(context, now, holder, Prepare{ballot, 1});
    voter.Handle(context, now, holder, Propose{ballot, 2});
    context.DrainMessages();
  }

  static constexpr std::uint64_t kWallMs = 1'000;
  static constexpr Micros kSilentUntil = 1s + 2 * 125ms;
  static constexpr Micros kServingAt = kSilentUntil + 1ms;
  static constexpr Micros kNow = 2s;

  LeaseOptions options = ThreeVoterOptions();
  NodeContext context{options, "a", 1};
  VoterState voter{kHealthLease, options, Micros{0}};
};

TEST_F(VoterStateTest, ServesFromItsClockWhenAllVotersAreStarting) {
  EXPECT_TRUE(voter.IsServing());
  voter.Handle(context, kNow, "x", Prepare{Token{kWallMs}, 1});
  EXPECT_EQ(Reply<Reject>().highest_ballot, Token{kWallMs});
}

TEST_F(VoterStateTest, IgnoresCandidatesWhileSilent) {
  VoterState starting(kHealthLease, options, Micros{0});
  starting.Handle(context, kSilentUntil - 1us, "x", Prepare{Token{5'000}, 1});
  EXPECT_TRUE(context.DrainMessages().empty());
}

TEST_F(VoterStateTest, RecoversTheGrantOfAServingMajority) {
  VoterState starting(kHealthLease, options, Micros{0});
  starting.Tick(context, kSilentUntil, kWallMs);
  const auto query = Reply<RecoveryQuery>();
  starting.Handle(context, kSilentUntil, "b", RecoveryReply{Token{7'000}, query.request_id, "x", true});
  starting.Tick(context, kServingAt, kWallMs);
  EXPECT_FALSE(starting.IsServing());
  starting.Handle(context, kSilentUntil, "c", RecoveryReply{Token{6'000}, query.request_id, "y", true});
  starting.Tick(context, kServingAt, kWallMs);
  EXPECT_TRUE(starting.IsServing());
  context.DrainMessages();
  starting.Handle(context, kNow, "z", Prepare{Token{7'000}, 1});
  EXPECT_EQ(Reply<Reject>().highest_ballot, Token{7'000});
}

TEST_F(VoterStateTest, RepliesToRecoveryQueriesOfVotersOnly) {
  GrantTo("x", Token{5'000}, kNow);
  voter.Handle(context, kNow, "stranger", RecoveryQuery{3});
  EXPECT_TRUE(context.DrainMessages().empty());
  voter.Handle(context, kNow, "b", RecoveryQuery{3});
  const auto reply = Reply<RecoveryReply>();
  EXPECT_EQ(reply.granted, Token{5'000});
  EXPECT_EQ(reply.request_id, 3u);
  EXPECT_EQ(reply.holder, "x");
  EXPECT_TRUE(reply.is_serving);
}

TEST_F(VoterStateTest, PromisesEachBallotOnce) {
  voter.Handle(context, kNow, "x", Prepare{Token{5'000}, 1});
  EXPECT_EQ(Reply<Promise>().ballot, Token{5'000});
  voter.Handle(context, kNow, "x", Prepare{Token{5'000}, 2});
  EXPECT_EQ(Reply<Reject>().request_id, 2u);
}

TEST_F(VoterStateTest, PromisesNothingWhileAnotherMembersLeaseLasts) {
  GrantTo("x", Token{5'000}, kNow);
  voter.Handle(context, kNow + 100ms, "y", Prepare{Token{6'000}, 1});
  const auto reject = Reply<Reject>();
  EXPECT_EQ(reject.holder, "x");
  EXPECT_EQ(reject.remaining, options.lease_duration - 100ms);
}

TEST_F(VoterStateTest, PromisesAgainOnceTheLeaseHasExpired) {
  GrantTo("x", Token{5'000}, kNow);
  voter.Handle(context, kNow + options.lease_duration, "y", Prepare{Token{6'000}, 1});
  EXPECT_EQ(Reply<Promise>().ballot, Token{6'000});
}

TEST_F(VoterStateTest, GrantsForTheLeaseDuration) {
  GrantTo("x", Token{5'000}, kNow);
  const auto grant = voter.CurrentGrant(kNow + 1ms);
  ASSERT_TRUE(grant);
  EXPECT_EQ(grant->holder, "x");
  EXPECT_EQ(grant->token, Token{5'000});
  EXPECT_EQ(grant->expires_at, kNow + options.lease_duration);
  EXPECT_FALSE(voter.CurrentGrant(kNow + options.lease_duration));
}

TEST_F(VoterStateTest, RejectsAProposalWhileAHigherPromiseLasts) {
  voter.Handle(context, kNow, "x", Prepare{Token{5'000}, 1});
  voter.Handle(context, kNow, "y", Prepare{Token{6'000}, 1});
  context.DrainMessages();
  voter.Handle(context, kNow + 1ms, "x", Propose{Token{5'000}, 2});
  EXPECT_EQ(Reply<Reject>().highest_ballot, Token{6'000});
}

TEST_F(VoterStateTest, GrantsAProposalOnceAHigherPromiseHasExpired) {
  voter.Handle(context, kNow, "x", Prepare{Token{5'000}, 1});
  voter.Handle(context, kNow, "y", Prepare{Token{6'000}, 1});
  context.DrainMessages();
  voter.Handle(context, kNow + options.PromiseDuration(), "x", Propose{Token{5'000}, 2});
  EXPECT_EQ(Reply<Accept>().ballot, Token{5'000});
}

TEST_F(VoterStateTest, GrantsNothingBelowAnEarlierGrant) {
  GrantTo("x", Token{5'000}, kNow);
  voter.Handle(context, kNow + 5s, "y", Propose{Token{4'999}, 2});
  EXPECT_EQ(Reply<Reject>().highest_ballot, Token{5'000});
}

TEST_F(VoterStateTest, ReleaseNotifiesRejectedCandidates) {
  GrantTo("x", Token{5'000}, kNow);
  voter.Handle(context, kNow, "y", Prepare{Token{6'000}, 1});
  context.DrainMessages();
  voter.Handle(context, kNow + 1ms, "x", Release{Token{5'000}});
  const auto messages = context.DrainMessages();
  ASSERT_EQ(messages.size(), 1u);
  EXPECT_EQ(messages[0].recipient, "y");
  EXPECT_TRUE(std::holds_alternative<LeaseFreed>(messages[0].message.body));
  EXPECT_FALSE(voter.CurrentGrant(kNow + 1ms));
}

TEST_F(VoterStateTest, IgnoresTheReleaseOfAnotherToken) {
  GrantTo("x", Token{5'000}, kNow);
  voter.Handle(context, kNow, "x", Release{Token{4'999}});
  voter.Handle(context, kNow, "y", Release{Token{5'000}});
  EXPECT_TRUE(voter.CurrentGrant(kNow + 1ms));
}

TEST_F(VoterStateTest, RemembersABoundedNumberOfRejectedCandidates) {
  GrantTo("x", Token{5'000}, kNow);
  for (int i = 0; i < 20; ++i) voter.Handle(context, kNow, "y" + std::to_string(i), Prepare{Token{6'000}, 1});
  context.DrainMessages();
  voter.Handle(context, kNow + 1ms, "x", Release{Token{5'000}});
  EXPECT_EQ(context.DrainMessages().size(), VoterState::kMaxRejectedCandidates);
}

}  // namespace
}  // namespace tinspan::lease
