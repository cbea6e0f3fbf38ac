// Accounting of the load that attempts in flight cause.
#pragma once

#include "routing/request.hpp"
#include "routing/routing_state.hpp"

namespace tinspan {

// Adds an attempt to the loads of its server, source, origin and ingress link, and charges its transfer time
// to the slow-start budgets of server and source.
void ReserveLoad(RoutingState& state, const Attempt& attempt);

// Removes an attempt that has ended from the loads. Budgets are not refunded.
void ReleaseLoad(RoutingState& state, const Attempt& attempt);

// Calls ReleaseLoad for all attempts of a request that are in flight.
void ReleaseAllLoad(RoutingState& state, const Request& request);

}  // namespace tinspan
