// Tests of the distribution of purges without a network. A message arrives immediately or is lost.
#include "lease/purge_distributor.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <set>

namespace tinspan::lease {
namespace {

using namespace std::chrono_literals;

constexpr int kNoHolder = -1;

Purge PurgeOf(std::uint64_t group, std::optional<std::uint64_t> object = std::nullopt) {
  return {"", group, object, Micros{0}};
}

// A fleet with the members m0, m1, ...
class DistributorFleet {
 public:
  explicit DistributorFleet(int count) : applied_(count) {
    for (int i = 0; i < count; ++i) {
      names_.push_back("m" + std::to_string(i));
      members_.emplace_back(names_.back(), 1, 60s);
    }
  }

  // Runs all members that are not down. `holder` holds the lease under `token`; kNoHolder: no member does.
  void RunFor(Micros span, int holder, Token token) {
    constexpr Micros kStep{50'000};
    holder_ = holder;
    token_ = token;
    for (const Micros end = now_ + span; now_ < end; now_ += kStep) {
      for (int i = 0; i < static_cast<int>(members_.size()); ++i) {
        if (down_.contains(i)) continue;
        members_[i].Tick(now_, holder == kNoHolder ? "" : names_[holder], HeldBy(i), names_);
        DeliverFrom(i);
      }
    }
  }

  SubmitResult Submit(int member, Purge purge) { return members_[member].Submit(now_, std::move(purge)); }
  void SetDown(std::set<int> members) { down_ = std::move(members); }
  // Sets which messages are lost, by sender and recipient.
  void SetLoss(std::function<bool(int, int)> is_lost) { is_lost_ = std::move(is_lost); }

  PurgeDistributor& MemberAt(int member) { return members_[member]; }
  // The number of purges that each member was told to apply.
  std::vector<std::size_t> AppliedCounts() const {
    std::vector<std::size_t> counts;
    counts.reserve(applied_.size());
    for (const auto& purges : applied_) counts.push_back(purges.size());
    return counts;
  }
  std::size_t MessageCount() const { return message_count_; }
  std::size_t OpenCount() const {
    std::size_t open = 0;
    for (const PurgeDistributor& member : members_) open += member.OpenCount();
    return open;
  }

 private:
  std::optional<Token> HeldBy(int member) const {
    return member == holder_ ? std::optional(token_) : std::nullopt;
  }

  void DeliverFrom(int sender) {
    for (const OutboundPurgeMessage& outbound : members_[sender].DrainMessages()) {
      const int recipient = std::stoi(outbound.recipient.substr(1));
      ++message_count_;
      if (down_.contains(recipient) || is_lost_(sender, recipient)) continue;
      members_[recipient].Receive(now_, outbound.message, HeldBy(recipient));
      DeliverFrom(recipient);
    }
    for (const Purge& purge : members_[sender].DrainPurgesToApply()) applied_[sender].push_back(purge.id);
  }

  Micros now_{0};
  int holder_ = kNoHolder;
  Token token_ = kNoToken;
  std::vector<std::string> names_;
  std::vector<PurgeDistributor> members_;
  std::vector<std::vector<std::string>> applied_;
  std::set<int> down_;
  std::function<bool(int, int)> is_lost_ = [](int, int) { return false; };
  std::size_t message_count_ = 0;
};

using Counts = std::vector<std::size_t>;

TEST(PurgeDistributor, WaitsForAHolder) {
  DistributorFleet fleet(5);
  ASSERT_EQ(fleet.Submit(3, PurgeOf(7, 9)), SubmitResult::kAccepted);
  fleet.RunFor(50ms, kNoHolder, kNoToken);
  EXPECT_EQ(fleet.AppliedCounts(), (Counts{0, 0, 0, 0, 0}));
}

// The submitter is not told to apply the purge, because it has applied it before submitting it.
TEST(PurgeDistributor, PurgeIsAppliedOnceAtEachOtherMember) {
  DistributorFleet fleet(5);
  fleet.Submit(3, PurgeOf(7, 9));
  fleet.RunFor(50ms, kNoHolder, kNoToken);
  fleet.RunFor(5s, 1, Token{5});
  EXPECT_EQ(fleet.AppliedCounts(), (Counts{1, 1, 1, 0, 1}));
}

// A purge that every member has applied is only handed over and acknowledged, once per second.
TEST(PurgeDistributor, AppliedPurgeCostsFewMessages) {
  DistributorFleet fleet(5);
  fleet.Submit(3, PurgeOf(7, 9));
  fleet.RunFor(5s, 1, Token{5});
  const std::size_t sent = fleet.MessageCount();
  fleet.RunFor(10s, 1, Token{5});
  EXPECT_LE(fleet.MessageCount() - sent, 24u);
}

TEST(PurgeDistributor, PurgeIsDroppedAfterItsRetention) {
  DistributorFleet fleet(5);
  fleet.Submit(3, PurgeOf(7, 9));
  fleet.RunFor(5s, 1, Token{5});
  EXPECT_GT(fleet.OpenCount(), 0u);
  fleet.RunFor(60s, 1, Token{5});
  EXPECT_EQ(fleet.OpenCount(), 0u);
}

// The holder dies after it has reached one of three other members. One of the other two is down until later.
TEST(PurgeDistributor, NextHolderCompletesADistribution) {
  DistributorFleet fleet(5);
  fleet.SetLoss([](int sender, int recipient) { return sender == 1 && recipient >= 3; });
  fleet.Submit(0, PurgeOf(7));
  fleet.RunFor(1s, 1, Token{5});
  EXPECT_EQ(fleet.AppliedCounts(), (Counts{0, 1, 1, 0, 0}));
  fleet.SetDown({1, 4});
  fleet.SetLoss([](int, int) { return false; });
  fleet.RunFor(3s, 2, Token{6});
  EXPECT_EQ(fleet.AppliedCounts(), (Counts{0, 1, 1, 1, 0}));
  fleet.SetDown({1});
  fleet.RunFor(3s, 2, Token{6});
  EXPECT_EQ(fleet.AppliedCounts(), (Counts{0, 1, 1, 1, 1}));
}

// A holder that continues with its old token after a pause must be rejected and told the newer token.
TEST(PurgeDistributor, HolderWithAStaleTokenIsRejected) {
  DistributorFleet fleet(3);
  fleet.Submit(0, PurgeOf(7));
  fleet.RunFor(1s, 1, Token{6});
  EXPECT_EQ(fleet.AppliedCounts()[2], 1u);
  fleet.Submit(0, PurgeOf(8));
  fleet.RunFor(200ms, 0, Token{5});
  EXPECT_EQ(fleet.AppliedCounts()[2], 1u);
  EXPECT_GE(fleet.MemberAt(2).RejectedCount(), 1u);
  EXPECT_EQ(fleet.MemberAt(0).SupersedingToken(), Token{6});
  fleet.RunFor(1s, 1, Token{7});
  EXPECT_EQ(fleet.AppliedCounts()[2], 2u);
}

// A member that has seen a token only as a claim in the fleet view must reject holders with older tokens.
TEST(PurgeDistributor, ObservedTokenRejectsAnEarlierHolder) {
  DistributorFleet fleet(2);
  fleet.MemberAt(1).ObserveToken(Token{9});
  fleet.Submit(0, PurgeOf(7));
  fleet.RunFor(1s, 0, Token{8});
  EXPECT_EQ(fleet.AppliedCounts()[1], 0u);
  EXPECT_EQ(fleet.MemberAt(0).SupersedingToken(), Token{9});
}

TEST(PurgeDistributor, OwnPurgesAreBounded) {
  PurgeDistributor submitter("m0", 1, 60s);
  std::size_t accepted = 0;
  for (std::uint64_t group = 0; group < 5'000; ++group)
    accepted += submitter.Submit(1s, PurgeOf(group)) == SubmitResult::kAccepted;
  EXPECT_EQ(accepted, PurgeDistributor::kMaxOwnPurges);
  EXPECT_EQ(submitter.OpenCount(), PurgeDistributor::kMaxOwnPurges);
  EXPECT_EQ(submitter.RetrySubmitAt(2s), Micros{61s});
}

// Guards against purges that were accepted and dropped: two overlapping purges of two thirds of 256 groups
// are more than the 256 that used to be open at a time. A further purge of a group takes the place of the
// first.
TEST(PurgeDistributor, OverlappingPurgesOfManyGroupsReachEveryMember) {
  DistributorFleet fleet(3);
  for (std::uint64_t group = 0; group < 170; ++group)
    ASSERT_EQ(fleet.Submit(0, PurgeOf(group)), SubmitResult::kAccepted);
  fleet.RunFor(200ms, 1, Token{5});
  for (std::uint64_t group = 86; group < 256; ++group)
    ASSERT_EQ(fleet.Submit(0, PurgeOf(group)), SubmitResult::kAccepted);
  EXPECT_EQ(fleet.MemberAt(0).OpenCount(), 256u);
  fleet.RunFor(1s, 1, Token{5});
  EXPECT_EQ(fleet.AppliedCounts(), (Counts{0, 340, 340}));
}

// A holder at its limit ends what every member has applied, so that later purges of many submitters go out.
TEST(PurgeDistributor, HolderAtItsLimitMakesRoomForLaterPurges) {
  PurgeDistributor holder("m0", 1, 60s);
  const std::vector<std::string> alive{"m0"};
  const auto hand_over = [&](Micros now, std::size_t number) {
    const std::string submitter = "x" + std::to_string(number);
    holder.Receive(now, {submitter, HandOverPurge{{submitter + "/1", number, std::nullopt, Micros{0}}}},
                   Token{4});
    const auto messages = holder.DrainMessages();
    return messages.size() == 1 && std::holds_alternative<HandOverAccepted>(messages[0].message.body);
  };
  holder.Tick(0s, "m0", Token{4}, alive);
  for (std::size_t number = 0; number < PurgeDistributor::kMaxDistributions; ++number)
    ASSERT_TRUE(hand_over(0s, number));
  EXPECT_FALSE(hand_over(0s, PurgeDistributor::kMaxDistributions));
  for (Micros now{0}; now < 1s; now += 50ms) holder.Tick(now, "m0", Token{4}, alive);
  EXPECT_TRUE(hand_over(1s, PurgeDistributor::kMaxDistributions));
  EXPECT_LE(holder.OpenCount(), PurgeDistributor::kMaxDistributions);
}

TEST(PurgeDistributor, PurgesOfOthersAreBounded) {
  PurgeDistributor holder("m1", 1, 60s);
  for (int i = 0; i < 10'000; ++i) {
    const std::string submitter = "x" + std::to_string(i);
    holder.Receive(0s, {submitter, HandOverPurge{{submitter + "/1", 1, std::nullopt, Micros{0}}}}, Token{4});
    const Purge purge{"y/" + std::to_string(i), 1, std::nullopt, Micros{0}};
    holder.Receive(0s, {"x", ApplyPurge{Token{4}, purge}}, std::nullopt);
  }
  EXPECT_LE(holder.OpenCount(), PurgeDistributor::kMaxDistributions);
}

// A holder with the maximum number of open purges. All 300 members acknowledge each message immediately.
class LargeFleetTest : public testing::Test {
 protected:
  LargeFleetTest() {
    alive.reserve(kMemberCount);
    for (int i = 0; i < kMemberCount; ++i) alive.push_back("m" + std::to_string(i));
    for (std::size_t i = 0; i < PurgeDistributor::kMaxOwnPurges; ++i) {
      EXPECT_EQ(holder.Submit(0s, PurgeOf(i)), SubmitResult::kAccepted);
    }
  }

  // Also sends an acknowledgement from a member that was sent nothing, which must not count.
  void Acknowledge(Micros now, const OutboundPurgeMessage& outbound) {
    const PurgeApplied reply{Token{5}, std::get<ApplyPurge>(outbound.message.body).purge.id};
    holder.Receive(now, {"stranger", reply}, Token{5});
    holder.Receive(now, {outbound.recipient, reply}, Token{5});
  }

  static constexpr int kMemberCount = 300;
  PurgeDistributor holder{"m0", 1, 60s};
  std::vector<std::string> alive;
};

// No round exceeds its message limit, and each purge is sent exactly once to each other member.
TEST_F(LargeFleetTest, ManyPurgesAreDistributedInBursts) {
  std::size_t message_count = 0;
  std::size_t largest_round = 0;
  for (Micros now{0}; now < 30s; now += 5ms) {
    holder.Tick(now, "m0", Token{5}, alive);
    const std::vector<OutboundPurgeMessage> round = holder.DrainMessages();
    largest_round = std::max(largest_round, round.size());
    message_count += round.size();
    for (const OutboundPurgeMessage& outbound : round) Acknowledge(now, outbound);
  }
  EXPECT_EQ(largest_round, PurgeDistributor::kMaxMessagesPerRound);
  EXPECT_EQ(message_count, PurgeDistributor::kMaxOwnPurges * (kMemberCount - 1));
}

}  // namespace
}  // namespace tinspan::lease
