// What is sent to a server that warms up, by one instance and by many.
#include <algorithm>
#include <cmath>
#include <random>
#include <tuple>

#include "routing/router_fixture.hpp"

namespace tinspan {
namespace {

// Sending time sent to a server within `span` by an instance that sends every 5 ms.
double SentTo(RouterFixture& fixture, ServerId server, Micros span) {
  double sent = 0;
  for (Micros elapsed{0}; elapsed < span; elapsed += 5ms) {
    const SendAttempt one =
        fixture.SendAndServe(static_cast<std::uint64_t>(elapsed.count()) + 1000, FillNote::kFilled);
    if (one.server == server || one.source == server) sent += 0.05;
    fixture.AdvanceTime(5ms);
  }
  return sent;
}

TEST(SlowStartBudget, LimitsARestartedCache) {
  RouterFixture fixture;
  fixture.settings.weight_meaning = WeightMeaning::kSize;
  for (EndpointInfo& endpoint : fixture.endpoints) endpoint.weight = 10;
  fixture.Start();
  EXPECT_GT(SentTo(fixture, ServerId{1}, 2s), 5.0);
  fixture.UpdateEndpoints({WithAvailability(fixture.endpoints[0], Availability::kUp, fixture.now)});
  const double sent = SentTo(fixture, ServerId{1}, 2s);
  // Of 10 transfers a second, a fifth rising in 20 s, times 2, for 2 s: never more than that.
  EXPECT_LT(sent, 2 * 0.3 * 10 * 2);
  EXPECT_GT(sent, 1.0);
}

TEST(SlowStartBudget, LimitsFillsAtARestartedParent) {
  RouterFixture fixture;
  fixture.settings.weight_meaning = WeightMeaning::kSize;
  for (EndpointInfo& endpoint : fixture.endpoints) endpoint.weight = 10;
  fixture.Start();
  EXPECT_GT(SentTo(fixture, ServerId{11}, 2s), 5.0);
  fixture.UpdateEndpoints({WithAvailability(fixture.endpoints[3], Availability::kUp, fixture.now)});
  const double sent = SentTo(fixture, ServerId{11}, 2s);
  EXPECT_LT(sent, 2 * 0.2 * 10 / 2 * 2);  // half of it: two instances share the parent
  EXPECT_GT(sent, 0.3);
}

// Sending time that one of many instances sends a warming server in one overload window, each request 0.3 s.
double SentInOverloadWindow(std::uint32_t instance_count, std::uint32_t instance_index, bool is_parent) {
  RouterFixture fixture;
  fixture.settings.instance_count = instance_count;
  fixture.settings.zone_instance_counts = {instance_count, instance_count};
  fixture.settings.instance_index = instance_index;
  fixture.settings.weight_meaning = WeightMeaning::kSize;
  for (EndpointInfo& endpoint : fixture.endpoints) endpoint.weight = 20;
  fixture.Start();
  EndpointInfo warming = fixture.endpoints[is_parent ? 3 : 0];
  warming.started_at = fixture.now - 300ms;
  fixture.UpdateEndpoints({warming});
  double sent = 0;
  for (Micros elapsed{0}; elapsed < fixture.settings.overload_window; elapsed += 100ms) {
    const std::uint64_t object = static_cast<std::uint64_t>(elapsed.count()) + 77ULL * instance_index + 1000;
    fixture.Handle(fixture.Request(object, 300));
    for (const SendAttempt& one : fixture.ActionsOf<SendAttempt>()) {
      if (one.server == warming.id || one.source == warming.id) sent += 0.3;
      fixture.Complete(one.id, 0, Outcome::kServed, FillNote::kFilled);
    }
    fixture.AdvanceTime(100ms);
  }
  return sent;
}

// The same summed over sixty instances.
double SumInOverloadWindow(bool is_parent) {
  constexpr std::uint32_t kInstances = 60;
  double sum = 0;
  for (std::uint32_t i = 0; i < kInstances; ++i) sum += SentInOverloadWindow(kInstances, i, is_parent);
  return sum;
}

// Guards against many instances that each send a warming server one first request: summed over all, within an
// overload window, they stay under what would overload it: multiple x present capacity x window.
TEST(SlowStartBudget, LimitsTheFirstRequestsOfManyInstancesToACacheInSum) {
  const double sum = SumInOverloadWindow(false);
  EXPECT_LT(sum, 2 * 0.2 * 20 * 2);
  EXPECT_GT(sum, 0.0);
}

TEST(SlowStartBudget, LimitsTheFirstFillsOfManyInstancesFromAParentInSum) {
  const double sum = SumInOverloadWindow(true);
  EXPECT_LT(sum, 2 * 0.1 * 20 * 2);
  EXPECT_GT(sum, 0.0);
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
// in any span of an overload window, summed, must stay within N + 2 x root of N + 2 requests, N being what
// the settings allow the server then: what is within one instance's part is not within the sum.
struct WarmingFleet {
  static constexpr std::uint32_t kInstances = 30;
  static constexpr Micros kStep = 10ms;
  static constexpr Micros kStart = 200s;        // of the warming server
  static constexpr double kTransferTime = 0.3;  // of a request, seconds

  bool is_parent = false;                         // the warming one is a parent, which fills come to
  double weight = 20;                             // of each server; 0: sizes are not told
  std::uint32_t own_zone_instances = kInstances;  // as the settings say
  Micros event_delay{0};                          // after the start
  Micros restart{0};                              // all instances anew so long after the start; 0: never
  Micros roll{0};   // one instance after the other anew, in such steps; 0: never
  double load = 3;  // of what three warm caches bear: more is wanted than may be sent
  std::uint64_t seed = 7;

  using Instance = std::unique_ptr<RouterFixture>;

  std::size_t WarmingSlot() const { return is_parent ? 3 : 0; }
  double Capacity() const { return weight > 0 ? weight : 20; }

  Instance MakeInstance(std::uint32_t number, Micros now, bool has_start_event) const {
    auto fixture = std::make_unique<RouterFixture>();
    fixture->now = now;
    fixture->next_id = 1 + 1'000'000ULL * number + static_cast<std::uint64_t>(now.count() % 1'000'000);
    fixture->settings.instance_count = kInstances;
    fixture->settings.zone_instance_counts = {own_zone_instances, own_zone_instances};
    fixture->settings.instance_index = number;
    fixture->settings.weight_meaning = weight > 0 ? WeightMeaning::kSize : WeightMeaning::kOff;
    for (EndpointInfo& endpoint : fixture->endpoints) endpoint.weight = weight;
    if (has_start_event) fixture->endpoints[WarmingSlot()].started_at = kStart;
    fixture->Start();
    return fixture;
  }

  // Brings an instance to the next step: with the event of the server's start, or anew.
  void Advance(Instance& instance, std::uint32_t number, Micros now) const {
    instance->AdvanceTime(now - instance->now);
    if (now == kStart + event_delay) {
      EndpointInfo endpoint = instance->endpoints[WarmingSlot()];
      endpoint.started_at = kStart;
      instance->UpdateEndpoints({endpoint});
    }
    const bool is_rolled =
        roll > 0s && now > kStart + event_delay && now % (roll * kInstances) == roll * number;
    if (is_rolled) instance = MakeInstance(number, now, true);
  }

  // How many of an instance's attempts at one request reach the warming server.
  std::size_t SendOne(RouterFixture& instance, std::uint64_t object) const {
    std::size_t reached = 0;
    const ServerId warming = instance.endpoints[WarmingSlot()].id;
    instance.Handle(instance.Request(object, 1000 * kTransferTime));
    for (const SendAttempt& attempt : instance.ActionsOf<SendAttempt>()) {
      reached += attempt.server == warming || attempt.source == warming ? 1 : 0;
      const FillNote note = is_parent ? FillNote::kFilled : FillNote::kHit;
      instance.Complete(attempt.id, 0, Outcome::kServed, note);
    }
    return reached;
  }

  // When requests reached the warming server, in order.
  std::vector<Micros> Run() const {
    std::vector<Instance> fleet;
    for (std::uint32_t i = 0; i < kInstances; ++i) fleet.push_back(MakeInstance(i, kStart - 20s, false));
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> chance(0, 1);
    const double requests_per_second = load * 3 * Capacity() / kTransferTime;  // at all instances
    std::vector<Micros> times;
    std::uint64_t object = 1;
    for (Micros now = kStart - 20s; now < kStart + 14s; now += kStep) {
      const bool is_restarted = restart > 0s && now == kStart + restart;
      for (std::uint32_t i = 0; i < kInstances && is_restarted; ++i) fleet[i] = MakeInstance(i, now, true);
      for (std::uint32_t i = 0; i < kInstances; ++i) {
        Advance(fleet[i], i, now);
        // Uneven: the busiest sees four times the mean.
        const double part = (0.25 + 3.75 * i / (kInstances - 1)) / (2.125 * kInstances);
        if (chance(random) >= requests_per_second * part * Seconds(kStep)) continue;
        const std::size_t reached = SendOne(*fleet[i], ++object);
        if (now >= kStart + event_delay) times.insert(times.end(), reached, now);
      }
    }
    return times;
  }

  // N of the window that begins at a time.
  double AllowedRequests(const Settings& settings, Micros window_start) const {
    const double initial =
        is_parent ? settings.parent_initial_capacity_share : settings.initial_capacity_share;
    const double warm_up = Seconds(is_parent ? settings.parent_warm_up_time : settings.warm_up_time);
    const double share = std::min(1.0, initial + (1 - initial) * Seconds(window_start - kStart) / warm_up);
    const double multiple = is_parent ? settings.parent_overload_multiple : settings.overload_multiple;
    return multiple * share * Capacity() * Seconds(settings.overload_window) / kTransferTime;
  }

  // The most by which a window went over its budget, in requests; below 0: none did.
  double MaxExcess() const {
    const Settings settings = RouterFixture().settings;
    const std::vector<Micros> times = Run();
    double excess = -1e9;
    for (auto first = times.begin(); first != times.end(); ++first) {
      const auto end = std::upper_bound(first, times.end(), *first + settings.overload_window);
      const double allowed = AllowedRequests(settings, *first);
      excess = std::max(excess, static_cast<double>(end - first) - (allowed + 2 * std::sqrt(allowed) + 2));
    }
    return excess;
  }

  static double Seconds(Micros time) { return std::chrono::duration<double>(time).count(); }
};

// By the size of N: one request or less for each instance up to many.
TEST(SlowStartBudget, LimitsTheSumOfAllInstances) {
  for (const bool is_parent : {false, true}) {
    for (const double weight : {1.0, 4.0, 20.0, 0.0}) {
      // Where sizes are not told, what warm ones are seen to bear is all that is known.
      const WarmingFleet fleet{.is_parent = is_parent, .weight = weight, .load = weight > 0 ? 3 : 0.5};
      EXPECT_LE(fleet.MaxExcess(), 0) << "parent " << is_parent << ", weight " << weight;
    }
  }
}

TEST(SlowStartBudget, IsUsedByTheFleet) { EXPECT_GT(WarmingFleet{}.Run().size(), 100U); }

// Guards against making up, in one moment and at all instances, for what nobody could send before the event
// came, or before they were there. By whether the server is a parent, its weight, and the seed.
class LateFleet : public ::testing::TestWithParam<std::tuple<bool, double, std::uint64_t>> {
 protected:
  static constexpr Micros kLate = 7s;

  WarmingFleet fleet_{.is_parent = std::get<0>(GetParam()),
                      .weight = std::get<1>(GetParam()),
                      .seed = std::get<2>(GetParam())};
};

TEST_P(LateFleet, MakesUpForNothingAfterLateEvents) {
  fleet_.event_delay = kLate;
  EXPECT_LE(fleet_.MaxExcess(), 0);
}

TEST_P(LateFleet, MakesUpForNothingAfterLateStarts) {
  fleet_.restart = kLate;
  EXPECT_LE(fleet_.MaxExcess(), 0);
}

INSTANTIATE_TEST_SUITE_P(SlowStartBudget, LateFleet,
                         ::testing::Combine(::testing::Bool(), ::testing::Values(1.0, 4.0, 20.0),
                                            ::testing::Values(7, 8, 9, 10)));

TEST(SlowStartBudget, MakesUpForNothingInARollingRestart) {
  for (const bool is_parent : {false, true}) {
    for (const double weight : {1.0, 4.0, 20.0}) {
      const WarmingFleet fleet{.is_parent = is_parent, .weight = weight, .roll = 200ms};
      EXPECT_LE(fleet.MaxExcess(), 0) << "parent " << is_parent << ", weight " << weight;
    }
  }
}

// Guards against settings that list no instance in our own location, though we are one: each would take
// itself for the only one.
TEST(SlowStartBudget, CountsAllInstancesWhereTheOwnLocationListsNone) {
  EXPECT_LE((WarmingFleet{.weight = 4, .own_zone_instances = 0}.MaxExcess()), 0);
}

}  // namespace
}  // namespace tinspan
