#include "net/response_timeout_estimator.hpp"

#include <gtest/gtest.h>

namespace tinspan::net {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::microseconds kMinTimeout = 200ms;
constexpr std::chrono::microseconds kMaxTimeout = 2s;

class ResponseTimeoutEstimatorTest : public ::testing::Test {
 protected:
  void AddSamples(int count, std::chrono::microseconds elapsed) {
    for (int sample = 0; sample < count; ++sample) estimator_.AddSample(elapsed);
  }

  ResponseTimeoutEstimator estimator_{kMinTimeout, kMaxTimeout};
};

TEST_F(ResponseTimeoutEstimatorTest, StartsAtItsMinimum) { EXPECT_EQ(estimator_.Timeout(), kMinTimeout); }

TEST_F(ResponseTimeoutEstimatorTest, NeverFallsBelowItsMinimum) {
  AddSamples(50, 50ms);
  EXPECT_EQ(estimator_.Timeout(), kMinTimeout);
}

// Guards against instances that close all their connections, and lose the requests on them, because all
// responses are slow.
TEST_F(ResponseTimeoutEstimatorTest, FollowsSlowResponsesAndTheirVariation) {
  AddSamples(50, 50ms);
  for (int sample = 0; sample < 20; ++sample) estimator_.AddSample(sample % 2 == 0 ? 600ms : 300ms);
  EXPECT_GT(estimator_.Timeout(), 800ms);
  EXPECT_LT(estimator_.Timeout(), kMaxTimeout);
}

TEST_F(ResponseTimeoutEstimatorTest, NeverExceedsItsMaximum) {
  AddSamples(20, 60s);
  EXPECT_EQ(estimator_.Timeout(), kMaxTimeout);
}

TEST_F(ResponseTimeoutEstimatorTest, CountsNegativeTimesAsZero) {
  AddSamples(20, 60s);
  AddSamples(100, -5ms);
  EXPECT_EQ(estimator_.Timeout(), kMinTimeout);
}

}  // namespace
}  // namespace tinspan::net
