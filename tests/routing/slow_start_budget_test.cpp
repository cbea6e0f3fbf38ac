// Work sent to a server that is warming up, by one instance and by many.
#include <algorithm>
#include <cmath>
#include <random>
#include <tuple>

#include "routing/router_fixture.hpp"

namespace tinspan {
namespace {

// Transfer time (seconds) sent to a server within `span` by an instance with one request every 5 ms.
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
  // The limit: multiple 2, at most 0.3 of the capacity (it starts at 0.2 and reaches 1 in 20 s), 10
  // concurrent transfers, 2 s.
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
  EXPECT_LT(sent, 2 * 0.2 * 10 / 2 * 2);  // half of the limit: two instances share the parent
  EXPECT_GT(sent, 0.3);
}

// Transfer time (seconds) that one of many instances sends to a warming server within one overload window;
// each request takes 0.3 s.
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

// The sum of SentInOverloadWindow over sixty instances.
double SumInOverloadWindow(bool is_parent) {
  constexpr std::uint32_t kInstances = 60;
  double sum = 0;
  for (std::uint32_t i = 0; i < kInstances; ++i) sum += SentInOverloadWindow(kInstances, i, is_parent);
  return sum;
}

// Guards against many instances that each send one first request to a warming server. Within an overload
// window, the sum over all instances must stay below the overload limit: multiple x current capacity x
// window.
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
  EXPECT_LE(sent, 3);  // a budget of 0.1 s x 2 transfers is below one request of 0.4 s
}

// Thirty instances that all send requests to one warming server. In any span of one overload window, the sum
// of their requests must not exceed N + 2 x sqrt(N) + 2, where N is the number that the settings permit for
// the server at that time. Each instance can be within its own share while the sum is above the limit.
struct WarmingFleet {
  static constexpr std::uint32_t kInstances = 30;
  static constexpr Micros kStep = 10ms;
  static constexpr Micros kStart = 200s;        // start time of the warming server
  static constexpr double kTransferTime = 0.3;  // of a request, in seconds

  bool is_parent = false;                         // the warming server is a parent, which gets fills
  double weight = 20;                             // of each server; 0: capacities are not advertised
  std::uint32_t own_zone_instances = kInstances;  // value in the settings
  Micros event_delay{0};                          // from the server's start to its endpoint event
  Micros restart_delay{0};             // from the server's start to a restart of all instances; 0: none
  Micros rolling_restart_interval{0};  // interval at which one instance after another restarts; 0: none
  double load_factor = 3;              // offered load, as a multiple of the capacity of three warm caches
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

  // Advances an instance to the next step: passes the endpoint event of the server's start, or restarts it.
  void Advance(Instance& instance, std::uint32_t number, Micros now) const {
    instance->AdvanceTime(now - instance->now);
    if (now == kStart + event_delay) {
      EndpointInfo endpoint = instance->endpoints[WarmingSlot()];
      endpoint.started_at = kStart;
      instance->UpdateEndpoints({endpoint});
    }
    const bool is_rolled = rolling_restart_interval > 0s && now > kStart + event_delay &&
                           now % (rolling_restart_interval * kInstances) == rolling_restart_interval * number;
    if (is_rolled) instance = MakeInstance(number, now, true);
  }

  // Sends one request and returns the number of its attempts that reach the warming server.
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

  // The times at which requests reached the warming server, in order.
  std::vector<Micros> Run() const {
    std::vector<Instance> fleet;
    for (std::uint32_t i = 0; i < kInstances; ++i) fleet.push_back(MakeInstance(i, kStart - 20s, false));
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> chance(0, 1);
    // At all instances together.
    const double requests_per_second = load_factor * 3 * Capacity() / kTransferTime;
    std::vector<Micros> times;
    std::uint64_t object = 1;
    for (Micros now = kStart - 20s; now < kStart + 14s; now += kStep) {
      const bool is_restarted = restart_delay > 0s && now == kStart + restart_delay;
      for (std::uint32_t i = 0; i < kInstances && is_restarted; ++i) fleet[i] = MakeInstance(i, now, true);
      for (std::uint32_t i = 0; i < kInstances; ++i) {
        Advance(fleet[i], i, now);
        // The load is uneven: the last instance gets 16 times as much as the first.
        const double instance_share = (0.25 + 3.75 * i / (kInstances - 1)) / (2.125 * kInstances);
        if (chance(random) >= requests_per_second * instance_share * Seconds(kStep)) continue;
        const std::size_t reached = SendOne(*fleet[i], ++object);
        if (now >= kStart + event_delay) times.insert(times.end(), reached, now);
      }
    }
    return times;
  }

