// Leases for the fleet, granted by a majority of a fixed set of voters. Each member runs one node, which can
// be a voter, a candidate and a holder at the same time. Does no I/O: the caller passes in the time, the wall
// clock and a seed, hands received messages to Receive and sends the messages from DrainMessages. See
// docs/design/leases.md for the design, its alternatives and an outline of the proof.
//
// Handles these faults:
// - two concurrent holders: a lease needs a majority, and its duration allows for clock drift;
// - a holder that continues after a pause or partition: its lease expires by its own clock, and each later
//   grant has a higher fencing token, so that receivers reject the earlier holder;
// - a voter that restarted without its state: see VoterState;
// - candidates that keep outbidding each other: they back off for random times;
// - load that grows with the fleet: only selected candidates (SelectCandidates) send requests.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lease/candidate_state.hpp"
#include "lease/node_context.hpp"
#include "lease/observed_tokens.hpp"
#include "lease/voter_state.hpp"

namespace tinspan::lease {

/// What this member knows about a lease, for operators.
struct LeaseStatus {
  std::string holder;  // empty if unknown
  Token token = kNoToken;
  Micros remaining{0};  // time until the lease expires, by this node's clock; 0 if unknown
  bool is_held_here = false;
};

/// The lease node of one member. Not thread-safe. Ignores messages, claims and calls about a lease that is
/// not in LeaseOptions::lease_names; queries return an empty value for it.
class LeaseNode {
 public:
  /// Starts the node of the member `self` at `now`; `seed` seeds its random generator.
  LeaseNode(LeaseOptions options, std::string self, std::uint64_t seed, Micros now);

  /// Sets whether this member starts ballots for the lease. Ending the candidacy does not end a hold, which
  /// continues to be renewed; once it has ended, no new ballot is started.
  void SetCandidacy(const std::string& lease, bool is_candidate, Micros now);
  /// Handles a message from another member.
  void Receive(Micros now, const Message& message);
  /// Runs all actions that are due. `wall_ms` is the wall clock in milliseconds.
  void Tick(Micros now, std::uint64_t wall_ms);
  /// When Tick must be called next; Micros::max() if no call is needed.
  Micros NextDeadline() const;

  /// Records a token that a receiver has seen in use. The next ballot is higher.
  void ObserveToken(const std::string& lease, Token token);
  /// Replaces the known claims by `claims`, all claims in the current fleet view. A claim with a lower token
  /// than an earlier one is ignored, and each new ballot is higher than every claimed token.
  void ObserveClaims(const std::vector<LeaseClaim>& claims);
  /// Ends the hold without notifying the voters, because a receiver has rejected its token as superseded.
  void Abandon(const std::string& lease, Micros now);
  /// Ends all candidacies and holds and notifies the voters.
  void ReleaseAll(Micros now);

  /// The token that this member holds at `now`; nullopt if it does not hold the lease. Call this immediately
  /// before each action under the lease, because the process may have been stopped since the last call.
  std::optional<Token> HeldToken(const std::string& lease, Micros now) const;
  /// The status of the lease from the best source available, in this order: a hold of this member, a grant by
  /// this voter, a report from another voter, a claim in the fleet view.
  LeaseStatus StatusOf(const std::string& lease, Micros now) const;
  /// The highest token ever claimed in the fleet view.
  Token HighestClaimedToken(const std::string& lease) const;
  /// Whether this member is a voter.
  bool IsVoter() const { return context_.IsVoter(context_.Self()); }
  /// Whether this member is a voter that has recovered and responds to candidates.
  bool IsServing(const std::string& lease) const;

  /// Return the messages to send, and the changes of this member's holds, since the last call.
  std::vector<OutboundMessage> DrainMessages() { return context_.DrainMessages(); }
  std::vector<LeaseChange> DrainChanges() { return context_.DrainChanges(); }

  const LeaseOptions& Options() const { return context_.Options(); }
  const LeaseStats& Stats() const { return context_.Stats(); }

 private:
  struct LeaseState {
    CandidateState candidate;
    std::optional<VoterState> voter;
    ObservedTokens tokens;
  };

  LeaseState* Find(const std::string& lease);
  const LeaseState* Find(const std::string& lease) const;
  void Handle(Micros now, const Message& message);
  void HandleLocalMessages(Micros now);

  NodeContext context_;
  std::map<std::string, LeaseState> leases_;  // by name; constant after construction
};

}  // namespace tinspan::lease
