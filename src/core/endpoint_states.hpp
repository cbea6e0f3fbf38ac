// The availability of the servers as reported by the endpoint watch.
#pragma once

#include <unordered_map>

#include "core/events.hpp"

namespace tinspan::core {

/// Tracks the availability of each server and since when it has been draining. It reads no clock.
class EndpointStates {
 public:
  /// Applies a watch event that was received at `now`.
  void Update(Micros now, const EndpointsUpdated& event);
  /// Whether no request may be sent to the server any more at `now`: it was never listed, or it has been
  /// draining or removed for half of `drain_window`. The other half is reserved for the write.
  bool IsPastDrain(Micros now, ServerId server, Micros drain_window) const;
  /// Erases servers whose retention after removal has passed.
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
