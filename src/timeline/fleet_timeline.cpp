#include "timeline/fleet_timeline.hpp"

#include <algorithm>

#include "setup/time_text.hpp"
#include "timeline/build_steps.hpp"

namespace tinspan::timeline {
namespace {

constexpr std::size_t kMaxWorstRequests = 24;

std::string ClockText(Micros at) { return FormatTime(at).substr(11, 12); }  // HH:MM:SS.mmm

std::string PlusMinusText(Micros uncertainty) {
  return uncertainty > Micros{0} ? " (± " + FormatSeconds(uncertainty) + ")" : "";
}

}  // namespace

void BuildSummary(FleetTimeline& fleet) {
  std::vector<std::string>& out = fleet.sentences;
  out.push_back("From " + FormatTime(fleet.from).substr(0, 19) + "Z to " +
                FormatTime(fleet.to).substr(0, 19) + "Z, " + std::to_string(fleet.instances.size()) +
                (fleet.instances.size() == 1 ? " life of an instance" : " lives of instances") + " took " +
                std::to_string(fleet.total.received) + " requests; " + FormatPercent(fleet.whole_share) +
                " of the worth was answered in time. Service: " + FormatPercent(fleet.ServiceFigure()) +
                " (whole run " + FormatPercent(fleet.whole_share) + ", worst 10 s " +
                FormatPercent(fleet.worst_10s_share) + " at " + ClockText(fleet.worst_10s_at) +
                ", worst class " + FormatPercent(fleet.worst_class_share) + ").");
  for (const Incident& incident : fleet.incidents) {
    std::string text = "Incident from " + ClockText(incident.from) + " to " + ClockText(incident.to) +
                       ": the share fell to " + FormatPercent(incident.worst_share) +
                       " (the day's course: " + FormatPercent(fleet.median_share) + ").";
    if (incident.causes.empty()) text += " Nothing in the records comes before it.";
    for (const Cause& cause : incident.causes) {
      if (cause.name.starts_with("instance") && cause.name.find("started") != std::string::npos)
        continue;  // listed in the table of causes
      text += " " + ClockText(cause.at) + PlusMinusText(cause.uncertainty) + ": " + cause.evidence + ".";
    }
    out.push_back(std::move(text));
  }
  if (fleet.incidents.empty()) out.push_back("No stretch fell under the day's course.");
  std::size_t died = 0;
  for (const Instance& instance : fleet.instances) died += instance.end == Instance::End::kDied ? 1 : 0;
  if (died > 0)
    out.push_back(std::to_string(died) + (died == 1 ? " instance" : " instances") + " died; " +
                  std::to_string(fleet.total.lost) +
                  " requests were open there and had no answer on record.");
  const auto count_late = [](const auto& lines) {
    return std::count_if(lines.begin(), lines.end(), [](const auto& line) { return !line.within_limit; });
  };
  if (!fleet.drains.empty())
    out.push_back(std::to_string(fleet.drains.size()) +
                  " drains were heard; after the limit something still went out at " +
                  std::to_string(count_late(fleet.drains)) + " of them.");
  if (!fleet.purges.empty())
    out.push_back(
        std::to_string(fleet.purges.size()) +
        " purges were heard; what was sent after the limit was still answered by an older copy at " +
        std::to_string(count_late(fleet.purges)) + " of them.");
  if (!fleet.contradictions.empty())
    out.push_back(std::to_string(fleet.contradictions.size()) +
                  " pieces of evidence on the clocks cannot hold and are left out.");
  if (!fleet.read_errors.empty())
    out.push_back(std::to_string(fleet.read_errors.size()) + " places in the records could not be read.");
}

FleetTimeline BuildFleetTimeline(const InstanceTimelines& timelines, const TimelineOptions& options) {
  FleetTimeline fleet;
  const MergedTimelines merged = MergeTimelines(timelines, options, fleet);
  BuildEvents(timelines, merged, fleet);
  BuildService(merged, options, fleet);
  BuildServers(timelines, merged, fleet);
  for (DrainOutcome& line : fleet.drains)
    line.within_limit = line.sent_after == 0 || line.last_sent_after <= options.drain_limit;
  for (PurgeOutcome& line : fleet.purges)
    line.within_limit = line.older_copies_served == 0 || line.last_sent_after <= options.purge_limit;
  const auto is_outside = [&](const auto& line) {
    return line.received_at < fleet.from || line.received_at > fleet.to;
  };
  std::erase_if(fleet.drains, is_outside);
  std::erase_if(fleet.purges, is_outside);
  const auto is_earlier = [](const auto& a, const auto& b) { return a.received_at < b.received_at; };
  std::stable_sort(fleet.drains.begin(), fleet.drains.end(), is_earlier);
  std::stable_sort(fleet.purges.begin(), fleet.purges.end(), is_earlier);
  BuildIncidents(timelines, merged, fleet);
  for (std::size_t i = 0; i < merged.incarnations.size(); ++i) {
    const Incarnation& incarnation = *merged.incarnations[i];
    for (const Incarnation::NotableRequest& request : incarnation.worst_requests) {
      const Micros at = merged.ReferenceTime(i, request.at);
      if (at >= fleet.from && at <= fleet.to)
        fleet.worst_requests.push_back({incarnation.name, at, request.trace, &incarnation.dictionary});
    }
  }
  std::stable_sort(fleet.worst_requests.begin(), fleet.worst_requests.end(),
                   [](const WorstRequest& a, const WorstRequest& b) {
                     const auto severity = [](const WorstRequest& line) {
                       const auto ending = static_cast<record::RequestOutcome>(line.trace.verdict());
                       const int kind = ending == record::RequestOutcome::kRejected ? 1
                                        : ending == record::RequestOutcome::kLate ||
                                                ending == record::RequestOutcome::kLateStale
                                            ? 0
                                            : 2;
                       return std::pair(kind, line.trace.took_us());
                     };
                     return severity(a) > severity(b);
                   });
  if (fleet.worst_requests.size() > kMaxWorstRequests)
    fleet.worst_requests.erase(fleet.worst_requests.begin() + kMaxWorstRequests, fleet.worst_requests.end());
  for (const record::ReadError& error : timelines.ReadErrors()) {
    fleet.read_errors.push_back(error.file + ": offset " + std::to_string(error.offset) + ": " +
                                error.message);
  }
  BuildSummary(fleet);
  return fleet;
}

}  // namespace tinspan::timeline
