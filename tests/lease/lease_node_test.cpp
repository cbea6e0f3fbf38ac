// The leases' state machine under simulated time: each hard case of issue 22 played, and random schedules of
// faults, loss, reordering and clocks that run apart, after which the history must hold.
#include "lease/lease_node.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "lease/codec.hpp"
#include "lease/sim.hpp"

namespace tinspan::lease {
namespace {

using namespace std::chrono_literals;
using sim::Fleet;

Options Quick() {
  Options options;
  options.length = 1s;
  options.attempt = 125ms;
  return options;
}

struct Started : Fleet {
  Started(int count, std::size_t voters, std::uint64_t seed = 1, std::vector<double> rates = {})
      : Fleet(Quick(), voters, 200ms, seed) {
    for (int i = 0; i < count; ++i) Add(i < static_cast<int>(rates.size()) ? rates[i] : 1.0);
    for (int i = 0; i < count; ++i) Want(i, true);
  }
};

// Until somebody holds who is not `but`; how long it took, or `most`.
Micros UntilHeld(Fleet& fleet, Micros most, int but = -1) {
  for (Micros waited{0}; waited < most; waited += 10ms) {
    const int holder = fleet.Holder();
    if (holder >= 0 && holder != but) return waited;
    fleet.RunFor(10ms);
  }
  return most;
}

void Unbroken(const Fleet& fleet) {
  const auto broken = fleet.Seen().Broken();
  EXPECT_FALSE(broken) << *broken;
}

TEST(Lease, OneHoldsAndRenews) {
  Started fleet(5, 5);
  ASSERT_LT(UntilHeld(fleet, 10s), 5s);
  const int holder = fleet.Holder();
  fleet.RunFor(20s);
  EXPECT_EQ(fleet.Holder(), holder);
  EXPECT_EQ(fleet.Seen().Grants(), 1u);
  EXPECT_GT(fleet.Seen().Taken(), 80u);  // a record each 200 ms, a write and a read for each
  EXPECT_LE(fleet.StoreCalls(), 2 * fleet.Seen().Taken() + 2);
  Unbroken(fleet);
}

// A voter that promised a rival's ballot which came to nothing grants the holder all the same, once that
// promise has run out: else the holder would live on a bare majority, and the voter would not know who holds.
TEST(Lease, EveryVoterComesToGrantTheHolder) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Started fleet(5, 5, seed);
    fleet.SetLink({0, 0, 100us, 40ms});  // slow enough for two to ask at once
    ASSERT_LT(UntilHeld(fleet, 10s), 6s) << seed;
    fleet.RunFor(2s);
    const int holder = fleet.Holder();
    ASSERT_GE(holder, 0) << seed;
    for (int i = 0; i < 5; ++i) {
      EXPECT_EQ(fleet.PeerOf(i).KnownOf(Fleet::kDuty, fleet.Now()).holder, fleet.NameOf(holder))
          << "seed " << seed << ", voter " << i;
    }
    Unbroken(fleet);
  }
}

