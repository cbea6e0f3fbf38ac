// Tests of the codec: the exact bytes of each kind of message, round trips, and rejected datagrams.
#include "members/codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "members/members.pb.h"
#include "members/message.hpp"
#include "members/types.hpp"

namespace tinspan::members {
namespace {

constexpr const char* kFleet = "shop";

MemberUpdate DeadMember() {
  MemberUpdate update;
  update.name = "n-9";
  update.address = {0x0a000004, 7'000};
  update.zone = "north";
  update.incarnation = 1'764'000'000'123;
  update.state = State::kDead;
  update.age = std::chrono::milliseconds(4'500);
  update.report_version = 3;
  update.failing_servers = {11, 12};
  update.lease_claims = {{"health", 5}};
  return update;
}

MemberUpdate SuspectMember() {
  MemberUpdate update;
  update.name = "n-5";
  update.address = {0x0a000005, 7'001};
  update.incarnation = 7;
  update.state = State::kSuspect;
  update.suspected_by = "n-3";
  return update;
}

Message MessageWith(MessageBody body, std::vector<MemberUpdate> updates = {}) {
  Message message;
  message.from = "n-3";
  message.from_address = {0x7f000001, 7'946};
  message.updates = std::move(updates);
  message.body = std::move(body);
  return message;
}

Message ReplyWithOneUpdate() { return MessageWith(SyncReply{Digest{}, true}, {DeadMember()}); }

Digest SampleDigest() {
  Digest digest{};
  digest[5] = 0xfeedULL;
  digest[63] = 0x0123456789abcdefULL;
  return digest;
}

std::string ToHex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    hex += kDigits[value / 16];
    hex += kDigits[value % 16];
  }
  return hex;
}

std::string ZeroBytes(std::size_t count) {
  std::string hex;
  hex.resize(2 * count, '0');
  return hex;
}

// Parts of the datagrams below, in hex: the common prefix (header and fleet name), the sender, the target,
// the two updates, and the digest of 64 little-endian buckets.
constexpr const char* kStartHex = "54534d010a0473686f70";
constexpr const char* kSenderHex = "1a036e2d33250100007f288a3e";
constexpr const char* kTargetHex = "3a036e2d34";
constexpr const char* kUpdatesHex =
    "52400a036e2d39150400000a18d83622056e6f72746828fbd0dfb4ab333002389423480352100b000000000000000c00000000"
    "0000005a0a0a066865616c7468100552160a036e2d35150500000a18d9362807300142036e2d33";
std::string DigestHex() {
  return "5a8004" + ZeroBytes(40) + "edfe" + ZeroBytes(6 + 456) + "efcdab8967452301";
}

struct RecordedDatagram {
  const char* kind;
  Message message;
  std::string hex;
};

// Recorded from the program before its messages became one type per kind. The bytes must not change, so that
// members of different releases can communicate.
std::vector<RecordedDatagram> RecordedDatagrams() {
  const std::vector<MemberUpdate> updates{DeadMember(), SuspectMember()};
  const std::string start = kStartHex;
  const std::string sender = kSenderHex;
  const std::string target = kTargetHex;
  return {
      {"Ping", MessageWith(Ping{99, "n-4"}, updates), start + sender + "3063" + target + kUpdatesHex},
      {"PingRequest", MessageWith(PingRequest{99, "n-4", {0x0a000006, 7'002}}, updates),
       start + "1001" + sender + "3063" + target + "450600000a48da36" + kUpdatesHex},
      {"Ack", MessageWith(Ack{99}, updates), start + "1002" + sender + "3063" + kUpdatesHex},
      {"Nack", MessageWith(Nack{99}), start + "1003" + sender + "3063"},
      {"Sync", MessageWith(Sync{SampleDigest()}), start + "1004" + sender + DigestHex()},
      {"SyncReply", MessageWith(SyncReply{SampleDigest(), true}, updates),
       start + "1005" + sender + kUpdatesHex + DigestHex() + "6001"},
      {"SyncPush", MessageWith(SyncPush{}, updates), start + "1006" + sender + kUpdatesHex},
      {"Payload", MessageWith(Payload{std::string("lease\0bytes", 11)}),
       start + "1007" + sender + "6a0b6c65617365006279746573"},
  };
}

class RecordedDatagramTest : public testing::TestWithParam<RecordedDatagram> {};

TEST_P(RecordedDatagramTest, IsEncodedToTheSameBytes) {
  EXPECT_EQ(ToHex(Encode(GetParam().message, kFleet)), GetParam().hex);
}

TEST_P(RecordedDatagramTest, IsDecodedToTheSameMessage) {
  const Message& message = GetParam().message;
  const auto decoded = Decode(Encode(message, kFleet), kFleet);
  ASSERT_TRUE(decoded) << decoded.error().detail;
  EXPECT_EQ(decoded->body.index(), message.body.index());
  EXPECT_EQ(decoded->from, message.from);
  EXPECT_EQ(decoded->from_address, message.from_address);
  EXPECT_EQ(Encode(*decoded, kFleet), Encode(message, kFleet));
}

INSTANTIATE_TEST_SUITE_P(AllKinds, RecordedDatagramTest, testing::ValuesIn(RecordedDatagrams()),
                         [](const auto& info) { return std::string(info.param.kind); });

TEST(CodecTest, DecodesTheFieldsOfABody) {
  const auto ping = Decode(Encode(MessageWith(PingRequest{99, "n-4", {1, 2}}), kFleet), kFleet);
  ASSERT_TRUE(ping);
  const auto& request = std::get<PingRequest>(ping->body);
  EXPECT_EQ(request.sequence, 99U);
  EXPECT_EQ(request.target, "n-4");
  EXPECT_EQ(request.target_address, (Address{1, 2}));
  const auto sync = Decode(Encode(MessageWith(SyncReply{SampleDigest(), true}), kFleet), kFleet);
  ASSERT_TRUE(sync);
  const auto& reply = std::get<SyncReply>(sync->body);
  EXPECT_EQ(reply.digest, SampleDigest());
  EXPECT_TRUE(reply.is_truncated);
}

TEST(CodecTest, DecodesTheFieldsOfAnUpdate) {
  const auto decoded = Decode(Encode(ReplyWithOneUpdate(), kFleet), kFleet);
  ASSERT_TRUE(decoded) << decoded.error().detail;
  ASSERT_EQ(decoded->updates.size(), 1U);
  const MemberUpdate& update = decoded->updates[0];
  EXPECT_EQ(update.name, "n-9");
  EXPECT_EQ(update.address, (Address{0x0a000004, 7'000}));
  EXPECT_EQ(update.zone, "north");
  EXPECT_EQ(update.incarnation, 1'764'000'000'123U);
  EXPECT_EQ(update.state, State::kDead);
  EXPECT_EQ(update.age, std::chrono::milliseconds(4'500));
  EXPECT_EQ(update.report_version, 3U);
  EXPECT_EQ(update.failing_servers, (std::vector<std::uint64_t>{11, 12}));
  EXPECT_EQ(update.lease_claims, (std::vector<LeaseClaim>{{"health", 5}}));
}

TEST(CodecTest, LeavesOutUpdatesThatDoNotFit) {
  const Message message = MessageWith(SyncReply{Digest{}, true}, std::vector<MemberUpdate>(60, DeadMember()));
  const std::string bytes = Encode(message, kFleet, 1'000);
  EXPECT_LE(bytes.size(), 1'000U);
  const auto decoded = Decode(bytes, kFleet, 1'000);
  ASSERT_TRUE(decoded);
  EXPECT_GT(decoded->updates.size(), 0U);
  EXPECT_LT(decoded->updates.size(), 60U);
}

DecodeFailure FailureOf(std::string_view bytes, std::string_view fleet = kFleet) {
  const auto decoded = Decode(bytes, fleet);
  EXPECT_FALSE(decoded);
  return decoded ? DecodeFailure{} : decoded.error().failure;
}

TEST(CodecRejectionTest, AnotherFleetsDatagramIsForeign) {
  EXPECT_EQ(FailureOf(Encode(ReplyWithOneUpdate(), kFleet), "other"), DecodeFailure::kForeign);
}

TEST(CodecRejectionTest, BytesWithoutTheHeaderAreForeign) {
  EXPECT_EQ(FailureOf("GET / HTTP/1.1\r\n"), DecodeFailure::kForeign);
  EXPECT_EQ(FailureOf(""), DecodeFailure::kForeign);
}

TEST(CodecRejectionTest, ATooLongDatagramIsOversized) {
  EXPECT_EQ(FailureOf(std::string(2'000, 'x')), DecodeFailure::kOversized);
}

TEST(CodecRejectionTest, ALaterVersionIsReportedAsVersion) {
  std::string bytes = Encode(ReplyWithOneUpdate(), kFleet);
  bytes[3] = 2;
  EXPECT_EQ(FailureOf(bytes), DecodeFailure::kVersion);
}

TEST(CodecRejectionTest, ATruncatedDatagramIsMalformed) {
  const std::string bytes = Encode(ReplyWithOneUpdate(), kFleet);
  EXPECT_EQ(FailureOf(bytes.substr(0, bytes.size() / 2)), DecodeFailure::kMalformed);
}

TEST(CodecRejectionTest, AMessageWithoutASenderIsMalformed) {
  Message message = ReplyWithOneUpdate();
  message.from.clear();
  EXPECT_EQ(FailureOf(Encode(message, kFleet)), DecodeFailure::kMalformed);
}

TEST(CodecRejectionTest, AnIncarnationThatCouldWrapAroundIsMalformed) {
  Message message = ReplyWithOneUpdate();
  message.updates[0].incarnation = ~std::uint64_t{0};
  EXPECT_EQ(FailureOf(Encode(message, kFleet)), DecodeFailure::kMalformed);
}

// A change that takes a field of a valid datagram out of range.
struct Corruption {
  const char* name;
  std::function<void(wire::Envelope&)> apply;
};

class CodecRangeTest : public testing::TestWithParam<Corruption> {};

TEST_P(CodecRangeTest, IsMalformed) {
  const std::string bytes = Encode(ReplyWithOneUpdate(), kFleet);
  wire::Envelope envelope;
  ASSERT_TRUE(envelope.ParseFromString(bytes.substr(4)));
  GetParam().apply(envelope);
  EXPECT_EQ(FailureOf(bytes.substr(0, 4) + envelope.SerializeAsString()), DecodeFailure::kMalformed);
}

template <class Change>
void Repeat(std::size_t times, const Change& change) {
  for (std::size_t time = 0; time < times; ++time) change();
}

INSTANTIATE_TEST_SUITE_P(
    AllFields, CodecRangeTest,
    testing::Values(
        Corruption{"Kind", [](wire::Envelope& envelope) { envelope.set_kind(8); }},
        Corruption{"SenderPort", [](wire::Envelope& envelope) { envelope.set_from_port(65'536); }},
        Corruption{"TargetPort", [](wire::Envelope& envelope) { envelope.set_target_port(65'536); }},
        Corruption{"DigestSize", [](wire::Envelope& envelope) { envelope.add_digest(1); }},
        Corruption{"PayloadSize",
                   [](wire::Envelope& envelope) {
                     envelope.clear_digest();  // with the digest the datagram would be oversized
                     envelope.set_carried(std::string(1'001, 'x'));
                   }},
        Corruption{"UpdateCount",
                   [](wire::Envelope& envelope) {
                     envelope.clear_digest();
                     Repeat(kMaxUpdatesPerMessage, [&] { envelope.add_updates()->set_name("n"); });
                   }},
        Corruption{"UpdatePort",
                   [](wire::Envelope& envelope) { envelope.mutable_updates(0)->set_port(65'536); }},
        Corruption{"UpdateState",
                   [](wire::Envelope& envelope) { envelope.mutable_updates(0)->set_state(4); }},
        Corruption{
            "UpdateAge",
            [](wire::Envelope& envelope) { envelope.mutable_updates(0)->set_age_ms(366ULL * 86'400'000); }},
        Corruption{"FailingServerCount",
                   [](wire::Envelope& envelope) {
                     Repeat(kMaxFailingServers, [&] { envelope.mutable_updates(0)->add_failing(1); });
                   }},
        Corruption{"LeaseClaimCount",
                   [](wire::Envelope& envelope) {
                     Repeat(kMaxLeaseClaims,
                            [&] { envelope.mutable_updates(0)->add_duties()->set_duty("lease"); });
                   }}),
    [](const auto& info) { return std::string(info.param.name); });

// Names that could break an operator command, a log line or a record in JSON.
class CodecNameTest : public testing::TestWithParam<const char*> {
 protected:
  static DecodeFailure FailureWith(const std::function<void(Message&)>& change) {
    Message message = ReplyWithOneUpdate();
    change(message);
    return FailureOf(Encode(message, kFleet));
  }
};

TEST_P(CodecNameTest, IsRejectedAsTheSender) {
  EXPECT_EQ(FailureWith([](Message& message) { message.from = GetParam(); }), DecodeFailure::kMalformed);
}
TEST_P(CodecNameTest, IsRejectedAsTheTarget) {
  EXPECT_EQ(FailureWith([](Message& message) {
              message.body = Ping{1, GetParam()};
            }),
            DecodeFailure::kMalformed);
}
TEST_P(CodecNameTest, IsRejectedAsAMember) {
  EXPECT_EQ(FailureWith([](Message& message) { message.updates[0].name = GetParam(); }),
            DecodeFailure::kMalformed);
}
TEST_P(CodecNameTest, IsRejectedAsAZone) {
  EXPECT_EQ(FailureWith([](Message& message) { message.updates[0].zone = GetParam(); }),
            DecodeFailure::kMalformed);
}
TEST_P(CodecNameTest, IsRejectedAsASuspector) {
  EXPECT_EQ(FailureWith([](Message& message) { message.updates[0].suspected_by = GetParam(); }),
            DecodeFailure::kMalformed);
}
TEST_P(CodecNameTest, IsRejectedAsALease) {
  EXPECT_EQ(FailureWith([](Message& message) { message.updates[0].lease_claims[0].lease = GetParam(); }),
            DecodeFailure::kMalformed);
}

INSTANTIATE_TEST_SUITE_P(InvalidNames, CodecNameTest,
                         testing::Values("a b", "a\nend", "\xff\xfe", "h\xc3\xa6"),
                         [](const auto& info) { return "Name" + std::to_string(info.index); });

// For any bytes Decode returns an error or a message whose fields are in range. The inputs are valid
// datagrams with random changes, and random bytes.
RC_GTEST_PROP(CodecPropertyTest, AnyBytesAreDecodedOrRejected, ()) {
  std::string bytes = Encode(ReplyWithOneUpdate(), kFleet);
  const auto changes = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
      rc::gen::pair(rc::gen::inRange<std::size_t>(0, 2'000), rc::gen::arbitrary<char>()));
  for (const auto& [position, value] : changes) bytes[position % bytes.size()] = value;
  if (*rc::gen::arbitrary<bool>()) bytes = *rc::gen::arbitrary<std::string>();
  const auto decoded = Decode(bytes, kFleet);
  if (!decoded) return;
  RC_ASSERT(!decoded->from.empty());
  RC_ASSERT(decoded->updates.size() <= kMaxUpdatesPerMessage);
  for (const MemberUpdate& update : decoded->updates) {
    RC_ASSERT(update.failing_servers.size() <= kMaxFailingServers);
  }
}

}  // namespace
}  // namespace tinspan::members
