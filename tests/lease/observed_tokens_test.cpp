// Tests of how a node uses the claims in the fleet view.
#include "lease/observed_tokens.hpp"

#include <gtest/gtest.h>

#include "lease_fixture.hpp"

namespace tinspan::lease {
namespace {

using namespace std::chrono_literals;

// The candidate's own ballot, kWallMs, is higher than the claims. It must not be taken for a holder's token.
class ClaimsTest : public CandidateNode {
 protected:
  void ObserveClaimOf(const std::string& member, Token token) {
    node.ObserveClaims({{kHealthLease, member, token}});
  }
  LeaseStatus Status() const { return node.StatusOf(kHealthLease, kStartedAt); }
};

TEST_F(ClaimsTest, WithoutAClaimNoHolderIsKnown) { EXPECT_TRUE(Status().holder.empty()); }

TEST_F(ClaimsTest, HighestClaimNamesTheHolder) {
  node.ObserveClaims({{kHealthLease, "b", Token{500}}, {kHealthLease, "z", Token{400}}});
  EXPECT_EQ(Status().holder, "b");
  EXPECT_EQ(Status().token, Token{500});
}

TEST_F(ClaimsTest, UnknownLeasesAreIgnored) {
  node.ObserveClaims({{"other", "b", Token{700}}});
  EXPECT_EQ(node.HighestClaimedToken("other"), kNoToken);
}

// When the holder's claim has disappeared, another member's claim with an older token must be ignored.
TEST_F(ClaimsTest, ClaimWithAnOlderTokenIsIgnored) {
  ObserveClaimOf("b", Token{500});
  ObserveClaimOf("z", Token{400});
  EXPECT_TRUE(Status().holder.empty());
  EXPECT_EQ(node.HighestClaimedToken(kHealthLease), Token{500});
}

TEST_F(ClaimsTest, ClaimAboveTheHighestTokenIsIgnored) {
  ObserveClaimOf("b", Token{500});
  ObserveClaimOf("z", Token{ToNumber(kMaxToken) + 1});
  EXPECT_EQ(node.HighestClaimedToken(kHealthLease), Token{500});
}

}  // namespace
}  // namespace tinspan::lease
