#include "net/endpoint.hpp"

#include <gtest/gtest.h>

namespace tinspan::net {
namespace {

TEST(EndpointTest, ParsesTheTextThatItFormats) {
  const std::optional<Endpoint> endpoint = Endpoint::Parse("127.0.255.1:65535");
  ASSERT_TRUE(endpoint.has_value());
  EXPECT_EQ(endpoint->address, 0x7f00ff01u);
  EXPECT_EQ(endpoint->port, 65535);
  EXPECT_EQ(endpoint->Text(), "127.0.255.1:65535");
}

class MalformedEndpointTest : public ::testing::TestWithParam<const char*> {};

TEST_P(MalformedEndpointTest, IsRejected) { EXPECT_EQ(Endpoint::Parse(GetParam()), std::nullopt); }

INSTANTIATE_TEST_SUITE_P(Texts, MalformedEndpointTest,
                         ::testing::Values("", "127.0.0.1", "127.0.0:80", "127.0.0.1.2:80", "256.0.0.1:80",
                                           "127.0.0.1:65536", "127.0.0.1:", "127.0.0.1:80 ", " 127.0.0.1:80",
                                           "127.0.0.-1:80", "host:80", "127.0.0.1:80:81"));

}  // namespace
}  // namespace tinspan::net
