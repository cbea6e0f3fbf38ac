// Tests of the wire format of the lease module's messages: exact bytes, round trips and rejected input.
#include "lease/codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <string_view>

#include "lease/lease.pb.h"

namespace tinspan::lease {
namespace {

using namespace std::chrono_literals;

constexpr Token kBallot{1'764'655'200'123};

std::string Hex(const std::string& bytes) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    hex += kDigits[value >> 4];
    hex += kDigits[value & 0xf];
  }
  return hex;
}

Message MakeMessage(MessageBody body, const std::string& lease = "health") {
  return {lease, "n1", std::move(body)};
}

PurgeMessage MakePurgeMessage(PurgeMessageBody body) { return {"n1", std::move(body)}; }

// Encodes and decodes a message. Returns its body, which must be of the type Body.
template <class Body>
Body RoundTrip(const Message& message) {
  const auto decoded = Decode(Encode(message), "n1");
  return std::get<Body>(std::get<Message>(decoded.value()).body);
}

template <class Body>
Body RoundTrip(const PurgeMessage& message) {
  const auto decoded = Decode(Encode(message), "n1");
  return std::get<Body>(std::get<PurgeMessage>(decoded.value()).body);
}

// The bytes of version 1 of the wire format, recorded before each message had its own C++ type. Nodes of both
// builds must understand each other during an upgrade.
struct RecordedBytes {
  const char* name;
  std::function<std::string()> encode;
  const char* hex;
};

class RecordedMessageBytes : public testing::TestWithParam<RecordedBytes> {};

TEST_P(RecordedMessageBytes, AreUnchanged) { EXPECT_EQ(Hex(GetParam().encode()), GetParam().hex); }

RecordedBytes LeaseBytes(const char* name, const Message& message, const char* hex) {
  return {name, [message] { return Encode(message); }, hex};
}

RecordedBytes PurgeBytes(const char* name, const PurgeMessage& message, const char* hex) {
  return {name, [message] { return Encode(message); }, hex};
}

