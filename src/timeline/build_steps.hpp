// The steps of BuildFleetTimeline, in the order in which it calls them: each adds its part to the fleet
// timeline and may use the parts of the steps before. Internal, apart from the text functions, which the
// report uses.
#pragma once

#include "timeline/fleet_timeline.hpp"

namespace tinspan::timeline {

// All incarnations, with what converts their clocks to the reference clock.
struct MergedTimelines {
  std::vector<const Incarnation*> incarnations;
  std::vector<Micros> clock_shifts;  // subtracted from an incarnation's local time
  std::vector<Micros> uncertainty;
  std::vector<std::optional<Micros>> died_at;  // on the reference clock; empty: did not die
  std::vector<std::string> class_names;        // of all incarnations
  std::vector<double> class_weights;
  Micros ReferenceTime(std::size_t incarnation, Micros local_time) const {
    return local_time - clock_shifts[incarnation];
  }
};

// Source updates and purges that two incarnations both received, as evidence on their clocks.
std::vector<Evidence> GatherClockEvidence(const std::vector<const Incarnation*>& incarnations,
                                          const TimelineOptions& options);
MergedTimelines MergeTimelines(const InstanceTimelines& timelines, const TimelineOptions& options,
                               FleetTimeline& fleet);  // clocks, instances, deaths, range
void BuildEvents(const InstanceTimelines& timelines, const MergedTimelines& merged,
                 FleetTimeline& fleet);  // events
void BuildService(const MergedTimelines& merged, const TimelineOptions& options,
                  FleetTimeline& fleet);  // points, tallies, latency
// Servers with their state bands and load, drains, purges.
void BuildServers(const InstanceTimelines& timelines, const MergedTimelines& merged, FleetTimeline& fleet);
void BuildIncidents(const InstanceTimelines& timelines, const MergedTimelines& merged, FleetTimeline& fleet);
// The sentences, from all other parts.
void BuildSummary(FleetTimeline& fleet);
// Such as "group 17" or "object 00000000000000a1".
std::string PurgeSubject(std::uint64_t group, std::uint64_t object);
std::string FormatSeconds(Micros time);  // such as "0.25 s"
std::string FormatPercent(double share);

}  // namespace tinspan::timeline
