// Lifeguard's local health multiplier (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More
// Accurate Failure Detection", section III.A): a member that finds itself slow stretches its probes' times,
// so that it does not suspect others for its own fault.
#pragma once

#include <algorithm>

#include "members/options.hpp"
#include "members/types.hpp"

namespace tinspan::members {

class LocalHealth {
 public:
  // `options` outlives this object.
  explicit LocalHealth(const Options& options) : options_(options) {}

  // Adds `delta` to the multiplier: positive where this member seems slow, negative where a probe succeeded.
  void Adjust(int delta) { multiplier_ = std::clamp(multiplier_ + delta, 0, options_.max_local_health); }

  // 0 (healthy) to Options::max_local_health.
  int Multiplier() const { return multiplier_; }
  // The probe interval as it is now.
  Micros ProbeInterval() const { return options_.probe_interval * (multiplier_ + 1); }
  // The time-out of a direct ping as it is now.
  Micros ProbeTimeout() const { return options_.probe_timeout * (multiplier_ + 1); }

 private:
  const Options& options_;
  int multiplier_ = 0;
};

}  // namespace tinspan::members
