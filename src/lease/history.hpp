// What was done under leases, and whether it may have been: the invariants that a fleet's history must keep.
// Without I/O; fed by simulations, by tests with real processes, and by whoever keeps such records.
//
// Kept: one token has one holder; the spans in which two tokens were held do not overlap, and the later span
// has the higher token; of the effects that a receiver took, no token is lower than one before it; their
// numbers go up by one, so that none is lost and none is done twice.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lease/lease_node.hpp"

namespace tinspan::lease {

class History {
 public:
  // `holder` counts on `token` from `from` to `to` (true time); again with a later `to` when it renews.
  void Held(Token token, const std::string& holder, Micros from, Micros to);
  void Ended(Token token, Micros at);  // let go before its time
  void Effect(Token token, std::uint64_t number, bool taken);

  // The first invariant that does not hold, in words: of all, or of one kind.
  std::optional<std::string> Broken() const;
  std::optional<std::string> Overlap() const;     // two held at once
  std::optional<std::string> OutOfOrder() const;  // a later span with a lower token
  std::optional<std::string> Effects() const { return broken_; }
  std::size_t Grants() const { return spans_.size(); }
  std::size_t Taken() const { return taken_; }
  std::size_t Refused() const { return refused_; }

 private:
  struct Span {
    std::string holder;
    Micros from{0}, to{0};
  };
  using Dated = std::pair<Token, Span>;
  std::vector<Dated> ByTime() const;

  std::map<Token, Span> spans_;
  std::optional<std::string> shared_;  // one token, two holders
  std::optional<std::string> broken_;
  Token last_ = kNoToken;
  std::uint64_t number_ = 0;
  std::size_t taken_ = 0, refused_ = 0;
};

// The receiving side's half of fencing: the highest token admitted, by duty. An older one is refused.
class Fence {
 public:
  bool Admit(const std::string& duty, Token token) {
    Token& highest = highest_[duty];
    if (token < highest) return false;
    highest = token;
    return true;
  }
  Token Highest(const std::string& duty) const {
    const auto found = highest_.find(duty);
    return found == highest_.end() ? kNoToken : found->second;
  }

 private:
  std::map<std::string, Token> highest_;
};

}  // namespace tinspan::lease
