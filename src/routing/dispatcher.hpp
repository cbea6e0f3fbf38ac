// Which server a request is sent to, and how.
#pragma once

#include "routing/request.hpp"
#include "routing/routing_state.hpp"

namespace tinspan {

// Whether an attempt needs its source, or the ingress link, more likely than not.
bool IsFillLikely(const Attempt& attempt);
bool IsIngressLikely(const Attempt& attempt);

// Sends requests: the only place where an attempt is made. What it takes up is in the loads
// (attempt_load.hpp) until it ends.
class Dispatcher {
 public:
  explicit Dispatcher(RoutingState& state)
      : state_(state), context_(state.context), servers_(state.servers) {}

  // Sends a request to the best server that takes it: first the caches in rendezvous order that are healthy
  // and not overloaded, then the healthy ones, then past the caches, then any. False: nothing was sent.
  bool Dispatch(Request& request);

  // Sets when an attempt is looked at (again): after one latency objective from now.
  void ScheduleCheck(const Request& request, std::size_t attempt);

 private:
  // Sent there in vain. The work of an attempt that was reset may be done, and after a sibling's miss the
  // cache may be filled from upstream.
  static bool WasTried(const Request& request, ServerIndex index);

  // Not tried in vain, and not ejected, or due for a health probe, and not overloaded by this instance.
  bool IsPreferred(const Request& request, ServerIndex index) const;

  // Not tried in vain and not ejected.
  bool IsHealthy(const Request& request, ServerIndex index) const;

  // Compares the own requests there with the fair part of all own requests at this location's caches.
  bool IsOverloadedLocally(const Server& server) const;

  // To a parent, or to the origin: writes, and others only where no healthy cache is left, since local
  // overload must not spill onto the origin.
  bool SendPastCaches(Request& request);

  // Sends an attempt to this server if all rules, budgets and capacities allow it.
  bool TrySend(Request& request, ServerIndex index);

  // Whether requests may be sent to servers of the role at all.
  bool CanReceive(Role role) const;

  // An attempt with its source and what it is expected to need. Reserves nothing.
  Attempt PlanAttempt(const Request& request, ServerIndex index);

  // A sibling is asked once, and only by the home cache for a copy that was not sent to it lately.
  void ChooseSource(const Request& request, Attempt& attempt);

  bool HasCapacityFor(const Request& request, const Attempt& attempt) const;

  // An origin that is ejected or has no capacity is protected: parents give only what they have cached,
  // misses are given up at once, stale copies serve; single requests probe the origin. Guards against slow,
  // failing and overloaded origins alike; does harm if the origin is blamed for what a parent does.
  void PlanOriginUse(const Request& request, Attempt& attempt);

  SendAttempt MakeAction(const Request& request, const Attempt& attempt) const;

  // The oldest copy that will do; 0: the class's own limit. Stale copies are better than none where the
  // source is in trouble; no copy may be as old as the latest purge.
  Micros MaxAge(const Request& request, const Attempt& attempt) const;

  RoutingState& state_;
  Context& context_;
  ServerTable& servers_;
};

}  // namespace tinspan
