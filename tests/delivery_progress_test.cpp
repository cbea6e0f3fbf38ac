// Tests when a peer counts as stalled, with the steps in which the system reports what it receives.
#include "net/delivery_progress.hpp"

#include <gtest/gtest.h>

namespace tinspan::net {
namespace {

constexpr Micros Ms(std::int64_t count) { return Micros{count * 1000}; }
constexpr StallTimeouts kTimeouts{.initial = Ms(3000), .min = Ms(500), .max = Ms(10'000)};

TEST(DeliveryProgressTest, APeerWithoutProgressStallsAfterTheInitialTimeout) {
  DeliveryProgress progress;
  EXPECT_FALSE(progress.IsStalled(Ms(0), kTimeouts));  // nothing is outstanding
  progress.Observe(Ms(1000), 0);
  EXPECT_FALSE(progress.IsStalled(Ms(4000), kTimeouts));
  EXPECT_TRUE(progress.IsStalled(Ms(4001), kTimeouts));
}

// Observes steps of `step` until the sum exceeds the initial timeout; returns the time of the last one.
Micros ObserveSteps(DeliveryProgress& progress, Micros step) {
  Micros now{0};
  std::uint64_t bytes = 0;
  progress.Restart(now, bytes);
  while (now <= kTimeouts.initial) {
    EXPECT_FALSE(progress.IsStalled(now + step, kTimeouts));
    now += step;
    progress.Observe(now, ++bytes);
  }
  return now;
}

// Steps of 94 KB: 0.1 s at 1 MB/s, 0.5 s at 200 KB/s, 1.9 s at 50 KB/s.
TEST(DeliveryProgressTest, ASteadyReaderNeverStalls) {
  for (const Micros step : {Ms(10), Ms(100), Ms(500), Ms(1900)}) {
    DeliveryProgress progress;
    const Micros now = ObserveSteps(progress, step);
    EXPECT_FALSE(progress.IsStalled(now + step, kTimeouts)) << step.count();
  }
}

// The peer's receive buffer is filled first, in short steps.
TEST(DeliveryProgressTest, ShortFirstStepsDoNotShortenTheTimeout) {
  DeliveryProgress progress;
  progress.Restart(Ms(0), 0);
  progress.Observe(Ms(1), 64'000);
  progress.Observe(Ms(2), 128'000);
  EXPECT_FALSE(progress.IsStalled(Ms(1902), kTimeouts));
}

TEST(DeliveryProgressTest, APeerThatStopsStallsAfterTwiceItsLongestStep) {
  DeliveryProgress progress;
  const Micros now = ObserveSteps(progress, Ms(600));
  EXPECT_FALSE(progress.IsStalled(now + Ms(1200), kTimeouts));
  EXPECT_TRUE(progress.IsStalled(now + Ms(1201), kTimeouts));
}

// The time in which nothing was outstanding is no step.
TEST(DeliveryProgressTest, APauseBetweenMeasurementsIsNoStep) {
  DeliveryProgress progress;
  ObserveSteps(progress, Ms(100));
  progress.Stop();
  EXPECT_FALSE(progress.IsStalled(Ms(60'000), kTimeouts));
  progress.Observe(Ms(60'000), 500'000);
  EXPECT_FALSE(progress.IsStalled(Ms(60'500), kTimeouts));
  EXPECT_TRUE(progress.IsStalled(Ms(60'501), kTimeouts));
}

}  // namespace
}  // namespace tinspan::net
