// Lease nodes in a simulated fleet: each fault that the lease has to survive is played once.
#include "lease/lease_node.hpp"

#include <gtest/gtest.h>

#include "lease_fixture.hpp"

namespace tinspan::lease {
namespace {

using namespace std::chrono_literals;
using sim::Fleet;

constexpr Micros kOneHour{3'600'000'000};

TEST(LeaseNode, OneMemberHoldsAndRenews) {
  CandidateFleet fleet(5, 5);
  ASSERT_LT(RunUntilHeld(fleet, 10s), 5s);
  const auto holder = fleet.Holder();
  fleet.RunFor(20s);
  EXPECT_EQ(fleet.Holder(), holder);
  EXPECT_EQ(fleet.RecordedHistory().GrantCount(), 1u);
  ExpectNoViolation(fleet);
}

// A record each 200 ms; each takes a write and a read.
TEST(LeaseNode, HolderPublishesAtItsInterval) {
  CandidateFleet fleet(5, 5);
  ASSERT_LT(RunUntilHeld(fleet, 10s), 5s);
  fleet.RunFor(20s);
  EXPECT_GT(fleet.RecordedHistory().AcceptedWrites(), 80u);
  EXPECT_LE(fleet.StoreRequestCount(), 2 * fleet.RecordedHistory().AcceptedWrites() + 2);
}

// A voter that promised another candidate's ballot which came to nothing grants the holder all the same once
// that promise has expired: the holder would otherwise live on a bare majority, and the voter would not know
// who holds.
TEST(LeaseNode, EveryVoterEventuallyGrantsTheHolder) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    CandidateFleet fleet(5, 5, seed);
    fleet.SetLinkQuality({0, 0, 100us, 40ms});  // slow enough for two candidates to prepare at once
    ASSERT_LT(RunUntilHeld(fleet, 10s), 6s) << seed;
    fleet.RunFor(2s);
    const auto holder = fleet.Holder();
    ASSERT_TRUE(holder) << seed;
    for (int i = 0; i < 5; ++i) {
      EXPECT_EQ(fleet.NodeOf(i).StatusOf(Fleet::kLease, fleet.Now()).holder, fleet.NameOf(*holder))
          << "seed " << seed << ", voter " << i;
    }
    ExpectNoViolation(fleet);
  }
}

TEST(LeaseNode, KilledHolderIsSucceededWithinALeaseAndItsNumbersContinue) {
  CandidateFleet fleet(5, 5);
  ASSERT_LT(RunUntilHeld(fleet, 10s), 5s);
  fleet.RunFor(3s);
  const std::uint64_t number = fleet.Stored().number;
  fleet.Kill(fleet.Holder().value());
  EXPECT_LT(RunUntilHeld(fleet, 10s), 1s + 250ms);
  fleet.RunFor(2s);
  EXPECT_GT(fleet.Stored().number, number);
  EXPECT_GT(fleet.RecordedHistory().GrantCount(), 1u);
  ExpectNoViolation(fleet);
}

TEST(LeaseNode, PausedHolderDoesNotActUnderItsOldToken) {
  CandidateFleet fleet(5, 5);
  ASSERT_LT(RunUntilHeld(fleet, 10s), 5s);
  fleet.RunFor(1s);
  const int first = fleet.Holder().value();
  const Token old_token = fleet.Stored().token;
  fleet.Pause(first, fleet.Now() + 3s);
  fleet.RunFor(2s);
  const auto second = fleet.Holder();
  ASSERT_NE(second, first);
  const Token next_token = fleet.Stored().token;
  EXPECT_GT(next_token, old_token);
  fleet.RunFor(3s);
  EXPECT_EQ(fleet.Holder(), second);
  EXPECT_EQ(fleet.Stored().token, next_token);
  ExpectNoViolation(fleet);
}

// The clock of one member is a tenth fast, then a tenth slow; another's is off in the opposite direction.
TEST(LeaseNode, DriftingClocksNeverLetTwoMembersHold) {
  for (const double rate : {1.1, 0.9}) {
    CandidateFleet fleet(3, 3, 7, {rate, 2 - rate, 1.0});
    ASSERT_LT(RunUntilHeld(fleet, 10s), 6s);
    for (int i = 0; i < 20; ++i) {
      if (const auto holder = fleet.Holder()) fleet.Pause(*holder, fleet.Now() + 1'200ms);
      fleet.RunFor(1'500ms);
    }
    EXPECT_GT(fleet.RecordedHistory().GrantCount(), 5u);
    ExpectNoViolation(fleet);
  }
}

TEST(LeaseNode, ReleaseHandsTheLeaseOverAtOnce) {
  CandidateFleet fleet(5, 5);
  ASSERT_LT(RunUntilHeld(fleet, 10s), 5s);
  fleet.RunFor(2s);  // the voters have rejected the other candidates, and remember them
  const int first = fleet.Holder().value();
  fleet.Leave(first);
  EXPECT_LT(RunUntilHeld(fleet, 5s, first), 100ms);
  ExpectNoViolation(fleet);
}

// A restarted voter is silent until what it may have granted has expired; the two others renew the lease
// meanwhile.
TEST(LeaseNode, RestartedVoterIsSilentForALease) {
  CandidateFleet fleet(3, 3);
  ASSERT_LT(RunUntilHeld(fleet, 10s), 5s);
  fleet.RunFor(1s);
  const int holder = fleet.Holder().value();
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

// A token was granted through a voter that restarts, and only one other voter knows it; a candidate whose
// clock is behind cannot reach that one. The restarted voter has to query it before it serves.
TEST(LeaseNode, RestartedVoterLearnsWhatItGranted) {
  Fleet fleet(ShortLeaseOptions(), 3, 200ms, 11);
  for (int i = 0; i < 3; ++i) fleet.Add();
  const int ahead = fleet.Add(1, kOneHour);
  const int behind = fleet.Add();
  fleet.CutLink(ahead, 2);
  fleet.SetCandidacy(ahead, true);
  ASSERT_LT(RunUntilHeld(fleet, 10s), 6s);
  ASSERT_EQ(fleet.Holder(), ahead);
  fleet.CutStore(behind, true);  // it cannot learn the token from the store either
  fleet.Kill(ahead);
  fleet.Kill(0);
  fleet.Restart(0);
  fleet.CutLink(behind, 1);
  fleet.SetCandidacy(behind, true);
  ASSERT_LT(RunUntilHeld(fleet, 10s), 5s);
  EXPECT_EQ(fleet.Holder(), behind);
  ExpectNoViolation(fleet);
}

// All state is lost and every clock is an hour back, so that the store's token is newer than the fleet's: the
// first member that reads it abandons the lease, and the next ballot is above it.
TEST(LeaseNode, FleetThatLostItsStateAndClocksRisesAboveTheStoresToken) {
  Fleet fleet(ShortLeaseOptions(), 3, 200ms, 5);
  for (int i = 0; i < 3; ++i) fleet.Add(1.0, i == 0 ? kOneHour : Micros{0});
  fleet.SetCandidacy(0, true);  // only the one that is an hour ahead
  ASSERT_LT(RunUntilHeld(fleet, 10s), 6s);
  fleet.RunFor(1s);
  const StoredRecord before = fleet.Stored();
  for (int i = 0; i < 3; ++i) fleet.Kill(i);
  fleet.SetCandidacy(0, false);
  fleet.SetCandidacy(1, true);
  for (int i = 0; i < 3; ++i) fleet.Restart(i);
  fleet.RunFor(10s);
  EXPECT_GT(fleet.Stored().token, before.token);
  EXPECT_GT(fleet.Stored().number, before.number);
  EXPECT_FALSE(fleet.RecordedHistory().FindOverlap());
  EXPECT_FALSE(fleet.RecordedHistory().FindWriteViolation());
  // What the clocks alone could not order, the store did.
  EXPECT_TRUE(fleet.RecordedHistory().FindTokenOrderViolation());
}

}  // namespace
}  // namespace tinspan::lease
