// Tests of DisseminationQueue: which updates are piggybacked on a message, and how often each one is sent.
#include "members/dissemination.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <vector>

#include "members/member_table.hpp"
#include "members/types.hpp"
#include "unit_fixture.hpp"

namespace tinspan::members {
namespace {

class DisseminationQueueTest : public MembershipUnitTest {
 protected:
  std::vector<std::string> NextNames() {
    std::vector<std::string> names;
    for (const MemberUpdate& update : dissemination_.NextUpdates(kStart)) names.push_back(update.name);
    return names;
  }
  void AddQueued(const std::string& name) {
    AddMember(name, 1);
    dissemination_.Enqueue(name);
  }
};

TEST_F(DisseminationQueueTest, IsEmptyAtFirst) { EXPECT_TRUE(NextNames().empty()); }

// An update is sent retransmit_multiplier (4) * ceil(log10(n + 1)) times: four times with two members.
TEST_F(DisseminationQueueTest, SendsAnUpdateABoundedNumberOfTimes) {
  AddQueued("member");
  for (int sent = 0; sent < 4; ++sent) EXPECT_EQ(NextNames(), (std::vector<std::string>{"member"}));
  EXPECT_TRUE(NextNames().empty());
  EXPECT_EQ(stats_.updates_sent, 4U);
}

TEST_F(DisseminationQueueTest, SendsMoreOftenInALargerFleet) {
  for (int count = 0; count < 20; ++count) AddMember("m" + std::to_string(count), 1);
  dissemination_.Enqueue("m0");
  std::size_t sent = 0;
  while (!NextNames().empty()) ++sent;
  EXPECT_EQ(sent, 8U);
}

TEST_F(DisseminationQueueTest, ANewChangeIsSentFirst) {
  AddQueued("a-old");
  NextNames();
  AddQueued("b-new");
  EXPECT_EQ(NextNames(), (std::vector<std::string>{"b-new", "a-old"}));
}

TEST_F(DisseminationQueueTest, ARemovedMemberIsNotSent) {
  AddQueued("member");
  dissemination_.Remove("member");
  EXPECT_TRUE(NextNames().empty());
}

TEST_F(DisseminationQueueTest, StaysWithinTheByteBudget) {
  const std::string long_name(kMaxNameLength - 2, 'n');
  for (int count = 10; count < 40; ++count) AddQueued(long_name + std::to_string(count));
  std::size_t bytes = 0;
  for (const MemberUpdate& update : dissemination_.NextUpdates(kStart)) bytes += EstimatedSize(update);
  EXPECT_LE(bytes, options_.update_budget_bytes);
  EXPECT_GT(bytes, options_.update_budget_bytes - 100);
}

TEST_F(DisseminationQueueTest, StaysWithinTheUpdateLimit) {
  options_.update_budget_bytes = 100'000;
  for (int count = 0; count < 100; ++count) AddQueued("m" + std::to_string(count));
  EXPECT_EQ(NextNames().size(), kMaxUpdatesPerMessage);
}

}  // namespace
}  // namespace tinspan::members
