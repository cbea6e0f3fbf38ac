// Which accepted connections may stay: those that ask for nothing must not keep out the others.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

#include "net/clock.hpp"

namespace tinspan::net {

/// Bounds on accepted connections that have no request open.
struct IdleConnectionLimits {
  /// Connections that may be open at once, active ones included.
  std::size_t max_connections = 256;
  /// A connection that has not sent one complete request within this time after it was accepted expires.
  Micros first_request_timeout{2'500'000};
  /// A connection that has its responses and sends no further request for this long expires.
  Micros idle_timeout{30'000'000};
};

/// Follows the accepted connections of one listener by id and names those that have to go. It owns no
/// descriptor and reads no clock: the owner of the connections closes what is named here. The cost of a call
/// follows the connections that are due, not all that are open. Not thread-safe.
class IdleConnectionTracker {
 public:
  explicit IdleConnectionTracker(IdleConnectionLimits limits) : limits_(limits) {}

  /// Whether another connection would exceed `max_connections`.
  bool IsFull() const { return entries_.size() >= limits_.max_connections; }

  /// Adds a connection that was accepted at `since`, or puts one back among those that never completed a
  /// request: it keeps the time at which it was accepted.
  void OnAccepted(std::uint64_t connection, Micros since);
  /// A request is open on the connection: it does not expire. Unknown ids are ignored.
  void MarkActive(std::uint64_t connection);
  /// The connection has had its responses and waits for the next request since `now`.
  void MarkIdle(std::uint64_t connection, Micros now);
  /// Forgets the connection. Unknown ids are ignored.
  void Remove(std::uint64_t connection);

  /// Removes and returns one connection whose time is up at `now`.
  std::optional<std::uint64_t> NextExpired(Micros now);
  /// Removes and returns the connection that has to make way for a new one: first one that has sent no
  /// complete request for a quarter of `first_request_timeout`, then the one that has been idle longest.
  /// None: every connection is active.
  std::optional<std::uint64_t> EvictCandidate(Micros now);
  /// When NextExpired names the next connection.
  std::optional<Micros> NextDeadline() const;

 private:
  struct WaitingConnection {
    std::uint64_t id;
    Micros since;
  };
  using Queue = std::list<WaitingConnection>;  // the one that has waited longest in front
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
