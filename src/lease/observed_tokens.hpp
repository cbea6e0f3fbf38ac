// What a member has learned of a lease's tokens from others: messages, the fleet view's claims, and
// receivers.
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

/// The highest tokens seen of one lease, and who claims to hold it.
class ObservedTokens {
 public:
  /// Records a token that was seen in use; one above kMaxToken is ignored.
  void Observe(Token token) {
    if (token <= kMaxToken) highest_ = std::max(highest_, token);
  }

  /// Forgets the claimant, not the highest claimed token: to be called before each new list of claims.
  void ClearClaimant() { claimant_.clear(); }

  /// Records a claim; one with no token, an invalid one, or one below an earlier claim's is ignored.
  void ObserveClaim(const std::string& member, Token token) {
    if (token == kNoToken || token > kMaxToken || token < highest_claimed_) return;
    highest_claimed_ = token;
    claimant_ = member;
    Observe(token);
  }

  /// The highest token seen in use, as a ballot or as a grant.
  Token Highest() const { return highest_; }
  /// The highest token that was ever claimed.
  Token HighestClaimed() const { return highest_claimed_; }
  /// The member that claims HighestClaimed(); empty: nobody does now.
  const std::string& Claimant() const { return claimant_; }

 private:
  Token highest_ = kNoToken;
  Token highest_claimed_ = kNoToken;
  std::string claimant_;
};

}  // namespace tinspan::lease
