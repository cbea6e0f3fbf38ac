// Parsing of RESP arrays: complete messages, incomplete ones with the number of bytes that they need, and
// malformed ones.
#include "front/platform/resp.hpp"

#include <gtest/gtest.h>

#include <string>
#include <string_view>

namespace tinspan::platform {
namespace {

constexpr std::size_t kMaxBytes = 64;

TEST(ParseRespTest, ParsesTheFirstMessage) {
  const auto message = ParseResp("*2\r\n$3\r\nabc\r\n$0\r\n\r\n*1\r\n", kMaxBytes);
  ASSERT_TRUE(message.has_value());
  ASSERT_EQ(message->count, 2u);
  EXPECT_EQ(message->elements[0], "abc");
  EXPECT_EQ(message->elements[1], "");
  EXPECT_EQ(message->size, 19u);
}

TEST(ParseRespTest, AcceptsAnElementThatContainsLineEnds) {
  const auto message = ParseResp("*1\r\n$4\r\n\r\n\r\n\r\n", kMaxBytes);
  ASSERT_TRUE(message.has_value());
  EXPECT_EQ(message->elements[0], "\r\n\r\n");
}

TEST(ParseRespTest, ReportsEachPrefixOfAMessageAsIncomplete) {
  const std::string_view text = "*2\r\n$3\r\nabc\r\n$12\r\nabcdefghijkl\r\n";
  for (std::size_t size = 0; size < text.size(); ++size) {
    const auto message = ParseResp(text.substr(0, size), kMaxBytes);
    ASSERT_FALSE(message.has_value()) << size;
    EXPECT_EQ(message.error().kind, RespError::Kind::kIncomplete) << size;
    EXPECT_GT(message.error().bytes_needed, size);
    EXPECT_LE(message.error().bytes_needed, text.size());
  }
}

TEST(ParseRespTest, ReportsHowManyBytesAnElementNeeds) {
  const auto message = ParseResp("*1\r\n$12\r\nabc", kMaxBytes);
  ASSERT_FALSE(message.has_value());
  EXPECT_EQ(message.error().bytes_needed, 23u);
}

class MalformedRespTest : public ::testing::TestWithParam<std::string> {};

TEST_P(MalformedRespTest, IsRejected) {
  const auto message = ParseResp(GetParam(), kMaxBytes);
  ASSERT_FALSE(message.has_value());
  EXPECT_EQ(message.error().kind, RespError::Kind::kMalformed);
}

INSTANTIATE_TEST_SUITE_P(Texts, MalformedRespTest,
                         ::testing::Values("PING\r\n", "*0\r\n", "*9\r\n", "*x\r\n", "*-1\r\n", "*\r\n",
                                           "*1\n", "*1\r\n+OK\r\n", "*1\r\n$x\r\n", "*1\r\n$-1\r\n",
                                           "*1\r\n$1\r\nabc", "*1\r\n$65\r\n", "*1\r\n$60\r\n",
                                           "*11111111111111111", "*00000000000000001\r\n"));

TEST(AppendBulkTest, WritesTheLengthAndTheValue) {
  std::string out = "x";
  AppendBulk(out, "abc");
  AppendBulk(out, "");
  EXPECT_EQ(out, "x$3\r\nabc\r\n$0\r\n\r\n");
}

}  // namespace
}  // namespace tinspan::platform
