// A small simulated fleet with short intervals, for tests of whole views.
#pragma once

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <vector>

#include "members/options.hpp"
#include "members/sim.hpp"
#include "members/types.hpp"

namespace tinspan::members {

// Options with intervals of at most half the defaults, so that the effects of faults end within seconds.
inline Options FastOptions() {
  Options options;
  options.probe_interval = std::chrono::milliseconds(200);
  options.probe_timeout = std::chrono::milliseconds(100);
  options.sync_interval = std::chrono::seconds(1);
  options.dead_retention = std::chrono::seconds(30);
  return options;
}

// Returns a fleet of `count` members, each of which joins through member 0.
inline sim::Fleet StartFleet(int count, std::uint64_t seed = 1, sim::Link link = {}) {
  sim::Fleet fleet(FastOptions(), seed, link);
  for (int member = 0; member < count; ++member) fleet.Add("", {0});
  return fleet;
}

// Runs the fleet until it has converged. Returns the simulated time that this took, or `limit` where the
// fleet had not converged by then.
inline Micros TimeToConverge(sim::Fleet& fleet, Micros limit) {
  constexpr Micros kStep{50'000};
  for (Micros waited{0}; waited < limit; waited += kStep) {
    if (fleet.HasConverged()) return waited;
    fleet.RunFor(kStep);
  }
  return fleet.HasConverged() ? limit - kStep : limit;
}

// A fleet of eight members that has converged.
class ConvergedFleetTest : public testing::Test {
 protected:
  void SetUp() override { ASSERT_LT(TimeToConverge(fleet_, kConvergenceLimit), kConvergenceLimit); }

  static constexpr int kSize = 8;
  static constexpr Micros kConvergenceLimit = std::chrono::seconds(10);
  sim::Fleet fleet_ = StartFleet(kSize);
};

}  // namespace tinspan::members
