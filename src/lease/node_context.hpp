// What the voter and candidate states of one lease node share: options, identity, random numbers, request
// ids, and what they hand out (messages, changes and statistics).
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "lease/messages.hpp"
#include "lease/options.hpp"

namespace tinspan::lease {

/// A change of this node's own hold on a lease, for logs and for whoever acts on it.
struct LeaseChange {
  enum class Kind { kGranted, kExpired, kReleased };
  Kind kind;
  std::string lease;
  Token token;
};

/// Counted since the node was constructed.
struct LeaseStats {
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t ballots = 0;  // started
  std::uint64_t grants = 0;
  std::uint64_t renewals = 0;
  std::uint64_t expirations = 0;
  std::uint64_t rejections = 0;  // received
};

/// Owned by a LeaseNode, which passes it to its states on each call.
class NodeContext {
 public:
  /// `self` is this member's name; `seed` starts the random generator.
  NodeContext(LeaseOptions options, std::string self, std::uint64_t seed);

  const LeaseOptions& Options() const { return options_; }
  const std::string& Self() const { return self_; }
  LeaseStats& Stats() { return stats_; }
  const LeaseStats& Stats() const { return stats_; }

  /// Whether the member of that name is a voter.
  bool IsVoter(const std::string& member) const;
  /// A uniformly distributed span from `min` to `max`; `min` (and no draw) where that range is empty.
  Micros RandomBetween(Micros min, Micros max);
  RequestId NextRequestId() { return ++last_request_id_; }

  /// Queues a message; one to this member itself goes to the local queue and is not counted as sent.
  void Send(const std::string& recipient, const std::string& lease, MessageBody body);
  /// Queues the same message to every voter, in the order of the options.
  void SendToVoters(const std::string& lease, const MessageBody& body);
  void AddChange(LeaseChange change) { changes_.push_back(std::move(change)); }

  /// What was queued since the last call, in order.
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
