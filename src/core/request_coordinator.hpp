// The core of an instance: requests with their deadlines and attempts, endpoint states, purges, and the
// Router that makes the decisions. It does no I/O: a front reports events and executes the returned commands.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "core/commands.hpp"
#include "core/drain.hpp"
#include "core/endpoint_states.hpp"
#include "core/events.hpp"
#include "core/execution_ledger.hpp"
#include "core/purge_log.hpp"
#include "core/schedule.hpp"
#include "tinspan/router.hpp"

namespace tinspan::core {

/// Options of a RequestCoordinator.
struct CoordinatorOptions {
  /// Subtracted from the client's deadline, which runs from the time at which the client sent the request:
  /// the response must still be written and reach the client.
  Micros response_margin{2'000};
  /// How often outdated purges and removed endpoints are pruned.
  Micros sweep_interval{1'000'000};
};

/// Owns the open requests. It guarantees, whatever the Router decides:
/// - each request gets exactly one final response, at its deadline at the latest;
/// - a request has at most one outstanding attempt;
/// - no response of an aborted attempt is forwarded;
/// - no request is sent to, or filled from, a server past its drain window;
/// - no copy older than a purge that had to be applied is served.
/// Not thread-safe; it reads no clock.
class RequestCoordinator {
 public:
  /// Throws std::invalid_argument if the settings are invalid.
  RequestCoordinator(const Settings& settings, std::uint64_t seed, Micros now, CoordinatorOptions options);

  RequestId NextRequestId() { return RequestId{++last_id_}; }
  /// Starts draining the clients by this timetable, which replaces an earlier one: requests that arrive from
  /// `reject_from` on are rejected, and requests open at `answer_by` are completed then. A rejected client
  /// can retry elsewhere at once; one whose connection is closed without a response waits for its timeout.
  void StartDrain(const DrainTimetable& timetable);
  /// Ends the drain: requests are served again.
  void EndDrain();
  /// The timetable of the current drain, if any.
  const std::optional<DrainTimetable>& Drain() const { return drain_; }
  /// Replaces the settings (made by MergeReloadedSettings) for requests that arrive from now on. Open
  /// requests keep their deadlines and attempt limits.
  void UpdateSettings(const Settings& settings);
  /// Handles the events received since the last call, then the tasks due at `now`. Appends commands to `out`.
  void Handle(Micros now, std::span<const Event> events, Commands& out);
  /// Whether an attempt that waited, for example for a connection, may still be sent. A front must ask
  /// immediately before writing, since events after the decision may forbid it.
  bool CanSend(Micros now, RequestId id, std::uint32_t attempt) const;
  /// When Handle must be called again if no event arrives earlier.
  std::optional<Micros> NextDeadline() const { return schedule_.Next(); }
  /// The number of requests without a final response.
  std::size_t OpenRequests() const { return open_requests_; }
  /// The number of timed tasks, those of requests that have ended included.
  std::size_t ScheduledTasks() const { return schedule_.Size(); }
  /// The number of requests whose possible execution is remembered for later tries.
  std::size_t RememberedExecutions() const { return executions_.Size(); }

 private:
  struct Attempt {
    ServerId server{};
    ServerId source{};
    Micros sent_at{0};
    bool is_outstanding = true;
    bool may_have_run = false;  // completed, with an outcome that does not rule out execution
  };
  struct Request {
    RequestReceived received;
    Micros deadline{0};
    ClassSettings rules;                       // by the settings at its arrival
    std::optional<Micros> executed_before_at;  // when an earlier try of the client may have been executed
    Micros begun_at{0};                        // when the client may have sent its first try, at the earliest
    std::uint32_t max_attempts = 0;            // by the settings at its arrival
    bool is_answered = false;
    std::optional<std::uint32_t> started_attempt;  // whose response is being forwarded
    std::vector<Attempt> attempts;

    bool HasOutstandingAttempt() const;
  };

  // Events.
  void On(const RequestReceived& event);
  void On(const ClientDisconnected& event);
  void On(const ResponseStarted& event);
  void On(const AttemptCompleted& event);
  void On(const EndpointsUpdated& event);
  void On(const PurgeReceived& event);
  void On(const AttemptSent&) {}     // an attempt's time counts from the decision
  void On(const ConnectionLost&) {}  // its requests are reported by AttemptCompleted
  void RunDueTasks();
  void OnAttemptTimeout(RequestId id, std::uint32_t attempt);
  void OnRequestDeadline(RequestId id);
  void OnDrainDeadline(std::uint64_t drain_id);
  void PruneOutdated();

  // Events to the Router, and its actions.
  template <class RouterEvent>
  void NotifyRouter(const RouterEvent& event);
  void Execute(const SendAttempt& action);
  void Execute(const CancelAttempt& action);
  void Execute(const Reject& action);
  void Execute(const Fail& action);
  void Execute(const SetTimer& action);
  void Execute(const Subscribe&) {}  // the endpoint watch is always active
  void Execute(const LogLine& action) { out_->emplace_back(LogMessage{action.text}); }

  // Request state.
  Request* Find(RequestId id);
  Request MakeRequest(const RequestReceived& event) const;
  void CompleteUnstarted(const Request& request);
  std::optional<Micros> AgeOf(std::optional<Micros> time) const;
  Micros AllowedTime(const RequestReceived& event) const;
  void Complete(Request& request, CompleteRequest answer);
  void CompleteWithoutRouter(RequestId id, Request& request, CompletionReason reason);
  void CompleteAttempt(RequestId id, Request& request, std::uint32_t attempt, AttemptCompleted result);
  void EraseIfDone(RequestId id);
  void RecordExecution(RequestId id, const Request& request, std::uint32_t attempt);

  // Checks before sending.
  bool CanStart(const Request& request, const SendAttempt& action, Micros expires_at) const;
  bool IsPastDrain(Micros now, ServerId server) const;
  static std::optional<Micros> SendLimit(const Request& request, std::uint32_t attempt);
  static bool CanReject(const Request& request);
  bool IsPurged(const Request& request, const Attempt& attempt, Micros issued_at) const;
  bool RejectsNewRequests() const { return drain_ && now_ >= drain_->reject_from; }
  Micros RetryAfter() const { return settings_.has_retry_after ? settings_.max_retry_after : Micros{0}; }

  Settings settings_;
  std::optional<DrainTimetable> drain_;
  std::uint64_t drain_id_ = 0;  // of the last drain; deadlines of earlier drains are ignored
  CoordinatorOptions options_;
  Micros now_{0};
  Commands* out_ = nullptr;
  std::uint64_t last_id_ = 0;
  std::size_t open_requests_ = 0;
  std::unordered_map<RequestId, Request> requests_;
  EndpointStates endpoints_;
  PurgeLog purges_;
  ExecutionLedger executions_;
  Micros next_sweep_at_{0};
  Schedule schedule_;
  std::vector<AttemptCompleted> deferred_results_;  // reported to the Router after the current actions
  Router router_;
};

}  // namespace tinspan::core
