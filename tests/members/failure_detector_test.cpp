// Tests of FailureDetector: probes, indirect probes, relays for other members, and the effect of a failed
// probe on local health.
#include "members/failure_detector.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "members/message.hpp"
#include "members/types.hpp"
#include "unit_fixture.hpp"

namespace tinspan::members {
namespace {

using namespace std::chrono_literals;

constexpr Address kSender{0x0a000001, 8'000};

class FailureDetectorTest : public MembershipUnitTest {
 protected:
  // Checks that exactly one datagram was sent, to `destination` and with a `Body`; returns its body.
  template <class Body>
  Body SentTo(Address destination) {
    const std::vector<Datagram> sent = outbox_.Drain();
    EXPECT_EQ(sent.size(), 1U);
    if (sent.size() != 1) return {};
    EXPECT_EQ(sent[0].destination, destination);
    const Body* const body = std::get_if<Body>(&sent[0].message.body);
    EXPECT_NE(body, nullptr);
    return body == nullptr ? Body{} : *body;
  }
  // Starts a probe at kProbeStart, which is one interval after kStart: the first probe is due by then.
  Ping StartProbe() {
    detector_.StartDueProbe(kProbeStart);
    return SentTo<Ping>(table_.At("target").address);
  }

  static constexpr Micros kProbeStart = kStart + 1s;
  FailureDetector detector_{{options_, table_, health_, outbox_, random_, stats_}, kStart};
};

TEST_F(FailureDetectorTest, AnswersAPing) {
  detector_.OnPing(kStart, kSender, {7, "self"});
  EXPECT_EQ(SentTo<Ack>(kSender).sequence, 7U);
}

TEST_F(FailureDetectorTest, DoesNotAnswerAPingForAnother) {
  detector_.OnPing(kStart, kSender, {7, "other"});
  EXPECT_TRUE(outbox_.Drain().empty());
}

TEST_F(FailureDetectorTest, DoesNotProbeWhileAlone) {
  detector_.StartDueProbe(kProbeStart);
  EXPECT_TRUE(outbox_.Drain().empty());
  EXPECT_EQ(stats_.probes, 0U);
}

TEST_F(FailureDetectorTest, TheFirstProbeIsDueWithinOneInterval) {
  EXPECT_GE(detector_.NextProbeDeadline(), kStart);
  EXPECT_LT(detector_.NextProbeDeadline(), kStart + options_.probe_interval);
}

TEST_F(FailureDetectorTest, ProbesEveryMemberInOneRound) {
  for (const char* name : {"a", "b", "c"}) AddMember(name, 1);
  std::set<std::string> probed;
  for (int probe = 0; probe < 3; ++probe) {
    const Micros now = kProbeStart + probe * options_.probe_interval;
    detector_.StartDueProbe(now);
    for (const Datagram& datagram : outbox_.Drain()) {
      const Ping& ping = std::get<Ping>(datagram.message.body);
      probed.insert(ping.target);
      detector_.OnAck(now, {ping.sequence});
    }
  }
  EXPECT_EQ(probed, (std::set<std::string>{"a", "b", "c"}));
}

TEST_F(FailureDetectorTest, DoesNotProbeADepartedMember) {
  SetState(AddMember("dead", 1), State::kDead);
  SetState(AddMember("left", 2), State::kLeft);
  detector_.StartDueProbe(kProbeStart);
  EXPECT_TRUE(outbox_.Drain().empty());
}

TEST_F(FailureDetectorTest, AnAckEndsTheProbeAndImprovesLocalHealth) {
  AddMember("target", 1);
  health_.Adjust(2);
  const Ping ping = StartProbe();
  EXPECT_EQ(ping.target, "target");
  detector_.OnAck(kProbeStart, {ping.sequence});
  EXPECT_EQ(health_.Multiplier(), 1);
  EXPECT_EQ(stats_.acks, 1U);
  EXPECT_FALSE(detector_.CheckProbe(kProbeStart + 60s));
}

TEST_F(FailureDetectorTest, AnAckOfAnotherProbeIsIgnored) {
  AddMember("target", 1);
  const Ping ping = StartProbe();
  detector_.OnAck(kProbeStart, {ping.sequence + 1});
  EXPECT_EQ(stats_.acks, 0U);
}

TEST_F(FailureDetectorTest, SendsNoIndirectProbeBeforeTheTimeout) {
  AddMember("target", 1);
  StartProbe();
  AddMember("helper", 2);
  EXPECT_FALSE(detector_.CheckProbe(kProbeStart + options_.probe_timeout - 1us));
  EXPECT_TRUE(outbox_.Drain().empty());
}

TEST_F(FailureDetectorTest, SendsIndirectProbesAfterTheTimeout) {
  const Address target = AddMember("target", 1).address;
  const Ping ping = StartProbe();
  for (std::uint16_t port = 11; port < 16; ++port) AddMember("helper" + std::to_string(port), port);
  detector_.CheckProbe(kProbeStart + options_.probe_timeout);
  const std::vector<Datagram> sent = outbox_.Drain();
  EXPECT_EQ(sent.size(), static_cast<std::size_t>(options_.indirect_probes));
  EXPECT_TRUE(std::ranges::all_of(sent, [&](const Datagram& datagram) {
    const auto& request = std::get<PingRequest>(datagram.message.body);
    return request.sequence == ping.sequence && request.target == "target" &&
           request.target_address == target;
  }));
}

TEST_F(FailureDetectorTest, AProbeWithoutAnAckFails) {
  AddMember("target", 1);
  StartProbe();
  EXPECT_EQ(detector_.CheckProbe(kProbeStart + options_.probe_interval), "target");
  EXPECT_EQ(health_.Multiplier(), 1);
}

TEST_F(FailureDetectorTest, MissingNacksCountAgainstLocalHealth) {
  AddMember("target", 1);
  StartProbe();
  AddMember("helper", 2);
  EXPECT_EQ(detector_.CheckProbe(kProbeStart + options_.probe_interval), "target");
  EXPECT_EQ(health_.Multiplier(), 2);
}

TEST_F(FailureDetectorTest, ReceivedNacksDoNotCountAgainstLocalHealth) {
  AddMember("target", 1);
  const Ping ping = StartProbe();
  AddMember("helper", 2);
  EXPECT_FALSE(detector_.CheckProbe(kProbeStart + options_.probe_timeout));
  detector_.OnNack({ping.sequence});
  EXPECT_EQ(detector_.CheckProbe(kProbeStart + options_.probe_interval), "target");
  EXPECT_EQ(health_.Multiplier(), 1);
  EXPECT_EQ(stats_.nacks, 1U);
}

TEST_F(FailureDetectorTest, AnswersAPingRequestForItself) {
  detector_.OnPingRequest(kStart, kSender, {7, "self", {}});
  EXPECT_EQ(SentTo<Ack>(kSender).sequence, 7U);
}

TEST_F(FailureDetectorTest, RelaysAPingAndItsAck) {
  constexpr Address kTarget{0x0a000002, 9'000};
  detector_.OnPingRequest(kStart, kSender, {7, "target", kTarget});
  const Ping relayed = SentTo<Ping>(kTarget);
  EXPECT_EQ(relayed.target, "target");
  detector_.OnAck(kStart, {relayed.sequence});
  EXPECT_EQ(SentTo<Ack>(kSender).sequence, 7U);
  EXPECT_EQ(detector_.NextRelayDeadline(), Micros::max());
}

TEST_F(FailureDetectorTest, SendsANackOnceForARelayedPingWithoutAnAck) {
  detector_.OnPingRequest(kStart, kSender, {7, "target", {}});
  outbox_.Drain();
  EXPECT_EQ(detector_.NextRelayDeadline(), kStart + 400ms);
  detector_.CheckRelays(kStart + 400ms);
  EXPECT_EQ(SentTo<Nack>(kSender).sequence, 7U);
  EXPECT_EQ(detector_.NextRelayDeadline(), kStart + options_.probe_interval);
  detector_.CheckRelays(kStart + options_.probe_interval);
  EXPECT_TRUE(outbox_.Drain().empty());
  EXPECT_EQ(detector_.NextRelayDeadline(), Micros::max());
}

TEST_F(FailureDetectorTest, CancelsTheProbeAndTheRelaysWithoutAResult) {
  AddMember("target", 1);
  StartProbe();
  detector_.OnPingRequest(kProbeStart, kSender, {7, "other", {}});
  detector_.CancelProbeAndRelays(kProbeStart + 60s);
  EXPECT_FALSE(detector_.CheckProbe(kProbeStart + 60s));
  EXPECT_EQ(detector_.NextRelayDeadline(), Micros::max());
  EXPECT_EQ(detector_.NextProbeDeadline(), kProbeStart + 60s + options_.probe_interval);
  EXPECT_EQ(health_.Multiplier(), 0);
}

}  // namespace
}  // namespace tinspan::members
