// Retired request ids of a server connection, and which references it accepts.
#include "front/platform/upstream_exchange.hpp"

#include <gtest/gtest.h>

#include <string>

namespace tinspan::platform {
namespace {

constexpr int kMaxReferences = 2048;

TEST(RetiredRequestIdsTest, ContainsAddedIds) {
  RetiredRequestIds retired;
  EXPECT_FALSE(retired.Contains("first"));
  retired.Add("first");
  EXPECT_TRUE(retired.Contains("first"));
  EXPECT_FALSE(retired.Contains("second"));
}

TEST(RetiredRequestIdsTest, IsFullAboveItsLimit) {
  RetiredRequestIds retired;
  for (int id = 0; id < kMaxReferences; ++id) retired.Add(std::to_string(id));
  EXPECT_FALSE(retired.IsFull());
  retired.Add("one more");
  EXPECT_TRUE(retired.IsFull());
}

TEST(RetiredRequestIdsTest, CountsAnIdOnce) {
  RetiredRequestIds retired;
  for (int repeat = 0; repeat <= kMaxReferences; ++repeat) retired.Add("same");
  EXPECT_FALSE(retired.IsFull());
}

// Guards against a request that is sent again although its server has all that it needs: the body has
// arrived, only the line end behind it has not.
TEST(UpstreamExchangeTest, MayHaveArrivedWithoutItsLineEnd) {
  UpstreamExchange exchange;
  EXPECT_FALSE(exchange.MayHaveArrived(100));
  exchange.MarkWritten(100);
  EXPECT_FALSE(exchange.MayHaveArrived(97));
  EXPECT_TRUE(exchange.MayHaveArrived(98));
}

// Guards against the same where the server responds before the socket has taken the whole request.
TEST(UpstreamExchangeTest, MayHaveArrivedIfItWasAnswered) {
  UpstreamExchange exchange;
  exchange.was_answered_early = true;
  EXPECT_FALSE(exchange.MayHaveArrived(100));  // nothing was written: the response belongs to another request
  exchange.MarkWritten(100);
  EXPECT_TRUE(exchange.MayHaveArrived(1));
}

TEST(UpstreamConnectionStateTest, AcceptsAnIdThatIsNeitherOpenNorRetired) {
  UpstreamConnectionState state;
  state.exchanges["open"] = {};
  state.retired_request_ids.Add("retired");
  EXPECT_FALSE(state.Accepts("open"));
  EXPECT_FALSE(state.Accepts("retired"));
  EXPECT_TRUE(state.Accepts("new"));
}

}  // namespace
}  // namespace tinspan::platform
