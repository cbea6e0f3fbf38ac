// Many instances' records put together: clocks that disagree, deaths, gaps, incidents. Records are made here;
// what the story must say is known from how they were made.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

#include "timeline/merge.hpp"
#include "timeline/story.hpp"

namespace tinspan::timeline {
namespace {

constexpr Micros kDay{1'764'576'000'000'000};
constexpr Micros kMilli{1'000};
constexpr Micros kSecond{1'000'000};

// ---- Clocks. ----

RC_GTEST_PROP(OffsetsTest, TheTruthLiesInEveryIntervalAndLiesAreFlagged, ()) {
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
  const std::size_t honest = evidence.size();
  // A lie about a pair of which three honest pieces are there.
  if (honest > 0) {
    for (int i = 0; i < 2; ++i) evidence.push_back(evidence[0]);
    Evidence lie = evidence[0];
    lie.apart.least += Micros{5'000'000};
    lie.apart.most += Micros{5'000'000};
    evidence.push_back(lie);
  }
  const Offsets offsets(clocks, evidence);
  if (honest > 0) RC_ASSERT(offsets.Impossible() == std::vector<std::size_t>{evidence.size() - 1});
  for (std::size_t a = 0; a < clocks; ++a) {
    for (std::size_t b = 0; b < clocks; ++b) {
      const auto apart = offsets.Between(a, b);
      if (apart) RC_ASSERT(apart->Holds(Micros{truth[b] - truth[a]}));
    }
  }
}

TEST(OffsetsTest, AWayRoundThatDoesNotCloseIsFlaggedNotAveraged) {
  const auto apart = [](std::int64_t middle) { return Interval{Micros{middle - 100}, Micros{middle + 100}}; };
  // 0 to 1 and 1 to 2 are well supported; what one witness says of 0 and 2 cannot hold beside them.
  const std::vector<Evidence> evidence{{0, 1, apart(1000), ""},
                                       {0, 1, apart(1010), ""},
                                       {1, 2, apart(0), ""},
                                       {1, 2, apart(10), ""},
                                       {0, 2, apart(9000), ""}};
  const Offsets offsets(3, evidence);
  EXPECT_EQ(offsets.Impossible(), std::vector<std::size_t>{4});
  EXPECT_TRUE(offsets.Between(0, 2)->Holds(Micros{1010}));
  EXPECT_LE(offsets.Between(0, 2)->Uncertainty(), Micros{200});
  EXPECT_FALSE(Offsets(2, {}).Between(0, 1).has_value());
}

// ---- Whole stories. ----

// One instance's records: `skew` is how far its wall clock is ahead.
class Writer {
 public:
  Writer(std::string name, Micros skew, Micros start = Micros{0}, int life = 0)
      : skew_(skew), mono_(Micros{5'000'000 * (1 + life)} + start) {
    from_ = {"f", std::move(name), (kDay + start + skew).count(), 1};
    start_ = start;
    wire::Record record;
    wire::Header& header = *record.mutable_header();
    header.set_format(1);
    header.set_name(from_.prefix);
    header.set_wall_us((kDay + start + skew).count());
    header.set_mono_us(mono_.count());
    for (const char* const of : {"scans", "orders"}) {
      wire::Class& one = *header.add_classes();
      one.set_name(of);
      one.set_worth(std::string(of) == "orders" ? 3 : 1);
      one.set_late_worth(0.5);
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
      wire::Member& one = *record.mutable_members()->add_members();
      one.set_server(server);
      one.set_state(static_cast<std::uint32_t>(state));
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
  // A second's worth of requests of class 0 and 1 that all ended one way.
  void Window(Micros at, std::uint32_t count, record::Ending ending, std::uint32_t came_more = 0) {
    wire::Record record;
    wire::Window& window = *record.mutable_window();
    window.set_length_us(100'000);
    for (std::uint32_t c = 0; c < 2; ++c) {
      window.add_came(c);
      window.add_came(count + came_more);
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

// Feeds the records in any interleaving that keeps each writer's order.
void Feed(Course& course, const std::vector<const Writer*>& writers, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<std::size_t> at(writers.size(), 0);
  std::vector<std::size_t> left;
  for (std::size_t i = 0; i < writers.size(); ++i) left.insert(left.end(), writers[i]->records.size(), i);
  std::shuffle(left.begin(), left.end(), random);
  for (const std::size_t i : left)
    course.OnRecord(writers[i]->From(), Micros{0}, writers[i]->records[at[i]++]);
}

std::vector<std::string> Texts(const Story& story) {
  std::vector<std::string> out;
  for (const Event& event : story.events) out.push_back(event.text);
  return out;
}
const Event* Find(const Story& story, EventKind kind, const std::string& text = "") {
  const auto found = std::find_if(story.events.begin(), story.events.end(), [&](const Event& event) {
    return event.kind == kind && event.text.find(text) != std::string::npos;
  });
  return found == story.events.end() ? nullptr : &*found;
}

// Whatever the interleaving and the skew: events that are further apart than their uncertainties stand in the
// true order, and the same story is told.
RC_GTEST_PROP(StoryTest, EventsComeInTheTrueOrderWhereEvidenceDecidesIt, (std::uint64_t seed)) {
  std::mt19937_64 random(seed);
  const auto any = [&](std::int64_t below) {
    return static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(below));
  };
  std::vector<Writer> writers;
  for (int i = 0; i < 3; ++i)
    writers.emplace_back("n" + std::to_string(i), i == 2 ? Micros{any(3'000'000) - 1'500'000} : Micros{0});
  std::map<std::string, Micros> truth;
  Micros at = kSecond;
  for (std::uint64_t version = 1; version < 12; ++version) {
    at += Micros{100'000 + any(2'000'000)};
    const auto number = static_cast<std::uint32_t>(version);
    for (Writer& writer : writers) {
      writer.Server(number, "s" + std::to_string(version));
      if (version == 1) {
        std::vector<std::pair<std::uint32_t, int>> all;
        for (std::uint32_t s = 1; s < 12; ++s) all.emplace_back(s, 0);
        writer.Version(at + Micros{any(200'000)}, 1, all);
      } else {
        writer.Version(at + Micros{any(200'000)}, version, {{number, 1}});
      }
    }
    if (version > 1) truth["s" + std::to_string(version) + " was told to be draining"] = at;
    // What only one of them knows.
    const std::size_t who = random() % 3;
    const Micros then = at + Micros{any(90'000)};
    writers[who].Purge(then, then, 100 + version);
    truth["group " + std::to_string(100 + version) + " was purged"] = then;
  }
  for (Writer& writer : writers) writer.Stop(at + kSecond);
  std::vector<const Writer*> all;
  for (const Writer& writer : writers) all.push_back(&writer);
  Course course, other;
  Feed(course, all, seed);
  Feed(other, all, seed + 1);
  const Story story = Tell(course, {});
  RC_ASSERT(Texts(story) == Texts(Tell(other, {})));
  RC_ASSERT(story.impossible.empty());
  std::size_t known = 0;
  for (std::size_t i = 0; i < story.events.size(); ++i) {
    const auto mine = truth.find(story.events[i].text);
    if (mine == truth.end()) continue;
    ++known;
    // A word reaches an instance up to 0.2 s after it was given.
    const Micros off = story.events[i].at - kDay - mine->second;
    RC_ASSERT(off <= story.events[i].uncertain + Micros{200'000} && -off <= story.events[i].uncertain);
    for (std::size_t j = i + 1; j < story.events.size(); ++j) {
      const auto later = truth.find(story.events[j].text);
      if (later == truth.end()) continue;
      const Micros blur = story.events[i].uncertain + story.events[j].uncertain + Micros{200'000};
      RC_ASSERT(mine->second <= later->second + blur);
    }
  }
  RC_ASSERT(known == truth.size());
}

TEST(StoryTest, ASkewedClockIsSetRightAndShownWithItsUncertainty) {
  Writer a("a", Micros{0}), b("b", Micros{0}), c("c", kSecond);
  for (Writer* const w : {&a, &b, &c}) {
    w->Server(1, "cache");
    w->Version(kSecond, 1, {{1, 0}});
    w->Version(5 * kSecond, 2, {{1, 1}});
    w->Version(9 * kSecond, 3);
    w->Stop(12 * kSecond);
  }
  Course course;
  Feed(course, {&a, &b, &c}, 1);
  const Story story = Tell(course, {});
  ASSERT_EQ(story.instances.size(), 3u);
  EXPECT_TRUE(story.instances[0].reference);
  ASSERT_TRUE(story.instances[2].offset);
  EXPECT_TRUE(story.instances[2].offset->Holds(kSecond));
  EXPECT_LE(story.instances[2].offset->Uncertainty(), Micros{300'000});
  const Event* const drain = Find(story, EventKind::kDraining);
  ASSERT_NE(drain, nullptr);
  EXPECT_EQ(drain->heard.size(), 3u);
  EXPECT_LE(std::chrono::abs(drain->at - kDay - 5 * kSecond), Micros{300'000});
}

TEST(StoryTest, AClockThatStepsBackMovesNothingElse) {
  Writer a("a", Micros{0});
  for (int i = 1; i < 10; ++i) a.Beat(i * kSecond, i >= 5 ? Micros{-1'000'000} : Micros{0});
  a.Purge(7 * kSecond, 7 * kSecond, 3);
  a.Stop(10 * kSecond);
  Course course;
  Feed(course, {&a}, 1);
  const Story story = Tell(course, {});
  const Event* const step = Find(story, EventKind::kClockStep);
  ASSERT_NE(step, nullptr);
  EXPECT_EQ(step->at, kDay + 5 * kSecond);
  EXPECT_NE(step->text.find("-1.00 s"), std::string::npos);
  EXPECT_EQ(Find(story, EventKind::kPurge)->at, kDay + 7 * kSecond);
}

TEST(StoryTest, ADeathIsToldFromAMissingEndAndNamedAsTheCause) {
  Writer a("a", Micros{0}), b("b", Micros{0}), again("b", Micros{0}, 20 * kSecond, 1);
  for (int i = 1; i < 40; ++i) {
    a.Window(i * kSecond, 10, i == 12 || i == 13 ? record::Ending::kFailed : record::Ending::kInTime);
    a.Beat(i * kSecond);
    if (i > 12) continue;
    b.Window(i * kSecond - 500 * kMilli, 10, record::Ending::kInTime, i == 12 ? 4 : 0);
    b.Beat(i * kSecond - 500 * kMilli);
  }
  a.Stop(40 * kSecond);
  again.Beat(39 * kSecond);
  Course course;
  Feed(course, {&a, &b, &again}, 3);
  const Story story = Tell(course, {});
  ASSERT_EQ(story.instances.size(), 3u);
  EXPECT_EQ(story.instances[0].end, Instance::End::kStopped);
  EXPECT_EQ(story.instances[1].end, Instance::End::kDied);
  EXPECT_EQ(story.instances[2].end, Instance::End::kOpen);  // the records just end
  const Event* const died = Find(story, EventKind::kDied);
  ASSERT_NE(died, nullptr);
  EXPECT_EQ(died->at, kDay + Micros{11'500'000});
  EXPECT_EQ(died->heard, std::vector<std::string>{"a"});
  EXPECT_EQ(story.all.lost, 8u);
  EXPECT_EQ(story.all.came, 39u * 20 + 12 * 20 + 8);
  ASSERT_EQ(story.incidents.size(), 1u);
  EXPECT_LE(story.incidents[0].from, kDay + 12 * kSecond);
  EXPECT_GE(story.incidents[0].to, kDay + 13 * kSecond);
  ASSERT_FALSE(story.incidents[0].causes.empty());
  EXPECT_EQ(story.incidents[0].causes[0].what, "instance died");
  const double asked = 39 * 40 + 12 * 40 + 4 * 4, earned = 37 * 40 + 12 * 40;
  EXPECT_NEAR(story.whole, earned / asked, 1e-9);
  EXPECT_NEAR(story.all.asked, asked, 1e-9);
}

TEST(StoryTest, TwoOverlappingPurgesAndAWaveAreKeptApart) {
  Writer a("a", Micros{0}), b("b", Micros{0});
  for (Writer* const w : {&a, &b}) {
    const Micros late = w == &b ? 80 * kMilli : Micros{0};
    for (int i = 0; i < 10; ++i)
      w->Purge(10 * kSecond + i * 100 * kMilli + late, 10 * kSecond + i * 100 * kMilli,
               static_cast<std::uint64_t>(i));
    w->Purge(10 * kSecond + 500 * kMilli + late, 10 * kSecond + 500 * kMilli, 3);  // group 3 once more
    w->Stop(20 * kSecond);
  }
  Course course;
  Feed(course, {&a, &b}, 5);
  const Story story = Tell(course, {});
  const auto count = [&](EventKind kind) {
    return std::count_if(story.events.begin(), story.events.end(),
                         [&](const Event& event) { return event.kind == kind; });
  };
  EXPECT_EQ(count(EventKind::kPurge), 11);
  EXPECT_EQ(count(EventKind::kPurgeWave), 1);
  EXPECT_EQ(Find(story, EventKind::kPurgeWave)->at, kDay + 10 * kSecond);
}

TEST(StoryTest, OnlyWhatIsAskedForIsTold) {
  Writer a("a", Micros{0});
  for (int i = 1; i < 40; ++i) a.Window(i * kSecond, 10, record::Ending::kInTime);
  a.Stop(40 * kSecond);
  Course course;
  Feed(course, {&a}, 1);
  StoryRules rules;
  rules.from = kDay + 10 * kSecond;
  rules.to = kDay + 20 * kSecond;
  const Story story = Tell(course, rules);
  EXPECT_LE(story.all.came, 11u * 20);
  EXPECT_GE(story.all.came, 9u * 20);
  EXPECT_EQ(story.events.size(), 0u);
}

}  // namespace
}  // namespace tinspan::timeline