INSTANTIATE_TEST_SUITE_P(
    LeaseCodec, RecordedMessageBytes,
    testing::Values(
        LeaseBytes("Prepare", MakeMessage(Prepare{kBallot, 300}), "08011a066865616c746820fbee95edad3328ac02"),
        LeaseBytes("Promise", MakeMessage(Promise{kBallot, 300}),
                   "080110011a066865616c746820fbee95edad3328ac02"),
        LeaseBytes("Propose", MakeMessage(Propose{kBallot, 300}),
                   "080110021a066865616c746820fbee95edad3328ac02"),
        LeaseBytes("Accept", MakeMessage(Accept{kBallot, 300}),
                   "080110031a066865616c746820fbee95edad3328ac02"),
        LeaseBytes("Reject", MakeMessage(Reject{Token{77}, 9, "n2", 1'500ms}),
                   "080110041a066865616c7468204d280932026e3238e0c65b"),
        LeaseBytes("RejectWithoutHolder", MakeMessage(Reject{Token{77}, 9, {}, Micros{0}}, "purge"),
                   "080110041a057075726765204d2809"),
        LeaseBytes("Release", MakeMessage(Release{Token{78}}), "080110051a066865616c7468204e"),
        LeaseBytes("LeaseFreed", MakeMessage(LeaseFreed{Token{79}}), "080110061a066865616c7468204f"),
        LeaseBytes("RecoveryQuery", MakeMessage(RecoveryQuery{5}), "080110071a066865616c74682805"),
        LeaseBytes("RecoveryReply", MakeMessage(RecoveryReply{Token{80}, 5, "n3", true}),
                   "080110081a066865616c74682050280532026e334001"),
        LeaseBytes("RecoveryReplyWithoutGrant", MakeMessage(RecoveryReply{kNoToken, 6, {}, false}, "purge"),
                   "080110081a0570757267652806"),
        PurgeBytes("HandOverPurge", MakePurgeMessage(HandOverPurge{{"n1/5.1", 3, 9, 250ms}}),
                   "080110101a0570757267654a066e312f352e315103000000000000005909000000000000006090a10f"),
        PurgeBytes("HandOverAccepted", MakePurgeMessage(HandOverAccepted{Token{7}, "n1/5.1"}),
                   "080110111a05707572676520074a066e312f352e31"),
        PurgeBytes("ApplyPurge", MakePurgeMessage(ApplyPurge{Token{7}, {"n1/5.1", 3, std::nullopt, 250ms}}),
                   "080110121a05707572676520074a066e312f352e315103000000000000006090a10f"),
        PurgeBytes("PurgeApplied", MakePurgeMessage(PurgeApplied{Token{7}, "n1/5.1"}),
                   "080110131a05707572676520074a066e312f352e31"),
        PurgeBytes("TokenSuperseded", MakePurgeMessage(TokenSuperseded{Token{8}, "n1/5.1"}),
                   "080110141a05707572676520084a066e312f352e31")),
    [](const auto& recorded) { return recorded.param.name; });

TEST(LeaseCodec, EnvelopeSurvivesTheRoundTrip) {
  const auto decoded = Decode(Encode(MakeMessage(Prepare{kBallot, 300})), "n1");
  const auto& message = std::get<Message>(decoded.value());
  EXPECT_EQ(message.lease, "health");
  EXPECT_EQ(message.sender, "n1");
}

TEST(LeaseCodec, RejectSurvivesTheRoundTrip) {
  const auto reject = RoundTrip<Reject>(MakeMessage(Reject{Token{77}, 9, "n2", 1'500ms}));
  EXPECT_EQ(reject.highest_ballot, Token{77});
  EXPECT_EQ(reject.request_id, 9u);
  EXPECT_EQ(reject.holder, "n2");
  EXPECT_EQ(reject.remaining, Micros{1'500ms});
}

TEST(LeaseCodec, RecoveryReplySurvivesTheRoundTrip) {
  const auto reply = RoundTrip<RecoveryReply>(MakeMessage(RecoveryReply{Token{80}, 5, "n3", true}));
  EXPECT_EQ(reply.granted, Token{80});
  EXPECT_EQ(reply.request_id, 5u);
  EXPECT_EQ(reply.holder, "n3");
  EXPECT_TRUE(reply.is_serving);
}

TEST(LeaseCodec, BallotRequestsSurviveTheRoundTrip) {
  EXPECT_EQ(RoundTrip<Prepare>(MakeMessage(Prepare{kBallot, 300})).ballot, kBallot);
  EXPECT_EQ(RoundTrip<Propose>(MakeMessage(Propose{kBallot, 300})).request_id, 300u);
  EXPECT_EQ(RoundTrip<Promise>(MakeMessage(Promise{kBallot, 300})).ballot, kBallot);
  EXPECT_EQ(RoundTrip<Accept>(MakeMessage(Accept{kBallot, 300})).request_id, 300u);
}

TEST(LeaseCodec, NotificationsSurviveTheRoundTrip) {
  EXPECT_EQ(RoundTrip<Release>(MakeMessage(Release{Token{78}})).ballot, Token{78});
  EXPECT_EQ(RoundTrip<LeaseFreed>(MakeMessage(LeaseFreed{Token{79}})).highest_ballot, Token{79});
  EXPECT_EQ(RoundTrip<RecoveryQuery>(MakeMessage(RecoveryQuery{5})).request_id, 5u);
}

TEST(LeaseCodec, PurgeSurvivesTheRoundTrip) {
  const auto apply = RoundTrip<ApplyPurge>(MakePurgeMessage(ApplyPurge{Token{7}, {"n1/5.1", 3, 9, 250ms}}));
  EXPECT_EQ(apply.token, Token{7});
  EXPECT_EQ(apply.purge.id, "n1/5.1");
  EXPECT_EQ(apply.purge.group, 3u);
  EXPECT_EQ(apply.purge.object, 9u);
  EXPECT_EQ(apply.purge.age, Micros{250ms});
}

TEST(LeaseCodec, PurgeOfAGroupHasNoObject) {
  const HandOverPurge request{{"n1/5.1", 3, std::nullopt, 250ms}};
  EXPECT_FALSE(RoundTrip<HandOverPurge>(MakePurgeMessage(request)).purge.object);
}

TEST(LeaseCodec, PurgeRepliesSurviveTheRoundTrip) {
  const auto superseded = RoundTrip<TokenSuperseded>(MakePurgeMessage(TokenSuperseded{Token{8}, "n1/5.1"}));
  EXPECT_EQ(superseded.newer_token, Token{8});
  EXPECT_EQ(superseded.purge_id, "n1/5.1");
  const auto applied = RoundTrip<PurgeApplied>(MakePurgeMessage(PurgeApplied{Token{7}, "n1/5.1"}));
  EXPECT_EQ(applied.token, Token{7});
  EXPECT_EQ(applied.purge_id, "n1/5.1");
  const auto accepted = RoundTrip<HandOverAccepted>(MakePurgeMessage(HandOverAccepted{Token{7}, "n1/5.1"}));
  EXPECT_EQ(accepted.token, Token{7});
  EXPECT_EQ(accepted.purge_id, "n1/5.1");
}

using Code = DecodeError::Code;

// Returns the error of decoding bytes that must be rejected.
DecodeError ErrorOf(const std::string& bytes) {
  const auto decoded = Decode(bytes, "n1");
  if (decoded) {
    ADD_FAILURE() << "decoded: " << Hex(bytes);
    return {};
  }
  return decoded.error();
}

std::string BytesOf(std::uint32_t version, std::uint32_t kind) {
  wire::Envelope envelope;
  envelope.set_version(version);
  envelope.set_kind(kind);
  envelope.set_duty("health");
  return envelope.SerializeAsString();
}

TEST(LeaseCodec, RejectsBallotsAboveTheHighestToken) {
  const Token too_high{ToNumber(kMaxToken) + 1};
  const DecodeError error = ErrorOf(Encode(MakeMessage(Reject{too_high, 9, "n2", 1'500ms})));
  EXPECT_EQ(error.code, Code::kBallotTooHigh);
  EXPECT_EQ(error.detail, "ballot: expected at most 2^62");
}

TEST(LeaseCodec, RejectsAnEmptyLeaseName) {
  EXPECT_EQ(ErrorOf(Encode(MakeMessage(Prepare{Token{1}, 9}, ""))).code, Code::kInvalidName);
}

TEST(LeaseCodec, RejectsAnInvalidHolder) {
  const Reject reject{Token{1}, 9, "n\xff", Micros{0}};
  EXPECT_EQ(ErrorOf(Encode(MakeMessage(reject))).code, Code::kInvalidName);
}

TEST(LeaseCodec, RejectsBytesThatDoNotParse) { EXPECT_EQ(ErrorOf("\xff\xff").code, Code::kMalformed); }

TEST(LeaseCodec, RejectsAnotherVersion) {
  const DecodeError error = ErrorOf(BytesOf(kWireVersion + 1, 0));
  EXPECT_EQ(error.code, Code::kUnsupportedVersion);
  EXPECT_EQ(error.detail, "version 2");
}

TEST(LeaseCodec, RejectsUnknownKinds) {
  for (const std::uint32_t kind : {9u, 15u, 21u, 4'000'000'000u}) {
    EXPECT_EQ(ErrorOf(BytesOf(kWireVersion, kind)).code, Code::kUnknownKind) << kind;
  }
}

TEST(LeaseCodec, RejectsDurationsOverADay) {
  const Reject reject{Token{1}, 9, "n2", 24h + 1us};
  EXPECT_EQ(ErrorOf(Encode(MakeMessage(reject))).code, Code::kDurationTooLong);
  const HandOverPurge request{{"n1/5.1", 3, 9, 24h + 1us}};
  EXPECT_EQ(ErrorOf(Encode(MakePurgeMessage(request))).code, Code::kDurationTooLong);
}

TEST(LeaseCodec, RejectsInvalidPurgeIds) {
  for (const char* const purge_id : {"", "n1", "n1/", "/5", "n 1/5", "n1/5\n"}) {
    const ApplyPurge request{Token{7}, {purge_id, 3, std::nullopt, 250ms}};
    EXPECT_EQ(ErrorOf(Encode(MakePurgeMessage(request))).code, Code::kInvalidPurgeId) << purge_id;
  }
}

// Returns the purge id of each kind of purge message.
struct PurgeIdVisitor {
  std::string operator()(const HandOverPurge& body) const { return body.purge.id; }
  std::string operator()(const ApplyPurge& body) const { return body.purge.id; }
  template <class Reply>
  std::string operator()(const Reply& body) const {
    return body.purge_id;
  }
};

std::string PurgeIdOf(const PurgeMessage& message) { return std::visit(PurgeIdVisitor{}, message.body); }

// Arbitrary bytes are either decoded into values in range or rejected with a reason.
RC_GTEST_PROP(LeaseCodec, AnyBytesAreDecodedOrRejected, ()) {
  const auto bytes = *rc::gen::arbitrary<std::string>();
  const auto decoded = Decode(bytes, "n1");
  if (!decoded) {
    RC_ASSERT(!decoded.error().detail.empty());
    return;
  }
  if (const auto* const message = std::get_if<Message>(&*decoded)) {
    RC_ASSERT(BallotOf(message->body) <= kMaxToken);
    return;
  }
  const auto& purge_message = std::get<PurgeMessage>(*decoded);
  RC_ASSERT(!PurgeIdOf(purge_message).empty());
}

}  // namespace
}  // namespace tinspan::lease
