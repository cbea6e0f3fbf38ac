// Tests of MemberTable: counts by state, the digest, and the expiry of departed members.
#include "members/member_table.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "members/message.hpp"
#include "members/types.hpp"
#include "unit_fixture.hpp"

namespace tinspan::members {
namespace {

using namespace std::chrono_literals;

class MemberTableTest : public MembershipUnitTest {};

TEST_F(MemberTableTest, HoldsItsOwnMemberFromTheStart) {
  EXPECT_EQ(table_.Self().name, "self");
  EXPECT_EQ(table_.Self().address.port, kSelfPort);
  EXPECT_EQ(table_.LiveCount(), 1U);
}

TEST_F(MemberTableTest, FindsNothingUnderAnUnknownName) { EXPECT_EQ(table_.Find("other"), nullptr); }

TEST_F(MemberTableTest, CountsByState) {
  SetState(AddMember("suspect", 1), State::kSuspect);
  SetState(AddMember("dead", 2), State::kDead);
  SetState(AddMember("left", 3), State::kLeft);
  EXPECT_EQ(table_.Count(State::kAlive), 1U);
  EXPECT_EQ(table_.Count(State::kSuspect), 1U);
  EXPECT_EQ(table_.Count(State::kDead), 1U);
  EXPECT_EQ(table_.Count(State::kLeft), 1U);
  EXPECT_EQ(table_.LiveCount(), 2U);
}

TEST_F(MemberTableTest, DigestDependsOnTheMembersAloneAndNotOnTheirHistory) {
  Member& member = AddMember("other", 1);
  const Digest alive = table_.CurrentDigest();
  SetState(member, State::kSuspect);
  EXPECT_NE(table_.CurrentDigest(), alive);
  SetState(member, State::kAlive);
  EXPECT_EQ(table_.CurrentDigest(), alive);
}

TEST_F(MemberTableTest, DigestChangesWithANewReport) {
  Member& member = AddMember("other", 1);
  const Digest before = table_.CurrentDigest();
  ++member.report_version;
  table_.UpdateDigest(member);
  EXPECT_NE(table_.CurrentDigest(), before);
}

TEST_F(MemberTableTest, ErasesADepartedMemberOnceItsRetentionIsOver) {
  const Digest before = table_.CurrentDigest();
  SetState(AddMember("dead", 1), State::kDead);
  const Micros expiry = kStart + options_.dead_retention;
  EXPECT_EQ(table_.NextExpiry(), expiry);
  EXPECT_TRUE(table_.EraseExpired(expiry - 1us).empty());
  EXPECT_EQ(table_.EraseExpired(expiry), (std::vector<std::string>{"dead"}));
  EXPECT_EQ(table_.Find("dead"), nullptr);
  EXPECT_EQ(table_.Count(State::kDead), 0U);
  EXPECT_EQ(table_.CurrentDigest(), before);
}

TEST_F(MemberTableTest, DoesNotEraseADepartedMemberThatReturned) {
  Member& member = AddMember("dead", 1);
  SetState(member, State::kDead);
  SetState(member, State::kAlive);
  EXPECT_TRUE(table_.EraseExpired(kStart + options_.dead_retention).empty());
}

TEST_F(MemberTableTest, DoesNotEraseItsOwnMemberThatLeft) {
  SetState(table_.Self(), State::kLeft);
  EXPECT_TRUE(table_.EraseExpired(kStart + options_.dead_retention).empty());
  EXPECT_EQ(table_.Self().state, State::kLeft);
}

TEST_F(MemberTableTest, UpdateOfADepartedMemberCarriesItsAge) {
  Member& member = AddMember("dead", 1);
  SetState(member, State::kDead);
  EXPECT_EQ(ToUpdate(member, kStart + 5s).age, 5s);
}

TEST_F(MemberTableTest, UpdateOfASuspectNamesTheLatestSuspector) {
  Member& member = AddMember("suspect", 1);
  SetState(member, State::kSuspect);
  member.suspectors = {"first", "second"};
  member.latest_suspector = "first";
  EXPECT_EQ(ToUpdate(member, kStart).suspected_by, "first");
}

TEST(MemberNameTest, AcceptsLettersDigitsAndPunctuation) {
  EXPECT_TRUE(IsName("Edge-1_north.example"));
  EXPECT_TRUE(IsName(std::string(kMaxNameLength, 'n')));
}

TEST(MemberNameTest, RejectsEmptyTooLongAndWhitespaceNames) {
  EXPECT_FALSE(IsName(""));
  EXPECT_FALSE(IsName("a b"));
  EXPECT_FALSE(IsName("a\nb"));
  EXPECT_FALSE(IsName(std::string(kMaxNameLength + 1, 'n')));
}

}  // namespace
}  // namespace tinspan::members
