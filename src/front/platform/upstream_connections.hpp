// The server connections of the platform front: executes attempts on pooled connections to edge caches,
// parent caches and the origin.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "config/config.hpp"
#include "core/request_coordinator.hpp"
#include "front/memory_statistics.hpp"
#include "front/platform/cache_protocol.hpp"
#include "front/platform/downstream_connections.hpp"
#include "front/platform/upstream_exchange.hpp"
#include "front/upstream_failure_log.hpp"
#include "net/connection_pool.hpp"
#include "net/response_timeout_estimator.hpp"

namespace tinspan::platform {

/// A server's address and its name in the cache protocol.
struct ServerAddress {
  std::string name;
  net::Endpoint endpoint;
};

/// A complete response that can be forwarded to the client.
struct ServedResponse {
  bool is_not_modified = false;  // the client's own copy is current
  std::string_view body;         // valid until the round ends
};

/// Executes the core's attempts on servers and reports their outcomes as events. A round is one iteration of
/// the event loop. Not thread-safe; all arguments of the constructor must outlive it.
class UpstreamConnections final : public UpstreamPool::Callbacks {
 public:
  using PooledConnection = UpstreamPool::PooledConnection;

  /// `response_budget` bounds the responses that are being read.
  UpstreamConnections(net::EventLoop& loop, const config::Platform& config,
                      core::RequestCoordinator& coordinator, const DownstreamConnections& downstream,
                      net::MemoryBudget& response_budget, std::vector<core::Event>& events);

  /// Adds a server, or changes its address.
  void AddEndpoint(ServerId id, ServerAddress address);
  /// Removes a server. Its connections get no new attempts and are closed once the open ones have ended.
  void RemoveEndpoint(ServerId id);
  /// Removes all servers except these.
  void RetainOnly(const std::unordered_set<ServerId>& servers);
  std::size_t EndpointCount() const { return addresses_.size(); }

  /// Assigns the attempt to a connection. The request is written at the end of the round, or once the
  /// connection is open.
  void Execute(Micros now, const core::StartAttempt& command);
  /// Cancels the attempt at once. Does nothing if this attempt of the request is not in flight.
  void Execute(Micros now, const core::AbortAttempt& command);
  /// Returns the response of the attempt that was reported as served in this round, or null if there is none.
  const ServedResponse* FindResponse(RequestId id) const;

  /// While paused, no server connection is read.
  void SetReadPaused(bool paused);
  /// Writes the due requests, closes stalled connections and frees closed ones.
  void EndRound(Micros now);
  /// What the buffers of all server connections hold.
  front::BufferSizes BufferSizes() const;
  front::UpstreamFailureLog& FailureLog() { return failure_log_; }

  void OnConnectionOpen(PooledConnection& pooled) override;
  void OnConnectionDrained(PooledConnection& pooled) override;
  void OnConnectionData(PooledConnection& pooled) override;
  void OnConnectionLost(PooledConnection& pooled) override;

 private:
  struct InFlightAttempt {
    PooledConnection* pooled = nullptr;
    core::StartAttempt command;
    bool is_reassigned = false;  // to a second connection: the first was lost before the request was sent
  };
  // A request to write at the end of the round.
  struct DueRequest {
    PooledConnection* pooled;  // valid until the pool's Sweep at the end of the round
    std::string reference;
    // The request waited for its connection to open or drain, so the core gets AttemptSent when it is
    // written.
    bool has_waited;
  };
  enum class FrameResult { kHandled, kMalformed };

  void Assign(Micros now, const PendingRequest& request, InFlightAttempt attempt);
  // Writes the due requests at the end of the round, so that every STOP of a round is written before every
  // request. A server reads its connections in the order in which they became ready. Otherwise this order of
  // writes would be possible: request A on connection 1, the STOP of request B on connection 2, the next
  // attempt of B on connection 1. The server would read connection 1 first, and so B's next attempt before
  // the STOP of B.
  void WriteDueRequests();
  void WriteDueRequest(const DueRequest& due);
  void WriteRequest(PooledConnection& pooled, const std::string& reference,
                    const core::StartAttempt& command);
  bool IsAtCurrentAddress(const PooledConnection& pooled) const;
  bool CanWrite(Micros now, const core::StartAttempt& command) const;
  void CompleteAttempt(RequestId id, PooledConnection& pooled, core::AttemptCompleted completed);
  void RetireRequestId(PooledConnection& pooled, const std::string& reference);
  void CloseConnection(PooledConnection& pooled, std::string_view reason);
  void ReportConnectionLost(Micros now, const PooledConnection& pooled, std::size_t open_requests);
  void ReassignOrComplete(Micros now, PooledConnection& pooled, const UpstreamExchange& exchange);
  bool CanReassign(const PooledConnection& pooled, const UpstreamExchange& exchange) const;
  void CloseStalledConnections(Micros now);
  void DropUndelivered(Micros now, PooledConnection& pooled, const UpstreamExchange& given_up);
  void CloseOverdueConnections(Micros now);
  void ScheduleDeliveryCheck(Micros due_at);
  FrameResult HandleFrame(PooledConnection& pooled, const ResponseFrame& frame);
  void HandleResponse(PooledConnection& pooled, const std::string& reference, const Response& response,
                      std::string_view body);
  bool NamesCachedCopy(RequestId id, const Response& response) const;

  const config::Platform& config_;
  core::RequestCoordinator& coordinator_;
  const DownstreamConnections& downstream_;
  net::MemoryBudget& response_budget_;
  std::vector<core::Event>& events_;
  std::unordered_map<ServerId, ServerAddress> addresses_;
  std::unordered_map<RequestId, InFlightAttempt> in_flight_;  // a request has one attempt at a time
  std::unordered_map<RequestId, ServedResponse> served_;      // in this round
  bool is_read_paused_ = false;
  net::EventLoop& loop_;
  net::ResponseTimeoutEstimator response_timeout_;
  std::optional<Micros> next_stall_check_at_;
  std::optional<Micros> next_delivery_check_at_;
  std::vector<DueRequest> due_requests_;
  front::UpstreamFailureLog failure_log_;
  UpstreamPool pool_;
};

}  // namespace tinspan::platform
