#include "lease/lease_node.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace tinspan::lease {
namespace {

// The kinds of messages that a voter handles; a candidate or holder handles the others.
template <class Body>
constexpr bool kIsForVoter =
    std::is_same_v<Body, Prepare> || std::is_same_v<Body, Propose> || std::is_same_v<Body, Release> ||
    std::is_same_v<Body, RecoveryQuery> || std::is_same_v<Body, RecoveryReply>;

}  // namespace

LeaseNode::LeaseNode(LeaseOptions options, std::string self, std::uint64_t seed, Micros now)
    : context_(std::move(options), std::move(self), seed) {
  for (const std::string& lease : Options().lease_names) {
    const Micros delay = context_.RandomBetween(Micros{0}, Options().ballot_timeout);
    LeaseState state{CandidateState(lease, now + delay), std::nullopt, {}};
    if (IsVoter()) state.voter.emplace(lease, Options(), now);
    leases_.insert_or_assign(lease, std::move(state));
  }
}

LeaseNode::LeaseState* LeaseNode::Find(const std::string& lease) {
  const auto found = leases_.find(lease);
  return found == leases_.end() ? nullptr : &found->second;
}

const LeaseNode::LeaseState* LeaseNode::Find(const std::string& lease) const {
  const auto found = leases_.find(lease);
  return found == leases_.end() ? nullptr : &found->second;
}

void LeaseNode::SetCandidacy(const std::string& lease, bool is_candidate, Micros now) {
  if (LeaseState* const state = Find(lease)) state->candidate.SetCandidacy(is_candidate, now);
}

void LeaseNode::ObserveToken(const std::string& lease, Token token) {
  if (LeaseState* const state = Find(lease)) state->tokens.Observe(token);
}

void LeaseNode::ObserveClaims(const std::vector<LeaseClaim>& claims) {
  for (auto& [name, state] : leases_) state.tokens.ClearClaimant();
  for (const LeaseClaim& claim : claims) {
    if (LeaseState* const state = Find(claim.lease)) state->tokens.ObserveClaim(claim.member, claim.token);
  }
}

Token LeaseNode::HighestClaimedToken(const std::string& lease) const {
  const LeaseState* const state = Find(lease);
  return state == nullptr ? kNoToken : state->tokens.HighestClaimed();
}

std::optional<Token> LeaseNode::HeldToken(const std::string& lease, Micros now) const {
  const LeaseState* const state = Find(lease);
  if (state == nullptr) return std::nullopt;
  return state->candidate.HeldToken(now);
}

LeaseStatus LeaseNode::StatusOf(const std::string& lease, Micros now) const {
  const LeaseState* const state = Find(lease);
  if (state == nullptr) return {};
  const CandidateState& candidate = state->candidate;
  if (const auto token = candidate.HeldToken(now)) {
    return {context_.Self(), *token, candidate.HeldUntil() - now, true};
  }
  if (const auto grant = state->voter ? state->voter->CurrentGrant(now) : std::nullopt) {
    return {grant->holder, grant->token, grant->expires_at - now, false};
  }
  if (std::string holder = candidate.ReportedHolder(now); !holder.empty()) {
    return {std::move(holder), state->tokens.Highest(), candidate.ReportedUntil() - now, false};
  }
  // The highest observed token may be only a ballot, even one of this member, so a claim takes precedence.
  if (!state->tokens.Claimant().empty()) {
    return {state->tokens.Claimant(), state->tokens.HighestClaimed(), Micros{0}, false};
  }
  return {{}, state->tokens.Highest(), Micros{0}, false};
}

bool LeaseNode::IsServing(const std::string& lease) const {
  const LeaseState* const state = Find(lease);
  return state != nullptr && state->voter && state->voter->IsServing();
}

void LeaseNode::Receive(Micros now, const Message& message) {
  ++context_.Stats().messages_received;
  Handle(now, message);
  HandleLocalMessages(now);
}

// Handles the messages that this member sent to itself, and those that result from handling them.
void LeaseNode::HandleLocalMessages(Micros now) {
  for (auto messages = context_.DrainLocalMessages(); !messages.empty();
       messages = context_.DrainLocalMessages()) {
    for (const Message& message : messages) Handle(now, message);
  }
}

void LeaseNode::Handle(Micros now, const Message& message) {
  LeaseState* const state = Find(message.lease);
  if (state == nullptr) return;
  state->tokens.Observe(BallotOf(message.body));
  const auto dispatch = [&]<class Body>(const Body& body) {
    if constexpr (kIsForVoter<Body>) {
      if (state->voter) state->voter->Handle(context_, now, message.sender, body);
    } else {
      if (context_.IsVoter(message.sender)) state->candidate.Handle(context_, now, message.sender, body);
    }
  };
  std::visit(dispatch, message.body);
}

void LeaseNode::Abandon(const std::string& lease, Micros now) {
  if (LeaseState* const state = Find(lease)) state->candidate.Abandon(context_, now);
}

void LeaseNode::ReleaseAll(Micros now) {
  for (auto& [name, state] : leases_) state.candidate.Release(context_, now);
  HandleLocalMessages(now);
}

void LeaseNode::Tick(Micros now, std::uint64_t wall_ms) {
  for (auto& [name, state] : leases_) {
    if (state.voter) state.voter->Tick(context_, now, wall_ms);
  }
  for (auto& [name, state] : leases_) state.candidate.Tick(context_, now, wall_ms, state.tokens);
  HandleLocalMessages(now);
}

Micros LeaseNode::NextDeadline() const {
  Micros deadline = Micros::max();
  for (const auto& [name, state] : leases_) {
    if (state.voter) deadline = std::min(deadline, state.voter->NextDeadline());
    deadline = std::min(deadline, state.candidate.NextDeadline(Options()));
  }
  return deadline;
}

}  // namespace tinspan::lease
