// What is sent to a server that warms up, by one instance and by many.
#include <algorithm>
#include <cmath>
#include <random>

#include "routing/router_fixture.hpp"

namespace tinspan {
namespace {

// Sending time sent to a server within `span` by a instance that could send `rate` requests a second.
double SentTo(RouterFixture& fixture, ServerId id, Micros span, bool as_source) {
  double sent = 0;
  for (Micros t{0}; t < span; t += 5ms) {
    const SendAttempt one =
        fixture.SendAndServe(static_cast<std::uint64_t>(t.count()) + 1000, FillNote::kFilled);
    if (one.server == id || (as_source && one.source == id)) sent += 0.05;
    fixture.AdvanceTime(5ms);
  }
  return sent;
}

TEST(SlowStartBudget, LimitsARestartedCache) {
  RouterFixture fixture;
  fixture.settings.weight_meaning = WeightMeaning::kSize;
  for (EndpointInfo& endpoint : fixture.endpoints) endpoint.weight = 10;
  fixture.Start();
  EXPECT_GT(SentTo(fixture, ServerId{1}, 2s, true), 5.0);
  fixture.UpdateEndpoints({WithAvailability(fixture.endpoints[0], Availability::kUp, fixture.now)});
  const double sent = SentTo(fixture, ServerId{1}, 2s, true);
  // Of 10 transfers a second, a fifth rising in 20 s, times 2, for 2 s: never more than that.
  EXPECT_LT(sent, 2 * 0.3 * 10 * 2);
  EXPECT_GT(sent, 1.0);
}

TEST(SlowStartBudget, LimitsFillsAtARestartedParent) {
  RouterFixture fixture;
  fixture.settings.weight_meaning = WeightMeaning::kSize;
  for (EndpointInfo& endpoint : fixture.endpoints) endpoint.weight = 10;
  fixture.Start();
  EXPECT_GT(SentTo(fixture, ServerId{11}, 2s, true), 5.0);
  fixture.UpdateEndpoints({WithAvailability(fixture.endpoints[3], Availability::kUp, fixture.now)});
  const double sent = SentTo(fixture, ServerId{11}, 2s, true);
  EXPECT_LT(sent, 2 * 0.2 * 10 / 2 * 2);  // half of it: two instances share the parent
  EXPECT_GT(sent, 0.3);
}

// Guards against many instances that each send a warming server one first request: summed over all, within a
// overload window, they stay under what would push it over. As a cache, and as a parent filled from.
TEST(SlowStartBudget, LimitsTheFirstRequestsOfManyInstancesInSum) {
  constexpr std::uint32_t kInstances = 60;
  for (const bool parent : {false, true}) {
    double sum = 0;
    for (std::uint32_t number = 0; number < kInstances; ++number) {
      RouterFixture fixture;
      fixture.settings.instance_count = kInstances;
      fixture.settings.zone_instance_counts = {kInstances, kInstances};
      fixture.settings.instance_index = number;
      fixture.settings.weight_meaning = WeightMeaning::kSize;
      for (EndpointInfo& endpoint : fixture.endpoints) endpoint.weight = 20;
      fixture.Start();
      const std::size_t place = parent ? 3 : 0;
      fixture.UpdateEndpoints(
          {WithAvailability(fixture.endpoints[place], Availability::kUp, fixture.now - 300ms)});
      for (Micros t{0}; t < fixture.settings.overload_window; t += 100ms) {
        fixture.Handle(fixture.Request(static_cast<std::uint64_t>(t.count()) + 77 * number + 1000, 300));
        for (const SendAttempt& one : fixture.ActionsOf<SendAttempt>()) {
          const ServerId cold = fixture.endpoints[place].id;
          if (one.server == cold || one.source == cold) sum += 0.3;
          fixture.Complete(one.id, 0, Outcome::kServed, FillNote::kFilled);
        }
        fixture.AdvanceTime(100ms);
      }
    }
    const double share = parent ? 0.1 : 0.2;                     // the fixture's warming shares
    EXPECT_LT(sum, 2 * share * 20 * 2) << "parent: " << parent;  // multiple x present capacity x span
    EXPECT_GT(sum, 0.0);
  }
}

TEST(SlowStartBudget, CountsABurstAtTheStart) {
  RouterFixture fixture;
  fixture.settings.weight_meaning = WeightMeaning::kSize;
  for (EndpointInfo& endpoint : fixture.endpoints) endpoint.weight = 10;
  fixture.Start();
  fixture.SendAndServe(1);
  fixture.UpdateEndpoints({WithAvailability(fixture.endpoints[0], Availability::kUp, fixture.now)});
  fixture.AdvanceTime(100ms);
  int sent = 0;
  for (std::uint64_t object = 1; object < 300; ++object) {
    fixture.Handle(fixture.Request(object, 400));
    for (const SendAttempt& one : fixture.ActionsOf<SendAttempt>()) sent += one.server == ServerId{1};
  }
  EXPECT_LE(sent, 3);  // 0.1 s of two transfers a second is less than one request of 0.4 s
}

// Thirty instances and one warming server that all of them send to, each in steps of its own. What they send
// in any span of a overload window, summed, must stay within N + 2 x root of N + 2 requests, N being what the
// settings allow the server then: what is within one instance's part is not within the sum.
struct WarmingFleet {
  static constexpr std::uint32_t kInstances = 30;
  static constexpr Micros kStep = 10ms;
  static constexpr double kWork = 0.3;  // seconds of sending a request

