// The fleet view's state machine under simulated time: each fault of issue 21 played on a small fleet, and
// random schedules of faults after which every view must settle.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "members/sim.hpp"

namespace tinspan::members {
namespace {

using namespace std::chrono_literals;

Options Quick() {
  Options options;
  options.interval = 200ms;
  options.timeout = 100ms;
  options.sync = 1s;
  options.dead_keep = 30s;
  return options;
}

sim::Fleet Started(int count, std::uint64_t seed = 1, sim::Link link = {}) {
  sim::Fleet fleet(Quick(), seed, link);
  for (int i = 0; i < count; ++i) fleet.Add("", {0});
  return fleet;
}

// Runs until every view agrees, at most `most`; how long it took, or `most` where it never did.
Micros Settle(sim::Fleet& fleet, Micros most, Micros step = 50ms) {
  for (Micros waited{0}; waited < most; waited += step) {
    if (fleet.Agreed()) return waited;
    fleet.RunFor(step);
  }
  return fleet.Agreed() ? most - step : most;
}

TEST(Members, JoinThroughOneSeed) {
  sim::Fleet fleet = Started(8);
  EXPECT_LT(Settle(fleet, 10s), 5s);
}

// The digest is kept with each change, not counted anew: whatever way a view took, those that hold the same
// have the same one, and one that holds something else has another; also once the dead are let go.
TEST(Members, ViewsThatAgreeHaveOneDigest) {
  sim::Fleet fleet = Started(8);
  ASSERT_LT(Settle(fleet, 10s), 10s);
  fleet.RunFor(5s);
  const Digest first = fleet.ViewOf(0).DigestNow();
  for (int i = 1; i < 8; ++i) EXPECT_EQ(fleet.ViewOf(i).DigestNow(), first);
  fleet.Pause(5, fleet.Now() + 3s);  // its refutation changes incarnations
  fleet.Kill(3);
  fleet.RunFor(10s);
  const Digest with_dead = fleet.ViewOf(0).DigestNow();
  EXPECT_NE(with_dead, first);
  for (const int i : {1, 2, 4, 5, 6, 7}) EXPECT_EQ(fleet.ViewOf(i).DigestNow(), with_dead);
  fleet.RunFor(40s);  // reaped
  EXPECT_EQ(fleet.ViewOf(0).Members().size(), 7u);
  for (const int i : {1, 2, 4, 5, 6, 7}) EXPECT_EQ(fleet.ViewOf(i).DigestNow(), fleet.ViewOf(0).DigestNow());
  EXPECT_NE(fleet.ViewOf(0).DigestNow(), with_dead);
}

TEST(Members, DetectsACrash) {
  sim::Fleet fleet = Started(8);
  ASSERT_LT(Settle(fleet, 10s), 10s);
  fleet.RunFor(2s);
  fleet.Kill(3);
  const Micros took = Settle(fleet, 20s);
  EXPECT_LT(took, 6s);
  EXPECT_EQ(fleet.WronglyDead(), 0u);
}

TEST(Members, APausedMemberRefutes) {
  sim::Fleet fleet = Started(8);
  ASSERT_LT(Settle(fleet, 10s), 10s);
  const std::uint64_t before = fleet.ViewOf(5).Self().incarnation;
  fleet.Pause(5, fleet.Now() + 3s);
  fleet.RunFor(3s);
  fleet.RunFor(1ms);
  EXPECT_LT(Settle(fleet, 10s), 5s);
  EXPECT_GT(fleet.ViewOf(5).Self().incarnation, before);  // it was suspected or declared dead, and said no
}

TEST(Members, AHealedPartitionConverges) {
  sim::Fleet fleet = Started(8);
  ASSERT_LT(Settle(fleet, 10s), 10s);
  fleet.Split({0, 1, 2, 3});
  fleet.RunFor(10s);
  EXPECT_FALSE(fleet.Agreed());
  fleet.Heal();
  EXPECT_LT(Settle(fleet, 20s), 10s);
}

TEST(Members, AOneWayLinkAccusesNobody) {
  sim::Fleet fleet = Started(8);
  ASSERT_LT(Settle(fleet, 10s), 10s);
  fleet.Cut(1, 2);
  std::size_t dead = 0;
  fleet.on_change = [&](int, const Change& change, Micros) { dead += change.now == State::kDead; };
  fleet.RunFor(20s);
  EXPECT_EQ(dead, 0u);
  EXPECT_TRUE(fleet.Agreed());
}

TEST(Members, LossOfATenthFlapsNobodyOut) {
  sim::Fleet fleet = Started(8, 3, sim::Link{0.1, Micros{100}, Micros{2000}});
  ASSERT_LT(Settle(fleet, 20s), 20s);
  fleet.RunFor(60s);
  EXPECT_EQ(fleet.WronglyDead(), 0u);
  EXPECT_LT(Settle(fleet, 10s), 10s);
}

TEST(Members, ARestartUnderTheSameNameIsNewer) {
  sim::Fleet fleet = Started(8);
  ASSERT_LT(Settle(fleet, 10s), 10s);
  fleet.Kill(4);
  fleet.RunFor(500ms);
  fleet.Restart(4);
  EXPECT_LT(Settle(fleet, 10s), 5s);
}

// What a member says of servers and duties is counted from 0 in each of its lives: the new life's word holds,
// and all views have one digest again (they did not while the old life's higher count stood).
TEST(Members, ARestartedMembersWordIsTakenAnew) {
  sim::Fleet fleet = Started(8);
  ASSERT_LT(Settle(fleet, 10s), 10s);
  for (std::uint64_t i = 1; i <= 5; ++i) {
    fleet.Report(4, {i});
    fleet.RunFor(200ms);
  }
  fleet.Claims(4, {{"health", 77}});
  fleet.RunFor(3s);
  EXPECT_EQ(fleet.ViewOf(1).Members().at("m4").failing, (std::vector<std::uint64_t>{5}));
  EXPECT_EQ(fleet.ViewOf(1).Members().at("m4").duties, (std::vector<Claim>{{"health", 77}}));
  fleet.Kill(4);
  fleet.RunFor(500ms);
  fleet.Restart(4);
  fleet.Report(4, {9});
  fleet.RunFor(10s);
  for (const int i : {0, 1, 2, 3, 5, 6, 7}) {
    EXPECT_EQ(fleet.ViewOf(i).Members().at("m4").failing, (std::vector<std::uint64_t>{9}));
    EXPECT_TRUE(fleet.ViewOf(i).Members().at("m4").duties.empty());
    EXPECT_EQ(fleet.ViewOf(i).DigestNow(), fleet.ViewOf(4).DigestNow());
  }
}

TEST(Members, AFloodOfJoins) {
  sim::Fleet fleet = Started(2);
  ASSERT_LT(Settle(fleet, 10s), 10s);
  for (int i = 0; i < 30; ++i) fleet.Add("", {0, 1});
  EXPECT_LT(Settle(fleet, 30s), 15s);
}

TEST(Members, ALeaverIsNotProbed) {
  sim::Fleet fleet = Started(6);
  ASSERT_LT(Settle(fleet, 10s), 10s);
  fleet.Leave(2);
  fleet.RunFor(1s);
  fleet.Kill(2);
  EXPECT_LT(Settle(fleet, 10s), 3s);
}

}  // namespace
}  // namespace tinspan::members

