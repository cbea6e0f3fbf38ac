// Processes the events of the decision module: updates the open requests and calls the components that
// decide.
#pragma once

#include "routing/dispatcher.hpp"
#include "routing/open_requests.hpp"
#include "routing/outcome_recorder.hpp"
#include "routing/request.hpp"
#include "routing/routing_state.hpp"
#include "tinspan/router.hpp"

namespace tinspan {

// Implements Router. Owns the open requests and the state on which decisions are based. The contract of each
// event is documented in tinspan/router.hpp.
class Router::Engine {
 public:
  // Throws std::invalid_argument on invalid settings; so does UpdateSettings.
  Engine(const Settings& settings, Micros now, Actions& out);
  void UpdateSettings(const Settings& settings);

  // Call this before each event. Advances the clock, which never goes back, and sets the output for actions.
  void BeginEvent(Micros now, Actions& out);

  void Handle(const EndpointsEvent& event);
  // Deviation from the design for classes with parts: the cache is selected by the hash of object and part,
  // so that the consecutive part requests of a client are not all sent to one cache. The parent is still
  // selected by the hash of the object.
  void Handle(const RequestEvent& event);
  void Handle(const ResponseStartedEvent& event);
  void Handle(const OutcomeEvent& event);
  void Handle(const ClientDisconnectedEvent& event);
  void Handle(const TimerEvent& event);
  void Handle(const PurgeEvent& event);

 private:
  // Removes a request that has ended and has no attempt in flight.
  void RemoveIfEnded(RequestId request_id);

  // Whether no further attempt can succeed: the origin failed, two servers returned an error, or the parent
  // does not have the copy and must not request it from the origin.
  static bool IsRetryFutile(const Request& request, const Attempt& attempt, const OutcomeEvent& event);

  void Execute(const Task& task);

  // Ends a request that is not streaming and schedules its removal, so that it does not stay in memory if the
  // caller, against its contract, never reports an outcome.
  void OnDeadline(Request& request);

  // Checks a late attempt. Runs when its latency objective has passed (earlier checks would blame servers
  // wrongly), and again after each further latency objective.
  void CheckAttempt(Request& request, std::size_t index);

  // Whether to cancel a late attempt so that the request is retried at another server. True only if its
  // server or source appears to have failed. If many attempts are late, the cause is a shared one (a flush of
  // all copies, congestion) and a retry would only add a second request; then the server or source must be
  // ejected first.
  bool ShouldCancelLateAttempt(const Request& request, const Attempt& attempt, bool was_unresponsive) const;

  // Sends another attempt, or ends the request if the retry budget or the time left does not permit one.
  void Retry(Request& request);

  // Gives a request that will not be served its final response at once: Reject if a retry by the client is
  // harmless, else Fail.
  void Abandon(Request& request);

  RoutingState state_;
  Context& context_ = state_.context;
  Dispatcher dispatcher_{state_};
  OutcomeRecorder recorder_{state_};
  OpenRequests requests_{context_};
};

}  // namespace tinspan
