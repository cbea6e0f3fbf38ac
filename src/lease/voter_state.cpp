#include "lease/voter_state.hpp"

#include <algorithm>

namespace tinspan::lease {
namespace {

// The number of times that the query to the other voters is sent per ballot timeout.
constexpr int kQueriesPerBallotTimeout = 4;

}  // namespace

VoterState::VoterState(std::string lease, const LeaseOptions& options, Micros now)
    : lease_(std::move(lease)),
      silent_until_(now + options.lease_duration + 2 * options.ballot_timeout),
      can_start_alone_at_(silent_until_ + options.lease_duration),
      next_query_at_(silent_until_) {}

bool VoterState::IsHeldByOther(Micros now, const std::string& member) const {
  return now < grant_.expires_at && grant_.holder != member;
}

std::optional<Grant> VoterState::CurrentGrant(Micros now) const {
  if (grant_.expires_at <= now) return std::nullopt;
  return grant_;
}

// Each ballot is promised once: a repeated Prepare, or one with the same ballot from another candidate, is
// rejected. No ballot is promised while another member's lease is in force, because the promise would prevent
// that member from renewing it.
void VoterState::Handle(NodeContext& context, Micros now, const std::string& sender, const Prepare& prepare) {
  if (!is_serving_) return;
  const bool is_new = prepare.ballot > promised_ballot_ && prepare.ballot <= kMaxToken;
  if (!is_new || IsHeldByOther(now, sender)) {
    SendReject(context, now, sender, prepare.request_id);
    return;
  }
  RaisePromise(prepare.ballot, sender);
  promised_until_ = now + context.Options().PromiseDuration();
  context.Send(sender, lease_, Promise{prepare.ballot, prepare.request_id});
}

void VoterState::Handle(NodeContext& context, Micros now, const std::string& sender, const Propose& propose) {
  if (!is_serving_) return;
  if (!CanGrant(now, sender, propose.ballot)) {
    SendReject(context, now, sender, propose.request_id);
    return;
  }
  RaisePromise(propose.ballot, sender);
  grant_ = {sender, propose.ballot, now + context.Options().lease_duration};
  context.Send(sender, lease_, Accept{propose.ballot, propose.request_id});
}

// A proposal is granted if its ballot was promised to the sender or is above every promise, or if no promise
// is in force any more. Without the last rule, a voter that promised a ballot which then failed would reject
// the holder's renewals indefinitely. A ballot below an earlier grant's token is never granted.
bool VoterState::CanGrant(Micros now, const std::string& sender, Token ballot) const {
  if (ballot > kMaxToken) return false;
  if (ballot > promised_ballot_) return true;
  if (ballot == promised_ballot_ && sender == promised_to_) return true;
  const bool is_renewal = ballot == grant_.token && sender == grant_.holder;
  return (ballot > grant_.token || is_renewal) && now >= promised_until_;
}

void VoterState::RaisePromise(Token ballot, const std::string& sender) {
  if (ballot <= promised_ballot_) return;
  promised_ballot_ = ballot;
  promised_to_ = sender;
}

void VoterState::SendReject(NodeContext& context, Micros now, const std::string& sender,
                            RequestId request_id) {
  Reject reject{promised_ballot_, request_id, {}, Micros{0}};
  if (IsHeldByOther(now, sender)) {
    reject.holder = grant_.holder;
    reject.remaining = grant_.expires_at - now;
    RememberRejected(sender);
  }
  context.Send(sender, lease_, std::move(reject));
}

void VoterState::RememberRejected(const std::string& candidate) {
  const auto found = std::find(rejected_candidates_.begin(), rejected_candidates_.end(), candidate);
  if (found != rejected_candidates_.end()) return;
  if (rejected_candidates_.size() >= kMaxRejectedCandidates) {
    rejected_candidates_.erase(rejected_candidates_.begin());
  }
  rejected_candidates_.push_back(candidate);
}

void VoterState::Handle(NodeContext& context, Micros now, const std::string& sender, const Release& release) {
  if (!is_serving_) return;
  const bool is_holder = grant_.holder == sender && grant_.token == release.ballot;
  if (!is_holder || now >= grant_.expires_at) return;
  grant_.expires_at = now;
  for (const std::string& candidate : std::exchange(rejected_candidates_, {})) {
    context.Send(candidate, lease_, LeaseFreed{promised_ballot_});
  }
}

// A voter that is still in its silent period does not reply, because its earlier incarnation may have made a
// grant that it no longer knows.
void VoterState::Handle(NodeContext& context, Micros now, const std::string& sender,
                        const RecoveryQuery& query) {
  if (!context.IsVoter(sender)) return;
  if (!is_serving_ && now < silent_until_) return;
  context.Send(sender, lease_, RecoveryReply{grant_.token, query.request_id, grant_.holder, is_serving_});
}

void VoterState::Handle(NodeContext& context, Micros, const std::string& sender, const RecoveryReply& reply) {
  if (is_serving_ || reply.request_id != query_id_) return;
  if (!context.IsVoter(sender) || sender == context.Self()) return;
  is_serving_by_voter_[sender] = reply.is_serving;
  if (reply.granted <= grant_.token) return;
  grant_.token = reply.granted;
  grant_.holder = reply.holder;
  promised_ballot_ = std::max(promised_ballot_, reply.granted);
}

// A majority made up of other, serving voters intersects every majority that this voter was part of, so at
// least one of them knows each grant of that majority.
bool VoterState::HasRecovered(const LeaseOptions& options) const {
  const auto serving = std::count_if(is_serving_by_voter_.begin(), is_serving_by_voter_.end(),
                                     [](const auto& entry) { return entry.second; });
  return static_cast<std::size_t>(serving) >= options.Majority();
}

// Either every other voter has replied and no majority of them is serving (the whole fleet is starting), or
// can_start_alone is set and the voter could not recover for one more lease duration.
bool VoterState::CanStartFromClock(const LeaseOptions& options, Micros now) const {
  const bool has_all_replies = is_serving_by_voter_.size() + 1 == options.voters.size();
  return has_all_replies || (options.can_start_alone && now >= can_start_alone_at_);
}

// Starts to serve without recovered grants. Only the wall clock then keeps new tokens above earlier ones.
void VoterState::StartFromClock(std::uint64_t wall_ms) {
  is_serving_ = true;
  const Token clock_token{std::min(wall_ms, ToNumber(kMaxToken) - 1)};
  if (clock_token <= promised_ballot_) return;
  promised_ballot_ = clock_token;
  promised_to_.clear();
}

void VoterState::Tick(NodeContext& context, Micros now, std::uint64_t wall_ms) {
  if (is_serving_ || now < silent_until_) return;
  if (HasRecovered(context.Options())) {
    is_serving_ = true;
    return;
  }
  if (CanStartFromClock(context.Options(), now)) {
    StartFromClock(wall_ms);
    return;
  }
  if (now < next_query_at_) return;
  next_query_at_ = now + context.Options().ballot_timeout / kQueriesPerBallotTimeout;
  QueryOtherVoters(context);
}

// A repeated query has the same id, so that replies to any of its copies count.
void VoterState::QueryOtherVoters(NodeContext& context) {
  if (query_id_ == 0) query_id_ = context.NextRequestId();
  for (const std::string& voter : context.Options().voters) {
    if (voter != context.Self()) context.Send(voter, lease_, RecoveryQuery{query_id_});
  }
}

Micros VoterState::NextDeadline() const {
  if (is_serving_) return Micros::max();
  return std::max(silent_until_, next_query_at_);
}

}  // namespace tinspan::lease
