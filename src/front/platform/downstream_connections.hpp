// The clients' side of the platform: RESP requests in, final responses out.
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
#include "front/platform/client_end.hpp"
#include "front/platform/client_protocol.hpp"
#include "front/platform/downstream_client.hpp"
#include "front/platform/pending_requests.hpp"
#include "front/platform/resp.hpp"
#include "net/connection.hpp"
#include "net/idle_connection_tracker.hpp"
#include "net/listener.hpp"

namespace tinspan::platform {

/// Accepts clients, turns their calls into events, and owns their requests until the final response. Not
/// thread-safe; all arguments of the constructor must outlive it.
class DownstreamConnections final : public net::Connection::Owner {
 public:
  DownstreamConnections(net::EventLoop& loop, const config::Platform& config,
                        core::RequestCoordinator& coordinator, std::vector<core::Event>& events);

  /// Null: the request has its final response, or its client has gone.
  const PendingRequest* Find(RequestId id) const { return requests_.Find(id); }

  /// The final response; `body` is sent or copied before this returns. Nothing happens if the request is not
  /// pending; the same holds for Reject and Fail.
  void Respond(RequestId id, bool is_not_modified, std::string_view body);
  /// The request was not served; 0: it is not known when to retry.
  void Reject(RequestId id, Micros retry_after);
  void Fail(RequestId id);

  /// Lets clients go by this timetable, which takes the place of one before.
  void StartDrain(const core::DrainTimetable& timetable) { drain_ = timetable; }
  /// Clients are kept again.
  void EndDrain() { drain_.reset(); }
  /// The names of the classes by position, after a retune (setup::Retune); the last position of a name
  /// counts.
  void SetClasses(Names classes) { classes_ = std::move(classes); }
  bool IsDrained() const { return clients_.empty() && !listener_.IsOpen(); }
  std::size_t ConnectionCount() const { return clients_.size(); }
  std::uint16_t Port() const { return listener_.Port(); }
  /// Bytes of responses that clients have yet to take, all clients together.
  std::size_t Backlog() const;
  /// Requests without their final response.
  const ClientEndCounts& EndCounts() const { return end_counts_; }
  std::size_t PendingCount() const { return requests_.Count(); }
  void EndRound(Micros now);

  void OnData(net::Connection& connection) override;
  void OnClosed(net::Connection& connection) override;

 private:
  using Client = DownstreamClient;
  struct LingeringClient {
    std::uint64_t id;
    Micros until;
  };
  struct ResponseMessage {
    std::string_view status{};
    std::string_view fields{};
    std::string_view body{};
  };

  void Accept(net::Fd fd);
  bool EvictIdleClient();

  void HandleUnparsed(Client& client, const RespError& error);
  void HandleMessage(Client& client, const RespMessage& message);
  tl::expected<void, CallError> StartRequest(Client& client, const RespMessage& message);
  void RejectCall(Client& client, const std::string& tag);
  void Cancel(Client& client, const std::string& tag);
  void ScanForCancellations(Client& client);
  void TrackIdle(Client& client);

  void Complete(RequestId id, const ResponseMessage& response);
  void Write(Client& client, std::string_view tag, const ResponseMessage& response);

  bool LingerUnlessInputPending(Client& client, Micros now, ClientEnd reason);
  void Linger(Client& client, Micros now, ClientEnd reason);
  void Close(Client& client, ClientEnd reason);
  void Release(Client& client);
  void RecordEnd(Client& client, ClientEnd reason);
  void AbandonRequests(Client& client);

  void PauseIntakeOverMemoryLimit(Micros now);
  void ConsumeHandled();
  void EndDrainedClients(Micros now);
  void ScheduleDrainCheck(Micros now, Micros due_at);
  void CheckBackloggedClients(Micros now);
  void CloseIdleClients(Micros now);
  void CloseLingeringClients(Micros now);
  void EraseClosedClients();
  void ScheduleIdleCheck();

  net::EventLoop& loop_;
  const config::Platform& config_;
  core::RequestCoordinator& coordinator_;
  std::vector<core::Event>& events_;
  std::unordered_map<std::uint64_t, Client> clients_;
  PendingRequests requests_;
  bool is_intake_paused_ = false;  // for all clients
  net::IdleConnectionTracker idle_connections_;
  std::unordered_set<std::uint64_t> active_in_round_;  // clients whose input was handled in this round
  std::unordered_set<std::uint64_t> backlogged_;       // clients that have yet to take responses
  std::vector<std::uint64_t> closed_;                  // in this round
  std::deque<LingeringClient> lingering_;              // our side has ended, the oldest in front
  std::optional<Micros> next_idle_check_at_;
  std::optional<Micros> next_drain_check_at_;
  std::uint64_t last_client_id_ = 0;
  ClientEndCounts end_counts_{};
  std::optional<core::DrainTimetable> drain_;
  Names classes_;
  net::Listener listener_;
};

}  // namespace tinspan::platform
