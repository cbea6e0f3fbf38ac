// The publisher's order of reads and writes, whatever the store answers.
#include "lease/publisher.hpp"

#include <gtest/gtest.h>

namespace tinspan::lease {
namespace {

using namespace std::chrono_literals;

class PublisherTest : public testing::Test {
 protected:
  // The write that follows a read of `stored`.
  WriteRequest WriteAfterRead(Micros now, const StoredRecord& stored) {
    EXPECT_TRUE(std::holds_alternative<ReadRequest>(publisher.NextRequest(now, kHeld).value()));
    EXPECT_EQ(publisher.OnRead(now, stored), RecordCheck::kCurrent);
    return std::get<WriteRequest>(publisher.NextRequest(now, kHeld).value());
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

// The write was not accepted, as the read shows: it is repeated at once under the number that follows the
// store's.
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
  Micros now = 1s;
  Micros last_backoff{0};
  for (int i = 0; i < 10; ++i) {
    ASSERT_TRUE(publisher.NextRequest(now, kHeld));
    publisher.OnFailed(now);
    const Micros backoff = publisher.NextDeadline() - now;
    EXPECT_GE(backoff, last_backoff);
    EXPECT_LE(backoff, Publisher::kMaxBackoff);
    last_backoff = backoff;
    now = publisher.NextDeadline();
  }
  EXPECT_EQ(last_backoff, Publisher::kMaxBackoff);
  EXPECT_EQ(publisher.FailureCount(), 10u);
}

}  // namespace
}  // namespace tinspan::lease
