// Leases of the fleet, granted by a majority of fixed voters. One node per member: it may be a voter, a
// candidate and a holder at once. Without I/O: time, the wall clock and a seed are passed in; messages go out
// through DrainMessages and come in through Receive. Design, alternatives and an outline of the proof:
// docs/design/leases.md.
//
// Safe against:
// - two concurrent holders: a majority grants, and spans allow for clocks that drift apart;
// - a holder that was paused or partitioned and continues: its own clock ends the lease, and each grant has a
//   higher fencing token, by which receivers reject the earlier one;
// - a voter that restarted without its state: see VoterState;
// - candidates that outbid each other for ever: they back off for random times;
// - load that grows with the fleet: only selected candidates (SelectCandidates) send anything.
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

/// What this member knows of a lease, for operators.
struct LeaseStatus {
  std::string holder;  // empty: not known
  Token token = kNoToken;
  Micros remaining{0};  // as far as known here; of an own hold: by this node's clock
  bool is_held_here = false;
};

class LeaseNode {
 public:
  /// A node of the member `self` that starts at `now`; `seed` starts its random generator.
  LeaseNode(LeaseOptions options, std::string self, std::uint64_t seed, Micros now);

  /// Whether this member tries for the lease. Ending the candidacy ends no hold; it is not renewed by a new
  /// ballot.
  void SetCandidacy(const std::string& lease, bool is_candidate, Micros now);
  /// Handles a message; one about a lease that is not configured here is ignored.
  void Receive(Micros now, const Message& message);
  /// Does what is due. `wall_ms` is the wall clock in milliseconds.
  void Tick(Micros now, std::uint64_t wall_ms);
  /// When Tick has to be called next; Micros::max() if never.
  Micros NextDeadline() const;

  /// Records a token that a receiver has seen in use: the next ballot is above it.
  void ObserveToken(const std::string& lease, Token token);
  /// Records all claims that the fleet view holds now. A claim below an earlier one's token is not believed,
  /// and no ballot goes below a claim; claims of leases that are not configured here are ignored.
  void ObserveClaims(const std::vector<LeaseClaim>& claims);
  /// Ends the hold without notifying the voters: a receiver has rejected its token as superseded.
  void Abandon(const std::string& lease, Micros now);
  /// Ends all candidacies and holds and notifies the voters.
  void ReleaseAll(Micros now);

  /// The token to act under at `now`, or none. To be asked before each act: the process may have been stopped
  /// since the last time.
  std::optional<Token> HeldToken(const std::string& lease, Micros now) const;
  /// What is known of the lease: as held or granted here or as a voter reported it; failing these, as
  /// claimed.
  LeaseStatus StatusOf(const std::string& lease, Micros now) const;
  /// The highest token ever claimed in the fleet view.
  Token HighestClaimedToken(const std::string& lease) const;
  /// Whether this member is a voter.
  bool IsVoter() const { return context_.IsVoter(context_.Self()); }
  /// Whether this member is a voter that has recovered and answers candidates.
  bool IsServing(const std::string& lease) const;

  /// What is to be sent, and what changed, since the last call.
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
