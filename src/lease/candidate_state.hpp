// The candidate for, and holder of, one lease (the proposer in Paxos). It collects promises and accepts from
// a majority of voters, renews the lease while it holds it, and backs off after a failed ballot. A "hold" is
// the time during which this member holds the lease under one token.
//
// A holder uses only its own clock: its hold starts before the proposal is sent and is shortened by the drift
// bound (LeaseOptions::HolderValidity), so that it ends before the voters' grants expire.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "lease/node_context.hpp"
#include "lease/observed_tokens.hpp"

namespace tinspan::lease {

/// Does no I/O. `now` is the node's monotonic clock; messages and changes are queued in the NodeContext.
class CandidateState {
 public:
  /// Starts as neither candidate nor holder. The first ballot starts at `next_ballot_at` or later.
  CandidateState(std::string lease, Micros next_ballot_at);

  /// Sets whether this member starts ballots. Ending the candidacy does not end a hold; Release does.
  void SetCandidacy(bool is_candidate, Micros now);

  /// Handle a message from the voter `sender`. Responses count only if they answer the latest request.
  void Handle(NodeContext& context, Micros now, const std::string& sender, const Promise& promise);
  void Handle(NodeContext& context, Micros now, const std::string& sender, const Accept& accept);
  void Handle(NodeContext& context, Micros now, const std::string& sender, const Reject& reject);
  void Handle(NodeContext& context, Micros now, const std::string& sender, const LeaseFreed& freed);

  /// Renews or ends a hold, abandons a ballot that timed out, and starts a ballot that is due. A new ballot
  /// is higher than every token in `tokens` and at least `wall_ms`, the wall clock in milliseconds.
  void Tick(NodeContext& context, Micros now, std::uint64_t wall_ms, ObservedTokens& tokens);
  /// When Tick must be called next; Micros::max() if no call is needed.
  Micros NextDeadline(const LeaseOptions& options) const;

  /// Ends the hold without notifying the voters, because a receiver has rejected the token as superseded.
  void Abandon(NodeContext& context, Micros now);
  /// Ends the candidacy, any open ballot and any hold. Notifies the voters if a hold ended.
  void Release(NodeContext& context, Micros now);

  /// The token held at `now`; nullopt if the lease is not held.
  std::optional<Token> HeldToken(Micros now) const;
  /// When the hold ends unless it is renewed, by this node's clock. Valid only while a token is held.
  Micros HeldUntil() const { return held_until_; }
  /// The member that holds the lease at `now` according to a voter's rejection; empty if unknown.
  std::string ReportedHolder(Micros now) const;
  /// When the lease of the reported holder expires, by this node's clock.
  Micros ReportedUntil() const { return reported_until_; }

 private:
  enum class Phase { kIdle, kPreparing, kProposing, kHolding };

  bool IsBallotOpen() const { return phase_ == Phase::kPreparing || phase_ == Phase::kProposing; }
  bool IsOpenRequest(NodeContext& context, Micros now, RequestId request_id);
  void StartBallot(NodeContext& context, Micros now, std::uint64_t wall_ms, ObservedTokens& tokens);
  void SendProposal(NodeContext& context, Micros now);
  RequestId BeginRequest(NodeContext& context);
  void ConfirmHold(NodeContext& context, Micros now);
  void FailBallot(NodeContext& context, Micros now);
  void TickHold(NodeContext& context, Micros now);
  void EndHold(NodeContext& context, Micros now, LeaseChange::Kind kind);

  std::string lease_;
  bool is_candidate_ = false;
  Phase phase_ = Phase::kIdle;

  /// The open ballot, or the latest one if none is open.
  Token ballot_ = kNoToken;
  Micros ballot_started_at_{0};
  RequestId request_id_ = 0;
  Micros proposed_at_{0};
  std::set<std::string> agreeing_voters_;   // that promised or accepted in response to the request
  std::set<std::string> rejecting_voters_;  // that rejected the request
  Micros next_ballot_at_{0};
  int consecutive_failures_ = 0;  // of ballots, at most kMaxBackoffDoublings
  Micros expected_free_at_{0};    // when the lease may become free, according to the voters' rejections

  /// The hold.
  Micros held_until_{0};
  Micros renew_at_{0};

  /// Taken from the latest rejection that named a holder.
  std::string reported_holder_;
  Micros reported_until_{0};
};

}  // namespace tinspan::lease
