// Limits idle accepted connections, so that they do not keep other clients from connecting.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

#include "net/clock.hpp"

namespace tinspan::net {

/// Limits on accepted connections without an open request.
struct IdleConnectionLimits {
  /// Maximum open connections, active ones included.
  std::size_t max_connections = 256;
  /// A connection that sends no complete request within this time after it was accepted expires.
  Micros first_request_timeout{2'500'000};
  /// A connection whose requests are answered and that sends no further request for this long expires.
  Micros idle_timeout{30'000'000};
};

/// Tracks the accepted connections of one listener by id and selects those to close. It owns no descriptors
/// and reads no clock: the owner of the connections closes the selected ones. The cost of a call depends on
/// the number of expired connections, not on the number of open ones. Not thread-safe.
class IdleConnectionTracker {
 public:
  explicit IdleConnectionTracker(IdleConnectionLimits limits) : limits_(limits) {}

  /// Whether another connection would exceed `max_connections`.
  bool IsFull() const { return entries_.size() >= limits_.max_connections; }

  /// Adds a connection that was accepted at `since`, or moves an active one back to those without a complete
  /// request; it then keeps its accept time `since`.
  void OnAccepted(std::uint64_t connection, Micros since);
  /// A request is open on the connection, which does not expire meanwhile. Unknown ids are ignored.
  void MarkActive(std::uint64_t connection);
  /// All requests of the connection are answered; it is idle since `now`.
  void MarkIdle(std::uint64_t connection, Micros now);
  /// Stops tracking the connection. Unknown ids are ignored.
  void Remove(std::uint64_t connection);

  /// Removes and returns one connection that has expired at `now`, if any.
  std::optional<std::uint64_t> NextExpired(Micros now);
  /// Removes and returns the connection to close in favor of a new one: first one that has sent no complete
  /// request for a quarter of `first_request_timeout`, then the one that has been idle longest, then the
  /// oldest one without a request. Empty if every connection is active.
  std::optional<std::uint64_t> EvictCandidate(Micros now);
  /// When the next connection expires; empty if none does.
  std::optional<Micros> NextDeadline() const;

 private:
  struct WaitingConnection {
    std::uint64_t id;
    Micros since;
  };
  using Queue = std::list<WaitingConnection>;  // longest waiting first
  struct Entry {
    Queue* queue = nullptr;  // null: active
    Queue::iterator position;
  };

  static void Unlink(Entry& entry);
  void Enqueue(std::uint64_t connection, Queue& queue, Micros since);
  std::uint64_t PopFront(Queue& queue);

  IdleConnectionLimits limits_;
  Queue without_request_;
  Queue idle_;
  std::unordered_map<std::uint64_t, Entry> entries_;
};

}  // namespace tinspan::net
