// A record of which leases were held and what was written under them, and the invariants that it has to
// satisfy. Without I/O; fed by simulations and by tests with real processes.
//
// Invariants: a token has one holder; the spans during which two tokens were held do not overlap, and the
// later span has the higher token; of the writes that a receiver accepted, none has a token below an earlier
// one's; their numbers rise by one, so that none is lost and none is done twice.
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

/// The history of one lease. Times are true time, not any member's clock.
class History {
 public:
  /// `holder` relies on `token` from `from` until `until`; to be called again with a later `until` on each
  /// renewal.
  void RecordHold(Token token, const std::string& holder, Micros from, Micros until);
  /// The hold ended before its time.
  void RecordEnd(Token token, Micros ended_at);
  /// A receiver accepted a write.
  void RecordAcceptedWrite(Token token, std::uint64_t number);
  /// A receiver rejected a write.
  void RecordRejectedWrite() { ++rejected_writes_; }

  /// The first violated invariant of all, as text; none: all are satisfied.
  std::optional<std::string> FindViolation() const;
  /// Two tokens held at once, or one token held by two members.
  std::optional<std::string> FindOverlap() const;
  /// A later span with a lower token.
  std::optional<std::string> FindTokenOrderViolation() const;
  /// Accepted writes out of order.
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
  std::optional<std::string> shared_token_;  // a token with two holders, as text
  std::optional<std::string> write_violation_;
  Token last_token_ = kNoToken;
  std::uint64_t last_number_ = 0;
  std::size_t accepted_writes_ = 0;
  std::size_t rejected_writes_ = 0;
};

}  // namespace tinspan::lease
