// The fleet timeline built from the records of several instances: clocks that disagree, deaths, incidents.
// The tests generate the records, so the expected events and figures are known.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

#include "timeline/build_steps.hpp"
#include "timeline/fleet_timeline.hpp"

namespace tinspan::timeline {
namespace {

constexpr Micros kDay{1'764'576'000'000'000};
constexpr Micros kMilli{1'000};
constexpr Micros kSecond{1'000'000};

// ---- Clock offsets ----

// Guards against offsets that evidence of a wrong clock shifts: every interval must contain the true offset,
// and only the false evidence may be reported.
RC_GTEST_PROP(OffsetsTest, TrueOffsetsLieInEveryIntervalAndContradictionsAreFlagged, ()) {
  const std::size_t clocks = *rc::gen::inRange<std::size_t>(2, 7);
  std::vector<std::int64_t> truth;
  for (std::size_t i = 0; i < clocks; ++i) truth.push_back(*rc::gen::inRange(-2'000'000, 2'000'000));
  std::vector<Evidence> evidence;
  const std::int64_t spread = 300'000;
  for (int n = *rc::gen::inRange(1, 40); n > 0; --n) {
    const std::size_t a = *rc::gen::inRange<std::size_t>(0, clocks),
                      b = *rc::gen::inRange<std::size_t>(0, clocks);
    if (a == b) continue;
    const std::int64_t seen = truth[b] - truth[a] + *rc::gen::inRange(-300'000, 300'000);
    evidence.push_back({a, b, {Micros{seen - spread}, Micros{seen + spread}}, "seen"});
  }
  const std::size_t consistent_count = evidence.size();
  // False evidence on a pair that has at least three true pieces.
  if (consistent_count > 0) {
    for (int i = 0; i < 2; ++i) evidence.push_back(evidence[0]);
    Evidence contradiction = evidence[0];
    contradiction.difference.min += Micros{5'000'000};
    contradiction.difference.max += Micros{5'000'000};
    evidence.push_back(contradiction);
  }
  const Offsets offsets(clocks, evidence);
  if (consistent_count > 0)
    RC_ASSERT(offsets.Contradictions() == std::vector<std::size_t>{evidence.size() - 1});
  for (std::size_t a = 0; a < clocks; ++a) {
    for (std::size_t b = 0; b < clocks; ++b) {
      const auto apart = offsets.Between(a, b);
      if (apart) RC_ASSERT(apart->Contains(Micros{truth[b] - truth[a]}));
    }
  }
}

TEST(OffsetsTest, ContradictoryCycleIsFlaggedNotAveraged) {
  const auto apart = [](std::int64_t middle) { return Interval{Micros{middle - 100}, Micros{middle + 100}}; };
  // 0 to 1 and 1 to 2 are supported by two pieces each; the only piece on 0 and 2 contradicts them.
  const std::vector<Evidence> evidence{{0, 1, apart(1000), ""},
                                       {0, 1, apart(1010), ""},
                                       {1, 2, apart(0), ""},
                                       {1, 2, apart(10), ""},
                                       {0, 2, apart(9000), ""}};
  const Offsets offsets(3, evidence);
  EXPECT_EQ(offsets.Contradictions(), std::vector<std::size_t>{4});
  EXPECT_TRUE(offsets.Between(0, 2)->Contains(Micros{1010}));
  EXPECT_LE(offsets.Between(0, 2)->Uncertainty(), Micros{200});
  EXPECT_FALSE(Offsets(2, {}).Between(0, 1).has_value());
}

// ---- Fleet timelines ----

// Generates the records of one incarnation; its wall clock is ahead by `skew`.
class Writer {
 public:
  Writer(std::string name, Micros skew, Micros start = Micros{0}, int incarnation = 0)
      : skew_(skew), mono_(Micros{5'000'000 * (1 + incarnation)} + start) {
    from_ = {"f", std::move(name), (kDay + start + skew).count(), 1};
    start_ = start;
    wire::Record record;
    wire::Header& header = *record.mutable_header();
    header.set_format(1);
    header.set_name(from_.prefix);
    header.set_wall_us((kDay + start + skew).count());
    header.set_mono_us(mono_.count());
    for (const char* const of : {"scans", "orders"}) {
      wire::Class& class_info = *header.add_classes();
      class_info.set_name(of);
      class_info.set_worth(std::string(of) == "orders" ? 3 : 1);
      class_info.set_late_worth(0.5);
    }
    Add(start, record);
    wire::Record life_record;
    life_record.mutable_life()->set_what(wire::Life::STARTED);
    Add(start, life_record);
  }
  void Add(Micros at, wire::Record record) {
    record.set_at_us((at - start_).count());
    records.push_back(std::move(record));
  }
  void Version(Micros at, std::uint64_t version, std::vector<std::pair<std::uint32_t, int>> states = {}) {
    wire::Record record;
    record.mutable_members()->set_source("registry");
    record.mutable_members()->set_version(version);
    for (const auto& [server, state] : states) {
      wire::Member& member = *record.mutable_members()->add_members();
      member.set_server(server);
      member.set_state(static_cast<std::uint32_t>(state));
    }
    Add(at, record);
  }
  void Server(std::uint32_t number, const std::string& name) {
    wire::Record record;
    record.mutable_server()->set_number(number);
    record.mutable_server()->set_id(1000 + number);
    record.mutable_server()->set_name(name);
    Add(start_, record);
  }
  void Purge(Micros at, Micros made, std::uint64_t group) {
    wire::Record record;
    record.mutable_purge()->set_made_us((kDay + made).count());
    record.mutable_purge()->set_group(group);
    Add(at, record);
  }
  // `count` requests each of class 0 and class 1 that all had the same ending.
  void Window(Micros at, std::uint32_t count, record::RequestOutcome ending,
              std::uint32_t extra_received = 0) {
    wire::Record record;
    wire::Window& window = *record.mutable_window();
    window.set_length_us(100'000);
    for (std::uint32_t c = 0; c < 2; ++c) {
      window.add_came(c);
      window.add_came(count + extra_received);
      if (count == 0) continue;
      window.add_ended((std::uint64_t{1} * 2 + c) * 16 + static_cast<std::uint64_t>(ending));
      window.add_ended(count);
    }
    Add(at, record);
  }
  void Beat(Micros at, Micros moved = Micros{0}) {
    wire::Record record;
    record.mutable_heartbeat()->set_wall_us((kDay + at + skew_ + moved).count());
    record.mutable_heartbeat()->set_mono_us((mono_ + at - start_).count());
    Add(at, record);
  }
  void Stop(Micros at) {
    wire::Record record;
    record.mutable_life()->set_what(wire::Life::STOPPED);
    Add(at, record);
  }
  std::vector<wire::Record> records;
  const record::SegmentName& From() const { return from_; }

 private:
  record::SegmentName from_;
  Micros skew_, start_{0}, mono_;
};

// Feeds the records in a random interleaving that keeps each writer's order.
void Feed(InstanceTimelines& timelines, const std::vector<const Writer*>& writers, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<std::size_t> at(writers.size(), 0);
  std::vector<std::size_t> left;
  for (std::size_t i = 0; i < writers.size(); ++i) left.insert(left.end(), writers[i]->records.size(), i);
  std::shuffle(left.begin(), left.end(), random);
  for (const std::size_t i : left)
    timelines.OnRecord(writers[i]->From(), Micros{0}, writers[i]->records[at[i]++]);
}

std::vector<std::string> Texts(const FleetTimeline& fleet) {
  std::vector<std::string> out;
  for (const Event& event : fleet.events) out.push_back(event.text);
  return out;
}
const Event* Find(const FleetTimeline& fleet, EventKind kind, const std::string& text = "") {
  const auto found = std::find_if(fleet.events.begin(), fleet.events.end(), [&](const Event& event) {
    return event.kind == kind && event.text.find(text) != std::string::npos;
  });
  return found == fleet.events.end() ? nullptr : &*found;
}

// Guards against a timeline that depends on the order in which records are read or on a skewed clock: events
// further apart than their uncertainties must be in the true order, and every interleaving must give the same
// events.
RC_GTEST_PROP(FleetTimelineTest, EventsAreInTrueOrderWithinTheirUncertainties, (std::uint64_t seed)) {
  std::mt19937_64 random(seed);
  const auto random_below = [&](std::int64_t below) {
    return static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(below));
  };
  std::vector<Writer> writers;
  for (int i = 0; i < 3; ++i)
    writers.emplace_back("n" + std::to_string(i),
                         i == 2 ? Micros{random_below(3'000'000) - 1'500'000} : Micros{0});
  std::map<std::string, Micros> truth;
  Micros at = kSecond;
  for (std::uint64_t version = 1; version < 12; ++version) {
    at += Micros{100'000 + random_below(2'000'000)};
    const auto number = static_cast<std::uint32_t>(version);
    for (Writer& writer : writers) {
      writer.Server(number, "s" + std::to_string(version));
      if (version == 1) {
        std::vector<std::pair<std::uint32_t, int>> all;
        for (std::uint32_t s = 1; s < 12; ++s) all.emplace_back(s, 0);
        writer.Version(at + Micros{random_below(200'000)}, 1, all);
      } else {
        writer.Version(at + Micros{random_below(200'000)}, version, {{number, 1}});
      }
    }
    if (version > 1) truth["s" + std::to_string(version) + " was told to be draining"] = at;
    // A purge that only one instance receives.
    const std::size_t observer = random() % 3;
    const Micros purged_at = at + Micros{random_below(90'000)};
    writers[observer].Purge(purged_at, purged_at, 100 + version);
    truth["group " + std::to_string(100 + version) + " was purged"] = purged_at;
  }
  for (Writer& writer : writers) writer.Stop(at + kSecond);
  std::vector<const Writer*> all;
  for (const Writer& writer : writers) all.push_back(&writer);
  InstanceTimelines timelines, other;
  Feed(timelines, all, seed);
  Feed(other, all, seed + 1);
  const FleetTimeline fleet = BuildFleetTimeline(timelines, {});
  RC_ASSERT(Texts(fleet) == Texts(BuildFleetTimeline(other, {})));
  RC_ASSERT(fleet.contradictions.empty());
  std::size_t known = 0;
  for (std::size_t i = 0; i < fleet.events.size(); ++i) {
    const auto expected = truth.find(fleet.events[i].text);
    if (expected == truth.end()) continue;
    ++known;
    // An update reaches an instance up to 0.2 s after it was issued.
    const Micros error = fleet.events[i].at - kDay - expected->second;
    RC_ASSERT(error <= fleet.events[i].uncertainty + Micros{200'000} &&
              -error <= fleet.events[i].uncertainty);
    for (std::size_t j = i + 1; j < fleet.events.size(); ++j) {
      const auto later = truth.find(fleet.events[j].text);
      if (later == truth.end()) continue;
      const Micros tolerance = fleet.events[i].uncertainty + fleet.events[j].uncertainty + Micros{200'000};
      RC_ASSERT(expected->second <= later->second + tolerance);
    }
  }
  RC_ASSERT(known == truth.size());
}

TEST(FleetTimelineTest, SkewedClockIsCorrectedWithItsUncertainty) {
  Writer a("a", Micros{0}), b("b", Micros{0}), c("c", kSecond);
  for (Writer* const w : {&a, &b, &c}) {
    w->Server(1, "cache");
    w->Version(kSecond, 1, {{1, 0}});
    w->Version(5 * kSecond, 2, {{1, 1}});
    w->Version(9 * kSecond, 3);
    w->Stop(12 * kSecond);
  }
  InstanceTimelines timelines;
  Feed(timelines, {&a, &b, &c}, 1);
  const FleetTimeline fleet = BuildFleetTimeline(timelines, {});
  ASSERT_EQ(fleet.instances.size(), 3u);
  EXPECT_TRUE(fleet.instances[0].is_reference);
  ASSERT_TRUE(fleet.instances[2].offset);
  EXPECT_TRUE(fleet.instances[2].offset->Contains(kSecond));
  EXPECT_LE(fleet.instances[2].offset->Uncertainty(), Micros{300'000});
  const Event* const drain = Find(fleet, EventKind::kDraining);
  ASSERT_NE(drain, nullptr);
  EXPECT_EQ(drain->received_by.size(), 3u);
  EXPECT_LE(std::chrono::abs(drain->at - kDay - 5 * kSecond), Micros{300'000});
}

TEST(FleetTimelineTest, ClockStepBackShiftsNoOtherEvent) {
  Writer a("a", Micros{0});
  for (int i = 1; i < 10; ++i) a.Beat(i * kSecond, i >= 5 ? Micros{-1'000'000} : Micros{0});
  a.Purge(7 * kSecond, 7 * kSecond, 3);
  a.Stop(10 * kSecond);
  InstanceTimelines timelines;
  Feed(timelines, {&a}, 1);
  const FleetTimeline fleet = BuildFleetTimeline(timelines, {});
  const Event* const step = Find(fleet, EventKind::kClockStep);
  ASSERT_NE(step, nullptr);
  EXPECT_EQ(step->at, kDay + 5 * kSecond);
  EXPECT_NE(step->text.find("-1.00 s"), std::string::npos);
  EXPECT_EQ(Find(fleet, EventKind::kPurge)->at, kDay + 7 * kSecond);
}

TEST(FleetTimelineTest, MissingStopIsReportedAsDeathAndAsCause) {
  Writer a("a", Micros{0}), b("b", Micros{0}), again("b", Micros{0}, 20 * kSecond, 1);
  for (int i = 1; i < 40; ++i) {
    a.Window(i * kSecond, 10,
             i == 12 || i == 13 ? record::RequestOutcome::kFailed : record::RequestOutcome::kInTime);
    a.Beat(i * kSecond);
    if (i > 12) continue;
    b.Window(i * kSecond - 500 * kMilli, 10, record::RequestOutcome::kInTime, i == 12 ? 4 : 0);
    b.Beat(i * kSecond - 500 * kMilli);
  }
  a.Stop(40 * kSecond);
  again.Beat(39 * kSecond);
  InstanceTimelines timelines;
  Feed(timelines, {&a, &b, &again}, 3);
  const FleetTimeline fleet = BuildFleetTimeline(timelines, {});
  ASSERT_EQ(fleet.instances.size(), 3u);
  EXPECT_EQ(fleet.instances[0].end, Instance::End::kStopped);
  EXPECT_EQ(fleet.instances[1].end, Instance::End::kDied);
  EXPECT_EQ(fleet.instances[2].end, Instance::End::kOpen);  // its records end without a stop
  const Event* const died = Find(fleet, EventKind::kDied);
  ASSERT_NE(died, nullptr);
  EXPECT_EQ(died->at, kDay + Micros{11'500'000});
  EXPECT_EQ(died->received_by, std::vector<std::string>{"a"});
  EXPECT_EQ(fleet.total.lost, 8u);
  EXPECT_EQ(fleet.total.received, 39u * 20 + 12 * 20 + 8);
  ASSERT_EQ(fleet.incidents.size(), 1u);
  EXPECT_LE(fleet.incidents[0].from, kDay + 12 * kSecond);
  EXPECT_GE(fleet.incidents[0].to, kDay + 13 * kSecond);
  ASSERT_FALSE(fleet.incidents[0].causes.empty());
  EXPECT_EQ(fleet.incidents[0].causes[0].name, "instance died");
  const double requested_weight = 39 * 40 + 12 * 40 + 4 * 4, earned_weight = 37 * 40 + 12 * 40;
  EXPECT_NEAR(fleet.whole_share, earned_weight / requested_weight, 1e-9);
  EXPECT_NEAR(fleet.total.requested_weight, requested_weight, 1e-9);
}

TEST(FleetTimelineTest, OverlappingPurgesAndAWaveStaySeparate) {
  Writer a("a", Micros{0}), b("b", Micros{0});
  for (Writer* const w : {&a, &b}) {
    const Micros late = w == &b ? 80 * kMilli : Micros{0};
    for (int i = 0; i < 10; ++i)
      w->Purge(10 * kSecond + i * 100 * kMilli + late, 10 * kSecond + i * 100 * kMilli,
               static_cast<std::uint64_t>(i));
    w->Purge(10 * kSecond + 500 * kMilli + late, 10 * kSecond + 500 * kMilli, 3);  // group 3 again
    w->Stop(20 * kSecond);
  }
  InstanceTimelines timelines;
  Feed(timelines, {&a, &b}, 5);
  const FleetTimeline fleet = BuildFleetTimeline(timelines, {});
  const auto count = [&](EventKind kind) {
    return std::count_if(fleet.events.begin(), fleet.events.end(),
                         [&](const Event& event) { return event.kind == kind; });
  };
  EXPECT_EQ(count(EventKind::kPurge), 11);
  EXPECT_EQ(count(EventKind::kPurgeWave), 1);
  EXPECT_EQ(Find(fleet, EventKind::kPurgeWave)->at, kDay + 10 * kSecond);
}

TEST(FleetTimelineTest, OnlyTheRequestedRangeIsReported) {
  Writer a("a", Micros{0});
  for (int i = 1; i < 40; ++i) a.Window(i * kSecond, 10, record::RequestOutcome::kInTime);
  a.Stop(40 * kSecond);
  InstanceTimelines timelines;
  Feed(timelines, {&a}, 1);
  TimelineOptions options;
  options.from = kDay + 10 * kSecond;
  options.to = kDay + 20 * kSecond;
  const FleetTimeline fleet = BuildFleetTimeline(timelines, options);
  EXPECT_LE(fleet.total.received, 11u * 20);
  EXPECT_GE(fleet.total.received, 9u * 20);
  EXPECT_EQ(fleet.events.size(), 0u);
}

}  // namespace
}  // namespace tinspan::timeline
