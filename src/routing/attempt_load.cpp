#include "routing/attempt_load.hpp"

#include <algorithm>

namespace tinspan {

void ReserveLoad(RoutingState& state, const Attempt& attempt) {
  Server& server = state.servers[attempt.server];
  Server& source = state.servers[attempt.source];
  ++server.load.in_flight;
  server.slow_start.budget -= attempt.transfer_time;
  if (attempt.HasSource()) source.slow_start.budget -= attempt.transfer_time;
  source.load.expected_fills += attempt.fill_probability;
  state.ingress.Reserve(attempt.ingress_probability);
  if (attempt.origin) state.servers[*attempt.origin].load.expected_fills += attempt.origin_probability;
}

void ReleaseLoad(RoutingState& state, const Attempt& attempt) {
  --state.servers[attempt.server].load.in_flight;
  double& expected_fills = state.servers[attempt.source].load.expected_fills;
  expected_fills = std::max(0.0, expected_fills - attempt.fill_probability);
  state.ingress.Release(attempt.ingress_probability);
  if (attempt.origin) state.servers[*attempt.origin].load.expected_fills -= attempt.origin_probability;
}

void ReleaseAllLoad(RoutingState& state, const Request& request) {
  for (const Attempt& attempt : request.attempts) {
    if (attempt.is_in_flight) ReleaseLoad(state, attempt);
  }
}

}  // namespace tinspan