  // The limit N of the overload window that starts at `window_start`.
  double AllowedRequests(const Settings& settings, Micros window_start) const {
    const double initial =
        is_parent ? settings.parent_initial_capacity_share : settings.initial_capacity_share;
    const double warm_up = Seconds(is_parent ? settings.parent_warm_up_time : settings.warm_up_time);
    const double share = std::min(1.0, initial + (1 - initial) * Seconds(window_start - kStart) / warm_up);
    const double multiple = is_parent ? settings.parent_overload_multiple : settings.overload_multiple;
    return multiple * share * Capacity() * Seconds(settings.overload_window) / kTransferTime;
  }

  // The greatest number of requests by which a window exceeded its limit; not above 0: none did.
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

// The weights cover values of N from at most one request per instance to many.
TEST(SlowStartBudget, LimitsTheSumOfAllInstances) {
  for (const bool is_parent : {false, true}) {
    for (const double weight : {1.0, 4.0, 20.0, 0.0}) {
      // If capacities are not advertised, only the observed work of warm servers is known; a lower load is
      // used.
      const WarmingFleet fleet{.is_parent = is_parent, .weight = weight, .load_factor = weight > 0 ? 3 : 0.5};
      EXPECT_LE(fleet.MaxExcess(), 0) << "parent " << is_parent << ", weight " << weight;
    }
  }
}

TEST(SlowStartBudget, IsUsedByTheFleet) { EXPECT_GT(WarmingFleet{}.Run().size(), 100U); }

// Guards against a burst in which all instances at once spend budget for the time before the endpoint event
// arrived or before they were started. Parameters: whether the server is a parent, its weight, the seed.
class LateFleet : public ::testing::TestWithParam<std::tuple<bool, double, std::uint64_t>> {
 protected:
  static constexpr Micros kLate = 7s;

  WarmingFleet fleet_{.is_parent = std::get<0>(GetParam()),
                      .weight = std::get<1>(GetParam()),
                      .seed = std::get<2>(GetParam())};
};

TEST_P(LateFleet, DoesNotCatchUpAfterLateEvents) {
  fleet_.event_delay = kLate;
  EXPECT_LE(fleet_.MaxExcess(), 0);
}

TEST_P(LateFleet, DoesNotCatchUpAfterLateStarts) {
  fleet_.restart_delay = kLate;
  EXPECT_LE(fleet_.MaxExcess(), 0);
}

INSTANTIATE_TEST_SUITE_P(SlowStartBudget, LateFleet,
                         ::testing::Combine(::testing::Bool(), ::testing::Values(1.0, 4.0, 20.0),
                                            ::testing::Values(7, 8, 9, 10)));

TEST(SlowStartBudget, DoesNotCatchUpInARollingRestart) {
  for (const bool is_parent : {false, true}) {
    for (const double weight : {1.0, 4.0, 20.0}) {
      const WarmingFleet fleet{.is_parent = is_parent, .weight = weight, .rolling_restart_interval = 200ms};
      EXPECT_LE(fleet.MaxExcess(), 0) << "parent " << is_parent << ", weight " << weight;
    }
  }
}

// Guards against settings that list no instance in the own location: each instance would assume that it is
// the only one.
TEST(SlowStartBudget, CountsAllInstancesWhereTheOwnLocationListsNone) {
  EXPECT_LE((WarmingFleet{.weight = 4, .own_zone_instances = 0}.MaxExcess()), 0);
}

}  // namespace
}  // namespace tinspan
