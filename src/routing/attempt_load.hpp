// The sums of what the attempts in flight take up. Nothing is decided here.
#pragma once

#include "routing/request.hpp"
#include "routing/routing_state.hpp"

namespace tinspan {

// Adds an attempt that is sent to the loads of its server, source, origin and ingress link, and charges its
// transfer time to the slow-start budgets.
void ReserveLoad(RoutingState& state, const Attempt& attempt);

// Takes an attempt that has ended off the loads.
void ReleaseLoad(RoutingState& state, const Attempt& attempt);

// The same for all attempts of a request that are in flight.
void ReleaseAllLoad(RoutingState& state, const Request& request);

}  // namespace tinspan
