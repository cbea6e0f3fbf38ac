// Decoding of client calls: the values of valid calls, and the error for each kind of invalid call.
#include "front/platform/client_protocol.hpp"

#include <gtest/gtest.h>

#include <initializer_list>
#include <string>

namespace tinspan::platform {
namespace {

constexpr const char* kReference = "00112233445566aa";
const std::string kMinimalFields = "ref=00112233445566aa,allow=250";

RespMessage Message(std::initializer_list<std::string_view> elements) {
  RespMessage message;
  for (const std::string_view element : elements) message.elements.at(message.count++) = element;
  return message;
}

tl::expected<Call, CallError> Parse(const RespMessage& message) {
  return ParseCall(message, {"browse", "order", "browse"});
}

tl::expected<Call, CallError> ParseFields(const std::string& fields) {
  return Parse(Message({"RPC.CALL", "1", "order", fields}));
}

TEST(ParseCallTest, ReadsAMinimalCall) {
  const auto call = ParseFields(kMinimalFields);
  ASSERT_TRUE(call.has_value());
  EXPECT_EQ(call->request.tag, "1");
  EXPECT_EQ(call->request.class_name, "order");
  EXPECT_EQ(call->request.reference, kReference);
  EXPECT_EQ(call->request.body, "");
  EXPECT_EQ(call->received.time_left, Micros{250'000});
  EXPECT_EQ(call->received.class_id, ClassId{1});
}

TEST(ParseCallTest, ReadsTheBody) {
  const auto call = Parse(Message({"RPC.CALL", "1", "order", kMinimalFields, "a b\r\n"}));
  ASSERT_TRUE(call.has_value());
  EXPECT_EQ(call->request.body, "a b\r\n");
}

TEST(ParseCallTest, ReadsAllFields) {
  const auto call = ParseFields(
      kMinimalFields + ",replay=key,lookup=00000000000000fF,block=3,family=255,room=12.5,cached=copy");
  ASSERT_TRUE(call.has_value());
  EXPECT_EQ(call->request.idempotency_key, "key");
  EXPECT_EQ(call->request.object, "00000000000000fF");
  EXPECT_EQ(call->received.object, ObjectId{255});
  EXPECT_EQ(call->request.part, "3");
  EXPECT_EQ(call->received.part, 3u);
  EXPECT_EQ(call->received.group, GroupId{255});
  EXPECT_EQ(call->request.size_kb, 12.5);
  EXPECT_EQ(call->received.size_kb, 12.5);
  EXPECT_EQ(call->request.cached_copy, "copy");
}

TEST(ParseCallTest, IgnoresUnknownFields) {
  EXPECT_TRUE(ParseFields(kMinimalFields + ",other=1").has_value());
}

TEST(ParseCallTest, UsesTheLastClassWithAName) {
  const auto call = Parse(Message({"RPC.CALL", "1", "browse", kMinimalFields}));
  ASSERT_TRUE(call.has_value());
  EXPECT_EQ(call->received.class_id, ClassId{2});
}

TEST(ParseCallTest, RejectsAWrongNumberOfElements) {
  EXPECT_EQ(Parse(Message({"RPC.CALL", "1", "order"})).error(), CallError::kWrongElementCount);
  EXPECT_EQ(Parse(Message({"RPC.CALL", "1", "order", kMinimalFields, "", ""})).error(),
            CallError::kWrongElementCount);
}

TEST(ParseCallTest, RejectsATagThatIsNotANumber) {
  for (const char* const tag : {"", "x", "-1", "1 "}) {
    EXPECT_EQ(Parse(Message({"RPC.CALL", tag, "order", kMinimalFields})).error(), CallError::kInvalidTag)
        << tag;
  }
}

TEST(ParseCallTest, RejectsAnUnknownClass) {
  EXPECT_EQ(Parse(Message({"RPC.CALL", "1", "none", kMinimalFields})).error(), CallError::kUnknownClass);
}

TEST(ParseCallTest, RejectsAClassWithAForbiddenCharacter) {
  EXPECT_EQ(Parse(Message({"RPC.CALL", "1", "a b", kMinimalFields})).error(), CallError::kForbiddenCharacter);
}

struct InvalidFields {
  std::string fields;
  CallError error;
};

class InvalidFieldsTest : public ::testing::TestWithParam<InvalidFields> {};

TEST_P(InvalidFieldsTest, AreRejected) {
  const auto call = ParseFields(GetParam().fields);
  ASSERT_FALSE(call.has_value());
  EXPECT_EQ(call.error(), GetParam().error);
}

INSTANTIATE_TEST_SUITE_P(
    Fields, InvalidFieldsTest,
    ::testing::Values(InvalidFields{"ref", CallError::kMalformedFields},
                      InvalidFields{kMinimalFields + ",", CallError::kMalformedFields},
                      InvalidFields{kMinimalFields + ",other=" + std::string(257, 'x'),
                                    CallError::kFieldTooLong},
                      InvalidFields{"", CallError::kMissingTimeLeft},
                      InvalidFields{"ref=00112233445566aa", CallError::kMissingTimeLeft},
                      InvalidFields{"ref=00112233445566aa,allow=", CallError::kInvalidTimeLeft},
                      InvalidFields{"ref=00112233445566aa,allow=-1", CallError::kInvalidTimeLeft},
                      InvalidFields{"ref=00112233445566aa,allow=nan", CallError::kInvalidTimeLeft},
                      InvalidFields{"ref=00112233445566aa,allow=1e9", CallError::kInvalidTimeLeft},
                      InvalidFields{"allow=250", CallError::kInvalidReference},
                      InvalidFields{"allow=250,ref=00112233445566a", CallError::kInvalidReference},
                      InvalidFields{"allow=250,ref=00112233445566ag", CallError::kInvalidReference},
                      InvalidFields{kMinimalFields + ",block=x", CallError::kInvalidPart},
                      InvalidFields{kMinimalFields + ",family=256", CallError::kInvalidGroup},
                      InvalidFields{kMinimalFields + ",family=", CallError::kInvalidGroup},
                      InvalidFields{kMinimalFields + ",room=-1", CallError::kInvalidSize},
                      InvalidFields{kMinimalFields + ",room=1000001", CallError::kInvalidSize},
                      InvalidFields{kMinimalFields + ",room=nan", CallError::kInvalidSize},
                      InvalidFields{kMinimalFields + ",lookup=ff", CallError::kInvalidObject},
                      InvalidFields{kMinimalFields + ",replay=a b", CallError::kForbiddenCharacter},
                      InvalidFields{kMinimalFields + ",replay=a=b", CallError::kForbiddenCharacter},
                      InvalidFields{kMinimalFields + ",cached=a\r\nb", CallError::kForbiddenCharacter}));

TEST(EncodeResponseHeadTest, EndsWithTheLengthOfTheBody) {
  EXPECT_EQ(EncodeResponseHead("1", "done", "keep=1", 12),
            "*4\r\n$1\r\n1\r\n$4\r\ndone\r\n$6\r\nkeep=1\r\n$12\r\n");
}

}  // namespace
}  // namespace tinspan::platform
