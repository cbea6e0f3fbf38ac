// Which servers may still be used, as the endpoint watch has reported.
#pragma once

#include <unordered_map>

#include "core/events.hpp"

namespace tinspan::core {

/// Follows the availability of each server and since when it has been leaving. It reads no clock.
class EndpointStates {
 public:
  void Update(Micros now, const EndpointsUpdated& event);
  /// Whether a request must not go out to the server any more at `now`: it was never listed, or it has been
  /// draining or removed for half of `drain_window` (the other half is left for the write).
  bool IsPastDrain(Micros now, ServerId server, Micros drain_window) const;
  /// Forgets servers that were removed long ago.
  void PruneRemoved(Micros now);

 private:
  struct EndpointState {
    Availability availability = Availability::kUp;
    Micros draining_since{0};  // when it was first reported draining or removed
  };

  static void SetAvailability(Micros now, EndpointState& state, Availability availability);

  std::unordered_map<ServerId, EndpointState> states_;
};

}  // namespace tinspan::core
