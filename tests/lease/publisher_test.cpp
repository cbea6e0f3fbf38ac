// Tests of the publisher's sequence of reads and writes for each kind of response from the store.
#include "lease/publisher.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace tinspan::lease {
namespace {

using namespace std::chrono_literals;

class PublisherTest : public testing::Test {
 protected:
  // Reads `stored`. Returns the write that follows.
  WriteRequest WriteAfterRead(Micros now, const StoredRecord& stored) {
    EXPECT_TRUE(std::holds_alternative<ReadRequest>(publisher.NextRequest(now, kHeld).value()));
    EXPECT_EQ(publisher.OnRead(now, stored), RecordCheck::kCurrent);
    return std::get<WriteRequest>(publisher.NextRequest(now, kHeld).value());
  }

  // Fails the next request. Returns the time until the request after it.
  Micros FailNextRequest() {
    const Micros now = publisher.NextDeadline();
    EXPECT_TRUE(publisher.NextRequest(now, kHeld));
    publisher.OnFailed(now);
    return publisher.NextDeadline() - now;
  }

  static constexpr Token kHeld{7};
  Publisher publisher{5s};
};

TEST_F(PublisherTest, RequestsNothingWithoutAToken) { EXPECT_FALSE(publisher.NextRequest(0s, std::nullopt)); }

TEST_F(PublisherTest, ClaimsTheRecordAfterReadingIt) {
  const WriteRequest write = WriteAfterRead(1s, {40, Token{6}, 11});
  EXPECT_EQ(write.expected_index, 40u);
  EXPECT_EQ(write.token, kHeld);
  EXPECT_EQ(write.number, 12u);
}

TEST_F(PublisherTest, RequestsNothingWhileOneIsPending) {
  ASSERT_TRUE(publisher.NextRequest(1s, kHeld));
  EXPECT_TRUE(publisher.IsPending());
  EXPECT_FALSE(publisher.NextRequest(1s, kHeld));
  EXPECT_EQ(publisher.NextDeadline(), Micros::max());
}

TEST_F(PublisherTest, ConfirmedWriteIsFollowedByTheNextAfterTheInterval) {
  WriteAfterRead(1s, {40, Token{6}, 11});
  publisher.OnWritten();
  ASSERT_TRUE(publisher.NextRequest(1s, kHeld));
  publisher.OnRead(1s, {41, kHeld, 12});
  EXPECT_EQ(publisher.PublishedCount(), 1u);
  EXPECT_FALSE(publisher.NextRequest(1s, kHeld));
  const auto next = std::get<WriteRequest>(publisher.NextRequest(6s, kHeld).value());
  EXPECT_EQ(next.expected_index, 41u);
  EXPECT_EQ(next.number, 13u);
}

// If the read shows that the write was not accepted, the write is repeated immediately with the number that
// follows the number in the store.
TEST_F(PublisherTest, UnconfirmedWriteIsRepeated) {
  WriteAfterRead(1s, {40, Token{6}, 11});
  publisher.OnFailed(1s);
  const WriteRequest repeated = WriteAfterRead(publisher.NextDeadline(), {41, Token{6}, 12});
  EXPECT_EQ(repeated.number, 13u);
  EXPECT_EQ(publisher.PublishedCount(), 0u);
}

TEST_F(PublisherTest, RecordUnderANewerTokenSupersedesTheHold) {
  WriteAfterRead(1s, {40, Token{6}, 11});
  publisher.OnWritten();
  ASSERT_TRUE(publisher.NextRequest(1s, kHeld));
  EXPECT_EQ(publisher.OnRead(1s, {41, Token{8}, 12}), RecordCheck::kSuperseded);
  EXPECT_EQ(publisher.FencedCount(), 1u);
}

TEST_F(PublisherTest, BacksOffWhileTheStoreFails) {
  std::vector<Micros> backoffs;
  backoffs.reserve(10);
  for (int i = 0; i < 10; ++i) backoffs.push_back(FailNextRequest());
  EXPECT_EQ(backoffs.front(), Publisher::kMinBackoff);
  EXPECT_TRUE(std::is_sorted(backoffs.begin(), backoffs.end()));
  EXPECT_EQ(backoffs.back(), Publisher::kMaxBackoff);
}

TEST_F(PublisherTest, CountsFailures) {
  FailNextRequest();
  FailNextRequest();
  EXPECT_EQ(publisher.FailureCount(), 2u);
}

}  // namespace
}  // namespace tinspan::lease
