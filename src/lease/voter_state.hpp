// The voter (Paxos acceptor) of one lease: promises ballots, grants leases, and recovers after a restart.
//
// State is kept in memory only. A voter that starts does not know what it promised or granted before, so it
// stays silent until every lease and promise that an earlier incarnation can have given has run out, then
// queries the other voters, and serves once a majority that kept its state has answered.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lease/node_context.hpp"

namespace tinspan::lease {

/// A lease as one voter has granted it.
struct Grant {
  std::string holder;
  Token token = kNoToken;
  Micros expires_at{0};  // by the voter's clock
};

/// Without I/O; `now` is the node's monotonic clock, and messages go out through the context.
class VoterState {
 public:
  /// The number of rejected candidates that a voter remembers, to notify them when the lease is released.
  static constexpr std::size_t kMaxRejectedCandidates = 8;

  /// A voter that starts at `now` and is not serving yet.
  VoterState(std::string lease, const LeaseOptions& options, Micros now);

  /// Handle a request from the member `sender`. Requests for ballots are ignored until the voter serves.
  void Handle(NodeContext& context, Micros now, const std::string& sender, const Prepare& prepare);
  void Handle(NodeContext& context, Micros now, const std::string& sender, const Propose& propose);
  void Handle(NodeContext& context, Micros now, const std::string& sender, const Release& release);
  void Handle(NodeContext& context, Micros now, const std::string& sender, const RecoveryQuery& query);
  void Handle(NodeContext& context, Micros now, const std::string& sender, const RecoveryReply& reply);

  /// Advances recovery; nothing to do once the voter serves. `wall_ms` is the wall clock in milliseconds.
  void Tick(NodeContext& context, Micros now, std::uint64_t wall_ms);
  /// When Tick has to be called next; Micros::max() once the voter serves.
  Micros NextDeadline() const;

  /// Whether the voter has recovered and answers candidates.
  bool IsServing() const { return is_serving_; }
  /// The grant that lasts at `now`, or none.
  std::optional<Grant> CurrentGrant(Micros now) const;

 private:
  bool IsHeldByOther(Micros now, const std::string& member) const;
  bool CanGrant(Micros now, const std::string& sender, Token ballot) const;
  void RaisePromise(Token ballot, const std::string& sender);
  void SendReject(NodeContext& context, Micros now, const std::string& sender, RequestId request_id);
  void RememberRejected(const std::string& candidate);
  bool HasRecovered(const LeaseOptions& options) const;
  bool CanStartFromClock(const LeaseOptions& options, Micros now) const;
  void StartFromClock(std::uint64_t wall_ms);
  void QueryOtherVoters(NodeContext& context);

  std::string lease_;
  bool is_serving_ = false;

  Token promised_ballot_ = kNoToken;  // the highest ever promised
  std::string promised_to_;
  Micros promised_until_{0};
  Grant grant_;  // the one with the highest token ever; may have expired
  std::vector<std::string> rejected_candidates_;

  /// Recovery.
  Micros silent_until_{0};
  Micros can_start_alone_at_{0};
  Micros next_query_at_{0};
  RequestId query_id_ = 0;
  std::map<std::string, bool> is_serving_by_voter_;  // those that replied
};

}  // namespace tinspan::lease
