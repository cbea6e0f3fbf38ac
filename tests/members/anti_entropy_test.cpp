// Tests of AntiEntropy: the choice of partners, replies by digest, exchanges of several rounds, and the
// digests of a fleet.
#include "members/anti_entropy.hpp"

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "fleet_fixture.hpp"
#include "members/message.hpp"
#include "members/types.hpp"
#include "unit_fixture.hpp"

namespace tinspan::members {
namespace {

using namespace std::chrono_literals;

constexpr Address kPartner{0x0a000001, 8'000};

class AntiEntropyTest : public MembershipUnitTest {
 protected:
  // Starts the next exchange; returns the datagrams sent, at most one.
  std::vector<Datagram> SyncOnce() {
    anti_entropy_.Tick(anti_entropy_.NextSyncAt());
    return outbox_.Drain();
  }
  // Starts that many exchanges; returns their partners' ports.
  std::vector<std::uint16_t> PartnerPorts(std::size_t syncs) {
    std::vector<std::uint16_t> ports(syncs);
    for (std::uint16_t& port : ports) port = SyncOnce().at(0).destination.port;
    return ports;
  }
  void AddMembers(int count) {
    for (int added = 0; added < count; ++added) AddMember("member-" + std::to_string(added), 1);
  }

  AntiEntropy anti_entropy_{{options_, table_, outbox_, random_, stats_}, kStart};
};

TEST_F(AntiEntropyTest, DoesNotSyncWhileAloneWithoutSeeds) {
  EXPECT_TRUE(SyncOnce().empty());
  EXPECT_EQ(stats_.syncs, 0U);
}

TEST_F(AntiEntropyTest, SyncsWithASeedImmediately) {
  options_.seeds = {kPartner};
  EXPECT_EQ(anti_entropy_.NextSyncAt(), kStart);
  const std::vector<Datagram> sent = SyncOnce();
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].destination, kPartner);
  EXPECT_EQ(std::get<Sync>(sent[0].message.body).digest, table_.CurrentDigest());
}

TEST_F(AntiEntropyTest, TheNextSyncIsThreeToFiveQuartersOfAnIntervalAway) {
  anti_entropy_.Tick(kStart);
  EXPECT_GE(anti_entropy_.NextSyncAt(), kStart + options_.sync_interval * 3 / 4);
  EXPECT_LT(anti_entropy_.NextSyncAt(), kStart + options_.sync_interval * 5 / 4);
}

TEST_F(AntiEntropyTest, EveryThirdPartnerIsADepartedMember) {
  AddMember("live", 1);
  SetState(AddMember("dead", 2), State::kDead);
  EXPECT_EQ(PartnerPorts(6), (std::vector<std::uint16_t>{1, 1, 2, 1, 1, 2}));
}

TEST_F(AntiEntropyTest, EveryFourthPartnerIsASeedThatIsNotLive) {
  AddMember("live", 1);
  options_.seeds = {kPartner, table_.At("live").address, table_.Self().address};
  EXPECT_EQ(PartnerPorts(8), (std::vector<std::uint16_t>{1, 1, 1, 8'000, 1, 1, 1, 8'000}));
}

TEST_F(AntiEntropyTest, RepliesWithNothingWhereTheDigestsAgree) {
  anti_entropy_.OnSync(kStart, kPartner, {table_.CurrentDigest()});
  const std::vector<Datagram> sent = outbox_.Drain();
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_TRUE(sent[0].message.updates.empty());
  EXPECT_FALSE(std::get<SyncReply>(sent[0].message.body).is_truncated);
}

TEST_F(AntiEntropyTest, RepliesWithTheEntriesOfBucketsThatDiffer) {
  AddMember("member", 1);
  Digest theirs = table_.CurrentDigest();
  SetState(table_.At("member"), State::kSuspect);
  anti_entropy_.OnSync(kStart, kPartner, {theirs});
  const std::vector<Datagram> sent = outbox_.Drain();
  ASSERT_EQ(sent.size(), 1U);
  ASSERT_EQ(sent[0].message.updates.size(), 1U);
  EXPECT_EQ(sent[0].message.updates[0].name, "member");
}

TEST_F(AntiEntropyTest, MarksATruncatedReply) {
  AddMembers(200);
  anti_entropy_.OnSync(kStart, kPartner, {Digest{}});
  const std::vector<Datagram> sent = outbox_.Drain();
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_TRUE(std::get<SyncReply>(sent[0].message.body).is_truncated);
  EXPECT_LT(sent[0].message.updates.size(), 200U);
}

TEST_F(AntiEntropyTest, IgnoresASyncWithoutADigest) {
  anti_entropy_.OnSync(kStart, kPartner, {});
  EXPECT_TRUE(outbox_.Drain().empty());
}

TEST_F(AntiEntropyTest, PushesItsOwnEntriesAfterAReply) {
  AddMember("member", 1);
  anti_entropy_.OnSyncReply(kStart, kPartner, {Digest{}, false});
  const std::vector<Datagram> sent = outbox_.Drain();
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<SyncPush>(sent[0].message.body));
  EXPECT_FALSE(anti_entropy_.HasContinuation());
}

