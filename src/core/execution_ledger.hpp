// Remembers when requests that must not be executed twice may first have been executed, beyond the end of the
// request: a client that got no result tries again under the same idempotency key. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

#include "core/events.hpp"

namespace tinspan::core {

/// The first possible executions by operation, which is what all tries of one request have in common. Holds a
/// bounded number of operations, the newest ones. Not thread-safe.
class ExecutionLedger {
 public:
  /// The attempt that an entry is about.
  struct AttemptId {
    RequestId request{};
    std::uint32_t attempt = 0;
    bool operator==(const AttemptId&) const = default;
  };

  /// The attempt, sent at `sent_at`, may execute the operation. Has no effect if an earlier execution of the
  /// operation is remembered. The entry is forgotten at `expires_at`.
  void Record(OperationId operation, AttemptId attempt, Micros sent_at, Micros expires_at);
  /// The attempt was not executed.
  void Forget(OperationId operation, AttemptId attempt);
  /// When the operation may first have been executed; empty: never, or not known any more.
  std::optional<Micros> FirstExecutedAt(OperationId operation, Micros now) const;
  /// Removes entries that have expired.
  void Prune(Micros now);
  std::size_t Size() const { return entries_.size(); }

 private:
  struct Entry {
    OperationId operation;
    AttemptId attempt;
    Micros sent_at;
    Micros expires_at;
  };
  using Entries = std::list<Entry>;

  static constexpr std::size_t kMaxEntries = 16'384;

  void Erase(Entries::iterator entry);

  Entries entries_;  // in order of insertion
  std::unordered_map<OperationId, Entries::iterator> by_operation_;
};

}  // namespace tinspan::core
