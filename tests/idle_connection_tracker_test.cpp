#include "net/idle_connection_tracker.hpp"

#include <gtest/gtest.h>

namespace tinspan::net {
namespace {

using namespace std::chrono_literals;

constexpr Micros kStart = 100s;

class IdleConnectionTrackerTest : public ::testing::Test {
 protected:
  IdleConnectionTracker tracker_{
      IdleConnectionLimits{.max_connections = 3, .first_request_timeout = 2s, .idle_timeout = 10s}};
};

TEST_F(IdleConnectionTrackerTest, IsFullAtItsMaximumAndNotAfterARemoval) {
  for (const std::uint64_t connection : {1, 2, 3}) tracker_.OnAccepted(connection, kStart);
  EXPECT_TRUE(tracker_.IsFull());
  tracker_.Remove(2);
  EXPECT_FALSE(tracker_.IsFull());
}

TEST_F(IdleConnectionTrackerTest, ReturnsAConnectionWithoutARequestOnceItExpires) {
  tracker_.OnAccepted(1, kStart);
  EXPECT_EQ(tracker_.NextDeadline(), kStart + 2s);
  EXPECT_EQ(tracker_.NextExpired(kStart + 2s), std::nullopt);
  EXPECT_EQ(tracker_.NextExpired(kStart + 2001ms), 1u);
  EXPECT_EQ(tracker_.NextExpired(kStart + 2001ms), std::nullopt);
}

TEST_F(IdleConnectionTrackerTest, NeverReturnsAnActiveConnection) {
  tracker_.OnAccepted(1, kStart);
  tracker_.MarkActive(1);
  EXPECT_EQ(tracker_.NextDeadline(), std::nullopt);
  EXPECT_EQ(tracker_.NextExpired(kStart + 1h), std::nullopt);
  EXPECT_EQ(tracker_.EvictCandidate(kStart + 1h), std::nullopt);
}

TEST_F(IdleConnectionTrackerTest, CountsTheIdleTimeoutFromTheLastResponse) {
  tracker_.OnAccepted(1, kStart);
  tracker_.MarkActive(1);
  tracker_.MarkIdle(1, kStart + 5s);
  EXPECT_EQ(tracker_.NextExpired(kStart + 15s), std::nullopt);
  EXPECT_EQ(tracker_.NextExpired(kStart + 15001ms), 1u);
}

TEST_F(IdleConnectionTrackerTest, EvictsASilentNewConnectionBeforeAnIdleOne) {
  tracker_.OnAccepted(1, kStart);
  tracker_.MarkIdle(1, kStart);
  tracker_.OnAccepted(2, kStart);
  EXPECT_EQ(tracker_.EvictCandidate(kStart + 501ms), 2u);
  EXPECT_EQ(tracker_.EvictCandidate(kStart + 501ms), 1u);
}

TEST_F(IdleConnectionTrackerTest, EvictsTheLongestIdleBeforeAConnectionThatWasJustAccepted) {
  tracker_.OnAccepted(1, kStart);
  tracker_.MarkIdle(1, kStart + 1s);
  tracker_.OnAccepted(2, kStart);
  tracker_.MarkIdle(2, kStart);
  tracker_.OnAccepted(3, kStart + 1s);
  EXPECT_EQ(tracker_.EvictCandidate(kStart + 1s), 2u);
  EXPECT_EQ(tracker_.EvictCandidate(kStart + 1s), 1u);
  EXPECT_EQ(tracker_.EvictCandidate(kStart + 1s), 3u);
}

// A connection whose only request was not completed does not restart its first-request timeout.
TEST_F(IdleConnectionTrackerTest, KeepsTheAcceptTimeOfAConnectionThatWasActive) {
  tracker_.OnAccepted(1, kStart);
  tracker_.OnAccepted(2, kStart + 1s);
  tracker_.MarkActive(1);
  tracker_.OnAccepted(1, kStart);
  EXPECT_EQ(tracker_.NextExpired(kStart + 2001ms), 1u);
  EXPECT_EQ(tracker_.NextDeadline(), kStart + 3s);
}

}  // namespace
}  // namespace tinspan::net
