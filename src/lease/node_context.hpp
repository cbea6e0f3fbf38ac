// The context that the voter and candidate states of a lease node share: options, member name, random
// numbers, request ids, queues of outgoing messages and changes, and statistics.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "lease/messages.hpp"
#include "lease/options.hpp"

namespace tinspan::lease {

/// A change in whether this node holds a lease, for logs and for callers that act on it.
struct LeaseChange {
  enum class Kind { kGranted, kExpired, kReleased };
  Kind kind;
  std::string lease;
  Token token;
};

/// Counters since the construction of the node.
struct LeaseStats {
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t ballots = 0;  // started
  std::uint64_t grants = 0;
  std::uint64_t renewals = 0;
  std::uint64_t expirations = 0;
  std::uint64_t rejections = 0;  // received
};

/// Owned by a LeaseNode, which passes it to its states in each call.
class NodeContext {
 public:
  /// `self` is this member's name; `seed` seeds the random generator.
  NodeContext(LeaseOptions options, std::string self, std::uint64_t seed);

  const LeaseOptions& Options() const { return options_; }
  const std::string& Self() const { return self_; }
  LeaseStats& Stats() { return stats_; }
  const LeaseStats& Stats() const { return stats_; }

  /// Whether the member is a voter.
  bool IsVoter(const std::string& member) const;
  /// Returns a uniformly distributed span from `min` to `max`. If `max` is not above `min`, returns `min`
  /// without drawing a random number.
  Micros RandomBetween(Micros min, Micros max);
  RequestId NextRequestId() { return ++last_request_id_; }

  /// Queues a message. A message to this member itself goes to the local queue and is not counted as sent.
  void Send(const std::string& recipient, const std::string& lease, MessageBody body);
  /// Queues the same message to every voter, in the order of the options.
  void SendToVoters(const std::string& lease, const MessageBody& body);
  void AddChange(LeaseChange change) { changes_.push_back(std::move(change)); }

  /// Return what was queued since the last call, in order.
  std::vector<Message> DrainLocalMessages() { return std::exchange(local_messages_, {}); }
  std::vector<OutboundMessage> DrainMessages() { return std::exchange(outbound_messages_, {}); }
  std::vector<LeaseChange> DrainChanges() { return std::exchange(changes_, {}); }

 private:
  LeaseOptions options_;
  std::string self_;
  std::mt19937_64 random_;
  RequestId last_request_id_ = 0;
  std::vector<Message> local_messages_;
  std::vector<OutboundMessage> outbound_messages_;
  std::vector<LeaseChange> changes_;
  LeaseStats stats_;
};

}  // namespace tinspan::lease
