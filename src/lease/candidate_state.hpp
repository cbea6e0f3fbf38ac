// The candidate for, and holder of, one lease (Paxos's proposer): collects promises and grants from a
// majority of voters, renews what it holds, and backs off when it loses.
//
// A holder relies on its own clock alone: a grant is counted from before the proposal was sent and is
// shortened by the drift bound (LeaseOptions::HolderValidity), so that it ends before the voters' grants do.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "lease/node_context.hpp"
#include "lease/observed_tokens.hpp"

namespace tinspan::lease {

/// Without I/O; `now` is the node's monotonic clock, and messages and changes go out through the context.
class CandidateState {
 public:
  /// A member that is neither candidate nor holder; its first ballot starts at `next_ballot_at` or later.
  CandidateState(std::string lease, Micros next_ballot_at);

  /// Whether ballots are started. Ending the candidacy ends no hold: Release does.
  void SetCandidacy(bool is_candidate, Micros now);

  /// Handle a response from the voter `sender`. Only responses to the latest request count.
  void Handle(NodeContext& context, Micros now, const std::string& sender, const Promise& promise);
  void Handle(NodeContext& context, Micros now, const std::string& sender, const Accept& accept);
  void Handle(NodeContext& context, Micros now, const std::string& sender, const Reject& reject);
  void Handle(NodeContext& context, Micros now, const std::string& sender, const LeaseFreed& freed);

  /// Renews or ends a hold, abandons a ballot that timed out, starts one that is due. A new ballot is above
  /// all `tokens` and at least `wall_ms`, the wall clock in milliseconds.
  void Tick(NodeContext& context, Micros now, std::uint64_t wall_ms, ObservedTokens& tokens);
  /// When Tick has to be called next; Micros::max() if never.
  Micros NextDeadline(const LeaseOptions& options) const;

  /// Ends the hold without notifying the voters: a receiver has rejected the token as superseded.
  void Abandon(NodeContext& context, Micros now);
  /// Ends the candidacy, any ballot, and the hold; the voters are notified of the latter.
  void Release(NodeContext& context, Micros now);

  /// The token held at `now`, or none.
  std::optional<Token> HeldToken(Micros now) const;
  /// When the hold ends if it is not renewed, by this node's clock; meaningful while a token is held.
  Micros HeldUntil() const { return held_until_; }
  /// Who holds the lease at `now` as a voter's rejection reported it; empty: not known.
  std::string ReportedHolder(Micros now) const;
  /// Until when that member holds the lease, as reported.
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

  /// The open or last ballot.
  Token ballot_ = kNoToken;
  Micros ballot_started_at_{0};
  RequestId request_id_ = 0;
  Micros proposed_at_{0};
  std::set<std::string> supporters_;  // voters that agreed to the request
  std::set<std::string> opponents_;   // voters that rejected it
  Micros next_ballot_at_{0};
  int failed_ballots_ = 0;      // in a row, up to the cap of the backoff
  Micros expected_free_at_{0};  // when the voters' rejections say that the lease may be free

  /// The hold.
  Micros held_until_{0};
  Micros renew_at_{0};

  /// From the latest rejection that named a holder.
  std::string reported_holder_;
  Micros reported_until_{0};
};

}  // namespace tinspan::lease
