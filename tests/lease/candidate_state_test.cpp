// Tests of the candidate and holder of a lease in a single node; the test sends the voters' messages.
#include "lease/candidate_state.hpp"

#include <gtest/gtest.h>

#include "lease_fixture.hpp"

namespace tinspan::lease {
namespace {

using namespace std::chrono_literals;

class CandidateStateTest : public CandidateNode {};

TEST_F(CandidateStateTest, ProposesOncePromisedByAMajority) {
  Promised(130ms, "a");
  EXPECT_TRUE(node.DrainMessages().empty());
  Promised(130ms, "b");
  EXPECT_EQ(TakeFirst<Propose>(node).ballot, prepare.ballot);
}

// A candidate that was stopped between sending a Prepare and reading the promises must not use them: they
// have expired.
TEST_F(CandidateStateTest, IgnoresPromisesAfterTheBallotTimeout) {
  const Micros late = kStartedAt + options.ballot_timeout;
  for (const char* voter : {"a", "b", "c"}) Promised(late, voter);
  EXPECT_TRUE(node.DrainMessages().empty());
  EXPECT_FALSE(node.HeldToken(kHealthLease, late));
}

TEST_F(CandidateStateTest, CountsEachVoterOnce) {
  const Propose propose = ReachProposal(130ms);
  Accepted(140ms, "a", propose);
  Accepted(140ms, "a", propose);
  EXPECT_FALSE(node.HeldToken(kHealthLease, 140ms));
  Accepted(140ms, "b", propose);
  EXPECT_EQ(node.HeldToken(kHealthLease, 140ms), propose.ballot);
}

TEST_F(CandidateStateTest, HoldIsCountedFromTheProposal) {
  const Propose propose = ReachProposal(130ms);
  Accepted(140ms, "a", propose);
  Accepted(140ms, "b", propose);
  EXPECT_EQ(HeldUntil(140ms), 130ms + options.HolderValidity());
}

// An Accept of an earlier proposal belongs to a grant that started earlier, and a member that is not a voter
// cannot grant. Counting either would extend the hold beyond the voters' grants.
TEST_F(CandidateStateTest, RenewalCountsOnlyVotersAcceptsOfTheLatestProposal) {
  const Propose first = ReachProposal(130ms);
  Accepted(140ms, "a", first);
  Accepted(140ms, "b", first);
  const Micros held_until = HeldUntil(140ms);
  node.Tick(500ms, 1'400);
  const auto second = TakeFirst<Propose>(node);
  Accepted(510ms, "c", first);
  Accepted(510ms, "b", first);
  EXPECT_EQ(HeldUntil(510ms), held_until);
  Accepted(520ms, "b", second);
  Accepted(520ms, "stranger", second);
  EXPECT_EQ(HeldUntil(520ms), held_until);
  Accepted(530ms, "c", second);
  EXPECT_EQ(HeldUntil(530ms), 500ms + options.HolderValidity());
}

TEST_F(CandidateStateTest, AcceptsAfterTheHoldExpiredRenewNothing) {
  const Propose first = ReachProposal(130ms);
  Accepted(140ms, "a", first);
  Accepted(140ms, "b", first);
  const Micros held_until = HeldUntil(140ms);
  node.Tick(held_until - 1ms, 1'800);
  const auto second = TakeFirst<Propose>(node);
  Accepted(held_until, "a", second);
  Accepted(held_until, "b", second);
  EXPECT_FALSE(node.HeldToken(kHealthLease, held_until));
}

TEST_F(CandidateStateTest, RejectionReportsTheHolder) {
  Deliver(node, 130ms, "a", Reject{Token{2'000}, prepare.request_id, "other", 400ms});
  const LeaseStatus status = node.StatusOf(kHealthLease, 200ms);
  EXPECT_EQ(status.holder, "other");
  EXPECT_EQ(status.token, Token{2'000});
  EXPECT_EQ(status.remaining, Micros{330ms});
  EXPECT_TRUE(node.StatusOf(kHealthLease, 530ms).holder.empty());
}

TEST_F(CandidateStateTest, RejectedCandidateRetriesWhenTheLeaseMayBeFree) {
  for (const char* voter : {"a", "b"}) {
    Deliver(node, 130ms, voter, Reject{prepare.ballot, prepare.request_id, "other", 400ms});
  }
  EXPECT_GE(node.NextDeadline(), 530ms);
  EXPECT_LE(node.NextDeadline(), 530ms + options.ballot_timeout / 4);
}

TEST_F(CandidateStateTest, NewBallotIsAboveARejectingVotersBallot) {
  for (const char* voter : {"a", "b"})
    Deliver(node, 130ms, voter, Reject{Token{9'000}, prepare.request_id, {}, {}});
  node.Tick(node.NextDeadline(), kWallMs);
  EXPECT_EQ(TakeFirst<Prepare>(node).ballot, Token{9'001});
}

TEST_F(CandidateStateTest, ReleaseEndsTheHoldAndNotifiesTheVoters) {
  const Propose propose = ReachProposal(130ms);
  Accepted(140ms, "a", propose);
  Accepted(140ms, "b", propose);
  node.ReleaseAll(200ms);
  EXPECT_FALSE(node.HeldToken(kHealthLease, 200ms));
  const auto messages = node.DrainMessages();
  ASSERT_EQ(messages.size(), 3u);
  for (const OutboundMessage& outbound : messages) {
    EXPECT_EQ(std::get<Release>(outbound.message.body).ballot, propose.ballot);
  }
}

}  // namespace
}  // namespace tinspan::lease
