// Incidents: periods in which clients were served worse than usual, with the candidate causes of each.
#include <algorithm>
#include <array>
#include <cmath>
#include <set>

#include "timeline/build_steps.hpp"

namespace tinspan::timeline {
namespace {

constexpr std::size_t kSmoothingSeconds = 3;  // averaged before they are compared with the bound
constexpr double kMinShareDrop = 0.05;        // an incident is at least this far below the median share...
constexpr double kMinDeviations = 4;          // ...and at least this many median deviations
constexpr Micros kMergeGap{5'000'000};        // periods closer than this are one incident
constexpr Micros kCauseWindow{10'000'000};    // a cause lies at most this long before an incident
constexpr Micros kSecond{1'000'000};

double Median(std::vector<double> values) {
  if (values.empty()) return 0;
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

// Requests of one class within an incident.
struct ClassSums {
  double requests = 0, refused = 0, failed = 0;
};

std::string CauseEvidence(const Event& event) {
  std::string out = event.text;
  if (event.kind != EventKind::kDied && event.received_by.size() > 1) {
    out += ", heard by " + std::to_string(event.received_by.size()) + " instances within " +
           FormatSeconds(event.last_received_after);
  }
  return out;
}

void AddCausesFromEvents(const FleetTimeline& fleet, Incident& incident) {
  std::vector<const Event*> drained, cold, started;
  const auto is_in_wave = [&](const Event& purge) {  // reported by its wave event
    return std::any_of(fleet.events.begin(), fleet.events.end(), [&](const Event& event) {
      return event.kind == EventKind::kPurgeWave && purge.at >= event.at &&
             purge.at - event.at < kCauseWindow;
    });
  };
  for (const Event& event : fleet.events) {
    if (event.at < incident.from - kCauseWindow || event.at > incident.to) continue;
    const auto add = [&](const char* what) {
      incident.causes.push_back({event.at, event.uncertainty, what, CauseEvidence(event)});
    };
    switch (event.kind) {
      case EventKind::kDied:
        add("instance died");
        break;
      case EventKind::kStopped:
      case EventKind::kCut:
        add("instance stopped");
        break;
      case EventKind::kStarted:
        started.push_back(&event);
        break;
      case EventKind::kPurgeWave:
        add("purge wave");
        break;
      case EventKind::kClockStep:
        add("clock moved");
        break;
      case EventKind::kGap:
        add("records missing");
        break;
      case EventKind::kDraining:
      case EventKind::kGone:
        drained.push_back(&event);
        break;
      case EventKind::kCold:
        cold.push_back(&event);
        break;
      case EventKind::kPurge:
        if (event.text.starts_with("group") && !is_in_wave(event)) add("group purged");
        break;
      default:
        break;
    }
  }
  // Several servers together are one cause, as in a rolling deploy or the loss of a zone.
  const auto add_server_cause = [&](const std::vector<const Event*>& events, const char* what,
                                    const char* verb) {
    if (events.empty()) return;
    std::set<std::string> names;
    for (const Event* const event : events) names.insert(event->subject);
    std::string text =
        std::to_string(names.size()) + (names.size() == 1 ? " server " : " servers ") + verb + ": ";
    std::size_t shown = 0;
    for (const std::string& name : names) {
      if (shown == 6) {
        text += ", ...";
        break;
      }
      text += (shown++ > 0 ? ", " : "") + name;
    }
    incident.causes.push_back({events.front()->at, events.front()->uncertainty, what, text});
  };
  add_server_cause(drained, "servers drained or gone", "were told to be draining or gone");
  add_server_cause(cold, "cold servers", "came, cold");
  if (started.size() == 1)
    incident.causes.push_back(
        {started[0]->at, started[0]->uncertainty, "instance started", started[0]->text});
  if (started.size() > 1) {
    incident.causes.push_back(
        {started[0]->at, started[0]->uncertainty, "instances started",
         std::to_string(started.size()) + " instances started, the first of them " + started[0]->subject});
  }
}

// Causes that show in the counts: failing servers, refused classes, lost connections, repeats by clients.
void AddCausesFromCounts(const InstanceTimelines& timelines, const MergedTimelines& merged,
                         const FleetTimeline& fleet, Incident& incident) {
  // Counts within the incident, and the time of the first failure.
  std::map<std::string, std::pair<ServerCounts, Micros>> by_kind;
  for (const ServerTimeline& server : fleet.servers) {
    for (const auto& [at, counts] : server.load) {
      if (at + kServerBucketWidth <= incident.from || at > incident.to) continue;
      auto& [sum, first] = by_kind[server.kind.empty() ? "servers" : server.kind];
      sum.attempts += counts.attempts;
      sum.failed += counts.failed;
      sum.rejected += counts.rejected;
      if (counts.failed + counts.rejected > 0 && first == Micros{0}) first = std::max(at, incident.from);
    }
  }
  for (const auto& [kind, totals] : by_kind) {
    const auto& [sum, first] = totals;
    const double share =
        static_cast<double>(sum.failed + sum.rejected) / std::max(1.0, static_cast<double>(sum.attempts));
    if (sum.failed + sum.rejected < 5 || share < 0.1) continue;
    incident.causes.push_back({first, kServerBucketWidth, kind + " slow or failing",
                               std::to_string(sum.failed) + " of " + std::to_string(sum.attempts) +
                                   " attempts at " + kind + " went wrong and " +
                                   std::to_string(sum.rejected) + " were turned away"});
  }
  std::vector<ClassSums> sums(merged.class_names.size());
  for (const ServicePoint& point : fleet.points) {
    if (point.at + kSecond <= incident.from || point.at > incident.to) continue;
    for (std::size_t c = 0; c < sums.size(); ++c) {
      sums[c].requests +=
          merged.class_weights[c] > 0 ? point.requested_weight[c] / merged.class_weights[c] : 0;
      sums[c].refused += static_cast<double>(point.refused[c]);
      sums[c].failed += static_cast<double>(point.failed[c]);
    }
  }
  for (std::size_t c = 0; c < sums.size(); ++c) {
    if (sums[c].refused < 5 || sums[c].refused < 0.05 * sums[c].requests) continue;
    incident.causes.push_back({incident.from, kSecond, "refusals of " + merged.class_names[c],
                               FormatPercent(sums[c].refused / std::max(sums[c].requests, 1.0)) + " of " +
                                   merged.class_names[c] + " were refused (" +
                                   std::to_string(std::llround(sums[c].refused)) + ")"});
  }
  std::map<ServerKey, std::pair<std::uint32_t, Micros>> lost;
  for (std::size_t i = 0; i < merged.incarnations.size(); ++i) {
    for (const Incarnation::LostConnections& loss : merged.incarnations[i]->lost_connections) {
      const Micros at = merged.ReferenceTime(i, loss.at);
      if (at < incident.from - kCauseWindow || at > incident.to) continue;
      auto& [open, first] = lost[loss.server];
      open += loss.open_requests;
      first = first == Micros{0} ? at : std::min(first, at);
    }
  }
  std::uint32_t open = 0;
  Micros first = Micros::max();
  std::string names;
  for (const auto& [server, totals] : lost) {
    open += totals.first;
    first = std::min(first, totals.second);
    const auto found = timelines.Servers().find(server);
    if (found != timelines.Servers().end() && names.size() < 80)
      names += (names.empty() ? "" : ", ") + found->second.name;
  }
  if (open >= 2) {
    incident.causes.push_back(
        {first, kSecond, "connections lost",
         "connections to " + names + " broke with " + std::to_string(open) + " requests open"});
  }
  std::uint64_t repeats = 0, received = 0;
  for (const Incarnation* const incarnation : merged.incarnations) {
    const std::size_t index = static_cast<std::size_t>(
        std::find(merged.incarnations.begin(), merged.incarnations.end(), incarnation) -
        merged.incarnations.begin());
    for (const auto& [second, by_class] : incarnation->counts_by_second) {
      const Micros at = merged.ReferenceTime(index, second * kSecond);
      if (at + kSecond <= incident.from || at > incident.to) continue;
      for (const ClassCounts& counts : by_class) {
        repeats += counts.repeats;
        received += counts.received;
      }
    }
  }
  if (repeats >= 5 && static_cast<double>(repeats) > 0.05 * static_cast<double>(received)) {
    incident.causes.push_back(
        {incident.from, kSecond, "client retries",
         std::to_string(repeats) + " of " + std::to_string(received) + " requests were repeats by clients"});
  }
}

}  // namespace

void BuildIncidents(const InstanceTimelines& timelines, const MergedTimelines& merged, FleetTimeline& fleet) {
  std::vector<double> shares;
  for (const ServicePoint& point : fleet.points) {
    if (point.RequestedWeight() > 0) shares.push_back(point.EarnedWeight() / point.RequestedWeight());
  }
  fleet.median_share = shares.empty() ? 1 : Median(shares);
  std::vector<double> deviations;
  for (const double share : shares) deviations.push_back(std::abs(share - fleet.median_share));
  const double bound = fleet.median_share - std::max(kMinShareDrop, kMinDeviations * Median(deviations));
  for (std::size_t i = 0; i < fleet.points.size(); ++i) {
    double requested_weight = 0, earned_weight = 0;
    std::size_t from = i + 1 < kSmoothingSeconds ? 0 : i + 1 - kSmoothingSeconds;
    while (fleet.points[i].at - fleet.points[from].at >=
           static_cast<std::int64_t>(kSmoothingSeconds) * kSecond)
      ++from;
    for (std::size_t j = from; j <= i; ++j) {
      requested_weight += fleet.points[j].RequestedWeight();
      earned_weight += fleet.points[j].EarnedWeight();
    }
    const ServicePoint& point = fleet.points[i];
    if (requested_weight <= 0 || earned_weight / requested_weight >= bound || point.RequestedWeight() <= 0)
      continue;
    // The incident began with the first second whose own share was below the bound.
    std::size_t begin = from;
    while (begin < i &&
           (fleet.points[begin].RequestedWeight() <= 0 ||
            fleet.points[begin].EarnedWeight() / fleet.points[begin].RequestedWeight() >= bound)) {
      ++begin;
    }
    if (point.EarnedWeight() / point.RequestedWeight() >= bound && begin == i) continue;
    if (fleet.incidents.empty() || fleet.points[begin].at - fleet.incidents.back().to > kMergeGap) {
      fleet.incidents.emplace_back().from = fleet.points[begin].at;
    }
    Incident& incident = fleet.incidents.back();
    if (point.EarnedWeight() / point.RequestedWeight() < bound) incident.to = point.at + kSecond;
    incident.to = std::max(incident.to, fleet.points[begin].at + kSecond);
  }
  for (Incident& incident : fleet.incidents) {
    for (const ServicePoint& point : fleet.points) {
      if (point.at < incident.from || point.at >= incident.to || point.RequestedWeight() <= 0) continue;
      incident.worst_share =
          std::min(incident.worst_share, std::max(0.0, point.EarnedWeight() / point.RequestedWeight()));
      incident.missed_weight += point.RequestedWeight() - point.EarnedWeight();
    }
    AddCausesFromEvents(fleet, incident);
    AddCausesFromCounts(timelines, merged, fleet, incident);
    std::stable_sort(incident.causes.begin(), incident.causes.end(),
                     [](const Cause& a, const Cause& b) { return a.at < b.at; });
  }
}

}  // namespace tinspan::timeline
