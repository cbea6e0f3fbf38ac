// The receiver's side of fencing: rejects requests whose token is lower than one seen before.
#pragma once

#include <map>
#include <string>

#include "lease/token.hpp"

namespace tinspan::lease {

/// Tracks the highest token admitted for each lease.
class Fence {
 public:
  /// Returns whether a request under `token` is admitted, that is, whether no higher token of that lease was
  /// admitted before.
  bool Admit(const std::string& lease, Token token) {
    Token& highest = highest_[lease];
    if (token < highest) return false;
    highest = token;
    return true;
  }

  /// The highest token admitted for the lease; kNoToken if none was.
  Token Highest(const std::string& lease) const {
    const auto found = highest_.find(lease);
    return found == highest_.end() ? kNoToken : found->second;
  }

 private:
  std::map<std::string, Token> highest_;
};

}  // namespace tinspan::lease
