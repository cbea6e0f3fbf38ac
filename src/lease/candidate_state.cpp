#include "lease/candidate_state.hpp"

#include <algorithm>

namespace tinspan::lease {
namespace {

// A hold is renewed after this fraction (1/n) of its validity.
constexpr int kRenewalsPerValidity = 4;

// The backoff after a ballot that lost to another candidate is random. It is at least 1/16 of the ballot
// timeout and at most 1/4 of it, where the maximum doubles with each consecutive failure, up to four times.
constexpr int kMaxBackoffDoublings = 4;
constexpr int kMinBackoffDivisor = 16;
constexpr int kBackoffDivisor = 4;

// A candidate that learned when the lease may become free starts its ballot within this fraction (1/n) of the
// ballot timeout after that time, or after a notification that the lease is free.
constexpr int kExpectedFreeJitterDivisor = 4;
constexpr int kFreedJitterDivisor = 8;

}  // namespace

CandidateState::CandidateState(std::string lease, Micros next_ballot_at)
    : lease_(std::move(lease)), next_ballot_at_(next_ballot_at) {}

void CandidateState::SetCandidacy(bool is_candidate, Micros now) {
  if (is_candidate && !is_candidate_) next_ballot_at_ = std::max(next_ballot_at_, now);
  is_candidate_ = is_candidate;
}

std::optional<Token> CandidateState::HeldToken(Micros now) const {
  if (phase_ != Phase::kHolding || now >= held_until_) return std::nullopt;
  return ballot_;
}

std::string CandidateState::ReportedHolder(Micros now) const {
  return now < reported_until_ ? reported_holder_ : std::string();
}

// Whether the response is for the latest request. A process that was stopped may read responses before its
// timers run, when the promises it waited for have expired, so a ballot that timed out fails here too.
bool CandidateState::IsOpenRequest(NodeContext& context, Micros now, RequestId request_id) {
  if (request_id != request_id_) return false;
  if (!IsBallotOpen() || now < ballot_started_at_ + context.Options().ballot_timeout) return true;
  FailBallot(context, now);
  return false;
}

void CandidateState::Handle(NodeContext& context, Micros now, const std::string& sender,
                            const Promise& promise) {
  if (!IsOpenRequest(context, now, promise.request_id)) return;
  if (phase_ != Phase::kPreparing || promise.ballot != ballot_) return;
  agreeing_voters_.insert(sender);
  if (agreeing_voters_.size() < context.Options().Majority()) return;
  phase_ = Phase::kProposing;
  SendProposal(context, now);
}

void CandidateState::Handle(NodeContext& context, Micros now, const std::string& sender,
                            const Accept& accept) {
  if (!IsOpenRequest(context, now, accept.request_id)) return;
  const bool expects_accepts = phase_ == Phase::kProposing || phase_ == Phase::kHolding;
  if (!expects_accepts || accept.ballot != ballot_) return;
  agreeing_voters_.insert(sender);
  if (agreeing_voters_.size() < context.Options().Majority()) return;
  ConfirmHold(context, now);
}

// Accepts are ignored if they arrive after the end of the validity, or if they renew a hold that has expired.
void CandidateState::ConfirmHold(NodeContext& context, Micros now) {
  const Micros validity = context.Options().HolderValidity();
  const Micros held_until = proposed_at_ + validity;
  const bool has_expired = phase_ == Phase::kHolding && now >= held_until_;
  if (now >= held_until || has_expired) return;
  if (phase_ == Phase::kProposing) {
    ++context.Stats().grants;
    context.AddChange({LeaseChange::Kind::kGranted, lease_, ballot_});
  } else if (held_until > held_until_) {
    ++context.Stats().renewals;
  }
  phase_ = Phase::kHolding;
  consecutive_failures_ = 0;
  held_until_ = held_until;
  renew_at_ = proposed_at_ + validity / kRenewalsPerValidity;
}

// A ballot fails once so many voters have rejected it that a majority is impossible. Rejections do not end a
// hold, which lasts until it expires.
void CandidateState::Handle(NodeContext& context, Micros now, const std::string& sender,
                            const Reject& reject) {
  const LeaseOptions& options = context.Options();
  if (!reject.holder.empty()) {
    reported_holder_ = reject.holder;
    reported_until_ = now + std::clamp(reject.remaining, Micros{0}, options.lease_duration);
    expected_free_at_ = std::max(expected_free_at_, reported_until_);
  }
  if (!IsOpenRequest(context, now, reject.request_id)) return;
  ++context.Stats().rejections;
  rejecting_voters_.insert(sender);
  const std::size_t tolerated = options.voters.size() - options.Majority();
  if (IsBallotOpen() && rejecting_voters_.size() > tolerated) FailBallot(context, now);
}

void CandidateState::Handle(NodeContext& context, Micros now, const std::string&, const LeaseFreed&) {
  if (!is_candidate_ || phase_ != Phase::kIdle) return;
  const Micros max_jitter = context.Options().ballot_timeout / kFreedJitterDivisor;
  next_ballot_at_ = std::min(next_ballot_at_, now + context.RandomBetween(Micros{0}, max_jitter));
}

// If another member holds the lease, the next ballot starts when that lease may have expired. If the ballot
// lost to another candidate, the backoff is random and grows with each failure, so that candidates do not
// keep outbidding each other.
void CandidateState::FailBallot(NodeContext& context, Micros now) {
  const Micros timeout = context.Options().ballot_timeout;
  phase_ = Phase::kIdle;
  consecutive_failures_ = std::min(consecutive_failures_ + 1, kMaxBackoffDoublings);
  const Micros max_backoff = timeout / kBackoffDivisor * (std::int64_t{1} << consecutive_failures_);
  next_ballot_at_ =
      std::max(now, expected_free_at_) + context.RandomBetween(timeout / kMinBackoffDivisor, max_backoff);
  if (expected_free_at_ <= now) return;
  consecutive_failures_ = 0;
  next_ballot_at_ =
      expected_free_at_ + context.RandomBetween(Micros{0}, timeout / kExpectedFreeJitterDivisor);
}

// Records the time before sending, so that the hold starts before any voter's grant does.
void CandidateState::SendProposal(NodeContext& context, Micros now) {
  proposed_at_ = now;
  const RequestId request_id = BeginRequest(context);
  context.SendToVoters(lease_, Propose{ballot_, request_id});
}

RequestId CandidateState::BeginRequest(NodeContext& context) {
  agreeing_voters_.clear();
  rejecting_voters_.clear();
  request_id_ = context.NextRequestId();
  return request_id_;
}

void CandidateState::EndHold(NodeContext& context, Micros now, LeaseChange::Kind kind) {
  phase_ = Phase::kIdle;
  next_ballot_at_ = now + context.RandomBetween(Micros{0}, context.Options().ballot_timeout);
  if (kind == LeaseChange::Kind::kExpired) ++context.Stats().expirations;
  context.AddChange({kind, lease_, ballot_});
}

void CandidateState::Abandon(NodeContext& context, Micros now) {
  if (phase_ == Phase::kHolding) EndHold(context, now, LeaseChange::Kind::kExpired);
}

// Ends the hold before notifying the voters, so that nothing is done under the token after its release.
void CandidateState::Release(NodeContext& context, Micros now) {
  is_candidate_ = false;
  if (phase_ != Phase::kHolding) {
    phase_ = Phase::kIdle;
    return;
  }
  EndHold(context, now, LeaseChange::Kind::kReleased);
  context.SendToVoters(lease_, lease::Release{ballot_});
}

void CandidateState::Tick(NodeContext& context, Micros now, std::uint64_t wall_ms, ObservedTokens& tokens) {
  if (phase_ == Phase::kHolding) {
    TickHold(context, now);
    return;
  }
  if (IsBallotOpen() && now >= ballot_started_at_ + context.Options().ballot_timeout)
    FailBallot(context, now);
  if (phase_ != Phase::kIdle || !is_candidate_ || now < next_ballot_at_) return;
  StartBallot(context, now, wall_ms, tokens);
}

void CandidateState::TickHold(NodeContext& context, Micros now) {
  if (now >= held_until_) {
    EndHold(context, now, LeaseChange::Kind::kExpired);
    return;
  }
  if (now < renew_at_) return;
  renew_at_ = now + context.Options().HolderValidity() / kRenewalsPerValidity;
  SendProposal(context, now);
}

void CandidateState::StartBallot(NodeContext& context, Micros now, std::uint64_t wall_ms,
                                 ObservedTokens& tokens) {
  const std::uint64_t lowest = ToNumber(tokens.Highest()) + 1;
  ballot_ = Token{std::clamp(wall_ms, lowest, std::max(lowest, ToNumber(kMaxToken)))};
  if (ballot_ > kMaxToken) return;  // the token space is exhausted
  tokens.Observe(ballot_);
  ++context.Stats().ballots;
  phase_ = Phase::kPreparing;
  ballot_started_at_ = now;
  expected_free_at_ = Micros{0};
  const RequestId request_id = BeginRequest(context);
  context.SendToVoters(lease_, Prepare{ballot_, request_id});
}

Micros CandidateState::NextDeadline(const LeaseOptions& options) const {
  if (phase_ == Phase::kHolding) return std::min(held_until_, renew_at_);
  if (IsBallotOpen()) return ballot_started_at_ + options.ballot_timeout;
  return is_candidate_ ? next_ballot_at_ : Micros::max();
}

}  // namespace tinspan::lease