// A candidate that was stopped between asking and hearing: the promises have run out, it asks anew.
TEST(Lease, AStoppedCandidateCountsNoOldPromises) {
  Options options = Quick();
  options.voters = {"a", "b", "c"};
  options.duties = {"health"};
  Peer late(options, "h", 1, 0s);
  late.Want("health", true, 0s);
  late.Tick(125ms, 1'000);
  Message answer = late.TakeOut().at(0).message;
  answer.kind = Kind::kPromise;
  for (const char* from : {"a", "b", "c"}) {
    answer.from = from;
    late.Receive(125ms + options.attempt, answer);
  }
  EXPECT_TRUE(late.TakeOut().empty());
  EXPECT_FALSE(late.Holds("health", 125ms + options.attempt));
}

TEST(Lease, AKilledHoldersDutyIsTakenUpWithinALeaseAndGoesOnFromItsNumber) {
  Started fleet(5, 5);
  ASSERT_LT(UntilHeld(fleet, 10s), 5s);
  fleet.RunFor(3s);
  const int first = fleet.Holder();
  const std::uint64_t number = fleet.Store().number;
  fleet.Kill(first);
  const Micros took = UntilHeld(fleet, 10s);
  EXPECT_LT(took, 1s + 250ms);
  fleet.RunFor(2s);
  EXPECT_GT(fleet.Store().number, number);
  EXPECT_GT(fleet.Seen().Grants(), 1u);
  Unbroken(fleet);
}

TEST(Lease, APausedHolderActsNoMoreUnderItsOldToken) {
  Started fleet(5, 5);
  ASSERT_LT(UntilHeld(fleet, 10s), 5s);
  fleet.RunFor(1s);
  const int first = fleet.Holder();
  const Token old = fleet.Store().token;
  fleet.Pause(first, fleet.Now() + 3s);
  fleet.RunFor(2s);
  const int second = fleet.Holder();
  ASSERT_NE(second, first);
  const Token next = fleet.Store().token;
  EXPECT_GT(next, old);
  fleet.RunFor(3s);
  EXPECT_EQ(fleet.Holder(), second);
  EXPECT_EQ(fleet.Store().token, next);
  Unbroken(fleet);
}

// One clock a tenth fast, the holder's; then a tenth slow.
TEST(Lease, ClocksThatRunApartNeverShareADuty) {
  for (const double rate : {1.1, 0.9}) {
    Started fleet(3, 3, 7, {rate, 2 - rate, 1.0});
    ASSERT_LT(UntilHeld(fleet, 10s), 6s);
    for (int i = 0; i < 20; ++i) {
      const int holder = fleet.Holder();
      if (holder >= 0) fleet.Pause(holder, fleet.Now() + 1'200ms);
      fleet.RunFor(1'500ms);
    }
    EXPECT_GT(fleet.Seen().Grants(), 5u);
    Unbroken(fleet);
  }
}

TEST(Lease, AReleaseHandsOverAtOnce) {
  Started fleet(5, 5);
  ASSERT_LT(UntilHeld(fleet, 10s), 5s);
  fleet.RunFor(2s);  // the others were refused and are remembered
  const int first = fleet.Holder();
  fleet.Leave(first);
  EXPECT_LT(UntilHeld(fleet, 5s, first), 100ms);
  Unbroken(fleet);
}

// A voter that forgot is silent until what it granted has run out; then it knows from the others what it
// promised.
TEST(Lease, AVoterThatForgotGrantsNothingTwice) {
  Started fleet(3, 3);
  ASSERT_LT(UntilHeld(fleet, 10s), 5s);
  fleet.RunFor(1s);
  const int first = fleet.Holder();
  const int other = (first + 1) % 3;
  fleet.Kill(other);
  fleet.Restart(other);
  fleet.RunFor(500ms);
  EXPECT_FALSE(fleet.PeerOf(other).Serving(Fleet::kDuty));
  EXPECT_EQ(fleet.Holder(), first);  // two of three renew it
  fleet.RunFor(2s);
  EXPECT_TRUE(fleet.PeerOf(other).Serving(Fleet::kDuty));
  EXPECT_EQ(fleet.Holder(), first);
  Unbroken(fleet);
}

// And it asks before it answers: a token was granted through it that only one other voter knows, and a
// candidate whose clock is behind cannot reach that one.
TEST(Lease, AVoterThatForgotLearnsWhatItPromised) {
  Fleet fleet(Quick(), 3, 200ms, 11);
  for (int i = 0; i < 3; ++i) fleet.Add();
  const int ahead = fleet.Add(1, Micros{3'600'000'000});
  const int behind = fleet.Add();
  fleet.Cut(ahead, 2);
  fleet.Want(ahead, true);
  ASSERT_LT(UntilHeld(fleet, 10s), 6s);
  ASSERT_EQ(fleet.Holder(), ahead);
  fleet.CutStore(behind, true);  // nor does the store tell it
  fleet.Kill(ahead);
  fleet.Kill(0);
  fleet.Restart(0);
  fleet.Cut(behind, 1);
  fleet.Want(behind, true);
  ASSERT_LT(UntilHeld(fleet, 10s), 5s);
  EXPECT_EQ(fleet.Holder(), behind);
  Unbroken(fleet);
}

// An answer to an older proposal does not count for the one after it: the voter's time began earlier.
TEST(Lease, ALateAcceptRenewsNothing) {
  Options options = Quick();
  options.voters = {"a", "b", "c"};
  options.duties = {"health"};
  Peer holder(options, "h", 1, 0s);
  holder.Want("health", true, 0s);
  holder.Tick(125ms, 1'000);
  const auto answer = [&](Micros now, const char* from, Kind kind, const Message& asked) {
    Message message;
    message.kind = kind;
    message.duty = "health";
    message.from = from;
    message.ballot = asked.ballot;
    message.seq = asked.seq;
    holder.Receive(now, message);
  };
  const auto asked = [&] { return holder.TakeOut().at(0).message; };
  const Message prepare = asked();
  ASSERT_EQ(prepare.kind, Kind::kPrepare);
  answer(130ms, "a", Kind::kPromise, prepare);
  EXPECT_TRUE(holder.TakeOut().empty());  // one of three
  answer(130ms, "b", Kind::kPromise, prepare);
  const Message first = asked();
  ASSERT_EQ(first.kind, Kind::kPropose);
  answer(140ms, "a", Kind::kAccept, first);
  answer(140ms, "a", Kind::kAccept, first);  // the same one twice
  EXPECT_FALSE(holder.Holds("health", 140ms));
  answer(140ms, "b", Kind::kAccept, first);
  ASSERT_TRUE(holder.Holds("health", 140ms));
  const Micros until = 140ms + holder.KnownOf("health", 140ms).left;
  EXPECT_EQ(until, 130ms + options.Valid());  // from when it asked, not from when it heard
  holder.Tick(500ms, 1'400);
  const Message second = asked();
  ASSERT_EQ(second.kind, Kind::kPropose);
  answer(510ms, "c", Kind::kAccept, first);
  answer(510ms, "b", Kind::kAccept, first);
  EXPECT_EQ(510ms + holder.KnownOf("health", 510ms).left, until);
  answer(520ms, "b", Kind::kAccept, second);
  answer(520ms, "stranger", Kind::kAccept, second);  // no voter
  EXPECT_EQ(520ms + holder.KnownOf("health", 520ms).left, until);
  answer(530ms, "c", Kind::kAccept, second);
  EXPECT_EQ(530ms + holder.KnownOf("health", 530ms).left, 500ms + options.Valid());
}

// All memory lost and every clock an hour back: the store's token is newer than the fleet's; the first to
// read it gives up, and the next ballot goes above it.
TEST(Lease, AFleetThatForgotAndItsClocksGoAboveTheStoresToken) {
  Fleet fleet(Quick(), 3, 200ms, 5);
  for (int i = 0; i < 3; ++i) fleet.Add(1.0, Micros{3'600'000'000LL * (i == 0 ? 1 : 0)});
  fleet.Want(0, true);  // only the one an hour ahead
  ASSERT_LT(UntilHeld(fleet, 10s), 6s);
  fleet.RunFor(1s);
  const Token ahead = fleet.Store().token;
  const std::uint64_t number = fleet.Store().number;
  for (int i = 0; i < 3; ++i) fleet.Kill(i);
  fleet.Want(0, false);
  fleet.Want(1, true);
  for (int i = 0; i < 3; ++i) fleet.Restart(i);
  fleet.RunFor(10s);
  EXPECT_GT(fleet.Store().token, ahead);
  EXPECT_GT(fleet.Store().number, number);
  EXPECT_FALSE(fleet.Seen().Overlap());
  EXPECT_FALSE(fleet.Seen().Effects());
  EXPECT_TRUE(fleet.Seen().OutOfOrder());  // what clocks alone could not order, the store did
}

TEST(Lease, CandidatesAreTheSameForAllAndSpread) {
  std::vector<std::string> names;
  for (int i = 0; i < 50; ++i) names.push_back("n" + std::to_string(i));
  const auto chosen = Candidates("health", names, 3);
  ASSERT_EQ(chosen.size(), 3u);
  std::reverse(names.begin(), names.end());
  EXPECT_EQ(Candidates("health", names, 3), chosen);
  EXPECT_NE(Candidates("purge", names, 3), chosen);
  EXPECT_EQ(Candidates("health", {"a"}, 3).size(), 1u);
}

TEST(LeaseHistory, NamesWhatIsBroken) {
  History overlap;
  overlap.Held(Token{5}, "a", 0s, 10s);
  overlap.Held(Token{6}, "b", 9s, 12s);
  EXPECT_TRUE(overlap.Broken());
  History order;  // the later span has the lower token
  order.Held(Token{6}, "a", 0s, 1s);
  order.Held(Token{5}, "b", 2s, 3s);
  EXPECT_TRUE(order.Broken());
  History twice;
  twice.Held(Token{5}, "a", 0s, 1s);
  twice.Held(Token{5}, "b", 2s, 3s);
  EXPECT_TRUE(twice.Broken());
  History older;
  older.Effect(Token{6}, 1, true);
  older.Effect(Token{5}, 2, true);
  EXPECT_TRUE(older.Broken());
  History again;
  again.Effect(Token{5}, 1, true);
  again.Effect(Token{5}, 1, true);
  EXPECT_TRUE(again.Broken());
  History good;
  good.Held(Token{5}, "a", 0s, 10s);
  good.Ended(Token{5}, 4s);
  good.Held(Token{6}, "b", 5s, 12s);
  good.Effect(Token{5}, 1, true);
  good.Effect(Token{5}, 2, false);
  good.Effect(Token{6}, 2, true);
  EXPECT_FALSE(good.Broken());
  Fence fence;
  EXPECT_TRUE(fence.Admit("health", Token{4}));
  EXPECT_TRUE(fence.Admit("health", Token{4}));
  EXPECT_FALSE(fence.Admit("health", Token{3}));
  EXPECT_EQ(fence.Highest("health"), Token{4});
}

TEST(LeaseCodec, RoundTripAndRefusals) {
  Message message{Kind::kRefuse, "health", "n1", Token{77}, 9, "n2", 1'500ms, true};
  std::string why;
  const auto any = Decode(Encode(message), "n1", why);
  ASSERT_TRUE(any) << why;
  const Message* const back = std::get_if<Message>(&*any);
  ASSERT_NE(back, nullptr);
  EXPECT_EQ(back->kind, Kind::kRefuse);
  EXPECT_EQ(back->duty, "health");
  EXPECT_EQ(back->from, "n1");
  EXPECT_EQ(back->ballot, Token{77});
  EXPECT_EQ(back->seq, 9u);
  EXPECT_EQ(back->holder, "n2");
  EXPECT_EQ(back->left, Micros{1'500ms});
  EXPECT_TRUE(back->serving);
  message.ballot = Token{Number(kMostToken) + 1};
  EXPECT_FALSE(Decode(Encode(message), "n1", why));
  EXPECT_EQ(why, "ballot: 2^62 at most");
  message.ballot = Token{1};
  message.duty.clear();
  EXPECT_FALSE(Decode(Encode(message), "n1", why));
  EXPECT_FALSE(Decode("\xff\xff", "n1", why));
  FanMessage fan{FanKind::kApply, "n1", Token{7}, {"n1/5.1", 3, 9, 250ms}};
  const auto spread = Decode(Encode(fan), "n1", why);
  ASSERT_TRUE(spread) << why;
  const FanMessage* const read = std::get_if<FanMessage>(&*spread);
  ASSERT_NE(read, nullptr);
  EXPECT_EQ(read->kind, FanKind::kApply);
  EXPECT_EQ(read->token, Token{7});
  EXPECT_EQ(read->job.id, "n1/5.1");
  EXPECT_EQ(read->job.group, 3u);
  EXPECT_EQ(read->job.object, 9u);
  EXPECT_EQ(read->job.age, Micros{250ms});
  fan.job.object.reset();
  EXPECT_FALSE(std::get<FanMessage>(*Decode(Encode(fan), "n1", why)).job.object);
  for (const char* const id : {"", "n1", "n1/", "/5", "n 1/5", "n1/5\n"}) {
    fan.job.id = id;
    EXPECT_FALSE(Decode(Encode(fan), "n1", why)) << id;
  }
  message.duty = "health";
  message.holder = "n\xff";
  EXPECT_FALSE(Decode(Encode(message), "n1", why));
}

RC_GTEST_PROP(LeaseCodec, AnyBytesAreReadOrRefused, ()) {
  const auto bytes = *rc::gen::arbitrary<std::string>();
  std::string why;
  const auto message = Decode(bytes, "n1", why);
  RC_ASSERT(message.has_value() == why.empty());
  if (!message) return;
  if (const auto* lease = std::get_if<Message>(&*message)) RC_ASSERT(lease->ballot <= kMostToken);
  if (const auto* fan = std::get_if<FanMessage>(&*message)) RC_ASSERT(!fan->job.id.empty());
}

// Doormans that spread purges, without a network: what goes out arrives at once unless `lost` says otherwise.
struct Spreaders {
  explicit Spreaders(int count) : applied(count) {
    for (int i = 0; i < count; ++i) {
      names.push_back("m" + std::to_string(i));
      all.emplace_back(names.back(), 1, 60s);
    }
  }
  // So long, in steps; `holder` holds under `token`.
  void Run(Micros span, int holder, Token token) {
    for (const Micros end = now + span; now < end; now += 50ms) {
      for (int i = 0; i < static_cast<int>(all.size()); ++i) {
        const auto held = i == holder ? std::optional(token) : std::nullopt;
        if (down.contains(i)) continue;
        all[i].Tick(now, holder < 0 ? "" : names[holder], held, names);
        Deliver(i, holder, token);
      }
    }
  }
  void Deliver(int from, int holder, Token token) {
    for (const FanOut& out : all[from].TakeOut()) {
      const int to = std::stoi(out.to.substr(1));
      ++sent;
      if (down.contains(to) || lost(from, to)) continue;
      all[to].Receive(now, out.message, to == holder ? std::optional(token) : std::nullopt);
      Deliver(to, holder, token);
    }
    for (const Job& job : all[from].TakeApplied()) applied[from].push_back(job.id);
  }
  Micros now{0};
  std::vector<std::string> names;
  std::vector<Fanout> all;
  std::vector<std::vector<std::string>> applied;
  std::set<int> down;
  std::function<bool(int, int)> lost = [](int, int) { return false; };
  std::size_t sent = 0;
};

TEST(Fanout, APurgeReachesAllOnce) {
  Spreaders five(5);
  ASSERT_TRUE(five.all[3].Begin(five.now, {"", 7, 9, {}}));
  five.Run(50ms, -1, kNoToken);  // nobody holds yet
  for (const auto& one : five.applied) EXPECT_TRUE(one.empty());
  five.Run(5s, 1, Token{5});
  for (int i = 0; i < 5; ++i)
    EXPECT_EQ(five.applied[i].size(), i == 3 ? 0u : 1u) << i;  // there it was at once
  const std::size_t sent = five.sent;
  five.Run(10s, 1, Token{5});
  EXPECT_LE(five.sent - sent, 24u);  // handed on each second and answered, nothing more
  five.Run(60s, 1, Token{5});
  for (const Fanout& one : five.all) EXPECT_EQ(one.Open(), 0u);
}

// The holder dies when two of five have it; one is cut off until later. The next finishes, nobody twice.
TEST(Fanout, TheNextHolderFinishes) {
  Spreaders five(5);
  five.lost = [](int from, int to) { return from == 1 && to >= 3; };
  five.all[0].Begin(five.now, {"", 7, {}, {}});
  five.Run(1s, 1, Token{5});
  EXPECT_EQ(five.applied[2].size(), 1u);
  EXPECT_TRUE(five.applied[3].empty());
  five.down = {1, 4};
  five.lost = [](int, int) { return false; };
  five.Run(3s, 2, Token{6});
  EXPECT_EQ(five.applied[3].size(), 1u);
  five.down = {1};
  five.Run(3s, 2, Token{6});
  EXPECT_EQ(five.applied[4].size(), 1u);
  EXPECT_EQ(five.applied[2].size(), 1u);
}

// A holder that was stopped and goes on under its old token: refused, and told.
TEST(Fanout, AnOlderTokenIsRefused) {
  Spreaders three(3);
  three.all[0].Begin(three.now, {"", 7, {}, {}});
  three.Run(1s, 1, Token{6});
  EXPECT_EQ(three.applied[2].size(), 1u);
  three.all[0].Begin(three.now, {"", 8, {}, {}});
  three.Run(200ms, 0, Token{5});
  EXPECT_EQ(three.applied[2].size(), 1u);
  EXPECT_GE(three.all[2].Refused(), 1u);
  EXPECT_EQ(three.all[0].Newer(), Token{6});
  three.Run(1s, 1, Token{7});
  EXPECT_EQ(three.applied[2].size(), 2u);
}

// A claim in the fleet view is enough to refuse whoever held before.
TEST(Fanout, AClaimRefusesAnOlderHolder) {
  Spreaders two(2);
  two.all[1].Fenced(Token{9});
  two.all[0].Begin(two.now, {"", 7, {}, {}});
  two.Run(1s, 0, Token{8});
  EXPECT_TRUE(two.applied[1].empty());
  EXPECT_EQ(two.all[0].Newer(), Token{9});
}

TEST(Fanout, WhatIsHeldIsBounded) {
  Spreaders two(2);
  std::size_t begun = 0;
  for (int i = 0; i < 1'000; ++i) begun += two.all[0].Begin(two.now, {"", 1, {}, {}});
  EXPECT_EQ(begun, Fanout::kMostJobs);
  for (int i = 0; i < 10'000; ++i) {
    const std::string x = "x" + std::to_string(i);
    two.all[1].Receive(two.now, {FanKind::kHand, x, kNoToken, {x + "/1", 1, {}, {}}}, Token{4});
    two.all[1].Receive(two.now, {FanKind::kApply, "x", Token{4}, {"y/" + std::to_string(i), 1, {}, {}}}, {});
  }
  EXPECT_LE(two.all[1].Open(), Fanout::kMostJobs);
}

// Hundreds of purges among hundreds of members: no round sends more than its share, and all have all in the
// end, sent once to each that answers.
TEST(Fanout, ManyPurgesAreSpreadInBursts) {
  Fanout holder("m0", 1, 60s);
  std::vector<std::string> alive;
  for (int i = 0; i < 300; ++i) alive.push_back("m" + std::to_string(i));
  for (std::size_t i = 0; i < Fanout::kMostJobs; ++i) ASSERT_TRUE(holder.Begin(0s, {"", i, {}, {}}));
  std::size_t acknowledged = 0, most = 0;
  for (Micros now{0}; now < 30s; now += 5ms) {
    holder.Tick(now, "m0", Token{5}, alive);
    const std::vector<FanOut> out = holder.TakeOut();
    most = std::max(most, out.size());
    for (const FanOut& one : out) {
      FanMessage answer{FanKind::kApplied, "stranger", Token{5}, {one.message.job.id, 0, {}, {}}};
      holder.Receive(now, answer, Token{5});  // was sent nothing: counts for nobody
      answer.from = one.to;
      holder.Receive(now, answer, Token{5});
      ++acknowledged;
    }
  }
  EXPECT_EQ(most, Fanout::kMostRound);
  EXPECT_EQ(acknowledged, Fanout::kMostJobs * 299);
}

// Who claims a duty is believed where nothing better is known, if its token is the highest ever claimed; a
// ballot of our own is no holder's token, and a duty that nobody runs here takes no room.
TEST(Lease, AClaimTellsWhoHolds) {
  Options options = Quick();
  options.voters = {"a", "b", "c"};
  options.duties = {"health"};
  Peer member(options, "m", 1, 0s);
  member.Want("health", true, 0s);
  member.Tick(125ms, 9'000);  // a ballot of its own, 9000
  EXPECT_TRUE(member.KnownOf("health", 125ms).holder.empty());
  member.Claims({{"health", "b", Token{500}}, {"other", "b", Token{700}}, {"health", "z", Token{400}}});
  EXPECT_EQ(member.KnownOf("health", 125ms).holder, "b");
  EXPECT_EQ(member.KnownOf("health", 125ms).token, Token{500});
  EXPECT_EQ(member.HighestClaimed("other"), kNoToken);
  member.Claims({{"health", "z", Token{400}}});  // b has let go; an older word says nothing
  EXPECT_TRUE(member.KnownOf("health", 125ms).holder.empty());
  EXPECT_EQ(member.HighestClaimed("health"), Token{500});
  member.Claims({{"health", "z", Token{Number(kMostToken) + 1}}});
  EXPECT_EQ(member.HighestClaimed("health"), Token{500});
}

struct Fault {
  enum Kind {
    kKill,
    kRestart,
    kPause,
    kSplit,
    kOneWay,
    kLink,
    kLeave,
    kStore,
    kSlowStore,
    kSwap,
    kHeal
  } kind;
  int member = 0, other = 0;
  std::uint32_t side = 0;
  int millis = 0;
  int percent = 0;
};

}  // namespace
}  // namespace tinspan::lease

namespace rc {
template <>
struct Arbitrary<tinspan::lease::Fault> {
  static Gen<tinspan::lease::Fault> arbitrary() {
    using tinspan::lease::Fault;
    return gen::build<Fault>(
        gen::set(&Fault::kind, gen::cast<Fault::Kind>(gen::inRange(0, 11))),
        gen::set(&Fault::member, gen::inRange(-10, 7)), gen::set(&Fault::other, gen::inRange(0, 7)),
        gen::set(&Fault::side, gen::arbitrary<std::uint32_t>()),
        gen::set(&Fault::millis, gen::inRange(0, 3000)), gen::set(&Fault::percent, gen::inRange(0, 40)));
  }
};
}  // namespace rc

namespace tinspan::lease {
namespace {

// Whatever the schedule: no two hold at once, tokens rise, what the store took is in order and without gaps;
// and once all is healed somebody holds again. Clocks run exact, or between 0.9 and 1.1 of true time. Either
// all wall clocks are right and any voters forget, or they are off by up to an hour and a majority remembers
// (all memory lost under wrong clocks is the store's fence to catch: the test above).
RC_GTEST_PROP(Lease, EveryScheduleKeepsTheHistory, ()) {
  const std::size_t voters = *rc::gen::element<std::size_t>(3, 5);
  const int count = static_cast<int>(voters) + *rc::gen::inRange(0, 3);
  const bool forgetful = *rc::gen::arbitrary<bool>();
  const auto faults = *rc::gen::container<std::vector<Fault>>(
      *rc::gen::inRange(4, 25), rc::gen::resize(100, rc::gen::arbitrary<Fault>()));
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  // Exact clocks leave no slack that could hide a mistake; others run as far apart as the bound allows.
  Options options = Quick();
  options.drift = *rc::gen::element(0.0, 0.1);
  options.attempt = options.length / *rc::gen::element(8, 2);
  options.start_alone = forgetful;  // under wrong clocks a voter that cannot ask stays silent
  Fleet fleet(options, voters, 200ms, seed);
  for (int i = 0; i < count; ++i) {
    fleet.Add(1 + options.drift * *rc::gen::element(-1.0, -0.5, 0.0, 0.5, 1.0),
              forgetful ? Micros{0} : Micros{*rc::gen::inRange(-3'600, 3'600) * 1'000'000LL});
  }
  for (int i = 0; i < count; ++i) fleet.Want(i, true);
  fleet.RunFor(4s);
  const auto forgot = [&] {  // voters that do not remember now
    std::size_t lost = 0;
    for (std::size_t i = 0; i < voters; ++i) {
      lost += !fleet.Running(static_cast<int>(i)) || !fleet.PeerOf(static_cast<int>(i)).Serving(Fleet::kDuty);
    }
    return lost;
  };
  for (const Fault& fault : faults) {
    fleet.RunFor(Micros{fault.millis * 1000LL / 2});
    // More than half hit whoever holds.
    const int member = fault.member < 0 ? std::max(fleet.Holder(), 0) : fault.member % count;
    const int other = fault.other % count;
    switch (fault.kind) {
      case Fault::kKill:
        if (fleet.Running(member) && (forgetful || forgot() < (voters - 1) / 2)) fleet.Kill(member);
        break;
      case Fault::kRestart:
        if (!fleet.Running(member)) fleet.Restart(member);
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
      case Fault::kLink:
        fleet.SetLink({fault.percent / 100.0, fault.percent / 80.0, Micros{100},
                       Micros{100 + (fault.side % (fault.millis + 1)) * 1'000}});
        break;
      case Fault::kLeave:
        fleet.Leave(member);
        break;
      case Fault::kStore:
        fleet.CutStore(member, true);
        break;
      case Fault::kSlowStore:
        fleet.SlowStore(member, Micros{fault.millis * 1000LL});
        break;
      case Fault::kSwap:
        fleet.Want(member, false);
        fleet.Want(other, true);
        break;
      case Fault::kHeal:
        fleet.Heal();
        break;
    }
  }
  fleet.RunFor(3s);  // the longest pause is over
  fleet.Heal();
  fleet.SetLink({});
  for (int i = 0; i < count; ++i) {
    if (!fleet.Running(i)) fleet.Restart(i);
    fleet.Want(i, true);
  }
  fleet.RunFor(6s);
  const std::uint64_t number = fleet.Store().number;
  fleet.RunFor(6s);
  const auto broken = fleet.Seen().Broken();
  if (broken) RC_LOG(*broken);
  RC_ASSERT(!broken);
  RC_ASSERT(fleet.Holder() >= 0);
  RC_ASSERT(fleet.Store().number > number);
  RC_CLASSIFY(fleet.Seen().Grants() > 2);
  RC_CLASSIFY(fleet.Seen().Refused() > 0);
}

}  // namespace
}  // namespace tinspan::lease
