// Connections to servers, kept by the server's number and used again. It knows no protocol: what stands for a
// stream (one request and its response) on a connection is the user's `State`.
#pragma once

#include <algorithm>
#include <list>
#include <unordered_map>
#include <vector>

#include "net/connection.hpp"

namespace tinspan::net {

/// How a pool opens, shares and closes its connections.
struct ConnectionPoolOptions {
  /// A connection that is not open after this time is reported lost.
  Micros connect_timeout{400'000};
  /// A connection without a stream is closed after this time.
  Micros idle_timeout{30'000'000};
  /// A connection that was silent for longer gets no new stream: a host that has vanished leaves it open and
  /// silent, while a new connection proves within the connect timeout that nothing ran.
  Micros max_idle_before_reconnect{2'000'000};
  /// Streams on one connection at once, at most.
  std::size_t max_streams = 100;
  /// Streams on one connection before another is opened: what breaks or stalls takes few along.
  std::size_t preferred_streams = 100;
  /// A connection that owes a response and was silent for longer, while its server was heard on another, gets
  /// no new stream where there is another way.
  Micros stall_threshold{150'000};
  /// Connections to all servers together before those are filled that there are; 0: no bound.
  std::size_t max_connections = 0;
  Connection::Limits limits;
};

/// A pool for one event loop. A PooledConnection stays valid from Acquire until the Sweep at the end of the
/// round in which it was closed. Not thread-safe.
template <class State>
class ConnectionPool {
 public:
  class PooledConnection;

  /// What the user of a pool is told of its connections.
  class Callbacks {
   public:
    virtual void OnConnectionOpen(PooledConnection& pooled) = 0;
    /// More bytes stand in `pooled.connection.Unread()`.
    virtual void OnConnectionData(PooledConnection& pooled) = 0;
    /// All that was written has been taken by the socket.
    virtual void OnConnectionDrained(PooledConnection&) {}
    /// The connection failed, timed out or was ended by the peer; called once.
    virtual void OnConnectionLost(PooledConnection& pooled) = 0;

   protected:
    ~Callbacks() = default;
  };

  /// One connection with the user's state of it.
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
    bool is_retired = false;         // gets no new stream; closed with its last one
    Micros last_used_at{0};
    Micros awaiting_since{0};  // since when at least one response has been owed
    Connection connection;

    /// Since when it owes a response and is silent; 0: it is not.
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

  /// A connection for one more stream, open or still connecting; `fits` may pass over some that there are.
  /// Give the stream back with Release.
  template <class Fits>
  PooledConnection& Acquire(std::uint64_t server, const Endpoint& endpoint, Micros now, Fits&& fits) {
    PooledConnection* fallback = nullptr;
    PooledConnection* const preferred = FindReusable(server, endpoint, now, fits, fallback);
    if (preferred != nullptr) return StartStream(*preferred, now);
    if (options_.max_connections > 0 && connections_.size() >= options_.max_connections) {
      if (fallback != nullptr) return StartStream(*fallback, now);
      RetireLongestIdle();
    }
    return StartStream(Connect(server, endpoint, now), now);
  }
  /// Ends one stream.
  void Release(PooledConnection& pooled, Micros now) {
    if (pooled.active_streams > 0) --pooled.active_streams;
    pooled.last_used_at = now;
  }
  /// The connection gets no new stream and is closed with its last one.
  void Retire(PooledConnection& pooled) { pooled.is_retired = true; }
  /// The same for all connections to a server.
  void RetireServer(std::uint64_t server) {
    const auto found = by_server_.find(server);
    if (found == by_server_.end()) return;
    for (PooledConnection* const pooled : found->second) Retire(*pooled);
  }
  /// Closes idle and retired connections. What is closed is freed here and nowhere else, so that a connection
  /// stays valid for a whole round. Call once a round.
  void Sweep(Micros now) {
    for (auto pooled = connections_.begin(); pooled != connections_.end();) {
      pooled = IsDisposable(*pooled, now) ? Erase(pooled) : std::next(pooled);
    }
  }
  std::list<PooledConnection>& Connections() { return connections_; }

 private:
  using Position = typename std::list<PooledConnection>::iterator;

  // The first connection that may take one more stream without doubt. `fallback`: of those that are usable
  // but busy or stalled, the one with the fewest streams. Connections that must not be used again are
  // retired.
  template <class Fits>
  PooledConnection* FindReusable(std::uint64_t server, const Endpoint& endpoint, Micros now, Fits& fits,
                                 PooledConnection*& fallback) {
    std::vector<PooledConnection*>& candidates = by_server_[server];
    const Micros last_received_at = LastReceivedFrom(candidates);
    for (PooledConnection* const pooled : candidates) {
      if (pooled->is_retired || pooled->active_streams >= options_.max_streams) continue;
      if (IsStale(*pooled, now) || !(pooled->endpoint == endpoint)) {
        Retire(*pooled);
        continue;
      }
      if (!fits(*pooled)) continue;
      if (pooled->active_streams < options_.preferred_streams && !IsStalled(*pooled, last_received_at, now)) {
        return pooled;
      }
      if (fallback == nullptr || pooled->active_streams < fallback->active_streams) fallback = pooled;
    }
    return nullptr;
  }
  // When bytes last came on any of them; that a connection opens is no sign of its server.
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
    const Micros silent = pooled.SilentSince();
    return silent > Micros{0} && now - silent > options_.stall_threshold && last_received_at > silent;
  }

  PooledConnection& Connect(std::uint64_t server, const Endpoint& endpoint, Micros now) {
    PooledConnection& pooled = connections_.emplace_back(*this, server, endpoint);
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
  // Makes way for another connection by the one that has been without a stream longest.
  void RetireLongestIdle() {
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
    std::vector<PooledConnection*>& siblings = by_server_[pooled->server];
    siblings.erase(std::find(siblings.begin(), siblings.end(), &*pooled));
    if (siblings.empty()) by_server_.erase(pooled->server);
    return connections_.erase(pooled);
  }

  EventLoop& loop_;
  ConnectionPoolOptions options_;
  Callbacks& callbacks_;
  std::list<PooledConnection> connections_;
  std::unordered_map<std::uint64_t, std::vector<PooledConnection*>> by_server_;
};

}  // namespace tinspan::net
