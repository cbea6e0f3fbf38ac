// The decision module's events: what they do to open requests, and which units decide.
#pragma once

#include "routing/dispatcher.hpp"
#include "routing/open_requests.hpp"
#include "routing/outcome_recorder.hpp"
#include "routing/request.hpp"
#include "routing/routing_state.hpp"
#include "tinspan/router.hpp"

namespace tinspan {

// Owns the open requests and the state that decisions are made from. Events and their contract are those of
// Router.
class Router::Engine {
 public:
  // Throws std::invalid_argument on settings that make no sense; so does Retune.
  Engine(const Settings& settings, Micros now, Actions& out);
  void Retune(const Settings& settings);

  // To be called before each event: moves the clock, which never steps back, and sets where actions go.
  void BeginEvent(Micros now, Actions& out);

  void Handle(const EndpointsEvent& event);
  // Departure from the design, in classes with parts only: the cache is hashed by object and part, so that a
  // client's train of parts does not clump at one cache. The parent stays hashed by the object.
  void Handle(const RequestEvent& event);
  void Handle(const ResponseStartedEvent& event);
  void Handle(const OutcomeEvent& event);
  void Handle(const ClientDisconnectedEvent& event);
  void Handle(const TimerEvent& event);
  void Handle(const PurgeEvent& event);

 private:
  // Forgets a request that has ended and has nothing in flight.
  void RemoveIfEnded(RequestId request_id);

  // No other attempt can help: the origin failed, two servers gave an error, or the parent lacks the copy and
  // may not ask the origin.
  static bool IsRetryFutile(const Request& request, const Attempt& attempt, const OutcomeEvent& event);

  void Execute(const Task& task);

  // Outcomes always come; should the caller lose one, the request is not kept for ever.
  void OnDeadline(Request& request);

  // An attempt is looked at once its latency objective is past (sooner accuses servers wrongly), then after
  // each further objective.
  void CheckAttempt(Request& request, std::size_t index);

  // Only where its server or source looks dead. Where many attempts are late, what all wait for is slow (a
  // flush, congestion): moved, an attempt would only be asked for once more; its server must be ejected
  // first.
  bool ShouldMove(const Request& request, const Attempt& attempt, bool was_silent) const;

  void Retry(Request& request);

  // The final answer of a request that will not be served: at once, and a rejection where a retry is
  // harmless.
  void Abandon(Request& request);

  RoutingState state_;
  Context& context_ = state_.context;
  Dispatcher dispatcher_{state_};
  OutcomeRecorder recorder_{state_};
  OpenRequests requests_{context_};
};

}  // namespace tinspan
