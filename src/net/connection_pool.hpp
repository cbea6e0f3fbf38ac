// A pool of reusable connections to servers, keyed by server id. It is independent of the protocol: the
// user's `State` holds the streams of a connection (one stream is a request and its response).
#pragma once

#include <algorithm>
#include <list>
#include <unordered_map>
#include <vector>

#include "net/connection.hpp"

namespace tinspan::net {

/// Options of a ConnectionPool.
struct ConnectionPoolOptions {
  /// A connection that is not established within this time is reported lost.
  Micros connect_timeout{400'000};
  /// A connection without streams is closed after this time.
  Micros idle_timeout{30'000'000};
  /// A connection that has received nothing for longer than this gets no new stream. A host that has vanished
  /// leaves its connections open and silent, whereas a new connection to it fails within the connect timeout,
  /// which proves that the request was not executed.
  Micros max_idle_before_reconnect{2'000'000};
  /// Maximum concurrent streams per connection.
  std::size_t max_streams = 100;
  /// Concurrent streams per connection before another one is opened, which limits the requests affected when
  /// a connection is lost or stalls.
  std::size_t preferred_streams = 100;
  /// A connection is stalled if it awaits a response, has received nothing for longer than this, and its
  /// server has sent bytes on another connection since. A stalled connection gets a new stream only if there
  /// is no alternative.
  Micros stall_threshold{150'000};
  /// Number of connections to all servers together from which on existing connections take up to
  /// `max_streams` streams instead of a new one being opened. A server without a usable connection still gets
  /// one. 0: no limit.
  std::size_t max_connections = 0;
  Connection::Limits limits;
};

/// A connection pool for one event loop. A PooledConnection stays valid from Acquire until the Sweep at the
/// end of the round in which it was closed. Not thread-safe.
template <class State>
class ConnectionPool {
 public:
  class PooledConnection;

  /// Receives the events of the pool's connections.
  class Callbacks {
   public:
    virtual void OnConnectionOpen(PooledConnection& pooled) = 0;
    /// Bytes were added to `pooled.connection.Unread()`.
    virtual void OnConnectionData(PooledConnection& pooled) = 0;
    /// The socket has accepted all written bytes.
    virtual void OnConnectionDrained(PooledConnection&) {}
    /// The connection failed, timed out or was closed by the peer. Called once.
    virtual void OnConnectionLost(PooledConnection& pooled) = 0;

   protected:
    ~Callbacks() = default;
  };

  /// A connection with the user's state for it.
  class PooledConnection final : public Connection::Owner {
   public:
    PooledConnection(ConnectionPool& pool, std::uint64_t server_number, const Endpoint& address)
        : server(server_number),
          endpoint(address),
          connection(pool.loop_, address, *this, pool.options_.limits),
          pool_(pool) {}

    const std::uint64_t server;
    const Endpoint endpoint;
    State state;
    std::size_t active_streams = 0;  // counted by Acquire and Release
    bool is_retired = false;         // gets no new stream; closed after its last one
    Micros last_used_at{0};
    Micros awaiting_since{0};  // since when at least one response is awaited
    Connection connection;

    /// Since when a response is awaited and nothing was received; 0: no response is awaited, the
    /// connection is not open, or reading is paused.
    Micros SilentSince() const {
      if (active_streams == 0 || !connection.IsOpen() || connection.IsReadPaused()) return Micros{0};
      return std::max(awaiting_since, connection.LastActivityAt());
    }

   private:
    friend class ConnectionPool;

    void OnOpen(Connection&) override {
      pool_.loop_.Timers().Cancel(connect_timer_);
      pool_.callbacks_.OnConnectionOpen(*this);
    }
    void OnData(Connection&) override { pool_.callbacks_.OnConnectionData(*this); }
    void OnDrained(Connection&) override { pool_.callbacks_.OnConnectionDrained(*this); }
    void OnClosed(Connection&) override {
      pool_.loop_.Timers().Cancel(connect_timer_);
      is_retired = true;
      pool_.callbacks_.OnConnectionLost(*this);
    }

    ConnectionPool& pool_;
    TimerQueue::Id connect_timer_{};
  };

  ConnectionPool(EventLoop& loop, ConnectionPoolOptions options, Callbacks& callbacks)
      : loop_(loop), options_(options), callbacks_(callbacks) {}
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;
  ~ConnectionPool() {
    for (PooledConnection& pooled : connections_) loop_.Timers().Cancel(pooled.connect_timer_);
  }

  /// Returns a connection for one more stream, open or still connecting. Existing connections are reused only
  /// if `is_usable` returns true for them. The stream must be ended with Release.
  template <class IsUsable>
  PooledConnection& Acquire(std::uint64_t server, const Endpoint& endpoint, Micros now,
                            IsUsable&& is_usable) {
    PooledConnection* fallback = nullptr;
    PooledConnection* const preferred = FindReusable(server, endpoint, now, is_usable, fallback);
    if (preferred != nullptr) return StartStream(*preferred, now);
    if (options_.max_connections > 0 && connections_.size() >= options_.max_connections) {
      if (fallback != nullptr) return StartStream(*fallback, now);
      CloseLongestIdle();
    }
    return StartStream(Connect(server, endpoint, now), now);
  }
  /// Ends one stream.
  void Release(PooledConnection& pooled, Micros now) {
    if (pooled.active_streams > 0) --pooled.active_streams;
    pooled.last_used_at = now;
  }
  /// The connection gets no new stream and is closed after its last one.
  void Retire(PooledConnection& pooled) { pooled.is_retired = true; }
  /// Retires all connections to a server.
  void RetireServer(std::uint64_t server) {
    const auto found = by_server_.find(server);
    if (found == by_server_.end()) return;
    for (PooledConnection* const pooled : found->second) Retire(*pooled);
  }
  /// Closes idle and retired connections and frees closed ones. Connections are freed only here, so that each
  /// stays valid for a whole round. Must be called once per round.
  void Sweep(Micros now) {
    for (auto pooled = connections_.begin(); pooled != connections_.end();) {
      pooled = IsDisposable(*pooled, now) ? Erase(pooled) : std::next(pooled);
    }
  }
  std::list<PooledConnection>& Connections() { return connections_; }
  const std::list<PooledConnection>& Connections() const { return connections_; }

 private:
  using Position = typename std::list<PooledConnection>::iterator;

  // Returns the first connection that is usable, below its preferred number of streams and not stalled, or
  // null. Sets `fallback` to the busy or stalled connection with the fewest streams. Retires connections that
  // must not be reused.
  template <class IsUsable>
  PooledConnection* FindReusable(std::uint64_t server, const Endpoint& endpoint, Micros now,
                                 IsUsable& is_usable, PooledConnection*& fallback) {
    std::vector<PooledConnection*>& candidates = by_server_[server];
    const Micros last_received_at = LastReceivedFrom(candidates);
    for (PooledConnection* const pooled : candidates) {
      if (pooled->is_retired || pooled->active_streams >= options_.max_streams) continue;
      if (IsStale(*pooled, now) || !(pooled->endpoint == endpoint)) {
        Retire(*pooled);
        continue;
      }
      if (!is_usable(*pooled)) continue;
      if (pooled->active_streams < options_.preferred_streams && !IsStalled(*pooled, last_received_at, now)) {
        return pooled;
      }
      if (fallback == nullptr || pooled->active_streams < fallback->active_streams) fallback = pooled;
    }
    return nullptr;
  }
  // When bytes were last received on any of the connections. Opening a connection does not count: the kernel
  // accepts connections even if the server process does not respond.
  static Micros LastReceivedFrom(const std::vector<PooledConnection*>& candidates) {
    Micros last_received_at{0};
    for (const PooledConnection* const pooled : candidates) {
      last_received_at = std::max(last_received_at, pooled->connection.LastReceivedAt());
    }
    return last_received_at;
  }
  bool IsStale(const PooledConnection& pooled, Micros now) const {
    return pooled.connection.IsOpen() &&
           now - pooled.connection.LastActivityAt() > options_.max_idle_before_reconnect;
  }
  bool IsStalled(const PooledConnection& pooled, Micros last_received_at, Micros now) const {
    const Micros silent_since = pooled.SilentSince();
    return silent_since > Micros{0} && now - silent_since > options_.stall_threshold &&
           last_received_at > silent_since;
  }

  PooledConnection& Connect(std::uint64_t server, const Endpoint& endpoint, Micros now) {
    PooledConnection& pooled = connections_.emplace_back(*this, server, endpoint);
    pooled.connection.id = ++last_connection_id_;
    by_server_[server].push_back(&pooled);
    pooled.connect_timer_ =
        loop_.Timers().Set(now + options_.connect_timeout, [this, &pooled](Micros) { OnTimeout(pooled); });
    return pooled;
  }
  void OnTimeout(PooledConnection& pooled) {
    pooled.connection.Close();
    pooled.is_retired = true;
    callbacks_.OnConnectionLost(pooled);
  }
  static PooledConnection& StartStream(PooledConnection& pooled, Micros now) {
    if (pooled.active_streams++ == 0) pooled.awaiting_since = now;
    pooled.last_used_at = now;
    return pooled;
  }
  // Closes the connection that has been idle longest, to make room for a new one.
  void CloseLongestIdle() {
    PooledConnection* longest_idle = nullptr;
    for (PooledConnection& pooled : connections_) {
      if (pooled.active_streams > 0 || pooled.is_retired) continue;
      if (longest_idle == nullptr || pooled.last_used_at < longest_idle->last_used_at) longest_idle = &pooled;
    }
    if (longest_idle == nullptr) return;
    longest_idle->connection.Close();
    Retire(*longest_idle);
  }
  bool IsDisposable(const PooledConnection& pooled, Micros now) const {
    if (pooled.active_streams > 0) return false;
    return pooled.is_retired || pooled.connection.IsClosed() ||
           now - pooled.last_used_at > options_.idle_timeout;
  }
  Position Erase(Position pooled) {
    loop_.Timers().Cancel(pooled->connect_timer_);
    std::vector<PooledConnection*>& same_server = by_server_[pooled->server];
    same_server.erase(std::find(same_server.begin(), same_server.end(), &*pooled));
    if (same_server.empty()) by_server_.erase(pooled->server);
    return connections_.erase(pooled);
  }

  EventLoop& loop_;
  ConnectionPoolOptions options_;
  Callbacks& callbacks_;
  std::list<PooledConnection> connections_;
  std::uint64_t last_connection_id_ = 0;
  std::unordered_map<std::uint64_t, std::vector<PooledConnection*>> by_server_;
};

}  // namespace tinspan::net
