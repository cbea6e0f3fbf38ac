// Tests of MembershipView in simulated time: each kind of fault on a small fleet, and the limits on the
// memory that datagrams can make a view occupy.
#include "members/membership_view.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "fleet_fixture.hpp"
#include "members/member_table.hpp"
#include "members/message.hpp"
#include "members/sim.hpp"
#include "members/types.hpp"

namespace tinspan::members {
namespace {

using namespace std::chrono_literals;

TEST(MembershipViewTest, JoinsThroughOneSeed) {
  sim::Fleet fleet = StartFleet(8);
  EXPECT_LT(TimeToConverge(fleet, 10s), 5s);
}

TEST(MembershipViewTest, ThirtyMembersJoinAtTheSameTime) {
  sim::Fleet fleet = StartFleet(2);
  ASSERT_LT(TimeToConverge(fleet, 10s), 10s);
  for (int joined = 0; joined < 30; ++joined) fleet.Add("", {0, 1});
  EXPECT_LT(TimeToConverge(fleet, 30s), 15s);
}

TEST(MembershipViewTest, TenPercentLossCausesNoFalseDeath) {
  sim::Fleet fleet = StartFleet(8, 3, sim::Link{0.1, Micros{100}, Micros{2'000}});
  ASSERT_LT(TimeToConverge(fleet, 20s), 20s);
  fleet.RunFor(60s);
  EXPECT_EQ(fleet.CountWronglyDead(), 0U);
  EXPECT_LT(TimeToConverge(fleet, 10s), 10s);
}

TEST(MembershipViewTest, AMemberThatLeavesIsNotProbed) {
  sim::Fleet fleet = StartFleet(6);
  ASSERT_LT(TimeToConverge(fleet, 10s), 10s);
  fleet.Leave(2);
  fleet.RunFor(1s);
  fleet.Kill(2);
  EXPECT_LT(TimeToConverge(fleet, 10s), 3s);
}

class MembershipViewFleetTest : public ConvergedFleetTest {};

TEST_F(MembershipViewFleetTest, DetectsACrash) {
  fleet_.RunFor(2s);
  fleet_.Kill(3);
  EXPECT_LT(TimeToConverge(fleet_, 20s), 6s);
  EXPECT_EQ(fleet_.CountWronglyDead(), 0U);
}

TEST_F(MembershipViewFleetTest, APausedMemberRefutes) {
  const std::uint64_t before = fleet_.ViewOf(5).Self().incarnation;
  fleet_.Pause(5, fleet_.Now() + 3s);
  fleet_.RunFor(3s);
  fleet_.RunFor(1ms);
  EXPECT_LT(TimeToConverge(fleet_, 10s), 5s);
  EXPECT_GT(fleet_.ViewOf(5).Self().incarnation, before);
}

TEST_F(MembershipViewFleetTest, AHealedPartitionConverges) {
  fleet_.Partition({0, 1, 2, 3});
  fleet_.RunFor(10s);
  EXPECT_FALSE(fleet_.HasConverged());
  fleet_.UnblockAllLinks();
  EXPECT_LT(TimeToConverge(fleet_, 20s), 10s);
}

TEST_F(MembershipViewFleetTest, AOneWayLinkCausesNoDeath) {
  fleet_.SetLinkBlocked(1, 2);
  std::size_t declared_dead = 0;
  fleet_.on_change = [&](int, const StateChange& change, Micros) {
    if (change.current == State::kDead) ++declared_dead;
  };
  fleet_.RunFor(20s);
  EXPECT_EQ(declared_dead, 0U);
  EXPECT_TRUE(fleet_.HasConverged());
}

TEST_F(MembershipViewFleetTest, ARestartUnderTheSameNameTakesPrecedence) {
  fleet_.Kill(4);
  fleet_.RunFor(500ms);
  fleet_.Restart(4);
  EXPECT_LT(TimeToConverge(fleet_, 10s), 5s);
}

// Member 4 reports failing servers five times and a lease once.
class MembershipViewReportTest : public MembershipViewFleetTest {
 protected:
  void SetUp() override {
    MembershipViewFleetTest::SetUp();
    for (std::uint64_t server = 1; server <= 5; ++server) {
      fleet_.SetFailingServers(4, {server});
      fleet_.RunFor(200ms);
    }
    fleet_.SetLeaseClaims(4, {{"health", 77}});
    fleet_.RunFor(3s);
  }
  const Member& ReporterIn(int observer) const { return fleet_.ViewOf(observer).Members().at("m4"); }
  // Checks the restarted member 4's report in the view of `observer`.
  void ExpectNewReport(int observer) const {
    EXPECT_EQ(ReporterIn(observer).failing_servers, (std::vector<std::uint64_t>{9}));
    EXPECT_TRUE(ReporterIn(observer).lease_claims.empty());
    EXPECT_EQ(fleet_.ViewOf(observer).CurrentDigest(), fleet_.ViewOf(4).CurrentDigest());
  }
};

TEST_F(MembershipViewReportTest, ReachesOtherMembers) {
  EXPECT_EQ(ReporterIn(1).failing_servers, (std::vector<std::uint64_t>{5}));
  EXPECT_EQ(ReporterIn(1).lease_claims, (std::vector<LeaseClaim>{{"health", 77}}));
}

// Report versions start at 0 in each incarnation. The report of the new incarnation must replace the old one,
// although the old one has a higher version, and all views must have the same digest again.
TEST_F(MembershipViewReportTest, OfARestartedMemberReplacesItsPreviousReport) {
  fleet_.Kill(4);
  fleet_.RunFor(500ms);
  fleet_.Restart(4);
  fleet_.SetFailingServers(4, {9});
  fleet_.RunFor(10s);
  for (const int observer : {0, 1, 2, 3, 5, 6, 7}) ExpectNewReport(observer);
}

// Any host that reaches the port can send any number of names, suspectors and ping-reqs. The memory of a view
// must stay bounded.
class MembershipViewFloodTest : public testing::Test {
 protected:
  static MemberUpdate Self() {
    MemberUpdate self;
    self.name = "self";
    return self;
  }
  // Receives `messages` pings with the maximum number of updates. `fill` sets each update from a unique
  // number.
  void Flood(int messages, const std::function<void(MemberUpdate&, std::uint64_t)>& fill) {
    for (int sent = 0; sent < messages; ++sent) {
      Message message;
      message.from = "sender";
      message.body = Ping{++number_, "another"};
      message.updates.resize(kMaxUpdatesPerMessage);
      for (MemberUpdate& update : message.updates) fill(update, ++number_);
      view_.Receive(1ms, message);
      view_.DrainMessages();
      view_.DrainChanges();
    }
  }

  MembershipView view_{FastOptions(), Self(), 1, 0s};

 private:
  std::uint64_t number_ = 0;
};

TEST_F(MembershipViewFloodTest, NumberOfMembersIsLimited) {
  Flood(400, [](MemberUpdate& update, std::uint64_t number) { update.name = "n" + std::to_string(number); });
  EXPECT_EQ(view_.Members().size(), kMaxMembers);
}

TEST_F(MembershipViewFloodTest, NumberOfSuspectorsPerMemberIsLimited) {
  Flood(10, [](MemberUpdate& update, std::uint64_t number) {
    update.name = "victim";
    update.state = State::kSuspect;
    update.suspected_by = "s" + std::to_string(number);
  });
  EXPECT_EQ(view_.Members().at("victim").suspectors.size(), kMaxSuspectors);
}

TEST_F(MembershipViewFloodTest, NumberOfPendingRelaysIsLimited) {
  Message message;
  message.from = "sender";
  message.body = PingRequest{99, "another", {}};
  std::size_t relayed = 0;
  for (int sent = 0; sent < 1'000; ++sent) {
    view_.Receive(1ms, message);
    relayed += view_.DrainMessages().size();
  }
  EXPECT_EQ(relayed, kMaxRelays);
}

}  // namespace
}  // namespace tinspan::members
