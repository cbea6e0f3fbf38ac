// Which server a request is sent to, and how.
#pragma once

#include <optional>

#include "routing/request.hpp"
#include "routing/routing_state.hpp"

namespace tinspan {

// Whether an attempt needs its source, or the ingress link, more likely than not.
bool IsFillLikely(const Attempt& attempt);
bool IsIngressLikely(const Attempt& attempt);

// Sends requests: the only place where an attempt is made. Whatever an attempt takes up (load, budgets) is
// reserved when it is sent and released when it ends.
class Dispatcher {
 public:
  explicit Dispatcher(RoutingState& state) : state_(state) {}

  // Sends a request to the best server that takes it. False: none does, and nothing was sent.
  bool Dispatch(Request& request);

  // The attempt is not in flight any more.
  void Release(const Attempt& attempt);

  // Sets when the attempt is looked at (again): after one latency objective from now.
  void ScheduleCheck(const Request& request, std::size_t attempt);

 private:
  // Dispatch's stages, each sending at most one attempt.
  bool SendToPreferredCache(Request& request);
  bool SendToHealthyCache(Request& request);
  bool SendPastCaches(Request& request);
  bool SendToAnyCache(Request& request);

  // Sends an attempt to this server if all rules, budgets and capacities allow it.
  bool TrySend(Request& request, ServerIndex index);
  bool CanReceive(const Request& request, ServerIndex index);
  Attempt PlanAttempt(const Request& request, ServerIndex index);
  void ChooseSource(const Request& request, Attempt& attempt);
  bool HasCapacityFor(const Request& request, const Attempt& attempt) const;
  void PlanOriginUse(const Request& request, Attempt& attempt);
  void Reserve(const Request& request, Attempt& attempt);
  SendAttempt MakeAction(const Request& request, const Attempt& attempt) const;
  Micros MaxAge(const Request& request, const Attempt& attempt) const;

  bool IsOverloadedLocally(const Server& server) const;
  bool HasHealthyCache(const Request& request);

  RoutingState& state_;
};

}  // namespace tinspan
