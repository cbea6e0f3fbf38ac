// What a doorman among many must do that one among few need not: it hears of each server seldom, and what is
// fine for one is harmful when a hundred do it.
#include <algorithm>
#include <cmath>
#include <random>

#include "routing/router_fixture.hpp"

namespace tinspan {
namespace {

// A script on a platform whose notes tell hits from fills and nothing else of a fill's way, as ours does.
struct HitNotes : Script {
  HitNotes() { settings.fill_detail = FillDetail::kHit; }
};

// Guards against a suspicion of the origin that no answer could ever clear: notes never say that a fill came
// from it, so a flush's slow fills had half the fleet refuse, for good, what the parents did not hold.
TEST(FleetOrigin, FillsThatMayHaveGoneByItClearIt) {
  HitNotes script;
  script.Start();
  bool spared = false;
  for (std::uint64_t object = 1; object < 60 && !spared; ++object) {
    const SendAttempt one = script.Ask(object);
    spared = one.source_cached_only;
    script.Answer(one.id, 0, Outcome::kRejected, FillNote::kOriginFailed);
    script.Wait(20ms);
  }
  ASSERT_TRUE(spared);
  script.Wait(10s);
  int pressed = 0;
  for (std::uint64_t i = 0; i < 40; ++i) {  // it is well again
    const SendAttempt one = script.Ask(1000 + i);
    pressed += !one.source_cached_only;
    const bool filled = !one.source_cached_only;
    script.Answer(one.id, 0, filled ? Outcome::kServed : Outcome::kMiss,
                  filled ? FillNote::kFilled : FillNote::kNone);
    script.Wait(100ms);
  }
  EXPECT_GE(pressed, 20);
}

// Guards against an origin that has stopped and looks well, since fills of what the parents hold go on.
TEST(FleetOrigin, FillsThatParentsMayHaveHeldDoNotHideThatItIsDown) {
  HitNotes script;
  script.settings.can_cancel = false;
  script.members = {Script::Cache(1),
                    {.id = ServerId{11}, .kind = kParentKind, .zone = ZoneId{1}},
                    {.id = ServerId{21}, .kind = kOriginKind, .zone = ZoneId{1}}};
  script.Start();
  EXPECT_TRUE(script.LateFillsSpareTheOrigin());
}

// Thirty doormans and one cold server that all of them send to, each in steps of its own. What they send in
// any span of a tipping time, summed, must stay within N + 2 x root of N + 2 requests, N being what the
// settings allow the server then: what is within one doorman's part is not within the sum.
struct ColdFleet {
  static constexpr std::uint32_t kRouters = 30;
  static constexpr Micros kStep = 10ms;
  static constexpr double kWork = 0.3;  // seconds of sending a request

  bool parent = false;            // the cold one is a parent, which fills come to
  double weight = 20;             // of each server, told; 0: sizes are not told
  std::uint32_t here = kRouters;  // as told of our location
  Micros told_late{0};            // after the start
  Micros restart{0};              // all doormans anew so long after the start; 0: never
  Micros roll{0};                 // one doorman after the other anew, in such steps; 0: never
  double load = 3;                // of what three warm caches bear: more is wanted than may be sent

  std::uint64_t seed = 7;