  bool parent = false;                            // the warming one is a parent, which fills come to
  double weight = 20;                             // of each server, told; 0: sizes are not told
  std::uint32_t own_zone_instances = kInstances;  // as told of our location
  Micros event_delay{0};                          // after the start
  Micros restart{0};                              // all instances anew so long after the start; 0: never
  Micros roll{0};   // one instance after the other anew, in such steps; 0: never
  double load = 3;  // of what three warm caches bear: more is wanted than may be sent

  std::uint64_t seed = 7;

  std::unique_ptr<RouterFixture> Make(std::uint32_t number, Micros now, bool told) const {
    auto fixture = std::make_unique<RouterFixture>();
    fixture->now = now;
    fixture->next_id = 1 + 1'000'000ull * number + static_cast<std::uint64_t>(now.count() % 1'000'000);
    fixture->settings.instance_count = kInstances;
    fixture->settings.zone_instance_counts = {own_zone_instances, own_zone_instances};
    fixture->settings.instance_index = number;
    fixture->settings.weight_meaning = weight > 0 ? WeightMeaning::kSize : WeightMeaning::kOff;
    for (EndpointInfo& endpoint : fixture->endpoints) endpoint.weight = weight;
    if (told) fixture->endpoints[parent ? 3 : 0].started_at = kStart;
    fixture->Start();
    return fixture;
  }
  // The most by which a span went over its budget, in requests; below 0: none did.
  double Over(std::size_t* sent = nullptr) const {
    std::vector<std::unique_ptr<RouterFixture>> fleet;
    for (std::uint32_t i = 0; i < kInstances; ++i) fleet.push_back(Make(i, kStart - 20s, false));
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> chance(0, 1);
    const double capacity = weight > 0 ? weight : 20;
    const double rate = load * 3 * capacity / kWork;  // requests a second at all instances
    std::vector<Micros> times;
    const ServerId cold = fleet[0]->endpoints[parent ? 3 : 0].id;
    std::uint64_t object = 1;
    for (Micros now = kStart - 20s; now < kStart + 14s; now += kStep) {
      if (restart > 0s && now == kStart + restart) {
        for (std::uint32_t i = 0; i < kInstances; ++i) fleet[i] = Make(i, now, true);
      }
      for (std::uint32_t i = 0; i < kInstances; ++i) {
        RouterFixture& fixture = *fleet[i];
        fixture.AdvanceTime(now - fixture.now);
        if (now == kStart + event_delay) {
          EndpointInfo endpoint = fixture.endpoints[parent ? 3 : 0];
          endpoint.started_at = kStart;
          fixture.UpdateEndpoints({endpoint});
        }
        if (roll > 0s && now > kStart + event_delay && now % (roll * kInstances) == roll * i) {
          fleet[i] = Make(i, now, true);
        }
        // Uneven: the busiest sees four times the mean.
        const double part = (0.25 + 3.75 * i / (kInstances - 1)) / (2.125 * kInstances);
        if (chance(random) >= rate * part * std::chrono::duration<double>(kStep).count()) continue;
        RouterFixture& at = *fleet[i];
        at.Handle(at.Request(++object, 1000 * kWork));
        for (const SendAttempt& one : at.ActionsOf<SendAttempt>()) {
          if ((one.server == cold || one.source == cold) && now >= kStart + event_delay) times.push_back(now);
          at.Complete(one.id, 0, Outcome::kServed, parent ? FillNote::kFilled : FillNote::kHit);
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

// By the size of N: one request or less for each instance up to many.
TEST(SlowStartBudget, LimitsTheSumOfAllInstances) {
  for (const bool parent : {false, true}) {
    for (const double weight : {1.0, 4.0, 20.0, 0.0}) {
      // Where sizes are not told, what warm ones are seen to bear is all that is known.
      const WarmingFleet fleet{.parent = parent, .weight = weight, .load = weight > 0 ? 3 : 0.5};
      EXPECT_LE(fleet.Over(), 0) << "parent " << parent << ", weight " << weight;
    }
  }
  std::size_t sent = 0;
  WarmingFleet{}.Over(&sent);
  EXPECT_GT(sent, 100u);  // and it is used
}

// Guards against making up, in one moment and at all instances, for what nobody could send before they were
// told, or before they were there.
TEST(SlowStartBudget, MakesUpForNothingAfterLateEventsAndLateStarts) {
  for (const bool parent : {false, true}) {
    for (const double weight : {1.0, 4.0, 20.0}) {
      for (const std::uint64_t seed : {7, 8, 9, 10}) {
        const Micros late{7s};
        EXPECT_LE(
            (WarmingFleet{.parent = parent, .weight = weight, .event_delay = late, .seed = seed}.Over()), 0)
            << "told " << late.count() << " us late, parent " << parent << ", weight " << weight;
        EXPECT_LE((WarmingFleet{.parent = parent, .weight = weight, .restart = late, .seed = seed}.Over()), 0)
            << "all restarted " << late.count() << " us after, parent " << parent << ", weight " << weight;
      }
      EXPECT_LE((WarmingFleet{.parent = parent, .weight = weight, .roll = 200ms}.Over()), 0)
          << "rolling, parent " << parent << ", weight " << weight;
    }
  }
}

// Guards against settings that tell no instance in our own location, though we are one: each would take
// itself for the only one.
TEST(SlowStartBudget, CountsAllInstancesWhereTheOwnLocationIsToldToHaveNone) {
  EXPECT_LE((WarmingFleet{.weight = 4, .own_zone_instances = 0}.Over()), 0);
}

}  // namespace
}  // namespace tinspan
