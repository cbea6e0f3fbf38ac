// The line protocol of the servers: encoding of requests and decoding of responses.
#include "front/platform/cache_protocol.hpp"

#include <gtest/gtest.h>

#include <string>

namespace tinspan::platform {
namespace {

constexpr Micros kNow{1'000'000};
constexpr ServerId kCache{7};

PendingRequest MinimalRequest() {
  PendingRequest request;
  request.reference = "00112233445566aa";
  request.class_name = "browse";
  return request;
}

core::StartAttempt MinimalAttempt() {
  core::StartAttempt attempt;
  attempt.action.server = kCache;
  attempt.action.source = kCache;
  attempt.action.expires_at = kNow + Micros{250'000};
  return attempt;
}

std::string Encode(const PendingRequest& request, const core::StartAttempt& attempt,
                   std::string_view fill_source = "") {
  return EncodeRequestLine(kNow, request, attempt, fill_source);
}

TEST(EncodeRequestLineTest, OmitsFieldsThatAreNotSet) {
  EXPECT_EQ(Encode(MinimalRequest(), MinimalAttempt()), "REQ 00112233445566aa queue=browse,budget=250 0\r\n");
}

TEST(EncodeRequestLineTest, WritesAllFieldsInOrder) {
  PendingRequest request = MinimalRequest();
  request.object = "00000000000000ff";
  request.part = "3";
  request.idempotency_key = "key";
  request.cached_copy = "copy";
  request.body = "12345";
  core::StartAttempt attempt = MinimalAttempt();
  attempt.action.cache_rank = 2;
  attempt.action.max_age = Micros{30'000'000};
  attempt.action.join_fill = true;
  attempt.action.source_cached_only = true;
  attempt.action.bypass_parent = true;
  attempt.action.revalidate = true;
  EXPECT_EQ(Encode(request, attempt, "parent-1"),
            "REQ 00112233445566aa queue=browse,path=00000000000000ff,blk=3,budget=250,uniq=key,miss=parent-1,"
            "prio=2,within=30000,f=share+peek+pass+swr,mine=copy 5\r\n");
}

TEST(EncodeRequestLineTest, WritesABudgetOfAtLeastOneMillisecond) {
  core::StartAttempt attempt = MinimalAttempt();
  attempt.action.expires_at = kNow - Micros{5'000};
  EXPECT_EQ(Encode(MinimalRequest(), attempt), "REQ 00112233445566aa queue=browse,budget=1 0\r\n");
}

TEST(EncodeStopTest, NamesTheRequest) {
  EXPECT_EQ(EncodeStop("00112233445566aa"), "STOP 00112233445566aa\r\n");
}

TEST(ReadResponseFrameTest, SplitsTheMessageAtTheFront) {
  const auto frame = ReadResponseFrame("ab OK detail=local 3\r\nxyz\r\nnext");
  ASSERT_TRUE(frame.has_value());
  EXPECT_FALSE(frame->is_empty_line);
  EXPECT_EQ(frame->reference, "ab");
  EXPECT_EQ(frame->status, "OK");
  EXPECT_EQ(frame->fields, "detail=local");
  EXPECT_EQ(frame->body, "xyz");
  EXPECT_EQ(frame->size, 27u);
}

TEST(ReadResponseFrameTest, AcceptsABodyThatContainsLineEnds) {
  const auto frame = ReadResponseFrame("ab OK - 4\r\n\r\n\r\n\r\n");
  ASSERT_TRUE(frame.has_value());
  EXPECT_EQ(frame->body, "\r\n\r\n");
}

TEST(ReadResponseFrameTest, AcceptsAnEmptyBody) {
  const auto frame = ReadResponseFrame("ab MISS - 0\r\n\r\n");
  ASSERT_TRUE(frame.has_value());
  EXPECT_EQ(frame->body, "");
  EXPECT_EQ(frame->size, 15u);
}

TEST(ReadResponseFrameTest, ReportsAnEmptyLine) {
  const auto frame = ReadResponseFrame("\r\nab OK - 0\r\n\r\n");
  ASSERT_TRUE(frame.has_value());
  EXPECT_TRUE(frame->is_empty_line);
  EXPECT_EQ(frame->size, 2u);
}

TEST(ReadResponseFrameTest, WaitsForTheHeader) {
  for (const char* const text : {"\r", "ab", "ab OK - 3", "ab OK - 3\r"}) {
    const auto frame = ReadResponseFrame(text);
    ASSERT_FALSE(frame.has_value()) << text;
    EXPECT_EQ(frame.error().kind, FrameError::Kind::kIncomplete) << text;
    EXPECT_EQ(frame.error().bytes_needed, 0u) << text;
  }
}

TEST(ReadResponseFrameTest, ReportsHowManyBytesAMessageNeeds) {
  for (const char* const text : {"ab OK - 3\r\n", "ab OK - 3\r\nxyz", "ab OK - 3\r\nxyz\r"}) {
    const auto frame = ReadResponseFrame(text);
    ASSERT_FALSE(frame.has_value()) << text;
    EXPECT_EQ(frame.error().kind, FrameError::Kind::kIncomplete) << text;
    EXPECT_EQ(frame.error().bytes_needed, 16u) << text;
  }
}

struct MalformedFrame {
  std::string text;
  FrameError::Kind kind;
};

class MalformedFrameTest : public ::testing::TestWithParam<MalformedFrame> {};

TEST_P(MalformedFrameTest, IsRejected) {
  const auto frame = ReadResponseFrame(GetParam().text);
  ASSERT_FALSE(frame.has_value());
  EXPECT_EQ(frame.error().kind, GetParam().kind);
}

INSTANTIATE_TEST_SUITE_P(
    Texts, MalformedFrameTest,
    ::testing::Values(MalformedFrame{std::string(4097, 'x'), FrameError::Kind::kLineTooLong},
                      MalformedFrame{"ab\r\n", FrameError::Kind::kMissingToken},
                      MalformedFrame{"ab OK\r\n", FrameError::Kind::kMissingToken},
                      MalformedFrame{"ab OK -\r\n", FrameError::Kind::kMissingToken},
                      MalformedFrame{"ab OK - \r\n", FrameError::Kind::kInvalidLength},
                      MalformedFrame{"ab OK - x\r\n", FrameError::Kind::kInvalidLength},
                      MalformedFrame{"ab OK - -1\r\n", FrameError::Kind::kInvalidLength},
                      MalformedFrame{"ab OK - 1 2\r\n", FrameError::Kind::kInvalidLength},
                      MalformedFrame{"ab OK - 524289\r\n", FrameError::Kind::kInvalidLength},
                      MalformedFrame{"ab OK - 3\r\nxyzuv", FrameError::Kind::kMissingTerminator}));

ResponseFrame Frame(std::string_view status, std::string_view fields) {
  return {.reference = "ab", .status = status, .fields = fields};
}

struct StatusOutcome {
  const char* status;
  Outcome outcome;
};

class ResponseStatusTest : public ::testing::TestWithParam<StatusOutcome> {};

TEST_P(ResponseStatusTest, MapsToAnOutcome) {
  const auto response = ParseResponse(Frame(GetParam().status, "-"));
  ASSERT_TRUE(response.has_value());
  EXPECT_EQ(response->outcome, GetParam().outcome);
  EXPECT_EQ(response->is_not_modified, std::string_view(GetParam().status) == "SAME");
}

INSTANTIATE_TEST_SUITE_P(
    All, ResponseStatusTest,
    ::testing::Values(StatusOutcome{"OK", Outcome::kServed}, StatusOutcome{"SAME", Outcome::kServed},
                      StatusOutcome{"MISS", Outcome::kMiss}, StatusOutcome{"BUSY", Outcome::kRejected},
                      StatusOutcome{"ERR", Outcome::kError}, StatusOutcome{"VOID", Outcome::kNotSent}));

TEST(ParseResponseTest, ReadsTheFields) {
  const auto response = ParseResponse(Frame("OK", "detail=rode,issued=1700000000000,entity=copy,other=1"));
  ASSERT_TRUE(response.has_value());
  EXPECT_EQ(response->note, FillNote::kJoined);
  EXPECT_EQ(response->issued_at, Micros{1'700'000'000'000'000});
  EXPECT_EQ(response->entity, "copy");
}

TEST(ParseResponseTest, IgnoresAnUnknownNote) {
  const auto response = ParseResponse(Frame("OK", "detail=unheard"));
  ASSERT_TRUE(response.has_value());
  EXPECT_EQ(response->note, FillNote::kNone);
}

TEST(ParseResponseTest, IgnoresAnInvalidTimestamp) {
  for (const char* const fields : {"issued=-1", "issued=4000000000000", "issued=x", "issued="}) {
    const auto response = ParseResponse(Frame("OK", fields));
    ASSERT_TRUE(response.has_value()) << fields;
    EXPECT_EQ(response->issued_at, std::nullopt) << fields;
  }
}

TEST(ParseResponseTest, RejectsAnUnknownStatus) {
  EXPECT_EQ(ParseResponse(Frame("ok", "-")).error(), ResponseError::kUnknownStatus);
}

TEST(ParseResponseTest, RejectsAFieldWithoutAName) {
  for (const char* const fields : {"detail", "=local", "detail=local,", "detail=local,,use="}) {
    const auto response = ParseResponse(Frame("OK", fields));
    ASSERT_FALSE(response.has_value()) << fields;
    EXPECT_EQ(response.error(), ResponseError::kMalformedFields) << fields;
  }
}

TEST(ParseResponseTest, RejectsAMalformedLoadReport) {
  const auto response = ParseResponse(Frame("OK", "use=load"));
  ASSERT_FALSE(response.has_value());
  EXPECT_EQ(response.error(), ResponseError::kMalformedLoadReport);
}

}  // namespace
}  // namespace tinspan::platform
