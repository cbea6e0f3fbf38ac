// Tests of LocalHealth, Lifeguard's local health multiplier.
#include "members/local_health.hpp"

#include <gtest/gtest.h>

#include <chrono>

#include "members/options.hpp"

namespace tinspan::members {
namespace {

using namespace std::chrono_literals;

TEST(LocalHealthTest, StartsHealthy) {
  const Options options;
  const LocalHealth health(options);
  EXPECT_EQ(health.Multiplier(), 0);
  EXPECT_EQ(health.ProbeInterval(), 1s);
  EXPECT_EQ(health.ProbeTimeout(), 500ms);
}

TEST(LocalHealthTest, LengthensTheProbeIntervalAndTimeout) {
  const Options options;
  LocalHealth health(options);
  health.Adjust(2);
  EXPECT_EQ(health.ProbeInterval(), 3s);
  EXPECT_EQ(health.ProbeTimeout(), 1'500ms);
}

TEST(LocalHealthTest, StaysWithinItsLimits) {
  const Options options;
  LocalHealth health(options);
  health.Adjust(-1);
  EXPECT_EQ(health.Multiplier(), 0);
  health.Adjust(100);
  EXPECT_EQ(health.Multiplier(), options.max_local_health);
}

}  // namespace
}  // namespace tinspan::members
