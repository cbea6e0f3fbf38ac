// The messages of the lease protocol, one type for each kind. The terms are those of Paxos (Lamport, "Paxos
// Made Simple", 2001) as PaxosLease uses them (Trencseni, Gazso, Reinhardt, 2012).
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "lease/token.hpp"

namespace tinspan::lease {

/// Identifies a request within its sender's incarnation; the response carries the same one.
using RequestId = std::uint64_t;

/// Candidate to voter: asks for the promise to accept nothing below `ballot`.
struct Prepare {
  Token ballot = kNoToken;
  RequestId request_id = 0;
};

/// Voter to candidate: `ballot` is promised.
struct Promise {
  Token ballot = kNoToken;
  RequestId request_id = 0;
};

/// Candidate or holder to voter: asks to grant or renew the lease under `ballot`.
struct Propose {
  Token ballot = kNoToken;
  RequestId request_id = 0;
};

/// Voter to candidate or holder: the lease is granted for a lease duration, counted by the voter's clock.
struct Accept {
  Token ballot = kNoToken;
  RequestId request_id = 0;
};

/// Voter to candidate or holder: the request is rejected.
struct Reject {
  Token highest_ballot = kNoToken;  // the highest that the voter has promised
  RequestId request_id = 0;
  std::string holder;   // the member that holds the lease at the voter; empty: nobody
  Micros remaining{0};  // of that member's lease; at most a lease duration
};

/// Holder to voter: the lease under `ballot` is given up.
struct Release {
  Token ballot = kNoToken;
};

/// Voter to the candidates it rejected: the holder has released the lease.
struct LeaseFreed {
  Token highest_ballot = kNoToken;  // the highest that the voter has promised
};

/// Restarted voter to the other voters: asks what they granted.
struct RecoveryQuery {
  RequestId request_id = 0;
};

/// Voter to restarted voter: its latest grant.
struct RecoveryReply {
  Token granted = kNoToken;
  RequestId request_id = 0;
  std::string holder;       // the member that `granted` was granted to; empty: none
  bool is_serving = false;  // whether the sender has kept its state since before the restart
};

using MessageBody = std::variant<Prepare, Promise, Propose, Accept, Reject, Release, LeaseFreed,
                                 RecoveryQuery, RecoveryReply>;

/// A message about one lease.
struct Message {
  std::string lease;   // the lease's name
  std::string sender;  // a member's name
  MessageBody body;
};

/// A message and the member it is to be sent to.
struct OutboundMessage {
  std::string recipient;
  Message message;
};

/// The highest ballot or token that a message carries; kNoToken where its kind has none.
Token BallotOf(const MessageBody& body);

}  // namespace tinspan::lease
