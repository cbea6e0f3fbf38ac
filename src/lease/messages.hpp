// The messages of the lease protocol, one type per kind. The terms are those of Paxos (Lamport, "Paxos Made
// Simple", 2001) as used by PaxosLease (Trencseni, Gazso, Reinhardt, 2012).
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "lease/token.hpp"

namespace tinspan::lease {

/// Identifies a request within its sender's incarnation. The response carries the same id.
using RequestId = std::uint64_t;

/// Candidate to voter: asks for a promise to accept no ballot below `ballot`.
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

/// Voter to candidate or holder: the lease is granted for one lease duration by the voter's clock.
struct Accept {
  Token ballot = kNoToken;
  RequestId request_id = 0;
};

/// Voter to candidate or holder: the request is rejected.
struct Reject {
  Token highest_ballot = kNoToken;  // the highest that the voter has promised
  RequestId request_id = 0;
  std::string holder;   // the member whose grant from this voter is in force; empty if there is none
  Micros remaining{0};  // time until that grant expires; at most one lease duration
};

/// Holder to voter: the holder releases the lease that it held under `ballot`.
struct Release {
  Token ballot = kNoToken;
};

/// Voter to the candidates it rejected: the holder has released the lease.
struct LeaseFreed {
  Token highest_ballot = kNoToken;  // the highest that the voter has promised
};

/// Restarted voter to the other voters: asks for their latest grants.
struct RecoveryQuery {
  RequestId request_id = 0;
};

/// Voter to restarted voter: its latest grant.
struct RecoveryReply {
  Token granted = kNoToken;
  RequestId request_id = 0;
  std::string holder;       // the member that received `granted`; empty if there was no grant
  bool is_serving = false;  // whether the sender has kept its state since before the restart
};

using MessageBody = std::variant<Prepare, Promise, Propose, Accept, Reject, Release, LeaseFreed,
                                 RecoveryQuery, RecoveryReply>;

/// A message about one lease.
struct Message {
  std::string lease;   // name of the lease
  std::string sender;  // name of the sending member
  MessageBody body;
};

/// A message and its recipient's member name.
struct OutboundMessage {
  std::string recipient;
  Message message;
};

/// Returns the ballot or token that a message carries; kNoToken if its kind has none.
Token BallotOf(const MessageBody& body);

}  // namespace tinspan::lease
