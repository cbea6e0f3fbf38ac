// Lookup and removal of pending requests, and the count of their bodies' bytes.
#include "front/platform/pending_requests.hpp"

#include <gtest/gtest.h>

#include <string>

namespace tinspan::platform {
namespace {

constexpr RequestId kFirst{1};
constexpr RequestId kSecond{2};

PendingRequest Request(const std::string& reference, const std::string& body) {
  PendingRequest request;
  request.reference = reference;
  request.body = body;
  return request;
}

class PendingRequestsTest : public ::testing::Test {
 protected:
  PendingRequestsTest() {
    requests_.Add(kFirst, Request("first", "123"));
    requests_.Add(kSecond, Request("second", "4567"));
  }

  PendingRequests requests_;
};

TEST_F(PendingRequestsTest, FindsRequestsById) {
  ASSERT_NE(requests_.Find(kFirst), nullptr);
  EXPECT_EQ(requests_.Find(kFirst)->reference, "first");
  EXPECT_EQ(requests_.Find(RequestId{3}), nullptr);
}

TEST_F(PendingRequestsTest, FindsReferencesInUse) {
  EXPECT_TRUE(requests_.HasReference("first"));
  EXPECT_FALSE(requests_.HasReference("third"));
}

TEST_F(PendingRequestsTest, CountsRequestsAndBodyBytes) {
  EXPECT_EQ(requests_.Count(), 2u);
  EXPECT_EQ(requests_.BodyBytes(), 7u);
}

TEST_F(PendingRequestsTest, RemovesARequestWithItsReferenceAndBodyBytes) {
  requests_.Remove(kFirst);
  EXPECT_EQ(requests_.Find(kFirst), nullptr);
  EXPECT_FALSE(requests_.HasReference("first"));
  EXPECT_EQ(requests_.Count(), 1u);
  EXPECT_EQ(requests_.BodyBytes(), 4u);
}

TEST_F(PendingRequestsTest, IgnoresRemovalOfAnUnknownRequest) {
  requests_.Remove(RequestId{3});
  EXPECT_EQ(requests_.Count(), 2u);
  EXPECT_EQ(requests_.BodyBytes(), 7u);
}

}  // namespace
}  // namespace tinspan::platform