  std::unique_ptr<Script> Make(std::uint32_t number, Micros now, bool told) const {
    auto script = std::make_unique<Script>();
    script->now = now;
    script->next_id = 1 + 1'000'000ull * number + static_cast<std::uint64_t>(now.count() % 1'000'000);
    script->settings.instance_count = kRouters;
    script->settings.zone_instance_counts = {here, here};
    script->settings.instance_index = number;
    script->settings.weight_meaning = weight > 0 ? WeightMeaning::kSize : WeightMeaning::kOff;
    for (EndpointInfo& member : script->members) member.weight = weight;
    if (told) script->members[parent ? 3 : 0].started_at = kStart;
    script->Start();
    return script;
  }
  // The most by which a span went over its budget, in requests; below 0: none did.
  double Over(std::size_t* sent = nullptr) const {
    std::vector<std::unique_ptr<Script>> fleet;
    for (std::uint32_t i = 0; i < kRouters; ++i) fleet.push_back(Make(i, kStart - 20s, false));
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> chance(0, 1);
    const double capacity = weight > 0 ? weight : 20;
    const double rate = load * 3 * capacity / kWork;  // requests a second at all doormans
    std::vector<Micros> times;
    const ServerId cold = fleet[0]->members[parent ? 3 : 0].id;
    std::uint64_t object = 1;
    for (Micros now = kStart - 20s; now < kStart + 14s; now += kStep) {
      if (restart > 0s && now == kStart + restart) {
        for (std::uint32_t i = 0; i < kRouters; ++i) fleet[i] = Make(i, now, true);
      }
      for (std::uint32_t i = 0; i < kRouters; ++i) {
        Script& script = *fleet[i];
        script.Wait(now - script.now);
        if (now == kStart + told_late) {
          EndpointInfo member = script.members[parent ? 3 : 0];
          member.started_at = kStart;
          script.Tell({member});
        }
        if (roll > 0s && now > kStart + told_late && now % (roll * kRouters) == roll * i) {
          fleet[i] = Make(i, now, true);
        }
        // Uneven: the busiest sees four times the mean.
        const double part = (0.25 + 3.75 * i / (kRouters - 1)) / (2.125 * kRouters);
        if (chance(random) >= rate * part * std::chrono::duration<double>(kStep).count()) continue;
        Script& at = *fleet[i];
        at.Pass(at.Request(++object, 1000 * kWork));
        for (const SendAttempt& one : at.All<SendAttempt>()) {
          if ((one.server == cold || one.source == cold) && now >= kStart + told_late) times.push_back(now);
          at.Answer(one.id, 0, Outcome::kServed, parent ? FillNote::kFilled : FillNote::kHit);
        }
      }
    }
    if (sent != nullptr) *sent = times.size();
    const Settings& settings = fleet[0]->settings;
    const double span = std::chrono::duration<double>(settings.overload_window).count();
    double over = -1e9;
    for (std::size_t first = 0; first < times.size(); ++first) {
      const double from = parent ? settings.parent_initial_capacity_share : settings.initial_capacity_share;
      const double warm =
          std::chrono::duration<double>(parent ? settings.parent_warm_up_time : settings.warm_up_time)
              .count();
      const double share = std::min(
          1.0, from + (1 - from) * std::chrono::duration<double>(times[first] - kStart).count() / warm);
      const double multiple = parent ? settings.parent_overload_multiple : settings.overload_multiple;
      const double n = multiple * share * capacity * span / kWork;
      const auto end = std::upper_bound(times.begin(), times.end(), times[first] + settings.overload_window);
      over = std::max(over, static_cast<double>(end - times.begin()) - static_cast<double>(first) -
                                (n + 2 * std::sqrt(n) + 2));
    }
    return over;
  }
  static constexpr Micros kStart = 200s;
};

// By the size of N: one request or less for each doorman up to many.
TEST(FleetCold, TheSumOfAllStaysWithinTheBudget) {
  for (const bool parent : {false, true}) {
    for (const double weight : {1.0, 4.0, 20.0, 0.0}) {
      // Where sizes are not told, what warm ones are seen to bear is all that is known.
      const ColdFleet fleet{.parent = parent, .weight = weight, .load = weight > 0 ? 3 : 0.5};
      EXPECT_LE(fleet.Over(), 0) << "parent " << parent << ", weight " << weight;
    }
  }
  std::size_t sent = 0;
  ColdFleet{}.Over(&sent);
  EXPECT_GT(sent, 100u);  // and it is used
}

// Guards against making up, in one moment and at all doormans, for what nobody could send before they were
// told, or before they were there.
TEST(FleetCold, NewsThatComeLateAndDoormansThatStartLateMakeUpForNothing) {
  for (const bool parent : {false, true}) {
    for (const double weight : {1.0, 4.0, 20.0}) {
      for (const std::uint64_t seed : {7, 8, 9, 10}) {
        const Micros late{7s};
        EXPECT_LE((ColdFleet{.parent = parent, .weight = weight, .told_late = late, .seed = seed}.Over()), 0)
            << "told " << late.count() << " us late, parent " << parent << ", weight " << weight;
        EXPECT_LE((ColdFleet{.parent = parent, .weight = weight, .restart = late, .seed = seed}.Over()), 0)
            << "all restarted " << late.count() << " us after, parent " << parent << ", weight " << weight;
      }
      EXPECT_LE((ColdFleet{.parent = parent, .weight = weight, .roll = 200ms}.Over()), 0)
          << "rolling, parent " << parent << ", weight " << weight;
    }
  }
}

// Guards against settings that tell no doorman in our own location, though we are one: each would take itself
// for the only one.
TEST(FleetCold, ALocationToldToHaveNoneCountsAll) {
  EXPECT_LE((ColdFleet{.weight = 4, .here = 0}.Over()), 0);
}

// A location of many routers, each of which sends little.
struct ManyRouters : HitNotes {
  ManyRouters() {
    settings.instance_count = 100;
    settings.zone_instance_counts = {10, 1};
    for (std::uint64_t id = 100; id < 140; ++id) {
      members.push_back({.id = ServerId{id}, .kind = kParentKind, .zone = ZoneId{1}});
    }
    Start();
    for (std::uint64_t object = 1000; object < 1020; ++object) {  // objects not seen before are filled
      Answer(Ask(object).id, 0, Outcome::kServed, FillNote::kFilled, 60ms);
    }
  }
  // One answer whose report says how full the location's link in is.
  void Report(double link_utilization) {
    const SendAttempt one = Ask(next_id + 100'000);
    Pass(OutcomeEvent{.id = one.id,
                      .outcome = Outcome::kServed,
                      .elapsed = 60ms,
                      .is_finished = true,
                      .note = FillNote::kFilled,
                      .load = {.in_flight = 3, .link_utilization = link_utilization}});
  }
  std::size_t FillsAtOnce() {
    std::size_t sent = 0;
    for (std::uint64_t i = 0; i < 12; ++i) {
      Pass(Request(next_id + 200'000));
      sent += All<SendAttempt>().size();
    }
    return sent;
  }
};

// Guards against a hundred routers that each shut out their own few fills while the link in that they share
// is idle.
TEST(FleetLinkIn, IsOpenWhileReportsTellThatItIsFarFromFull) {
  ManyRouters untold, idle, full, old;
  const std::size_t own = untold.FillsAtOnce();
  idle.Report(0.2);
  const std::size_t open = idle.FillsAtOnce();
  EXPECT_GT(open, own);
  EXPECT_GE(open, 9u);
  full.Report(1.5);
  EXPECT_LE(full.FillsAtOnce(), own);
  old.Report(0.2);
  old.Wait(5s);  // what a report told seconds ago says nothing of now
  EXPECT_LE(old.FillsAtOnce(), own);
}

// Guards against a link in that holds forty times what fits while each of its routers keeps to its own small
// room.
TEST(FleetLinkIn, TakesFewFillsWhileReportsTellThatItIsManyTimesFull) {
  std::size_t busy = 0, jammed = 0;
  for (int i = 0; i < 20; ++i) {
    ManyRouters one, other;
    other.next_id = one.next_id += static_cast<std::uint64_t>(i) * 1000;
    one.Report(1.5);
    busy += one.FillsAtOnce();
    other.Report(40);
    jammed += other.FillsAtOnce();
  }
  EXPECT_GT(busy, 20u);
  EXPECT_LT(jammed, busy / 2);
}

// Guards against one spoilt report that shuts the link in, or keeps later ones from being heard, for good.
TEST(FleetLinkIn, OutlivesReportsThatCannotBe) {
  for (const double bad : {std::nan(""), HUGE_VAL, -HUGE_VAL, 1e300, -5.0}) {
    ManyRouters script;
    script.Report(0.2);
    script.Report(bad);
    for (int i = 0; i < 20; ++i) script.Report(0.2);
    EXPECT_GE(script.FillsAtOnce(), 9u) << bad;
  }
}

// Guards against a fleet that, when all its copies have gone void, calls off what is late everywhere and asks
// for it once more elsewhere: the second fill waits behind the first.
TEST(FleetHealth, WhereMuchIsLateALateAttemptStaysWhereItIs) {
  for (const bool much : {false, true}) {
    HitNotes script;
    script.Start();
    for (std::uint64_t object = 1; much && object <= 8; ++object) {
      const SendAttempt late = script.Ask(object);
      // Its cache is heard, so it is not silent and not accused; its answer comes late all the same.
      script.Wait(20ms);
      const RequestEvent same = script.Request(object);
      script.Pass(same);
      script.Answer(same.id, 0, Outcome::kServed, FillNote::kHit, 20ms);
      script.Wait(600ms);
      script.Answer(late.id, 0, Outcome::kServed, FillNote::kFilled, 620ms);
    }
    script.Ask(100);
    script.Wait(600ms);
    EXPECT_EQ(script.All<CancelAttempt>().size(), much ? 0u : 1u);
  }
}

}  // namespace
}  // namespace tinspan
