// The core of an instance: requests, their deadlines and attempts, the endpoints, purges, and the Router that
// decides. It knows no wire and no descriptor: a front reports what happened and carries out what comes back.
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
#include "core/purge_log.hpp"
#include "core/schedule.hpp"
#include "tinspan/router.hpp"

namespace tinspan::core {

struct CoordinatorOptions {
  /// Taken off what a client allows: its time runs from when it sent, and the answer has still to be written
  /// and to reach it.
  Micros response_margin{2'000};
  /// How often outdated purges and removed endpoints are forgotten.
  Micros sweep_interval{1'000'000};
};

/// Owns the open requests. Whatever the Router decides, it keeps these promises: exactly one final answer for
/// each request, at its deadline at the latest; one attempt out at a time; no answer from an attempt that was
/// aborted; nothing sent to or filled from a server past its drain window; no copy older than a purge that
/// had to be applied by then. Not thread-safe; it reads no clock.
class RequestCoordinator {
 public:
  /// Throws std::invalid_argument on settings that make no sense.
  RequestCoordinator(const Settings& settings, std::uint64_t seed, Micros now, CoordinatorOptions options);

  RequestId NextRequestId() { return RequestId{++last_id_}; }
  /// Clients are let go by this timetable, which takes the place of one before: from `reject_from` on what
  /// arrives is rejected, and what is open at `answer_by` gets its answer. A client that is told may ask
  /// elsewhere, one that is cut off waits.
  void StartDrain(const DrainTimetable& timetable);
  /// Clients are served again.
  void EndDrain();
  /// The drain that is under way, if any.
  const std::optional<DrainTimetable>& Drain() const { return drain_; }
  /// Settings for what comes from now on (setup::Retuned makes them): open requests keep what they had.
  void Retune(const Settings& settings);
  /// Handles all that has come in since the last call, then what is due by the clock. Commands are appended.
  void Handle(Micros now, std::span<const Event> events, Commands& out);
  /// Whether an attempt that had to wait (for a connection) may still go out. A front asks right before it
  /// writes: what has happened since the decision may forbid it.
  bool CanSend(Micros now, RequestId id, std::uint32_t attempt) const;
  /// When Handle has to be called again, if nothing happens before.
  std::optional<Micros> NextDeadline() const { return schedule_.Next(); }
  /// Requests without their final answer yet.
  std::size_t OpenRequests() const { return open_requests_; }

 private:
  struct Attempt {
    ServerId server{};
    ServerId source{};
    Micros sent_at{0};
    bool is_outstanding = true;
    bool may_have_run = false;  // completed, by an outcome that does not prove the opposite
  };
  struct Request {
    RequestReceived received;
    Micros deadline{0};
    std::uint32_t max_attempts = 0;  // as the settings said when it came
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
  void On(const AttemptSent&) {}     // an attempt's time runs from the decision
  void On(const ConnectionLost&) {}  // what was open on it is reported one by one
  void RunDueTasks();
  void OnAttemptTimeout(RequestId id, std::uint32_t attempt);
  void OnRequestDeadline(RequestId id);
  void OnDrainDeadline(std::uint64_t drain_number);
  void PruneOutdated();

  // What the Router is told, and what it wants done.
  template <class RouterEvent>
  void NotifyRouter(const RouterEvent& event);
  void Execute(const SendAttempt& action);
  void Execute(const CancelAttempt& action);
  void Execute(const Reject& action);
  void Execute(const Fail& action);
  void Execute(const SetTimer& action);
  void Execute(const Subscribe&) {}  // the endpoint watch is always followed
  void Execute(const LogLine& action) { out_->emplace_back(LogMessage{action.text}); }

  // The life of a request.
  Request* Find(RequestId id);
  Micros AllowedTime(const RequestReceived& event) const;
  void Complete(Request& request, CompleteRequest answer);
  void CompleteWithoutRouter(RequestId id, Request& request, CompletionReason reason);
  void CompleteAttempt(RequestId id, Request& request, std::uint32_t attempt, AttemptCompleted result);
  void EraseIfDone(RequestId id);

  // The rules at the moment of sending.
  bool CanStart(const Request& request, const SendAttempt& action, Micros expires_at) const;
  bool IsPastDrain(Micros now, ServerId server) const;
  bool CanRepeat(Micros now, const Request& request, std::uint32_t attempt) const;
  bool CanReject(const Request& request) const;
  bool IsPurged(const Request& request, const Attempt& attempt, Micros issued_at) const;
  bool RejectsArrivals() const { return drain_ && now_ >= drain_->reject_from; }
  Micros RetryAfter() const { return settings_.has_retry_after ? settings_.max_retry_after : Micros{0}; }

  Settings settings_;
  std::optional<DrainTimetable> drain_;
  std::uint64_t drain_number_ = 0;  // of the last drain: an earlier one's deadline is void
  CoordinatorOptions options_;
  Micros now_{0};
  Commands* out_ = nullptr;
  std::uint64_t last_id_ = 0;
  std::size_t open_requests_ = 0;
  std::unordered_map<RequestId, Request> requests_;
  EndpointStates endpoints_;
  PurgeLog purges_;
  Micros next_sweep_at_{0};
  Schedule schedule_;
  std::vector<AttemptCompleted> pending_results_;  // which the Router is told after the actions at hand
  Router router_;
};

}  // namespace tinspan::core
