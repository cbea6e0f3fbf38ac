// Records when a lease was held and which writes were accepted under it, and checks the invariants of that
// history. Does no I/O. Simulations and tests with real processes record into it.
//
// Invariants:
// - a token has one holder;
// - the spans during which two tokens were held do not overlap, and the later span has the higher token;
// - no accepted write has a lower token than an earlier accepted write;
// - the numbers of the accepted writes increase by one, so no write is lost or done twice.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "lease/token.hpp"

namespace tinspan::lease {

/// The history of one lease. All times are true time, not a member's clock.
class History {
 public:
  /// Records that `holder` holds the lease under `token` from `from` until `until`. Call it again with a
  /// later `until` on each renewal.
  void RecordHold(Token token, const std::string& holder, Micros from, Micros until);
  /// Records that the hold under `token` ended early, at `ended_at`.
  void RecordEnd(Token token, Micros ended_at);
  /// Records a write that a receiver accepted; `number` is the number of the written record.
  void RecordAcceptedWrite(Token token, std::uint64_t number);
  /// Records a write that a receiver rejected.
  void RecordRejectedWrite() { ++rejected_writes_; }

  /// Describes the first violation found; nullopt if all invariants are satisfied.
  std::optional<std::string> FindViolation() const;
  /// Describes two tokens held at the same time, or one token held by two members; nullopt if there are none.
  std::optional<std::string> FindOverlap() const;
  /// Describes a later span with a lower token; nullopt if there is none.
  std::optional<std::string> FindTokenOrderViolation() const;
  /// Describes the first accepted write that was out of order; nullopt if there is none.
  std::optional<std::string> FindWriteViolation() const { return write_violation_; }

  std::size_t GrantCount() const { return spans_.size(); }
  std::size_t AcceptedWrites() const { return accepted_writes_; }
  std::size_t RejectedWrites() const { return rejected_writes_; }

 private:
  struct Span {
    std::string holder;
    Micros from{0};
    Micros until{0};
  };
  using TokenSpan = std::pair<Token, Span>;
  std::vector<TokenSpan> SpansByTime() const;

  std::map<Token, Span> spans_;
  std::optional<std::string> shared_token_;  // describes a token with two holders
  std::optional<std::string> write_violation_;
  Token last_token_ = kNoToken;
  std::uint64_t last_number_ = 0;
  std::size_t accepted_writes_ = 0;
  std::size_t rejected_writes_ = 0;
};

}  // namespace tinspan::lease
