#include "core/endpoint_states.hpp"

#include <unordered_set>

namespace tinspan::core {
namespace {

// How long removed servers are remembered after they began to drain.
constexpr Micros kRemovedRetention{60'000'000};

}  // namespace

void EndpointStates::Update(Micros now, const EndpointsUpdated& event) {
  const bool is_full =
      event.kind == EndpointsEvent::Kind::kFull || event.kind == EndpointsEvent::Kind::kStale;
  if (is_full) {
    std::unordered_set<ServerId> listed;
    for (const EndpointInfo& endpoint : event.endpoints) listed.insert(endpoint.id);
    for (auto& [server, state] : states_) {
      if (!listed.contains(server)) SetAvailability(now, state, Availability::kRemoved);
    }
  }
  for (const EndpointInfo& endpoint : event.endpoints) {
    SetAvailability(now, states_[endpoint.id], endpoint.availability);
  }
}

bool EndpointStates::IsPastDrain(Micros now, ServerId server, Micros drain_window) const {
  const auto found = states_.find(server);
  if (found == states_.end()) return true;
  const EndpointState& state = found->second;
  return state.availability != Availability::kUp && now - state.draining_since >= drain_window / 2;
}

void EndpointStates::PruneRemoved(Micros now) {
  std::erase_if(states_, [now](const auto& entry) {
    const EndpointState& state = entry.second;
    return state.availability == Availability::kRemoved && now - state.draining_since > kRemovedRetention;
  });
}

// A server may be draining first and removed later: the drain window runs from the first of the two.
void EndpointStates::SetAvailability(Micros now, EndpointState& state, Availability availability) {
  const bool was_up = state.availability == Availability::kUp;
  if (was_up && availability != Availability::kUp) state.draining_since = now;
  state.availability = availability;
}

}  // namespace tinspan::core
