// The tokens of a lease that a member has observed in messages, in claims in the fleet view, and in the
// responses of receivers.
#pragma once

#include <algorithm>
#include <string>

#include "lease/token.hpp"

namespace tinspan::lease {

/// A member's claim, in the fleet view, that it holds a lease.
struct LeaseClaim {
  std::string lease;
  std::string member;
  Token token = kNoToken;
};

/// The highest tokens observed for one lease, and the member that claims to hold it.
class ObservedTokens {
 public:
  /// Records a token that was seen in use. A token above kMaxToken is ignored.
  void Observe(Token token) {
    if (token <= kMaxToken) highest_ = std::max(highest_, token);
  }

  /// Clears the claimant but not the highest claimed token. Call this before each new list of claims.
  void ClearClaimant() { claimant_.clear(); }

  /// Records a claim. It is ignored if its token is kNoToken, above kMaxToken, or below an earlier claim's.
  void ObserveClaim(const std::string& member, Token token) {
    if (token == kNoToken || token > kMaxToken || token < highest_claimed_) return;
    highest_claimed_ = token;
    claimant_ = member;
    Observe(token);
  }

  /// The highest token seen in use, as a ballot or as a grant.
  Token Highest() const { return highest_; }
  /// The highest token ever claimed.
  Token HighestClaimed() const { return highest_claimed_; }
  /// The member that currently claims HighestClaimed(); empty if there is none.
  const std::string& Claimant() const { return claimant_; }

 private:
  Token highest_ = kNoToken;
  Token highest_claimed_ = kNoToken;
  std::string claimant_;
};

}  // namespace tinspan::lease
