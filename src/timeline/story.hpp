// One course of events out of many instances' records: what happened, when, how sure that is, how well
// clients were served, and for each incident what came before it. Pure.
//
// Times are told by the clock that agrees with most (Offsets::Reference). An event's uncertainty is that of
// its instance's offset; where no evidence links an instance to the others, its own clock stands and it is
// said so. Gaps are shown as gaps. Nothing is guessed at where the records are silent.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "timeline/course.hpp"
#include "timeline/offsets.hpp"

namespace tinspan::timeline {

struct StoryRules {
  std::optional<Micros> from, to;
  // One word of a source reaches two instances within this of each other.
  Micros spread{300'000};
  // An incarnation without an end has died if others' records go on for so long after its last.
  Micros missed{2'500'000};
  Micros drain_limit{500'000};
  Micros purge_limit{1'000'000};
};

enum class EventKind {
  kStarted,
  kDied,
  kStopped,
  kCut,
  kSignalled,
  kReloaded,
  kReloadRefused,
  kClockStep,
  kGap,
  kUp,
  kCold,
  kDraining,
  kGone,
  kPurge,
  kPurgeWave
};
const char* Name(EventKind kind);

struct Event {
  Micros at{0};
  Micros uncertain{0};
  EventKind kind = EventKind::kStarted;
  std::string who;                 // an instance or a server; empty: the fleet
  std::string text;                // a sentence without its time
  std::vector<std::string> heard;  // by which instances, where it was told to several
  Micros last_heard{0};            // by the last of them, after `at`
};

struct Instance {
  std::string name;
  std::int64_t incarnation = 0;
  std::string version;
  Micros from{0}, to{0};
  std::optional<Interval> offset;  // of its clock, less the reference's; none: not known
  bool reference = false;
  enum class End { kStopped, kCut, kDied, kOpen } end = End::kOpen;  // kOpen: the records just end
  std::uint64_t came = 0, dropped = 0;
};

struct Tally {  // of one class, or of all
  std::string name;
  double asked = 0, earned = 0;                   // worth
  std::uint64_t came = 0, repeats = 0, lost = 0;  // lost: open when their instance died
  std::array<std::uint64_t, record::kEndings> ended{};
  double Share() const { return asked > 0 ? earned / asked : 1; }
};

struct Point {  // one second
  Micros at{0};
  std::vector<double> asked, earned;        // by class
  std::vector<std::uint64_t> refused, bad;  // by class
  double Asked() const;
  double Earned() const;
};

struct Latency {
  Micros at{0};
  std::uint32_t class_id = 0;
  Micros p50{0}, p99{0};
};

struct ServerStory {
  std::string name, address, zone, kind;
  struct Band {
    Micros from{0}, to{0};
    Availability state = Availability::kUp;
  };
  std::vector<Band> bands;
  std::uint64_t attempts = 0, bad = 0, full = 0;
  std::vector<std::pair<Micros, ServerCell>> load;  // by bin
};

struct DrainLine {
  std::string server, instance;
  Micros told{0};
  std::uint32_t sent = 0;
  Micros last{0};
  bool kept = true;  // nothing went out after the limit
};
struct PurgeLine {
  std::string what, instance;  // "group 17" or "object ..."
  Micros told{0};
  std::uint32_t served = 0;
  Micros last_sent{0}, last_served{0};
  bool kept = true;
};

struct Cause {
  Micros at{0};
  Micros uncertain{0};
  std::string what;      // such as "instance died"
  std::string evidence;  // a sentence
};
struct Incident {
  Micros from{0}, to{0};
  double worst = 1;           // share of the worth earned in its worst second
  double missed = 0;          // worth asked for and not earned in time
  std::vector<Cause> causes;  // in order of time
};

struct WorstLine {
  std::string instance;
  Micros at{0};
  wire::Trace trace;
  const record::Book* book = nullptr;
};

struct Story {
  Micros from{0}, to{0};
  double usual = 1;  // the day's course: the median second's share
  double whole = 1, worst_ten = 1, worst_class = 1;
  Micros worst_ten_at{0};
  double Service() const { return 0.65 * whole + 0.15 * worst_ten + 0.20 * worst_class; }
  Tally all;
  std::vector<Tally> classes;
  std::vector<Instance> instances;
  std::vector<std::string> impossible;  // evidence on clocks that cannot hold
  std::vector<Event> events;
  std::vector<Point> points;
  std::vector<Latency> latency;
  std::vector<ServerStory> servers;
  std::vector<DrainLine> drains;
  std::vector<PurgeLine> purges;
  std::vector<Incident> incidents;
  std::vector<WorstLine> worst;
  std::vector<std::string> troubles;
  std::vector<std::string> sentences;  // what happened, in short
};

// `course` has to outlive the story.
Story Tell(const Course& course, const StoryRules& rules);

}  // namespace tinspan::timeline
