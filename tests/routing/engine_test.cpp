// The mechanism step by step, the rules at their edges, and each defence, by scripted events.
#include <stdexcept>

#include "routing/router_fixture.hpp"

namespace tinspan {
namespace {

bool IsParent(ServerId id) { return id == ServerId{11} || id == ServerId{12}; }

EndpointInfo Changed(EndpointInfo member, Availability availability, Micros started = Micros{0}) {
  member.availability = availability;
  member.started_at = started;
  return member;
}

// ---- Mechanism ----

TEST(Mechanism, AllRoutersHashAnObjectToTheSameCacheAndParent) {
  Script a, b;
  b.settings.instance_index = 1;
  std::reverse(b.members.begin(), b.members.end());
  a.Start();
  b.Start();
  for (std::uint64_t object = 1; object <= 40; ++object) {
    const SendAttempt one = a.Serve(object), two = b.Serve(object);
    EXPECT_EQ(one.server, two.server);
    EXPECT_EQ(one.source, two.source);
    EXPECT_TRUE(IsParent(one.source));
  }
}

TEST(Mechanism, FewObjectsMoveWhenACacheLeaves) {
  Script whole, less;
  less.members.erase(less.members.begin());
  whole.Start();
  less.Start();
  for (std::uint64_t object = 1; object <= 60; ++object) {
    const SendAttempt before = whole.Serve(object), after = less.Serve(object);
    if (before.server != ServerId{1}) {
      EXPECT_EQ(before.server, after.server);
    }
  }
}

// Home is filled with counts elsewhere: drain it, ask (the next serves and is counted), and bring it back.
SendAttempt AskWithCountsAtASibling(Script& script, std::uint64_t object, Micros later = 1s, int times = 1) {
  const ServerId home = script.Serve(object).server;
  script.Wait(9s);  // beyond k * tau: the home's own count has slid out
  const EndpointInfo member = Script::Cache(static_cast<std::uint64_t>(home));
  script.Tell({Changed(member, Availability::kDraining)});
  for (int i = 0; i < times; ++i) script.Serve(object);
  script.Tell({member});
  script.Wait(later);
  const SendAttempt sent = script.Ask(object);
  EXPECT_EQ(sent.server, home);
  return sent;
}

TEST(Mechanism, TopSiblingIsNamedWhereHomeCountsZero) {
  Script script;
  script.Start();
  EXPECT_FALSE(IsParent(AskWithCountsAtASibling(script, 5).source));
}

TEST(Mechanism, CountsSlideOutAfterKTau) {
  Script script;
  script.Start();
  EXPECT_TRUE(IsParent(AskWithCountsAtASibling(script, 5, 9s).source));
}

TEST(Mechanism, SiblingsOffNamesTheParent) {
  Script script;
  script.settings.sibling_scope = SiblingScope::kOff;
  script.Start();
  EXPECT_TRUE(IsParent(AskWithCountsAtASibling(script, 5).source));
}

TEST(Mechanism, AfterLacksItTheNextAttemptGoesUpward) {
  Script script;
  script.Start();
  const SendAttempt first = AskWithCountsAtASibling(script, 5);
  script.Answer(first.id, 0, Outcome::kMiss, FillNote::kSourceMiss);
  const SendAttempt second = script.OnlyAttempt();
  EXPECT_EQ(second.id, first.id);
  EXPECT_EQ(second.server, first.server);
  EXPECT_TRUE(IsParent(second.source));
}

TEST(Mechanism, PfreqThatFallsUnderEpsilonStopsNamingSiblings) {
  Script script;
  script.Start();
  int named = 0;
  for (std::uint64_t object = 100; object < 110; ++object) {
    const SendAttempt sent = AskWithCountsAtASibling(script, object);
    if (IsParent(sent.source)) {
      script.Answer(sent.id, 0, Outcome::kServed, FillNote::kFilled);
      continue;
    }
    ++named;
    script.Answer(sent.id, 0, Outcome::kMiss, FillNote::kSourceMiss);
    script.Answer(sent.id, 1, Outcome::kServed, FillNote::kFilled);
  }
  EXPECT_GE(named, 2);  // one half, then 0.5 / 2, then 0.5 / 3 is under epsilon
  EXPECT_LE(named, 6);  // at each of the summary values that the slide makes of one count
}

TEST(Mechanism, MovedOnCacheIsFilledFromTheParent) {
  Script script;
  script.Start();
  const SendAttempt first = script.Ask(7);
  script.Answer(first.id, 0, Outcome::kConnectFailed);
  const SendAttempt second = script.OnlyAttempt();
  EXPECT_NE(second.server, first.server);
  EXPECT_TRUE(IsParent(second.source));
}

TEST(Mechanism, WithoutParentsTheOriginIsSource) {
  Script script;
  script.members.erase(script.members.begin() + 3, script.members.begin() + 5);
  script.Start();
  EXPECT_EQ(script.Ask(7).source, ServerId{21});
}

TEST(Mechanism, ACrowdOfOwnRequestsMovesOn) {
  Script script;
  script.Start();
  const ServerId home = script.Ask(7).server;
  bool moved = false;
  for (int i = 0; i < 20 && !moved; ++i) moved = script.Ask(7).server != home;
  EXPECT_TRUE(moved);
}

// Guards against a client's train of parts clumping at one cache (incident ie147f1).
TEST(Mechanism, PartsSpreadOverCachesAndShareAParent) {
  Script script;
  script.settings.classes[0].has_parts = true;
  script.Start();
  std::vector<ServerId> caches, parents;
  for (std::uint32_t part = 0; part < 12; ++part) {
    RequestEvent event = script.Request(7);
    event.part = part;
    const SendAttempt sent = script.Ask(event);
    script.Answer(event.id, 0, Outcome::kServed, FillNote::kHit);
    caches.push_back(sent.server);
    parents.push_back(sent.source);
  }
  EXPECT_NE(std::count(caches.begin(), caches.end(), caches[0]), 12);
  EXPECT_EQ(std::count(parents.begin(), parents.end(), parents[0]), 12);
}

// Guards against blaming parents for a slow origin: likely fills that stay out while parents answer.
TEST(Room, ALiveParentThatIsLateSpeaksAgainstTheOrigin) {
  Script script;
  script.settings.can_cancel = false;
  script.Start();
  EXPECT_TRUE(script.LateFillsSpareTheOrigin());
}

TEST(Mechanism, AskedAgainIsKeptAtAHigherRank) {
  Script script;
  script.Start();
  const int once = script.Serve(7).cache_rank;
  EXPECT_GT(once, 0);
  EXPECT_GT(script.Serve(7).cache_rank, once);
}

TEST(Mechanism, WritesAreNeverKeptAndRunAtTheOrigin) {
  Script script;
  script.settings.classes[0].is_write = true;
  script.Start();
  const SendAttempt sent = script.Ask(7);
  EXPECT_EQ(sent.cache_rank, 0);
  EXPECT_EQ(sent.source, ServerId{21});
}

// ---- Rules ----

TEST(Answers, AHangIsAnsweredBeforeTheDeadline) {
  Script script;
  script.settings.can_cancel = false;
  script.Start();
  const RequestEvent event = script.Request(7);
  script.Ask(event);
  script.Wait(4990ms);
  EXPECT_TRUE(script.All<Reject>().empty() && script.All<Fail>().empty());
  script.Wait(10ms);
  EXPECT_EQ(script.All<Reject>().size() + script.All<Fail>().size(), 1u);
  script.Answer(event.id, 0, Outcome::kTimedOut);
  EXPECT_TRUE(script.actions.empty());
}

TEST(Answers, OutcomeAndDeadlineAtOneInstantGiveOneAnswer) {
  Script script;
  script.settings.can_cancel = false;
  script.Start();
  const SendAttempt sent = script.Ask(7);
  script.now = sent.expires_at;
  script.Answer(sent.id, 0, Outcome::kTimedOut);
  EXPECT_EQ(script.All<Reject>().size() + script.All<Fail>().size(), 1u);
  script.Wait(10ms);
  EXPECT_EQ(script.All<Reject>().size() + script.All<Fail>().size(), 0u);
}

TEST(Answers, TheRequestsOwnTimeRulesNotTheClassFigure) {
  Script script;
  script.Start();
  RequestEvent event = script.Request(7);
  event.time_left = 700ms;
  EXPECT_LE(script.Ask(event).expires_at, script.now + 700ms);
}

TEST(Answers, NothingIsSentAfterAHangup) {
  Script script;
  script.Start();
  const SendAttempt sent = script.Ask(7);
  script.Pass(ClientDisconnectedEvent{sent.id});
  script.Answer(sent.id, 0, Outcome::kConnectFailed);
  script.Wait(6s);
  EXPECT_TRUE(script.All<SendAttempt>().empty());
  EXPECT_TRUE(script.All<Fail>().empty() && script.All<Reject>().empty());
}

TEST(Effects, OnceIsSentAgainOnlyAfterProofThatItDidNotRun) {
  for (const Outcome outcome : {Outcome::kError, Outcome::kReset, Outcome::kTimedOut, Outcome::kCancelled}) {
    Script script;
    script.settings.classes[0].effect = Effect::kNonIdempotent;
    script.Start();
    const SendAttempt sent = script.Ask(7);
    script.Answer(sent.id, 0, outcome);
    EXPECT_TRUE(script.All<SendAttempt>().empty());
    EXPECT_EQ(script.All<Fail>().size(), 1u);
  }
  for (const Outcome outcome : {Outcome::kRejected, Outcome::kConnectFailed, Outcome::kMiss}) {
    Script script;
    script.settings.classes[0].effect = Effect::kNonIdempotent;
    script.Start();
    const SendAttempt sent = script.Ask(7);
    script.Answer(sent.id, 0, outcome);
    EXPECT_EQ(script.All<SendAttempt>().size(), 1u);
  }
}

TEST(Effects, OnceThatMayHaveRunFailsAndIsNotRefused) {
  Script script;
  script.settings.classes[0].effect = Effect::kNonIdempotent;
  script.Start();
  script.Ask(7);
  script.Wait(6s);
  EXPECT_EQ(script.All<Fail>().size(), 1u);
  EXPECT_TRUE(script.All<Reject>().empty());
}

TEST(Effects, KeyedStaysInItsCellAndWindow) {
  Script script;
  script.settings.classes[0].effect = Effect::kIdempotencyKey;
  script.settings.classes[0].idempotency_scope = IdempotencyScope::kCell;
  script.settings.classes[0].idempotency_window = 1s;
  for (int i = 0; i < 3; ++i) script.members[i].cell = i == 0 ? 0 : 1;
  for (std::uint64_t object = 1; object < 20; ++object) {
    Script one = Script();
    one.settings = script.settings;
    one.members = script.members;
    one.Start();
    const SendAttempt first = one.Ask(object);
    one.now += object % 2 ? 999ms : 1000ms;
    one.Answer(first.id, 0, Outcome::kReset);
    const auto again = one.All<SendAttempt>();
    if (object % 2 == 0 || first.server == ServerId{1}) {
      // Outside the window, or the only cache of its cell (which may be asked again).
      for (const SendAttempt& next : again) EXPECT_EQ(next.server, first.server);
      EXPECT_TRUE(object % 2 == 1 || again.empty());
    } else {
      ASSERT_EQ(again.size(), 1u);
      EXPECT_NE(again[0].server, ServerId{1});
    }
    EXPECT_EQ(one.All<Fail>().size(), again.empty() ? 1u : 0u);
  }
}

TEST(Effects, WithoutDuplicatesTheCancelledOutcomeIsAwaited) {
  Script script;
  script.Start();
  const SendAttempt sent = script.Ask(7);
  script.Wait(1s);
  ASSERT_EQ(script.All<CancelAttempt>().size(), 1u);
  EXPECT_TRUE(script.All<SendAttempt>().empty());
  script.Answer(sent.id, 0, Outcome::kCancelled);
  EXPECT_NE(script.OnlyAttempt().server, sent.server);
}

TEST(Drains, ADrainingCacheGetsNothingNewNotEvenAsSourceOrTrial) {
  Script script;
  script.Start();
  std::vector<EndpointInfo> drained;
  for (const EndpointInfo& member : script.members) {
    if (member.id == ServerId{1} || member.id == ServerId{11}) {
      drained.push_back(Changed(member, Availability::kDraining));
    }
  }
  script.Tell(drained);
  for (std::uint64_t object = 1; object < 60; ++object) {
    const SendAttempt sent = script.Serve(object);
    EXPECT_NE(sent.server, ServerId{1});
    EXPECT_NE(sent.source, ServerId{11});
  }
}

TEST(Drains, AbsentFromAFullListIsGone) {
  Script script;
  script.Start();
  script.Tell({script.members.begin() + 1, script.members.end()}, EndpointsEvent::Kind::kFull);
  for (std::uint64_t object = 1; object < 40; ++object) {
    EXPECT_NE(script.Serve(object).server, ServerId{1});
  }
}

TEST(Drains, ABrokenListCallKeepsTheOldList) {
  Script script;
  script.settings.discovery = Discovery::kPolled;
  script.Start();
  script.Pass(EndpointsEvent{.kind = EndpointsEvent::Kind::kWatchBroken});
  EXPECT_TRUE(script.All<Subscribe>().empty());
  EXPECT_NE(script.Serve(7).server, ServerId{});
  script.Wait(4s);  // some connect time-outs later it asks again
  EXPECT_EQ(script.All<Subscribe>().size(), 1u);
}

// Sending time sent to a server within `span` by a router that could send `rate` requests a second.
double SentTo(Script& script, ServerId id, Micros span, bool as_source) {
  double sent = 0;
  for (Micros t{0}; t < span; t += 5ms) {
    const SendAttempt one = script.Serve(static_cast<std::uint64_t>(t.count()) + 1000, FillNote::kFilled);
    if (one.server == id || (as_source && one.source == id)) sent += 0.05;
    script.Wait(5ms);
  }
  return sent;
}

TEST(Cold, ARestartedCacheIsHeldToItsBudget) {
  Script script;
  script.settings.weight_meaning = WeightMeaning::kSize;
  for (EndpointInfo& member : script.members) member.weight = 10;
  script.Start();
  EXPECT_GT(SentTo(script, ServerId{1}, 2s, true), 5.0);
  script.Tell({Changed(script.members[0], Availability::kUp, script.now)});
  const double sent = SentTo(script, ServerId{1}, 2s, true);
  // Of 10 transfers a second, a fifth rising in 20 s, times 2, for 2 s: never more than that.
  EXPECT_LT(sent, 2 * 0.3 * 10 * 2);
  EXPECT_GT(sent, 1.0);
}

TEST(Cold, FillsAtARestartedParentAreHeldToItsBudget) {
  Script script;
  script.settings.weight_meaning = WeightMeaning::kSize;
  for (EndpointInfo& member : script.members) member.weight = 10;
  script.Start();
  EXPECT_GT(SentTo(script, ServerId{11}, 2s, true), 5.0);
  script.Tell({Changed(script.members[3], Availability::kUp, script.now)});
  const double sent = SentTo(script, ServerId{11}, 2s, true);
  EXPECT_LT(sent, 2 * 0.2 * 10 / 2 * 2);  // half of it: two routers share the parent
  EXPECT_GT(sent, 0.3);
}

// Guards against many routers that each send a cold server one first request: summed over all, within a
// tipping time, they stay under what would push it over. As a cache, and as a parent filled from.
TEST(Cold, TheFirstRequestsOfManyRoutersAreHeldToOneBudget) {
  constexpr std::uint32_t kRouters = 60;
  for (const bool parent : {false, true}) {
    double sum = 0;
    for (std::uint32_t number = 0; number < kRouters; ++number) {
      Script script;
      script.settings.instance_count = kRouters;
      script.settings.zone_instance_counts = {kRouters, kRouters};
      script.settings.instance_index = number;
      script.settings.weight_meaning = WeightMeaning::kSize;
      for (EndpointInfo& member : script.members) member.weight = 20;
      script.Start();
      const std::size_t place = parent ? 3 : 0;
      script.Tell({Changed(script.members[place], Availability::kUp, script.now - 300ms)});
      for (Micros t{0}; t < script.settings.overload_window; t += 100ms) {
        script.Pass(script.Request(static_cast<std::uint64_t>(t.count()) + 77 * number + 1000, 300));
        for (const SendAttempt& one : script.All<SendAttempt>()) {
          const ServerId cold = script.members[place].id;
          if (one.server == cold || one.source == cold) sum += 0.3;
          script.Answer(one.id, 0, Outcome::kServed, FillNote::kFilled);
        }
        script.Wait(100ms);
      }
    }
    const double share = parent ? 0.1 : 0.2;                     // the fixture's cold shares
    EXPECT_LT(sum, 2 * share * 20 * 2) << "parent: " << parent;  // multiple x present capacity x span
    EXPECT_GT(sum, 0.0);
  }
}

TEST(Cold, ABurstAtTheStartCounts) {
  Script script;
  script.settings.weight_meaning = WeightMeaning::kSize;
  for (EndpointInfo& member : script.members) member.weight = 10;
  script.Start();
  script.Serve(1);
  script.Tell({Changed(script.members[0], Availability::kUp, script.now)});
  script.Wait(100ms);
  int sent = 0;
  for (std::uint64_t object = 1; object < 300; ++object) {
    script.Pass(script.Request(object, 400));
    for (const SendAttempt& one : script.All<SendAttempt>()) sent += one.server == ServerId{1};
  }
  EXPECT_LE(sent, 3);  // 0.1 s of two transfers a second is less than one request of 0.4 s
}

TEST(Purges, NoCopyOlderThanThePurgeWillDo) {
  Script script;
  script.Start();
  script.Pass(PurgeEvent{.age = 85ms, .object = ObjectId{7}});
  script.Wait(100ms);
  SendAttempt sent = script.Serve(7);
  EXPECT_GT(sent.max_age, Micros{0});
  EXPECT_LT(sent.max_age, 185ms);
  EXPECT_FALSE(sent.join_fill);
  EXPECT_EQ(script.Serve(8).max_age, Micros{0});
  script.Wait(5800ms);
  sent = script.Serve(7);
  EXPECT_GT(sent.max_age, Micros{0});
  EXPECT_LT(sent.max_age, 5985ms);
  script.Wait(300ms);
  EXPECT_EQ(script.Serve(7).max_age, Micros{0});
}

TEST(Purges, AGroupIsHeededAndAgesAreCutAnewForEachAttempt) {
  Script script;
  script.Start();
  script.Pass(PurgeEvent{.age = 0us, .group = GroupId{3}});
  RequestEvent event = script.Request(7);
  event.group = GroupId{3};
  const SendAttempt first = script.Ask(event);
  EXPECT_GT(first.max_age, Micros{0});
  EXPECT_LT(first.max_age, 1ms);
  script.now += 200ms;
  script.Answer(first.id, 0, Outcome::kConnectFailed);
  const SendAttempt second = script.OnlyAttempt();
  EXPECT_GT(second.max_age, 100ms);
  EXPECT_LT(second.max_age, 200ms);
}

TEST(Purges, TheLaterOfTwoPurgesRules) {
  Script script;
  script.Start();
  script.Pass(PurgeEvent{.age = 100ms, .object = ObjectId{7}});
  script.Pass(PurgeEvent{.age = 3s, .object = ObjectId{7}});
  EXPECT_LT(script.Serve(7).max_age, 100ms);
}

// ---- Defences ----

// Guards against overload: what cannot be answered in time is refused at once, and room comes back.
TEST(Room, SlowAnswersNarrowItAndWhatDoesNotFitIsRefusedAtOnce) {
  Script script;
  script.Start();
  const auto held = [&script](std::uint64_t from) {
    std::vector<RequestId> sent;
    for (std::uint64_t object = from; object < from + 300; ++object) {
      script.Pass(script.Request(object));
      for (const SendAttempt& one : script.All<SendAttempt>()) sent.push_back(one.id);
      EXPECT_EQ(script.All<SendAttempt>().size() + script.All<Reject>().size(), 1u);
    }
    return sent;
  };
  const auto first = held(1);
  EXPECT_LT(first.size(), 300u);
  for (const RequestId id : first) script.Answer(id, 0, Outcome::kServed, FillNote::kHit, 480ms);
  const auto second = held(1);
  EXPECT_LT(second.size(), first.size());
  for (const RequestId id : second) script.Answer(id, 0, Outcome::kServed, FillNote::kHit, 60ms);
  for (int i = 0; i < 20; ++i) {
    for (const RequestId id : held(1)) script.Answer(id, 0, Outcome::kServed, FillNote::kHit, 60ms);
  }
  EXPECT_GT(held(1).size(), second.size());
}

// Guards against a jam seen only by its survivors: attempts cut off late narrow the room (i150e8d), but only
// where fills come late as well; answers lost on the way must not choke what is in good order.
TEST(Room, AttemptsCutOffLateNarrowItWhereFillsAreLate) {
  const auto held_after = [](Micros fill, Micros cut_off) {
    Script script;
    script.Start();
    for (std::uint64_t object = 1000; object < 1006; ++object) {
      script.Answer(script.Ask(object).id, 0, Outcome::kServed, FillNote::kFilled, fill);
    }
    std::vector<RequestId> sent;
    const auto fill_up = [&] {
      sent.clear();
      for (std::uint64_t object = 1; object < 300; ++object) {
        script.Pass(script.Request(object));
        for (const SendAttempt& one : script.All<SendAttempt>()) sent.push_back(one.id);
      }
    };
    fill_up();
    for (const RequestId id : std::vector<RequestId>(sent)) {
      script.Pass(ClientDisconnectedEvent{id});
      script.Answer(id, 0, Outcome::kCancelled, FillNote::kNone, cut_off);
    }
    script.Wait(20s);
    fill_up();
    return sent.size();
  };
  EXPECT_LT(held_after(900ms, 900ms), held_after(900ms, 100ms));
  EXPECT_EQ(held_after(60ms, 900ms), held_after(60ms, 100ms));
}

// A location with many parents: their rooms add up to far more than its link in carries, and fills that
// crawl hold every place for fills. Guards against scans, flushes and cold caches alike.
struct ManyParents : Script {
  ManyParents() {
    for (std::uint64_t id = 100; id < 140; ++id) {
      members.push_back({.id = ServerId{id}, .kind = kParentKind, .zone = ZoneId{1}});
    }
    Start();
    for (std::uint64_t object = 1000; object < 1020; ++object) {  // objects not seen before are filled
      Answer(Ask(object).id, 0, Outcome::kServed, FillNote::kFilled, 60ms);
    }
  }
  std::vector<RequestId> FillUp(std::uint64_t from = 1) {
    std::vector<RequestId> sent;
    for (std::uint64_t object = from; object < from + 300; ++object) {
      Pass(Request(object));
      for (const SendAttempt& one : All<SendAttempt>()) sent.push_back(one.id);
    }
    return sent;
  }
};

TEST(LinkIn, BoundsTheFillsOfManyParents) {
  ManyParents script;
  const std::size_t first = script.FillUp().size();
  EXPECT_GT(first, 0u);
  EXPECT_LT(first, 30u);  // three caches or forty parents alone would take more
}

TEST(LinkIn, IsNarrowedByCachesThatHaveNoPlaceForAFill) {
  ManyParents script;
  const std::vector<RequestId> first = script.FillUp();
  for (const RequestId id : first) {
    script.Pass(ClientDisconnectedEvent{id});
    script.Answer(id, 0, Outcome::kRejected, FillNote::kNoFillSlot);
  }
  EXPECT_LT(script.FillUp(5000).size(), first.size());
}

TEST(LinkIn, IsNotBlamedForFillsThatWaitedForTheirSource) {
  const auto held_after = [](Micros wait) {
    ManyParents script;
    for (const RequestId id : script.FillUp()) {
      script.Pass(OutcomeEvent{.id = id,
                               .outcome = Outcome::kServed,
                               .elapsed = 600ms,
                               .is_finished = true,
                               .note = FillNote::kFilled,
                               .fill_wait = wait});
    }
    return script.FillUp().size();
  };
  EXPECT_GT(held_after(500ms), held_after(20ms));
}

// Guards against a jam that feeds on itself: fills left alone run on and still hold the link in.
TEST(LinkIn, FillsCutOffAreCountedForAWhile) {
  ManyParents script;
  for (std::uint64_t object = 2000; object < 2010; ++object) {  // fills are late: a jam, not lost answers
    script.Answer(script.Ask(object).id, 0, Outcome::kServed, FillNote::kFilled, 900ms);
  }
  const std::vector<RequestId> first = script.FillUp();
  for (const RequestId id : first) {
    script.Pass(ClientDisconnectedEvent{id});
    script.Answer(id, 0, Outcome::kCancelled, FillNote::kNone, 100ms);
  }
  const std::vector<RequestId> second = script.FillUp(5000);
  EXPECT_LT(second.size(), first.size());
  for (const RequestId id : second) {
    script.Pass(ClientDisconnectedEvent{id});
    script.Answer(id, 0, Outcome::kNotSent);
  }
  script.Wait(20s);
  EXPECT_GT(script.FillUp(9000).size(), second.size());
}

// Guards against clients that withdraw by the hundred: what they leave running is counted, but where it
// closed the link in, no fill would ever tell that it is free again.
TEST(LinkIn, FillsThatClientsWithdrawNeverCloseIt) {
  ManyParents script;
  for (std::uint64_t object = 2000; object < 2010; ++object) {
    script.Answer(script.Ask(object).id, 0, Outcome::kServed, FillNote::kFilled, 900ms);
  }
  for (std::uint64_t wave = 1; wave <= 50; ++wave) {
    for (const RequestId id : script.FillUp(10'000 * wave)) {
      script.Pass(ClientDisconnectedEvent{id});
      script.Answer(id, 0, Outcome::kCancelled, FillNote::kNone, 5ms);
    }
  }
  EXPECT_GE(script.FillUp(9'000'000).size(), 2u);
}

// Guards against a client's figure that is out of all proportion: others would be measured by it.
TEST(Room, AnAbsurdSizeIsNoMeasureForOthers) {
  const auto taken = [](double size_kb) {
    Script script;
    script.Start();
    for (std::uint64_t object = 1; object < 100; ++object) script.Serve(object);
    for (std::uint64_t object = 1; object < 20; ++object) {
      const RequestEvent event = script.Request(object, size_kb);
      script.Pass(event);
      script.Pass(ClientDisconnectedEvent{event.id});
      script.Answer(event.id, 0, Outcome::kCancelled);
    }
    int sent = 0;
    for (std::uint64_t object = 1; object < 100; ++object) {
      script.Pass(script.Request(object));
      sent += script.All<SendAttempt>().empty() ? 0 : 1;
    }
    return sent;
  };
  EXPECT_LT(taken(50), 99);
  EXPECT_EQ(taken(50), taken(1e6));
}

// Guards against spending scarce room on what earns little for its sending time.
TEST(Room, LittleWorthForItsSendingTimeIsTurnedAwayFirst) {
  Script script;
  script.Start();
  for (std::uint64_t object = 1; object < 200; ++object) {  // what requests are usually like
    script.Answer(script.Ask(script.Request(object, 400)).id, 0, Outcome::kServed, FillNote::kHit, 60ms);
  }
  for (std::uint64_t object = 1; object < 100; ++object) script.Pass(script.Request(object, 400));
  script.Pass(script.Request(7, 2000));
  EXPECT_EQ(script.All<Reject>().size(), 1u);
  int small = 0;
  for (std::uint64_t object = 1; object < 10; ++object) {
    script.Pass(script.Request(object, 5));
    small += static_cast<int>(script.All<SendAttempt>().size());
  }
  EXPECT_GT(small, 0);
}

TEST(Health, AFailingCacheIsLeftAloneButForTrials) {
  Script script;
  script.Start();
  int sent = 0;
  for (std::uint64_t object = 1; object < 400; ++object) {
    const SendAttempt one = script.Ask(object);
    if (one.server == ServerId{1}) {
      ++sent;
      script.Answer(one.id, 0, Outcome::kConnectFailed);
      if (!script.All<SendAttempt>().empty()) {
        EXPECT_NE(script.OnlyAttempt().server, ServerId{1});
        script.Answer(one.id, 1, Outcome::kServed, FillNote::kHit);
      }
    } else {
      script.Answer(one.id, 0, Outcome::kServed, FillNote::kHit);
    }
    script.Wait(10ms);
  }
  EXPECT_GE(sent, 3);
  EXPECT_LE(sent, 10);
}

// Guards against clients that ask for what nobody can answer: their errors shut out every server in turn.
TEST(Health, AnErrorThatTwoServersGiveIsTheRequestsFault) {
  Script script;
  script.Start();
  for (std::uint64_t object = 1; object <= 40; ++object) {
    const SendAttempt first = script.Ask(object);
    script.Answer(first.id, 0, Outcome::kError);
    const SendAttempt second = script.OnlyAttempt();
    EXPECT_NE(second.server, first.server);
    script.Answer(first.id, 1, Outcome::kError);
    EXPECT_TRUE(script.All<SendAttempt>().empty());  // no third is asked
    EXPECT_EQ(script.All<Reject>().size(), 1u);
    for (std::uint64_t good = 1; good <= 4; ++good) script.Serve(1000 + 4 * object + good);
  }
  std::vector<int> sent(4, 0);
  for (std::uint64_t object = 2000; object < 2030; ++object)
    ++sent[static_cast<std::size_t>(script.Serve(object).server)];
  for (int cache = 1; cache <= 3; ++cache) EXPECT_GT(sent[cache], 3);
}

// An error that another server makes good is its server's, and so is one without a second opinion.
TEST(Health, AnErrorThatAnotherServerMakesGoodIsBlamed) {
  Script script;
  script.Start();
  const auto of_first = [&] {
    int count = 0;
    for (std::uint64_t object = 5000; object < 5030; ++object) {
      count += script.Serve(object).server == ServerId{1} ? 1 : 0;
    }
    return count;
  };
  for (std::uint64_t object = 1; object <= 60; ++object) {
    const SendAttempt sent = script.Ask(object);
    const bool bad = sent.server == ServerId{1};
    if (bad) script.Answer(sent.id, 0, Outcome::kError);
    script.Answer(sent.id, bad ? 1 : 0, Outcome::kServed, FillNote::kHit);
  }
  EXPECT_EQ(of_first(), 0);
}

// Guards against shutting a server out for one connection that broke with all that was open on it.
TEST(Health, OneBrokenConnectionIsOneSign) {
  Script script;
  script.Start();
  std::vector<SendAttempt> open;
  for (std::uint64_t object = 1; open.size() < 5 && object < 200; ++object) {
    const SendAttempt sent = script.Ask(object);
    if (sent.server == ServerId{1}) {
      open.push_back(sent);
    } else {
      script.Answer(sent.id, 0, Outcome::kServed, FillNote::kHit);
    }
  }
  ASSERT_EQ(open.size(), 5u);
  script.now += 10ms;
  for (const SendAttempt& one : open) {
    script.Answer(one.id, 0, Outcome::kReset);
    script.Pass(ClientDisconnectedEvent{one.id});  // the further attempt is no part of this
    script.Answer(one.id, 1, Outcome::kCancelled);
  }
  int again = 0;
  for (std::uint64_t object = 300; object < 330; ++object) {
    again += script.Serve(object).server == ServerId{1} ? 1 : 0;
  }
  EXPECT_GT(again, 3);
}

TEST(Health, ASilentCacheIsSuspectedFromSilenceAlone) {
  Script script;
  script.settings.can_hedge = true;
  script.Start();
  const SendAttempt sent = script.Ask(7);
  script.Wait(410ms);
  ASSERT_EQ(script.All<CancelAttempt>().size(), 1u);
  EXPECT_NE(script.OnlyAttempt().server, sent.server);
}

// Guards against filling an object twice where its answer was lost: the copy is at the cache that was asked.
// One that goes on breaking off is moved on from once it is suspected.
TEST(Effects, AfterALostAnswerTheSameCacheIsAskedAgain) {
  Script script;
  script.Start();
  const SendAttempt first = script.Ask(7);
  script.Answer(first.id, 0, Outcome::kReset);
  EXPECT_EQ(script.OnlyAttempt().server, first.server);
  std::uint32_t attempt = 1;
  while (!script.All<SendAttempt>().empty() && script.OnlyAttempt().server == first.server && attempt < 9) {
    script.Answer(first.id, attempt++, Outcome::kReset);
  }
  EXPECT_LT(attempt, 5u);
}

// Guards against shutting servers out for what most of them show: answers lost on the way, a jam.
TEST(Health, WhatMostShowAlikeShutsFewerOut) {
  const auto kept = [](bool alike) {
    Script script;
    script.Start();
    int count = 0;
    for (std::uint64_t object = 1; object < 900; ++object) {
      const SendAttempt one = script.Ask(object);
      count += one.server == ServerId{1} ? 1 : 0;
      const bool bad = (alike || one.server == ServerId{1}) && object % 10 < 3;
      script.Answer(one.id, 0, bad ? Outcome::kError : Outcome::kServed,
                    bad ? FillNote::kNone : FillNote::kHit);
      for (const SendAttempt& again : script.All<SendAttempt>()) {
        script.Answer(again.id, 1, Outcome::kServed, FillNote::kHit);
      }
      script.Wait(10ms);
    }
    return count;
  };
  EXPECT_GT(kept(true), 300);  // of some 300 requests hashed to it and those moved to it
}

TEST(Health, ABadSourceDoesNotBlameTheCache) {
  Script script;
  script.Start();
  const ServerId home = script.Serve(7).server;
  int bad_fills = 0;
  for (int i = 0; i < 12; ++i) {
    const SendAttempt one = script.Ask(7);
    EXPECT_EQ(one.server, home);
    const bool bad = one.source == ServerId{12};
    bad_fills += bad;
    script.Answer(one.id, 0, bad ? Outcome::kRejected : Outcome::kServed,
                  bad ? FillNote::kSourceUnreachable : FillNote::kFilled);
    if (bad) script.Answer(one.id, 1, Outcome::kServed, FillNote::kFilled);
    script.Wait(20ms);
  }
  EXPECT_GE(bad_fills, 2);
  EXPECT_LE(bad_fills, 4);  // then the parent is suspected and the next one fills
}

// Guards against pressing a failing origin further, which is what keeps it down.
TEST(Origin, InTroubleItIsSparedButForTrials) {
  Script script;
  script.settings.classes[0].freshness_lifetime = 10s;
  script.settings.classes[0].stale_grace = 30s;
  script.Start();
  int pressed = 0, spared = 0;
  for (std::uint64_t object = 1; object < 100; ++object) {
    const SendAttempt one = script.Ask(object);
    if (one.source_cached_only) {
      ++spared;
      EXPECT_EQ(one.max_age, 40s);  // a copy past its fresh time is better than none
      script.Answer(one.id, 0, Outcome::kMiss, FillNote::kSourceMiss);
    } else {
      ++pressed;
      script.Answer(one.id, 0, Outcome::kRejected, FillNote::kOriginFailed);
    }
    EXPECT_TRUE(script.All<SendAttempt>().empty());
    EXPECT_EQ(script.All<Reject>().size(), 1u);
    script.Wait(20ms);
  }
  EXPECT_LE(pressed, 9);
  EXPECT_GE(spared, 80);
  script.Wait(4s);
  for (int i = 0; i < 5; ++i) {
    const SendAttempt trial = script.Ask(200 + static_cast<std::uint64_t>(i));
    EXPECT_FALSE(trial.source_cached_only);
    script.Answer(trial.id, 0, Outcome::kServed, FillNote::kFilledViaOrigin);
  }
  EXPECT_EQ(script.Ask(300).max_age, Micros{0});
}

TEST(Health, ARestartedCacheKeepsNoCounts) {
  Script script;
  script.Start();
  const SendAttempt first = script.Serve(7);
  script.Tell({Changed(Script::Cache(static_cast<std::uint64_t>(first.server)), Availability::kUp,
                       script.now - 19900ms)});
  script.Wait(200ms);  // warm again, but empty since its start
  EXPECT_EQ(script.Serve(7).cache_rank, first.cache_rank);
}

TEST(Misuse, GetsADefinedAnswer) {
  Script script;
  script.Start();
  RequestEvent event = script.Request(7);
  event.class_id = ClassId{9};
  script.Pass(event);
  EXPECT_EQ(script.All<Fail>().size(), 1u);
  script.Answer(RequestId{999}, 0, Outcome::kServed);
  EXPECT_TRUE(script.actions.empty());
  const SendAttempt sent = script.Ask(7);
  script.Answer(sent.id, 5, Outcome::kReset);
  EXPECT_TRUE(script.actions.empty());
  RequestEvent twice = script.Request(8);
  twice.id = sent.id;
  script.Pass(twice);
  EXPECT_TRUE(script.actions.empty());
  script.now -= 50s;  // a clock that steps back stands still
  EXPECT_GE(script.Ask(9).expires_at, 104s);
}

// What is kept of departed servers is bounded, and the living are still served after thousands have gone.
TEST(Misuse, ThousandsOfDepartedServersDoNotDisturb) {
  Script script;
  script.Start();
  for (std::uint64_t id = 1000; id < 4000; ++id) {
    std::vector<EndpointInfo> list = script.members;
    list.push_back(Script::Cache(id));
    script.Tell(list, EndpointsEvent::Kind::kFull);
  }
  script.Tell(script.members, EndpointsEvent::Kind::kFull);
  for (std::uint64_t object = 1; object < 50; ++object) {
    EXPECT_LE(static_cast<std::uint64_t>(script.Serve(object).server), 3u);
  }
}

TEST(Misuse, SettingsThatMakeNoSenseThrow) {
  Script script;
  script.settings.warm_up_time = -1ms;
  EXPECT_THROW(Router(script.settings, 1, 0us, script.actions), std::invalid_argument);
  script.settings = Script().settings;
  script.settings.classes.clear();
  EXPECT_THROW(Router(script.settings, 1, 0us, script.actions), std::invalid_argument);
}

TEST(Misuse, WithoutAnyServerARequestIsAnsweredAtOnce) {
  Script script;
  script.members.clear();
  script.Start();
  script.Pass(script.Request(7));
  EXPECT_EQ(script.All<Reject>().size(), 1u);
}

}  // namespace
}  // namespace tinspan
