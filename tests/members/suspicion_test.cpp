// Tests of SuspicionTracker: the deadlines of suspicions, and how confirmations shorten them.
#include "members/suspicion.hpp"

#include <gtest/gtest.h>

#include <chrono>

#include "members/member_table.hpp"
#include "members/types.hpp"
#include "unit_fixture.hpp"

namespace tinspan::members {
namespace {

using namespace std::chrono_literals;

class SuspicionTrackerTest : public MembershipUnitTest {
 protected:
  Member& AddSuspect(const char* name, Micros since = kStart) {
    Member& member = AddMember(name, 1);
    SetState(member, State::kSuspect, since);
    suspicions_.Start(member, "first");
    return member;
  }
  SuspicionTracker suspicions_{options_, table_};
};

TEST_F(SuspicionTrackerTest, HasNoDeadlineAtFirst) {
  EXPECT_EQ(suspicions_.NextDeadline(), Micros::max());
  EXPECT_FALSE(suspicions_.FirstExpired(kStart));
}

// The shortest timeout is alpha (4) * max(1, log10(n)) probe intervals of 1 s; the longest is beta (6) times
// that.
TEST_F(SuspicionTrackerTest, LastsLongestWithoutAConfirmation) { EXPECT_EQ(suspicions_.Timeout(0), 24s); }

TEST_F(SuspicionTrackerTest, LastsShortestWithAsManyConfirmationsAsIndirectProbes) {
  EXPECT_EQ(suspicions_.Timeout(3), 4s);
  EXPECT_EQ(suspicions_.Timeout(30), 4s);
}

TEST_F(SuspicionTrackerTest, ExpiresAtItsDeadline) {
  const Member& member = AddSuspect("suspect");
  EXPECT_EQ(member.suspicion_deadline, kStart + 24s);
  EXPECT_EQ(suspicions_.NextDeadline(), kStart + 24s);
  EXPECT_FALSE(suspicions_.FirstExpired(kStart + 24s - 1us));
  EXPECT_EQ(suspicions_.FirstExpired(kStart + 24s), "suspect");
}

TEST_F(SuspicionTrackerTest, TheEarliestExpiresFirst) {
  AddSuspect("a-later", kStart + 1s);
  AddSuspect("b-earlier");
  EXPECT_EQ(suspicions_.FirstExpired(kStart + 60s), "b-earlier");
}

TEST_F(SuspicionTrackerTest, AConfirmationShortensTheSuspicion) {
  Member& member = AddSuspect("suspect");
  EXPECT_TRUE(suspicions_.Confirm(member, "second"));
  EXPECT_EQ(member.latest_suspector, "second");
  EXPECT_EQ(suspicions_.NextDeadline(), kStart + suspicions_.Timeout(1));
  EXPECT_LT(suspicions_.NextDeadline(), kStart + 24s);
}

TEST_F(SuspicionTrackerTest, ASuspectorCountsOnce) {
  Member& member = AddSuspect("suspect");
  EXPECT_FALSE(suspicions_.Confirm(member, "first"));
  EXPECT_EQ(suspicions_.NextDeadline(), kStart + 24s);
}

TEST_F(SuspicionTrackerTest, ClearingEndsTheSuspicion) {
  Member& member = AddSuspect("suspect");
  suspicions_.ClearSuspicion(member);
  EXPECT_TRUE(member.suspectors.empty());
  EXPECT_EQ(suspicions_.NextDeadline(), Micros::max());
}

TEST_F(SuspicionTrackerTest, RestartsAllWithTheirSuspectors) {
  Member& member = AddSuspect("suspect");
  suspicions_.Confirm(member, "second");
  suspicions_.RestartAll(kStart + 10s);
  EXPECT_EQ(member.suspectors.size(), 2U);
  EXPECT_EQ(suspicions_.NextDeadline(), kStart + 10s + suspicions_.Timeout(1));
}

}  // namespace
}  // namespace tinspan::members
