#include "lease/publisher.hpp"

#include <algorithm>

namespace tinspan::lease {
namespace {

constexpr int kMaxBackoffDoublings = 5;

bool IsSameRecord(const StoredRecord& stored, const WriteRequest& write) {
  return stored.token == write.token && stored.number == write.number;
}

}  // namespace

std::optional<StoreRequest> Publisher::NextRequest(Micros now, std::optional<Token> held) {
  if (is_pending_ || !held) return std::nullopt;
  if (*held != held_token_) {  // a new grant: read and then write the record without delay
    held_token_ = *held;
    is_record_known_ = false;
    consecutive_failures_ = 0;
    next_request_at_ = now;
  }
  if (now < next_request_at_) return std::nullopt;
  is_pending_ = true;
  if (!is_record_known_) return ReadRequest{};
  is_record_known_ = false;
  unconfirmed_write_ = WriteRequest{stored_.index, held_token_, last_number_ + 1};
  return *unconfirmed_write_;
}

// After a confirmed write, the next write is due one interval later and uses the index read here. Otherwise
// it is due immediately, unless the record has a newer token.
RecordCheck Publisher::OnRead(Micros now, const StoredRecord& stored) {
  is_pending_ = false;
  consecutive_failures_ = 0;
  stored_ = stored;
  last_number_ = stored.number;
  const bool is_confirmed = unconfirmed_write_ && IsSameRecord(stored, *unconfirmed_write_);
  if (is_confirmed) ++published_count_;
  if (unconfirmed_write_ && stored.token > unconfirmed_write_->token) ++fenced_count_;
  unconfirmed_write_.reset();
  const bool is_superseded = stored.token > held_token_;
  is_record_known_ = !is_superseded;
  next_request_at_ = is_confirmed || is_superseded ? now + interval_ : now;
  return is_superseded ? RecordCheck::kSuperseded : RecordCheck::kCurrent;
}

void Publisher::OnFailed(Micros now) {
  is_pending_ = false;
  is_record_known_ = false;
  ++failure_count_;
  const std::int64_t factor = std::int64_t{1} << std::min(consecutive_failures_, kMaxBackoffDoublings);
  next_request_at_ = now + std::min(kMaxBackoff, kMinBackoff * factor);
  ++consecutive_failures_;
}

}  // namespace tinspan::lease
