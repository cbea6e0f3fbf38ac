// Lifeguard's local health multiplier (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More
// Accurate Failure Detection", section III.A): a member that detects that it is slow itself lengthens its
// probe interval and timeout, so that it does not suspect others because of its own delays.
#pragma once

#include <algorithm>

#include "members/options.hpp"
#include "members/types.hpp"

namespace tinspan::members {

class LocalHealth {
 public:
  // `options` must outlive this object.
  explicit LocalHealth(const Options& options) : options_(options) {}

  // Adds `delta` to the multiplier, within its limits: positive where this member appears to be slow,
  // negative after a successful probe.
  void Adjust(int delta) { multiplier_ = std::clamp(multiplier_ + delta, 0, options_.max_local_health); }

  // The multiplier: 0 (healthy) to Options::max_local_health.
  int Multiplier() const { return multiplier_; }
  // The probe interval at the current multiplier.
  Micros ProbeInterval() const { return options_.probe_interval * (multiplier_ + 1); }
  // The timeout of a direct ping at the current multiplier.
  Micros ProbeTimeout() const { return options_.probe_timeout * (multiplier_ + 1); }

 private:
  const Options& options_;
  int multiplier_ = 0;
};

}  // namespace tinspan::members
