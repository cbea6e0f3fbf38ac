// The decision module's events: what they do to open requests, and which units decide.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "routing/dispatcher.hpp"
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
  explicit Engine(const Settings& settings);

  void Start(Micros now, Actions& out);
  void Retune(const Settings& settings);

  // To be called before each event: moves the clock, which never steps back, and sets where actions go.
  void BeginEvent(Micros now, Actions& out);

  void Handle(const EndpointsEvent& event);
  void Handle(const RequestEvent& event);
  void Handle(const ResponseStartedEvent& event);
  void Handle(const OutcomeEvent& event);
  void Handle(const ClientDisconnectedEvent& event);
  void Handle(const TimerEvent& event);
  void Handle(const PurgeEvent& event);

 private:
  Request& Open(const RequestEvent& event);
  Request* Find(RequestId request_id);
  void RemoveIfEnded(RequestId request_id);

  void Execute(const Task& task);
  void OnDeadline(Request& request);
  void RemoveUnfinished(const Request& request);
  void CheckAttempt(Request& request, std::size_t index);
  bool ShouldMove(const Request& request, const Attempt& attempt, bool was_silent) const;

  void Retry(Request& request);
  void Abandon(Request& request);
  void Cancel(Request& request, std::size_t index);
  void CancelAll(Request& request);

  RoutingState state_;
  Dispatcher dispatcher_{state_};
  OutcomeRecorder recorder_{state_};
  std::unordered_map<std::uint64_t, Request> requests_;  // by request id; looked up only, never walked
};

}  // namespace tinspan
