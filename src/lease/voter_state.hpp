// The voter (Paxos acceptor) for one lease: promises ballots, grants the lease, and recovers after a restart.
//
// The state is in memory only. A voter that starts does not know what its earlier incarnation promised or
// granted. It therefore stays silent until every such promise and grant has expired, then queries the other
// voters, and serves once a majority of serving voters has replied.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lease/node_context.hpp"

namespace tinspan::lease {

/// A grant of the lease by one voter.
struct Grant {
  std::string holder;
  Token token = kNoToken;
  Micros expires_at{0};  // by the voter's clock
};

/// Does no I/O. `now` is the node's monotonic clock; messages are queued in the NodeContext.
class VoterState {
 public:
  /// The maximum number of rejected candidates that are notified when the lease is released.
  static constexpr std::size_t kMaxRejectedCandidates = 8;

  /// Starts at `now`, not serving yet.
  VoterState(std::string lease, const LeaseOptions& options, Micros now);

  /// Handle a message from the member `sender`. Prepare, Propose and Release are ignored until IsServing().
  void Handle(NodeContext& context, Micros now, const std::string& sender, const Prepare& prepare);
  void Handle(NodeContext& context, Micros now, const std::string& sender, const Propose& propose);
  void Handle(NodeContext& context, Micros now, const std::string& sender, const Release& release);
  void Handle(NodeContext& context, Micros now, const std::string& sender, const RecoveryQuery& query);
  void Handle(NodeContext& context, Micros now, const std::string& sender, const RecoveryReply& reply);

  /// Advances the recovery; does nothing once the voter serves. `wall_ms` is the wall clock in milliseconds.
  void Tick(NodeContext& context, Micros now, std::uint64_t wall_ms);
  /// When Tick must be called next; Micros::max() once the voter serves.
  Micros NextDeadline() const;

  /// Whether the voter has recovered and responds to candidates.
  bool IsServing() const { return is_serving_; }
  /// The grant in force at `now`; nullopt if there is none.
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

  Token promised_ballot_ = kNoToken;  // the highest ballot ever promised
  std::string promised_to_;
  Micros promised_until_{0};
  Grant grant_;  // the known grant with the highest token; may have expired
  std::vector<std::string> rejected_candidates_;

  /// The state of the recovery after a start.
  Micros silent_until_{0};
  Micros can_start_alone_at_{0};
  Micros next_query_at_{0};
  RequestId query_id_ = 0;
  std::map<std::string, bool> is_serving_by_voter_;  // the voters that replied
};

}  // namespace tinspan::lease
