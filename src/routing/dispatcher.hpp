// Selects the server for a request and sends the attempt.
#pragma once

#include "routing/request.hpp"
#include "routing/routing_state.hpp"

namespace tinspan {

// Whether the attempt will probably (above one half) request a fill, or use the ingress link.
bool IsFillLikely(const Attempt& attempt);
bool IsIngressLikely(const Attempt& attempt);

// Creates and sends all attempts. The load of an attempt is accounted for (attempt_load.hpp) until it ends.
class Dispatcher {
 public:
  explicit Dispatcher(RoutingState& state)
      : state_(state), context_(state.context), servers_(state.servers) {}

  // Sends a request to the first server that accepts it. Candidates, in this order: caches that are healthy
  // and not overloaded locally, healthy caches, parents or the origin directly, any cache; caches in
  // rendezvous order. Returns false if no attempt was sent.
  bool Dispatch(Request& request);

  // Schedules the next check of an attempt, one latency objective from now.
  void ScheduleCheck(const Request& request, std::size_t attempt);

 private:
  // Whether the request already had an attempt at the server that makes another one there useless. Not so
  // after a reset, since the server may have the result, nor after an attempt with a sibling as the source,
  // since the cache can be filled from upstream instead.
  static bool WasTried(const Request& request, ServerIndex index);

  // Whether the server was not tried, is healthy or due for a health probe, and is not overloaded by this
  // instance.
  bool IsPreferred(const Request& request, ServerIndex index) const;

  // Whether the server was not tried and is not ejected.
  bool IsHealthy(const Request& request, ServerIndex index) const;

  // Whether the server has clearly more than its fair share of this instance's requests at the location's
  // caches.
  bool IsOverloadedLocally(const Server& server) const;

  // Sends a request directly to a parent or the origin. Writes go to the origin. Other requests go to a
  // parent, and to the origin only if no healthy cache is left, since local overload must not be shifted to
  // the origin.
  bool BypassCaches(Request& request);

  // Sends an attempt to this server if all rules, budgets and capacities permit it; returns whether it did.
  bool TrySend(Request& request, ServerIndex index);

  // Whether servers of this role accept requests directly.
  bool CanReceive(Role role) const;

  // Creates an attempt with its source and its expected load. Reserves nothing.
  Attempt PlanAttempt(const Request& request, ServerIndex index);

  // Sets the attempt's source. A sibling is used at most once per request, and only by the home cache (the
  // first in rendezvous order) for a copy that it did not get requests for recently.
  void ChooseSource(const Request& request, Attempt& attempt);

  bool HasCapacityFor(const Request& request, const Attempt& attempt) const;

  // Protects an origin that is ejected or has no capacity: parents return only what they have cached, misses
  // fail at once, stale copies are accepted, and single requests probe the origin. This covers slow, failing
  // and overloaded origins; it does harm if failures of a parent are attributed to the origin.
  void PlanOriginUse(const Request& request, Attempt& attempt);

  SendAttempt MakeAction(const Request& request, const Attempt& attempt) const;

  // The greatest age of an acceptable copy; 0: the limit of the class. Stale copies are accepted if the
  // source is ejected or protected. A copy must always be younger than the latest purge.
  Micros MaxAge(const Request& request, const Attempt& attempt) const;

  RoutingState& state_;
  Context& context_;
  ServerTable& servers_;
};

}  // namespace tinspan
