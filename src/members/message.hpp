// The messages of the membership protocol, one type for each kind. SWIM's failure detector uses Ping,
// PingRequest and Ack; Nack is an extension of Lifeguard; the three sync messages implement anti-entropy;
// Payload contains another module's message.
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
// A summary of a whole view: the hash of a member's name selects its bucket, and the value of a bucket is the
// XOR of its members' digest entries.
using Digest = std::array<std::uint64_t, kDigestBuckets>;

// Asks `target` for an Ack with the same sequence number.
struct Ping {
  std::uint64_t sequence = 0;
  std::string target;
};

// Asks the receiver to ping `target` and to forward its Ack.
struct PingRequest {
  std::uint64_t sequence = 0;
  std::string target;
  Address target_address;
};

// The response to a Ping, or to a PingRequest whose target responded.
struct Ack {
  std::uint64_t sequence = 0;
};

// The response to a PingRequest whose target did not respond in time.
struct Nack {
  std::uint64_t sequence = 0;
};

// Starts an anti-entropy exchange. A Sync without a digest is ignored.
struct Sync {
  std::optional<Digest> digest;
};

// The response to a Sync; the message's updates are the sender's entries in the buckets that differ.
struct SyncReply {
  std::optional<Digest> digest;
  bool is_truncated = false;  // not all entries of the buckets that differ fit in the datagram
};

// The response to a SyncReply; the message's updates are the sender's entries in the buckets that differ.
struct SyncPush {};

// Another module's message (src/lease). MembershipView ignores it; MembershipNode passes it to the payload
// handler.
struct Payload {
  std::string bytes;
};

using MessageBody = std::variant<Ping, PingRequest, Ack, Nack, Sync, SyncReply, SyncPush, Payload>;

// A message from one member to another. The receiver's view merges the updates of every kind of body.
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
