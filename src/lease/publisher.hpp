// Publishes numbered records to a store that knows nothing of leases, without I/O: one record, replaced by
// compare-and-set. Each write carries the fencing token and the next number. A new holder reads, claims the
// record by a write of its own, and continues from the number it found: no number is lost or written twice,
// and a write of an earlier holder that is still under way fails on the index.
//
// Safe against: a write whose response was lost (the record is read again), a holder that was paused between
// checking its lease and writing (the index), a record under a newer token (the lease is to be abandoned), a
// record that is not ours (left alone, and reported), and a store that fails (retried with backoff).
#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "lease/token.hpp"

namespace tinspan::lease {

/// The record as the store holds it. Index 0: there is none yet.
struct StoredRecord {
  std::uint64_t index = 0;  // the store's, changed by each write
  Token token = kNoToken;
  std::uint64_t number = 0;
};

/// Asks the store for the record.
struct ReadRequest {};

/// Asks the store to replace the record, if its index is still `expected_index`.
struct WriteRequest {
  std::uint64_t expected_index = 0;
  Token token = kNoToken;
  std::uint64_t number = 0;
};

using StoreRequest = std::variant<ReadRequest, WriteRequest>;

/// Whether a record that was read leaves the lease in force.
enum class RecordCheck {
  kCurrent,
  kSuperseded,  // a newer token has written: the lease is to be abandoned
};

class Publisher {
 public:
  static constexpr Micros kMinBackoff{200'000};
  static constexpr Micros kMaxBackoff{5'000'000};

  /// Publishes a record each `interval` while the lease is held.
  explicit Publisher(Micros interval) : interval_(interval) {}

  /// The request to send to the store now, under the token `held` now; none while another is pending, nothing
  /// is due or no token is held.
  std::optional<StoreRequest> NextRequest(Micros now, std::optional<Token> held);
  /// The response to a read.
  RecordCheck OnRead(Micros now, const StoredRecord& stored);
  /// The response to a write. Whether it was accepted or not, the next step is a read, which also returns the
  /// index for the next write.
  void OnWritten() { is_pending_ = false; }
  /// No response, or an unusable one.
  void OnFailed(Micros now);

  bool IsPending() const { return is_pending_; }
  /// When NextRequest has to be called next; Micros::max() while a request is pending.
  Micros NextDeadline() const { return is_pending_ ? Micros::max() : next_request_at_; }

  /// The number of the record that was last read.
  std::uint64_t LastNumber() const { return last_number_; }
  std::uint64_t PublishedCount() const { return published_count_; }
  std::uint64_t FailureCount() const { return failure_count_; }
  /// Writes that met a record under a newer token.
  std::uint64_t FencedCount() const { return fenced_count_; }

 private:
  Micros interval_;
  Micros next_request_at_{0};
  bool is_pending_ = false;
  bool is_record_known_ = false;  // the record was read: the next step is a write
  Token held_token_ = kNoToken;
  StoredRecord stored_;
  std::uint64_t last_number_ = 0;
  std::optional<WriteRequest> unconfirmed_write_;
  int failures_in_a_row_ = 0;
  std::uint64_t published_count_ = 0;
  std::uint64_t failure_count_ = 0;
  std::uint64_t fenced_count_ = 0;
};

}  // namespace tinspan::lease
