// One timeline built from the flight-recorder records of many instances: the events with their times and
// uncertainties, how well clients were served, and the candidate causes of each incident. Pure.
//
// All times are on the reference clock, the clock that agrees with most others (Offsets::Reference). The
// uncertainty of an event is that of its instance's clock offset. Where no evidence links an instance to the
// others, its times stay on its own clock and Instance::offset is empty. A gap in the records becomes an
// event of its own; nothing is inferred for a period without records.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "timeline/instance_timelines.hpp"
#include "timeline/offsets.hpp"

namespace tinspan::timeline {

// The range to report on and the limits to judge by.
struct TimelineOptions {
  std::optional<Micros> from, to;  // empty: from the first record, to the last
  // The longest time between two instances' receipt of the same source update or purge.
  Micros max_update_spread{300'000};
  // An incarnation whose records end without a stop counts as died if records of other instances continue for
  // longer than this after its last record.
  Micros death_timeout{2'500'000};
  // After a drain was received, no request may be sent to the server later than this.
  Micros drain_limit{500'000};
  // A request sent later than this after a purge was received may not be answered by an older copy.
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
// The name of the kind as the report shows it.
const char* Name(EventKind kind);

struct Event {
  Micros at{0};
  Micros uncertainty{0};
  EventKind kind = EventKind::kStarted;
  std::string subject;                   // an instance or a server; empty: the whole fleet
  std::string text;                      // a sentence, without the time
  std::vector<std::string> received_by;  // names of the instances that received or noticed it
  Micros last_received_after{0};         // from `at` to its receipt by the last of them
};

// One incarnation of an instance.
struct Instance {
  std::string name;
  std::int64_t incarnation = 0;
  std::string version;
  Micros from{0}, to{0};
  std::optional<Interval> offset;  // its clock minus the reference clock; empty: not known
  bool is_reference = false;
  enum class End { kStopped, kCut, kDied, kOpen } end = End::kOpen;  // kOpen: the records end
  std::uint64_t received = 0, dropped_records = 0;
};

// Totals of one request class, or of all classes together.
struct Tally {
  std::string name;
  double requested_weight = 0, earned_weight = 0;     // sums of priority weights
  std::uint64_t received = 0, repeats = 0, lost = 0;  // lost: open when the instance died
  std::array<std::uint64_t, record::kRequestOutcomeCount> ended{};
  double EarnedShare() const { return requested_weight > 0 ? earned_weight / requested_weight : 1; }
};

// How clients were served within one second.
struct ServicePoint {
  Micros at{0};
  std::vector<double> requested_weight, earned_weight;  // per class
  std::vector<std::uint64_t> refused, failed;           // per class
  // Sums over all classes.
  double RequestedWeight() const;
  double EarnedWeight() const;
};

// Latency of the served requests of one class within one kLatencyBucketWidth.
struct ClassLatency {
  Micros at{0};
  std::uint32_t class_id = 0;
  Micros p50{0}, p99{0};
};

// The states and the load of one server over time.
struct ServerTimeline {
  std::string name, address, zone, kind;
  struct StateBand {
    Micros from{0}, to{0};
    Availability state = Availability::kUp;
  };
  std::vector<StateBand> bands;
  std::uint64_t attempts = 0, failed = 0, rejected = 0;
  std::vector<std::pair<Micros, ServerCounts>> load;  // per kServerBucketWidth, by its start
};

// What one instance still sent to a server after it received the server's drain.
struct DrainOutcome {
  std::string server, instance;
  Micros received_at{0};
  std::uint32_t sent_after = 0;
  Micros last_sent_after{0};  // from the receipt of the drain to the last request sent
  bool within_limit = true;   // no request was sent after TimelineOptions::drain_limit
};
// What older copies still answered at one instance after it received a purge.
struct PurgeOutcome {
  std::string subject, instance;  // "group 17" or "object ..."
  Micros received_at{0};
  std::uint32_t older_copies_served = 0;
  Micros last_sent_after{0}, last_served_after{0};  // since the receipt
  bool within_limit = true;                         // see TimelineOptions::purge_limit
};

// A candidate cause of an incident.
struct Cause {
  Micros at{0};
  Micros uncertainty{0};
  std::string name;      // such as "instance died"
  std::string evidence;  // a sentence
};
// A period in which the earned share of priority weight was clearly below the median.
struct Incident {
  Micros from{0}, to{0};
  double worst_share = 1;     // earned share of the requested weight in its worst second
  double missed_weight = 0;   // weight that was requested and not earned
  std::vector<Cause> causes;  // ordered by time
};

// One of the requests that went worst, with its trace.
struct WorstRequest {
  std::string instance;
  Micros at{0};
  wire::Trace trace;
  const record::Dictionary* dictionary = nullptr;  // owned by the InstanceTimelines
};

// The whole timeline. Refers to the InstanceTimelines that it was built from.
struct FleetTimeline {
  Micros from{0}, to{0};
  double median_share = 1;  // earned share of the median second
  double whole_share = 1, worst_10s_share = 1, worst_class_share = 1;
  Micros worst_10s_at{0};
  double ServiceFigure() const {
    return 0.65 * whole_share + 0.15 * worst_10s_share + 0.20 * worst_class_share;
  }
  Tally total;  // of all classes
  std::vector<Tally> classes;
  std::vector<Instance> instances;
  std::vector<std::string> contradictions;  // clock evidence that contradicts the better supported rest
  std::vector<Event> events;
  std::vector<ServicePoint> points;
  std::vector<ClassLatency> latency;
  std::vector<ServerTimeline> servers;
  std::vector<DrainOutcome> drains;
  std::vector<PurgeOutcome> purges;
  std::vector<Incident> incidents;
  std::vector<WorstRequest> worst_requests;
  std::vector<std::string> read_errors;  // places in the records that could not be read
  std::vector<std::string> sentences;    // the summary
};

// `timelines` must outlive the result.
FleetTimeline BuildFleetTimeline(const InstanceTimelines& timelines, const TimelineOptions& options);

}  // namespace tinspan::timeline
