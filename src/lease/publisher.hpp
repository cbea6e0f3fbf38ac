// Decides which requests publish numbered records to a store that has no support for leases; does no I/O.
// There is one record, replaced by compare-and-set. Each write carries the fencing token and the next number.
// A new holder reads the record, writes it under its own token, and continues from the number that it read.
// So no number is lost or written twice, and a write of an earlier holder that is still in flight fails
// because the index has changed.
//
// Handles these faults:
// - the response to a write was lost: the record is read again;
// - the holder was paused between checking its lease and writing: the compare-and-set on the index fails;
// - the record has a newer token: the caller is told to abandon the lease;
// - the record was not written by tinspan: it is not overwritten, and the failure is reported;
// - the store fails: the request is retried with backoff.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "lease/token.hpp"

namespace tinspan::lease {

/// The record as stored. Index 0 means that there is no record yet.
struct StoredRecord {
  std::uint64_t index = 0;  // set by the store; changes with each write
  Token token = kNoToken;
  std::uint64_t number = 0;
};

/// Asks the store for the record.
struct ReadRequest {};

/// Asks the store to replace the record if its index is still `expected_index`.
struct WriteRequest {
  std::uint64_t expected_index = 0;
  Token token = kNoToken;
  std::uint64_t number = 0;
};

using StoreRequest = std::variant<ReadRequest, WriteRequest>;

/// The result of comparing the token of a record that was read with the token held.
enum class RecordCheck {
  kCurrent,
  kSuperseded,  // the record has a newer token: the lease must be abandoned
};

/// The sequence of reads and writes of one holder. Not thread-safe.
class Publisher {
 public:
  static constexpr Micros kMinBackoff{200'000};  // after the first failure, doubled for each further one
  static constexpr Micros kMaxBackoff{5'000'000};

  /// Publishes a record every `interval` while the lease is held.
  explicit Publisher(Micros interval) : interval_(interval) {}

  /// Returns the request to send to the store at `now` under the token `held`; nullopt while another request
  /// is pending, if none is due, or if no token is held. The caller reports the result with one of the
  /// functions below.
  std::optional<StoreRequest> NextRequest(Micros now, std::optional<Token> held);
  /// Handles the response to a read.
  RecordCheck OnRead(Micros now, const StoredRecord& stored);
  /// Handles the response to a write. The next request is a read whether or not the write was accepted; it
  /// also returns the index for the next write.
  void OnWritten() { is_pending_ = false; }
  /// Handles a request that failed: no response, or an invalid one.
  void OnFailed(Micros now);

  bool IsPending() const { return is_pending_; }
  /// When NextRequest must be called next; Micros::max() while a request is pending.
  Micros NextDeadline() const { return is_pending_ ? Micros::max() : next_request_at_; }

  /// The number of the record that was read last.
  std::uint64_t LastNumber() const { return last_number_; }
  std::uint64_t PublishedCount() const { return published_count_; }
  std::uint64_t FailureCount() const { return failure_count_; }
  /// The number of writes after which the record was found to have a newer token.
  std::uint64_t FencedCount() const { return fenced_count_; }

 private:
  Micros interval_;
  Micros next_request_at_{0};
  bool is_pending_ = false;
  bool is_record_known_ = false;  // the record was read, so the next request is a write
  Token held_token_ = kNoToken;
  StoredRecord stored_;
  std::uint64_t last_number_ = 0;
  std::optional<WriteRequest> unconfirmed_write_;
  int consecutive_failures_ = 0;
  std::uint64_t published_count_ = 0;
  std::uint64_t failure_count_ = 0;
  std::uint64_t fenced_count_ = 0;
};

}  // namespace tinspan::lease
