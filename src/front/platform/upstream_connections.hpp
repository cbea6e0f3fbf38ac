// The servers' side of the platform: attempts on pooled connections to edge caches, parent caches and the
// origin.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "config/config.hpp"
#include "core/request_coordinator.hpp"
#include "front/platform/cache_protocol.hpp"
#include "front/platform/downstream_connections.hpp"
#include "front/platform/upstream_exchange.hpp"
#include "front/upstream_failure_log.hpp"
#include "net/connection_pool.hpp"
#include "net/response_timeout_estimator.hpp"

namespace tinspan::platform {

/// Where a server is and what it is called on the wire.
struct ServerAddress {
  std::string name;
  net::Endpoint endpoint;
};

/// A complete response that is ready to be passed on.
struct ServedResponse {
  bool is_not_modified = false;  // the client's own copy is current
  std::string_view body;         // valid until the round ends
};

/// Executes the core's commands to servers and reports their outcomes as events. Not thread-safe; all
/// arguments of the constructor must outlive it.
class UpstreamConnections final : public UpstreamPool::Callbacks {
 public:
  using PooledConnection = UpstreamPool::PooledConnection;

  UpstreamConnections(net::EventLoop& loop, const config::Platform& config,
                      core::RequestCoordinator& coordinator, const DownstreamConnections& downstream,
                      std::vector<core::Event>& events);

  /// Adds a server, or moves it to another address.
  void AddEndpoint(ServerId id, ServerAddress address);
  /// The server has gone: its connections get nothing new.
  void RemoveEndpoint(ServerId id);
  /// Removes all servers except these.
  void RetainOnly(const std::unordered_set<ServerId>& servers);
  std::size_t EndpointCount() const { return addresses_.size(); }

  /// Assigns the attempt to a connection; its request is written at the round's end.
  void Execute(Micros now, const core::StartAttempt& command);
  /// Cancels the attempt at once. Nothing happens if another one is in flight, or none.
  void Execute(Micros now, const core::AbortAttempt& command);
  /// The response of the attempt that was reported served in this round; null: there is none.
  const ServedResponse* FindResponse(RequestId id) const;

  /// While paused no connection is read.
  void SetReadPaused(bool paused);
  /// Writes what is due, gives up stalled connections and frees closed ones.
  void EndRound(Micros now);
  front::UpstreamFailureLog& FailureLog() { return failure_log_; }

  void OnConnectionOpen(PooledConnection& pooled) override;
  void OnConnectionDrained(PooledConnection& pooled) override;
  void OnConnectionData(PooledConnection& pooled) override;
  void OnConnectionLost(PooledConnection& pooled) override;

 private:
  struct InFlightAttempt {
    PooledConnection* pooled = nullptr;
    core::StartAttempt command;
    bool is_reassigned = false;  // to a second connection, since the first broke before the request was sent
  };
  struct DueRequest {
    PooledConnection* pooled;  // valid until the sweep at the round's end
    std::string reference;
    bool has_waited;  // for its connection: the core is notified when it is sent
  };
  enum class FrameResult { kHandled, kMalformed };

  void Assign(Micros now, const PendingRequest& request, InFlightAttempt attempt);
  // Writes what is due, at the round's end: every STOP of a round goes before every request of it. A server
  // reads its connections in the order in which they became ready: with a request written first, the next
  // attempt of another, behind it, would be read before the STOP that came between on another connection.
  void WriteDueRequests(Micros now);
  void WriteDueRequest(Micros now, const DueRequest& due);
  void WriteRequest(Micros now, PooledConnection& pooled, const std::string& reference,
                    const core::StartAttempt& command);
  bool CanWrite(Micros now, const core::StartAttempt& command) const;
  void CompleteAttempt(RequestId id, PooledConnection& pooled, core::AttemptCompleted completed);
  void RetireRequestId(PooledConnection& pooled, const std::string& reference);
  void CloseConnection(PooledConnection& pooled, std::string_view reason);
  void ReportLost(Micros now, const PooledConnection& pooled, std::size_t open_requests);
  void ReassignOrComplete(Micros now, PooledConnection& pooled, const UpstreamExchange& exchange);
  bool CanReassign(const PooledConnection& pooled, const UpstreamExchange& exchange) const;
  void CloseStalledConnections(Micros now);
  FrameResult HandleFrame(PooledConnection& pooled, const ResponseFrame& frame);
  void HandleResponse(PooledConnection& pooled, const std::string& reference, const Response& response,
                      std::string_view body);
  bool NamesCachedCopy(RequestId id, const Response& response) const;

  const config::Platform& config_;
  core::RequestCoordinator& coordinator_;
  const DownstreamConnections& downstream_;
  std::vector<core::Event>& events_;
  std::unordered_map<ServerId, ServerAddress> addresses_;
  std::unordered_map<RequestId, InFlightAttempt> in_flight_;  // one attempt of a request at a time
  std::unordered_map<RequestId, ServedResponse> served_;      // in this round
  bool is_read_paused_ = false;
  net::EventLoop& loop_;
  net::ResponseTimeoutEstimator response_timeout_;
  std::optional<Micros> next_stall_check_at_;
  std::vector<DueRequest> due_requests_;
  front::UpstreamFailureLog failure_log_;
  UpstreamPool pool_;
};

}  // namespace tinspan::platform
