// The receiver's part of fencing: rejects whoever acts under a token older than one seen before.
#pragma once

#include <map>
#include <string>

#include "lease/token.hpp"

namespace tinspan::lease {

/// The highest token admitted of each lease.
class Fence {
 public:
  /// Whether an act under `token` is admitted: no higher one of that lease was seen before.
  bool Admit(const std::string& lease, Token token) {
    Token& highest = highest_[lease];
    if (token < highest) return false;
    highest = token;
    return true;
  }

  /// The highest token admitted of that lease; kNoToken before the first.
  Token Highest(const std::string& lease) const {
    const auto found = highest_.find(lease);
    return found == highest_.end() ? kNoToken : found->second;
  }

 private:
  std::map<std::string, Token> highest_;
};

}  // namespace tinspan::lease
