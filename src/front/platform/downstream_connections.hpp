// The client connections of the platform front: they receive RESP requests and return the final responses.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "config/config.hpp"
#include "core/request_coordinator.hpp"
#include "front/memory_statistics.hpp"
#include "front/platform/client_close_reason.hpp"
#include "front/platform/client_protocol.hpp"
#include "front/platform/downstream_client.hpp"
#include "front/platform/pending_requests.hpp"
#include "front/platform/resp.hpp"
#include "net/connection.hpp"
#include "net/idle_connection_tracker.hpp"
#include "net/listener.hpp"
#include "net/memory_budget.hpp"

namespace tinspan::platform {

/// Accepts client connections, turns their calls into events for the core, and owns the requests until their
/// final response. A round is one iteration of the event loop. Not thread-safe; all arguments of the
/// constructor must outlive it.
class DownstreamConnections final : public net::Connection::Owner {
 public:
  /// `response_budget` counts the responses that wait for clients.
  DownstreamConnections(net::EventLoop& loop, const config::Platform& config,
                        core::RequestCoordinator& coordinator, net::MemoryBudget& response_budget,
                        std::vector<core::Event>& events);

  /// Returns null once the request has its final response, was cancelled, or its client has disconnected.
  const PendingRequest* Find(RequestId id) const { return requests_.Find(id); }

  /// Sends the final response; `body` is sent or copied before this returns. Respond, Reject and Fail do
  /// nothing if the request is not pending.
  void Respond(RequestId id, bool is_not_modified, std::string_view body);
  /// Tells the client that the request was not served and when to retry; 0 means that this is not known.
  void Reject(RequestId id, Micros retry_after);
  /// Sends an error as the final response.
  void Fail(RequestId id);

  /// Closes client connections according to this timetable, which replaces an earlier one.
  void StartDrain(const core::DrainTimetable& timetable) { drain_ = timetable; }
  /// Stops closing client connections for a drain.
  void EndDrain() { drain_.reset(); }
  /// Replaces the class names after a reload (MergeReloadedSettings). A name's last position is its ClassId.
  void SetClasses(Names classes) { classes_ = std::move(classes); }
  /// Whether no client connection is left and no new one is accepted.
  bool IsDrained() const { return clients_.empty() && !listener_.IsOpen(); }
  std::size_t ConnectionCount() const { return clients_.size(); }
  std::uint16_t Port() const { return listener_.Port(); }
  /// Response bytes queued for all clients that their sockets have not taken yet.
  std::size_t Backlog() const;
  /// Bytes of the buffers for messages that clients have sent in part.
  std::size_t PartialMessageBytes() const { return request_budget_.UsedBytes(); }
  /// What the buffers of all client connections hold.
  front::BufferSizes BufferSizes() const;
  const ClientCloseCounts& CloseCounts() const { return close_counts_; }
  /// Number of requests without a final response.
  std::size_t PendingCount() const { return requests_.Count(); }
  /// Consumes the input handled in this round, applies the limits and timeouts, and frees closed connections.
  void EndRound(Micros now);

  void OnData(net::Connection& connection) override;
  void OnClosed(net::Connection& connection) override;

 private:
  using Client = DownstreamClient;
  // A client whose connection our side has shut down. It is closed at `expires_at`, which moves on while the
  // client is receiving its responses.
  struct LingeringClient {
    std::uint64_t id;
    Micros expires_at;
  };
  struct ResponseMessage {
    std::string_view status{};
    std::string_view fields{};
    std::string_view body{};
  };

  void Accept(net::Fd fd);
  bool EvictIdleClient();

  void HandleParseError(Client& client, const RespError& error);
  void HandleMessage(Client& client, const RespMessage& message);
  tl::expected<void, CallError> StartRequest(Client& client, const RespMessage& message);
  void RejectCall(Client& client, const std::string& tag);
  void Cancel(Client& client, const std::string& tag);
  void ScanForCancellations(Client& client);
  void TrackIdle(Client& client);

  void Complete(RequestId id, const ResponseMessage& response);
  void Write(Client& client, std::string_view tag, const ResponseMessage& response);

  bool LingerIfIdle(Client& client, Micros now, ClientCloseReason reason);
  void Linger(Client& client, Micros now, ClientCloseReason reason);
  void Close(Client& client, ClientCloseReason reason);
  void Release(Client& client);
  void RecordClose(Client& client, ClientCloseReason reason);
  void AbandonRequests(Client& client);

  void PauseIntakeOverMemoryLimit(Micros now);
  void ConsumeHandledInput();
  void ShareRequestMemory(Micros now);
  void EvictIfHoldingMemory(Client& client, Micros now);
  void CloseDrainedClients(Micros now);
  void ScheduleDrainCheck(Micros now, Micros due_at);
  bool AreServersHeldUp() const;
  void CheckBackloggedClients(Micros now);
  void CloseIdleClients(Micros now);
  void CloseLingeringClients(Micros now);
  void ScheduleDeliveryCheck(Micros now);
  void EraseClosedClients();
  void ScheduleIdleCheck();

  net::EventLoop& loop_;
  const config::Platform& config_;
  core::RequestCoordinator& coordinator_;
  std::vector<core::Event>& events_;
  net::MemoryBudget& response_budget_;
  net::MemoryBudget request_budget_;  // for messages that clients have sent in part
  std::unordered_map<std::uint64_t, Client> clients_;
  PendingRequests requests_;
  bool is_intake_paused_ = false;  // for all clients: the memory limit for request bodies is exceeded
  net::IdleConnectionTracker idle_connections_;
  std::unordered_set<std::uint64_t> active_in_round_;  // clients whose input was handled in this round
  std::unordered_set<std::uint64_t> backlogged_;       // clients with unsent response bytes
  std::vector<std::uint64_t> closed_;                  // to be erased at the end of the round
  std::deque<LingeringClient> lingering_;              // in the order in which they began to linger
  bool is_delivery_check_scheduled_ = false;
  bool is_memory_check_scheduled_ = false;
  std::optional<Micros> next_idle_check_at_;
  std::optional<Micros> next_drain_check_at_;
  std::uint64_t last_client_id_ = 0;
  ClientCloseCounts close_counts_{};
  std::optional<core::DrainTimetable> drain_;
  Names classes_;
  net::Listener listener_;
};

}  // namespace tinspan::platform
