// The servers' side of the gateway: HTTP/1.1 requests to signing servers, one exchange at a time per
// connection.
//
// The decisions of the routing module are sent in standard fields as far as possible: `Cache-Control:
// max-age=N` is the maximum age of an acceptable copy, `only-if-cached` forbids a fill. The others are
// parameters of `Tinspan-Fill: source=NODE/ID; keep=1; join; peek; pass; renew` (source of the fill, rank of
// the copy, and how to fill), which a server may ignore.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.hpp"
#include "core/attempt_outcome.hpp"
#include "core/request_coordinator.hpp"
#include "front/http/access.hpp"
#include "front/http/downstream_connections.hpp"
#include "front/http/http1.hpp"
#include "front/memory_statistics.hpp"
#include "front/upstream_failure_log.hpp"
#include "net/connection_pool.hpp"

namespace tinspan::http {

/// State of the exchange on a connection.
struct UpstreamConnectionState {
  RequestId request_id{};
  std::uint32_t attempt = 0;
  bool is_in_use = false;          // an exchange is in progress
  bool awaits_connect = false;     // the request is sent once the connection is open
  bool has_response_head = false;  // the head of the final response was read
  bool is_forwarding = false;      // the response is forwarded to the client
  bool is_discarding = false;      // the response is read and dropped
  bool is_head_request = false;    // the response has no body (RFC 9112, 6.3)
  bool can_reuse = true;           // the connection is persistent
  bool is_read_paused = false;     // because the client reads slowly
  core::SentRequest sent;          // what was sent, as far as the outcome depends on it
  std::uint64_t request_end = 0;   // Connection::BytesQueued after the request; 0: not written yet
  // The request must be delivered by then or not at all; empty: at any time.
  std::optional<Micros> deliver_by;
  std::string response_head;  // of the response, as forwarded to the client
  FillNote fill_note = FillNote::kNone;
  BodyReader body;
};

/// Executes the core's commands to servers and reports their outcomes as events. Not thread-safe; all
/// arguments of the constructor must outlive it.
class UpstreamConnections final : public net::ConnectionPool<UpstreamConnectionState>::Callbacks {
 public:
  using Pool = net::ConnectionPool<UpstreamConnectionState>;
  using PooledConnection = Pool::PooledConnection;

  /// `response_budget` bounds the responses that are being read.
  UpstreamConnections(net::EventLoop& loop, const config::Gateway& config,
                      core::RequestCoordinator& coordinator, DownstreamConnections& downstream,
                      const Signer& signer, net::MemoryBudget& response_budget,
                      std::vector<core::Event>& events);

  /// Name and address of a server.
  struct ServerAddress {
    std::string name;
    net::Endpoint endpoint;
  };
  /// Adds a server, or changes its address.
  void AddEndpoint(ServerId id, ServerAddress address) { addresses_[id] = std::move(address); }
  /// The server was removed: its connections get no new request.
  void RemoveEndpoint(ServerId id) {
    pool_.RetireServer(static_cast<std::uint64_t>(id));
    addresses_.erase(id);  // bounds the map: many servers are added and removed over a day
  }

  /// Sends the request on a pooled connection, or as soon as a new one is open.
  void Execute(Micros now, const core::StartAttempt& command);
  /// Cancels the attempt and closes its connection. No effect if that attempt is not in flight.
  void Execute(Micros now, const core::AbortAttempt& command);
  /// Forwards the response of the attempt to the client from now on.
  void Execute(Micros now, const core::ForwardResponse& command);
  /// Resumes paused reads, fails stalled responses and frees closed connections. Must be called once per
  /// round.
  void EndRound(Micros now);
  /// What the buffers of all server connections hold.
  front::BufferSizes BufferSizes() const;
  front::UpstreamFailureLog& FailureLog() { return failure_log_; }

  void OnConnectionOpen(PooledConnection& pooled) override;
  void OnConnectionData(PooledConnection& pooled) override { ProcessInput(pooled); }
  void OnConnectionLost(PooledConnection& pooled) override;

 private:
  struct InFlightAttempt {
    PooledConnection* pooled = nullptr;
    core::StartAttempt command;
  };
  bool IsAtCurrentAddress(const PooledConnection& pooled) const;
  void SendRequest(PooledConnection& pooled, const core::StartAttempt& command);
  // Reads and forwards or drops what was received.
  void ProcessInput(PooledConnection& pooled);
  // Returns false if the head is incomplete or the exchange has failed.
  bool ReadResponseHead(PooledConnection& pooled);
  // Reports the outcome to the core, unless the attempt was completed or cancelled before. The exchange may
  // continue on the connection.
  void CompleteAttempt(PooledConnection& pooled, core::AttemptCompleted completed);
  // Ends the exchange on the connection, which is closed unless it can be reused.
  void ReleaseConnection(PooledConnection& pooled);
  // Closes the connection if its request should have been delivered by now.
  void CloseIfOverdue(Micros now, PooledConnection& pooled);
  // Completes the attempt with a failure and closes the connection.
  void FailExchange(PooledConnection& pooled, Outcome outcome);

  const config::Gateway& config_;
  core::RequestCoordinator& coordinator_;
  DownstreamConnections& downstream_;
  const Signer& signer_;
  std::vector<core::Event>& events_;
  net::MemoryBudget& response_budget_;
  net::EventLoop& loop_;
  std::unordered_map<ServerId, ServerAddress> addresses_;
  std::unordered_map<RequestId, InFlightAttempt> in_flight_;
  front::UpstreamFailureLog failure_log_;
  Pool pool_;
};

}  // namespace tinspan::http
