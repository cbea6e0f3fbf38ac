// Tests of lease nodes in a simulated fleet, one for each fault that leases must tolerate.
#include "lease/lease_node.hpp"

#include <gtest/gtest.h>

#include "lease_fixture.hpp"

namespace tinspan::lease {
namespace {

using namespace std::chrono_literals;
using sim::Fleet;

constexpr Micros kOneHour{3'600'000'000};

void ExpectEveryVoterKnowsTheHolder(const Fleet& fleet, int voter_count) {
  const std::string holder = fleet.NameOf(fleet.Holder().value());
  for (int i = 0; i < voter_count; ++i) {
    EXPECT_EQ(fleet.NodeOf(i).StatusOf(Fleet::kLease, fleet.Now()).holder, holder) << "voter " << i;
  }
}

// Pauses the current holder for longer than a lease duration, `times` times.
void PauseHolders(Fleet& fleet, int times) {
  for (int i = 0; i < times; ++i) {
    if (const auto holder = fleet.Holder()) fleet.Pause(*holder, fleet.Now() + 1'200ms);
    fleet.RunFor(1'500ms);
  }
}

void RestartAll(Fleet& fleet, int member_count) {
  for (int i = 0; i < member_count; ++i) fleet.Kill(i);
  for (int i = 0; i < member_count; ++i) fleet.Restart(i);
}

TEST(LeaseNode, OneMemberHoldsAndRenews) {
  CandidateFleet fleet(5, 5);
  const int holder = RunUntilFirstHolder(fleet, 5s);
  fleet.RunFor(20s);
  EXPECT_EQ(fleet.Holder(), holder);
  EXPECT_EQ(fleet.RecordedHistory().GrantCount(), 1u);
  ExpectNoViolation(fleet);
}

// One record is published every 200 ms, with one write and one read.
TEST(LeaseNode, HolderPublishesAtItsInterval) {
  CandidateFleet fleet(5, 5);
  RunUntilFirstHolder(fleet, 5s);
  fleet.RunFor(20s);
  EXPECT_GT(fleet.RecordedHistory().AcceptedWrites(), 80u);
  EXPECT_LE(fleet.StoreRequestCount(), 2 * fleet.RecordedHistory().AcceptedWrites() + 2);
}

// A voter that promised a ballot which then failed must grant the lease to the holder once that promise has
// expired. Otherwise the holder depends on a bare majority, and that voter does not know who the holder is.
TEST(LeaseNode, EveryVoterEventuallyGrantsTheHolder) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    CandidateFleet fleet(5, 5, seed);
    fleet.SetLinkQuality({0, 0, 100us, 40ms});  // slow enough for two candidates to prepare at once
    RunUntilFirstHolder(fleet, 6s);
    fleet.RunFor(2s);
    ExpectEveryVoterKnowsTheHolder(fleet, 5);
    ExpectNoViolation(fleet);
  }
}

TEST(LeaseNode, KilledHolderIsSucceededWithinALeaseAndItsNumbersContinue) {
  CandidateFleet fleet(5, 5);
  const int holder = RunUntilFirstHolder(fleet, 5s);
  fleet.RunFor(3s);
  EXPECT_EQ(fleet.Holder(), holder);
  const std::uint64_t number = fleet.Stored().number;
  fleet.Kill(holder);
  EXPECT_LT(RunUntilHeld(fleet, 10s), 1s + 250ms);
  fleet.RunFor(2s);
  EXPECT_GT(fleet.Stored().number, number);
  EXPECT_GT(fleet.RecordedHistory().GrantCount(), 1u);
  ExpectNoViolation(fleet);
}

// A fleet whose first holder is in a pause of three seconds, during which another member has taken over.
class PausedHolderTest : public testing::Test {
 protected:
  PausedHolderTest() {
    first_holder = RunUntilFirstHolder(fleet, 5s);
    fleet.RunFor(1s);
    first_token = fleet.Stored().token;
    fleet.Pause(first_holder, fleet.Now() + 3s);
    fleet.RunFor(2s);
  }

  CandidateFleet fleet{5, 5};
  int first_holder = 0;
  Token first_token = kNoToken;
};

TEST_F(PausedHolderTest, IsSucceededUnderAHigherToken) {
  ASSERT_TRUE(fleet.Holder());
  EXPECT_NE(fleet.Holder(), first_holder);
  EXPECT_GT(fleet.Stored().token, first_token);
}

TEST_F(PausedHolderTest, DoesNotActUnderItsOldTokenOnceItContinues) {
  const auto second_holder = fleet.Holder();
  const Token second_token = fleet.Stored().token;
  fleet.RunFor(3s);
  EXPECT_EQ(fleet.Holder(), second_holder);
  EXPECT_EQ(fleet.Stored().token, second_token);
  ExpectNoViolation(fleet);
}

// One member's clock runs 10 % fast, then 10 % slow, and another's is off in the opposite direction.
TEST(LeaseNode, DriftingClocksNeverLetTwoMembersHold) {
  for (const double rate : {1.1, 0.9}) {
    CandidateFleet fleet(3, 3, 7, {rate, 2 - rate, 1.0});
    RunUntilFirstHolder(fleet, 6s);
    PauseHolders(fleet, 20);
    EXPECT_GT(fleet.RecordedHistory().GrantCount(), 5u);
    ExpectNoViolation(fleet);
  }
}

TEST(LeaseNode, ReleaseHandsTheLeaseOverAtOnce) {
  CandidateFleet fleet(5, 5);
  const int first = RunUntilFirstHolder(fleet, 5s);
  fleet.RunFor(2s);  // so that the voters have rejected the other candidates and remember them
  EXPECT_EQ(fleet.Holder(), first);
  fleet.Leave(first);
  EXPECT_LT(RunUntilHeld(fleet, 5s, first), 100ms);
  ExpectNoViolation(fleet);
}

// A restarted voter stays silent until any lease that it may have granted has expired. Meanwhile the two
// other voters renew the lease.
TEST(LeaseNode, RestartedVoterIsSilentForALease) {
  CandidateFleet fleet(3, 3);
  const int holder = RunUntilFirstHolder(fleet, 5s);
  fleet.RunFor(1s);
  const int restarted = (holder + 1) % 3;
  fleet.Kill(restarted);
  fleet.Restart(restarted);
  fleet.RunFor(500ms);
  EXPECT_FALSE(fleet.NodeOf(restarted).IsServing(Fleet::kLease));
  EXPECT_EQ(fleet.Holder(), holder);
  fleet.RunFor(2s);
  EXPECT_TRUE(fleet.NodeOf(restarted).IsServing(Fleet::kLease));
  EXPECT_EQ(fleet.Holder(), holder);
  ExpectNoViolation(fleet);
}

// A voter restarts after granting a token that only one other voter knows, and a candidate whose clock is
// behind cannot reach that other voter. Unless the restarted voter queries it before serving, the candidate
// is granted a lower token.
TEST(LeaseNode, RestartedVoterLearnsWhatItGranted) {
  Fleet fleet(ShortLeaseOptions(), 3, 200ms, 11);
  for (int i = 0; i < 3; ++i) fleet.Add();
  const int ahead = fleet.Add(1, kOneHour);
  const int behind = fleet.Add();
  fleet.CutLink(ahead, 2);
  fleet.SetCandidacy(ahead, true);
  ASSERT_EQ(RunUntilFirstHolder(fleet, 6s), ahead);
  fleet.CutStore(behind, true);  // so that it cannot learn the token from the store
  fleet.Kill(ahead);
  fleet.Kill(0);
  fleet.Restart(0);
  fleet.CutLink(behind, 1);
  fleet.SetCandidacy(behind, true);
  EXPECT_EQ(RunUntilFirstHolder(fleet, 5s), behind);
  ExpectNoViolation(fleet);
}

// The first member was the only candidate and wrote to the store with a clock one hour ahead. Then all
// members lost their state, and another member with an exact clock became the candidate. The token in the
// store is now higher than any token that the fleet knows.
class LostStateTest : public testing::Test {
 protected:
  LostStateTest() {
    for (int i = 0; i < 3; ++i) fleet.Add(1.0, i == 0 ? kOneHour : Micros{0});
    fleet.SetCandidacy(0, true);
    RunUntilFirstHolder(fleet, 6s);
    fleet.RunFor(1s);
    stored_before = fleet.Stored();
    fleet.SetCandidacy(0, false);
    fleet.SetCandidacy(1, true);
    RestartAll(fleet, 3);
    fleet.RunFor(10s);
  }

  Fleet fleet{ShortLeaseOptions(), 3, 200ms, 5};
  StoredRecord stored_before;
};

// A holder that reads a newer token in the store abandons its lease, and its next ballot is above that token.
TEST_F(LostStateTest, NewHolderHasATokenAboveTheStores) {
  EXPECT_GT(fleet.Stored().token, stored_before.token);
  EXPECT_GT(fleet.Stored().number, stored_before.number);
}

TEST_F(LostStateTest, StoreKeepsWritesInOrderDespiteALowerToken) {
  EXPECT_TRUE(fleet.RecordedHistory().FindTokenOrderViolation());
  EXPECT_FALSE(fleet.RecordedHistory().FindOverlap());
  EXPECT_FALSE(fleet.RecordedHistory().FindWriteViolation());
}

}  // namespace
}  // namespace tinspan::lease