namespace tinspan::members {
namespace {

// One fault of a random schedule, at a time after the one before.
struct Fault {
  enum Kind { kKill, kRestart, kPause, kSplit, kOneWay, kLoss, kLeave } kind;
  int member = 0, other = 0;
  std::uint32_t side = 0;  // split: members whose bit is set
  int millis = 0;          // pause: how long; all: the gap before it
  double loss = 0;
};

}  // namespace
}  // namespace tinspan::members

namespace rc {
template <>
struct Arbitrary<tinspan::members::Fault> {
  static Gen<tinspan::members::Fault> arbitrary() {
    using tinspan::members::Fault;
    return gen::build<Fault>(
        gen::set(&Fault::kind, gen::cast<Fault::Kind>(gen::inRange(0, 7))),
        gen::set(&Fault::member, gen::inRange(0, 9)), gen::set(&Fault::other, gen::inRange(0, 9)),
        gen::set(&Fault::side, gen::arbitrary<std::uint32_t>()),
        gen::set(&Fault::millis, gen::inRange(0, 4000)),
        gen::set(&Fault::loss, gen::map(gen::inRange(0, 25), [](int p) { return p / 100.0; })));
  }
};
}  // namespace rc

namespace tinspan::members {
namespace {

// Whatever the schedule of crashes, restarts, pauses, cuts, loss and leaves: once all is healed, every live
// member's view holds every live member alive and every other one not, within a bound, and no live member is
// held dead. Seeds (members 0 to 2) may be paused or cut off, not ended for good.
RC_GTEST_PROP(Members, EverySchedulesViewsSettle, ()) {
  const int count = *rc::gen::inRange(4, 10);
  const auto faults =
      *rc::gen::container<std::vector<Fault>>(*rc::gen::inRange(1, 7), rc::gen::arbitrary<Fault>());
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  sim::Fleet fleet(Quick(), seed);
  for (int i = 0; i < count; ++i) fleet.Add("", {0, 1, 2});
  RC_ASSERT(Settle(fleet, 20s) < 20s);
  std::vector<bool> killed(static_cast<std::size_t>(count), false);
  for (const Fault& fault : faults) {
    fleet.RunFor(Micros{fault.millis * 1000LL / 2});
    const int member = fault.member % count, other = fault.other % count;
    switch (fault.kind) {
      case Fault::kKill:
      case Fault::kLeave:
        if (member < 3 || killed[member]) break;
        if (fault.kind == Fault::kLeave) fleet.Leave(member);
        fleet.Kill(member);
        killed[member] = true;
        break;
      case Fault::kRestart:
        if (!killed[member]) break;
        fleet.Restart(member);
        killed[member] = false;
        break;
      case Fault::kPause:
        fleet.Pause(member, fleet.Now() + Micros{fault.millis * 1000LL});
        break;
      case Fault::kSplit: {
        std::vector<int> side;
        for (int i = 0; i < count; ++i) {
          if (fault.side >> i & 1) side.push_back(i);
        }
        fleet.Split(side);
        break;
      }
      case Fault::kOneWay:
        if (member != other) fleet.Cut(member, other);
        break;
      case Fault::kLoss:
        fleet.SetLink({fault.loss, Micros{100}, Micros{2'000}});
        break;
    }
  }
  fleet.RunFor(4s);  // the longest pause is over
  fleet.Heal();
  fleet.SetLink({});
  const Micros took = Settle(fleet, 40s);
  RC_ASSERT(took < 30s);
  RC_ASSERT(fleet.WronglyDead() == 0u);
}

}  // namespace
}  // namespace tinspan::members

#include "members/codec.hpp"

namespace tinspan::members {
namespace {

Message Full() {
  Message message;
  message.kind = Kind::kSyncReply;
  message.from = "n-3";
  message.from_address = {0x7f000001, 7946};
  message.seq = 99;
  message.target = "n-4";
  message.digest = Digest{};
  (*message.digest)[5] = 0xfeedull;
  message.more = true;
  Update one;
  one.name = "n-9";
  one.address = {0x0a000004, 7000};
  one.zone = "north";
  one.incarnation = 1'764'000'000'123;
  one.state = State::kDead;
  one.age = std::chrono::milliseconds(4'500);
  one.report = 3;
  one.failing = {11, 12};
  one.duties = {{"health", 5}};
  message.updates = {one};
  return message;
}

TEST(MembersCodec, RoundTrip) {
  const Decoded back = Decode(Encode(Full(), "shop"), "shop");
  ASSERT_TRUE(back.message) << back.detail;
  const Message& m = *back.message;
  EXPECT_EQ(m.kind, Kind::kSyncReply);
  EXPECT_EQ(m.from, "n-3");
  EXPECT_EQ(m.from_address, (Address{0x7f000001, 7946}));
  EXPECT_EQ(m.seq, 99u);
  EXPECT_TRUE(m.more);
  EXPECT_EQ((*m.digest)[5], 0xfeedull);
  ASSERT_EQ(m.updates.size(), 1u);
  EXPECT_EQ(m.updates[0].name, "n-9");
  EXPECT_EQ(m.updates[0].state, State::kDead);
  EXPECT_EQ(m.updates[0].age, std::chrono::milliseconds(4'500));
  EXPECT_EQ(m.updates[0].failing, (std::vector<std::uint64_t>{11, 12}));
  EXPECT_EQ(m.updates[0].duties, (std::vector<Claim>{{"health", 5}}));
}

TEST(MembersCodec, NamesWhatItRefuses) {
  const std::string good = Encode(Full(), "shop");
  EXPECT_EQ(Decode(good, "other").refusal, Refusal::kForeign);
  EXPECT_EQ(Decode("GET / HTTP/1.1\r\n", "shop").refusal, Refusal::kForeign);
  EXPECT_EQ(Decode(std::string(2'000, 'x'), "shop").refusal, Refusal::kOversized);
  std::string later = good;
  later[3] = 2;
  EXPECT_EQ(Decode(later, "shop").refusal, Refusal::kVersion);
  EXPECT_EQ(Decode(good.substr(0, good.size() / 2), "shop").refusal, Refusal::kMalformed);
  // Neither a line, nor a log, nor a record in JSON could hold these.
  for (const char* const name : {"a b", "a\nend", "\xff\xfe", "h\xc3\xa6"}) {
    Message odd = Full();
    odd.from = name;
    EXPECT_EQ(Decode(Encode(odd, "shop"), "shop").refusal, Refusal::kMalformed) << name;
    odd = Full();
    odd.updates[0].name = name;
    EXPECT_EQ(Decode(Encode(odd, "shop"), "shop").refusal, Refusal::kMalformed) << name;
    odd = Full();
    odd.updates[0].zone = name;
    EXPECT_EQ(Decode(Encode(odd, "shop"), "shop").refusal, Refusal::kMalformed) << name;
    odd = Full();
    odd.updates[0].duties[0].duty = name;
    EXPECT_EQ(Decode(Encode(odd, "shop"), "shop").refusal, Refusal::kMalformed) << name;
  }
  Message nameless = Full();
  Message endless = Full();
  endless.updates[0].incarnation = ~std::uint64_t{0};  // one more would be 0
  EXPECT_EQ(Decode(Encode(endless, "shop"), "shop").refusal, Refusal::kMalformed);
  nameless.from.clear();
  EXPECT_EQ(Decode(Encode(nameless, "shop"), "shop").refusal, Refusal::kMalformed);
}

// Who reaches the port can send names, accusers and ping-reqs without end: what is held has bounds.
TEST(Members, AFloodOfNamesIsBounded) {
  Update self;
  self.name = "me";
  View view(Quick(), self, 1, 0s);
  std::uint64_t number = 0;
  const auto flood = [&](Kind kind, const std::function<void(Update&)>& fill) {
    Message message;
    message.kind = kind;
    message.from = "x";
    message.seq = ++number;
    message.target = "y";
    for (std::size_t i = 0; i < kMostUpdates; ++i) {
      message.updates.emplace_back();
      fill(message.updates.back());
    }
    view.Receive(1ms, message);
    view.TakeOut();
    view.TakeChanges();
  };
  for (int i = 0; i < 400; ++i) {
    flood(Kind::kPing, [&](Update& update) { update.name = "n" + std::to_string(++number); });
  }
  EXPECT_EQ(view.Members().size(), kMostMembers);
  for (int i = 0; i < 10; ++i) {
    flood(Kind::kPing, [&](Update& update) {
      update.name = "n2";
      update.state = State::kSuspect;
      update.by = "a" + std::to_string(++number);
    });
  }
  EXPECT_EQ(view.Members().at("n2").accusers.size(), kMostAccusers);
  std::size_t passed_on = 0;
  Message ask = Full();
  ask.kind = Kind::kPingReq;
  ask.updates.clear();
  for (int i = 0; i < 1'000; ++i) {
    view.Receive(1ms, ask);
    passed_on += view.TakeOut().size();
  }
  EXPECT_EQ(passed_on, kMostRelays);
}

TEST(MembersCodec, LeavesOutWhatDoesNotFit) {
  Message many = Full();
  many.updates.assign(60, many.updates[0]);
  const std::string bytes = Encode(many, "shop", 1'000);
  EXPECT_LE(bytes.size(), 1'000u);
  const Decoded back = Decode(bytes, "shop", 1'000);
  ASSERT_TRUE(back.message);
  EXPECT_GT(back.message->updates.size(), 0u);
  EXPECT_LT(back.message->updates.size(), 60u);
}

// Whatever bytes come, Decode names a refusal or gives a message whose fields are in range; it never ends the
// process. Bytes of good datagrams changed here and there, and bytes at random.
RC_GTEST_PROP(MembersCodec, AnyBytesAreReadOrRefused, ()) {
  std::string bytes = Encode(Full(), "shop");
  const auto changes = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
      rc::gen::pair(rc::gen::inRange<std::size_t>(0, 2'000), rc::gen::arbitrary<char>()));
  for (const auto& [at, value] : changes) bytes[at % bytes.size()] = value;
  if (*rc::gen::arbitrary<bool>()) bytes = *rc::gen::arbitrary<std::string>();
  const Decoded decoded = Decode(bytes, "shop");
  RC_ASSERT(decoded.message.has_value() == (decoded.refusal == Refusal::kNone));
  if (decoded.message) {
    RC_ASSERT(!decoded.message->from.empty());
    RC_ASSERT(decoded.message->updates.size() <= kMostUpdates);
    for (const Update& update : decoded.message->updates) RC_ASSERT(update.failing.size() <= kMostFailing);
  }
}

}  // namespace
}  // namespace tinspan::members
