// The messages of the membership protocol, one type a kind. SWIM's failure detector uses Ping, PingRequest
// and Ack; Nack is Lifeguard's; the three sync messages are anti-entropy; Payload carries another module's
// bytes.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "members/types.hpp"

namespace tinspan::members {

constexpr std::size_t kDigestBuckets = 64;
// A summary of a whole view: members fall into buckets by their name's hash, and each bucket is the xor of
// its members' hashes.
using Digest = std::array<std::uint64_t, kDigestBuckets>;

// Asks `target` for an Ack with the same sequence number.
struct Ping {
  std::uint64_t sequence = 0;
  std::string target;
};

// Asks the receiver to ping `target` and to pass its Ack on.
struct PingRequest {
  std::uint64_t sequence = 0;
  std::string target;
  Address target_address;
};

// The answer to a Ping, or to a PingRequest whose target answered.
struct Ack {
  std::uint64_t sequence = 0;
};

// The answer to a PingRequest whose target did not answer in time.
struct Nack {
  std::uint64_t sequence = 0;
};

// Starts an anti-entropy exchange. Without a digest it is ignored.
struct Sync {
  std::optional<Digest> digest;
};

// Answers a Sync; the message's updates are the sender's entries of the buckets that differ.
struct SyncReply {
  std::optional<Digest> digest;
  bool is_truncated = false;  // not all entries that differ fitted the datagram
};

// Answers a SyncReply; the message's updates are the sender's entries of the buckets that differ.
struct SyncPush {};

// Another module's message (src/lease). The view ignores it; whoever runs the view passes it on.
struct Payload {
  std::string bytes;
};

using MessageBody = std::variant<Ping, PingRequest, Ack, Nack, Sync, SyncReply, SyncPush, Payload>;

// A message as one member sends it to another. Updates are merged whatever the body is.
struct Message {
  std::string from;  // the sender's name
  Address from_address;
  std::vector<MemberUpdate> updates;
  MessageBody body;
};

// A message and its destination.
struct Datagram {
  Address destination;
  Message message;
};

}  // namespace tinspan::members