TEST_F(AntiEntropyTest, ContinuesImmediatelyAfterATruncatedReply) {
  anti_entropy_.OnSyncReply(kStart, kPartner, {table_.CurrentDigest(), true});
  EXPECT_TRUE(anti_entropy_.HasContinuation());
  anti_entropy_.Tick(kStart);
  const std::vector<Datagram> sent = outbox_.Drain();
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].destination, kPartner);
  EXPECT_EQ(stats_.sync_rounds, 1U);
  EXPECT_FALSE(anti_entropy_.HasContinuation());
}

TEST_F(AntiEntropyTest, AnExchangeEndsAfterABoundedNumberOfRounds) {
  for (int round = 0; round < 100; ++round) {
    anti_entropy_.OnSyncReply(kStart, kPartner, {table_.CurrentDigest(), true});
    anti_entropy_.Tick(kStart);
  }
  EXPECT_EQ(stats_.sync_rounds, 64U);
}

// Views with the same members and states have the same digest, whatever sequence of changes led to them. A
// missed update of the digest after a change would make the digests differ.
class FleetDigestTest : public ConvergedFleetTest {
 protected:
  void SetUp() override {
    ConvergedFleetTest::SetUp();
    fleet_.RunFor(5s);
    initial_ = DigestOf(0);
  }
  const Digest& DigestOf(int member) const { return fleet_.ViewOf(member).CurrentDigest(); }
  // Pauses member 5, whose refutation changes its incarnation, and kills member 3.
  void PauseOneAndKillOne() {
    fleet_.Pause(5, fleet_.Now() + 3s);
    fleet_.Kill(3);
    fleet_.RunFor(10s);
  }

  static constexpr std::array<int, 6> kSurvivors{1, 2, 4, 5, 6, 7};
  Digest initial_{};
};

TEST_F(FleetDigestTest, IsTheSameInAllConvergedViews) {
  for (int member = 1; member < kSize; ++member) EXPECT_EQ(DigestOf(member), initial_);
}

TEST_F(FleetDigestTest, ChangesInAllViewsAfterADeathAndARefutation) {
  PauseOneAndKillOne();
  EXPECT_NE(DigestOf(0), initial_);
  for (const int member : kSurvivors) EXPECT_EQ(DigestOf(member), DigestOf(0));
}

TEST_F(FleetDigestTest, ChangesInAllViewsAfterAMemberIsErased) {
  PauseOneAndKillOne();
  const Digest with_dead = DigestOf(0);
  fleet_.RunFor(40s);
  EXPECT_EQ(fleet_.ViewOf(0).Members().size(), 7U);
  EXPECT_NE(DigestOf(0), with_dead);
  for (const int member : kSurvivors) EXPECT_EQ(DigestOf(member), DigestOf(0));
}

}  // namespace
}  // namespace tinspan::members
