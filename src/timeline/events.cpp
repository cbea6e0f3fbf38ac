// The events in order of time (starts and stops of instances, server states, purges), the servers' timelines,
// and what was still sent or served after drains and purges.
#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include "timeline/build_steps.hpp"

namespace tinspan::timeline {
namespace {

// The same change, received by several instances within this time, is one event.
constexpr Micros kSameChangeWindow{3'000'000};
constexpr Micros kPurgeWaveGap{2'000'000};   // purges at most this far apart belong to one wave
constexpr std::size_t kMinPurgesInWave = 8;  // fewer are not a wave

// The receipt of one change by one incarnation.
struct Observation {
  Micros at{0};
  std::size_t incarnation = 0;
};

// Combines what several instances received of the same change into one event.
template <class Key, class MakeEvent>
void GroupObservations(const MergedTimelines& merged, std::map<Key, std::vector<Observation>>& observations,
                       const FleetTimeline& fleet, MakeEvent make_event, std::vector<Event>& out) {
  for (auto& [key, list] : observations) {
    std::stable_sort(list.begin(), list.end(),
                     [](const Observation& a, const Observation& b) { return a.at < b.at; });
    for (std::size_t i = 0; i < list.size();) {
      std::set<std::size_t> observers;
      std::size_t j = i;
      for (; j < list.size() && list[j].at - list[i].at <= kSameChangeWindow &&
             observers.insert(list[j].incarnation).second;
           ++j) {
      }
      Event event = make_event(key);
      event.at = list[i].at;
      event.uncertainty = merged.uncertainty[list[i].incarnation];
      for (std::size_t k = i; k < j; ++k)
        event.received_by.push_back(fleet.instances[list[k].incarnation].name);
      event.last_received_after = list[j - 1].at - list[i].at;
      out.push_back(std::move(event));
      i = j;
    }
  }
}

std::string ServerName(const InstanceTimelines& timelines, ServerKey key) {
  const auto found = timelines.Servers().find(key);
  return found == timelines.Servers().end() ? "server " + std::to_string(key % 100'000) : found->second.name;
}

void BuildLifecycleEvents(const MergedTimelines& merged, std::vector<Event>& out,
                          const FleetTimeline& fleet) {
  for (std::size_t i = 0; i < merged.incarnations.size(); ++i) {
    const Incarnation& incarnation = *merged.incarnations[i];
    const auto add = [&](Micros at, EventKind kind, std::string text) {
      out.push_back({merged.ReferenceTime(i, at),
                     merged.uncertainty[i],
                     kind,
                     incarnation.name,
                     std::move(text),
                     {},
                     Micros{0}});
    };
    for (const Incarnation::LifecycleEvent& event : incarnation.lifecycle_events) {
      switch (event.kind) {
        case wire::Life::STARTED:
          add(event.at, EventKind::kStarted,
              incarnation.name + " started, version " + incarnation.dictionary.Header().version());
          break;
        case wire::Life::SIGNALLED:
          add(event.at, EventKind::kSignalled,
              incarnation.name + " got signal " + std::to_string(event.signal));
          break;
        case wire::Life::RELOADED:
          add(event.at, EventKind::kReloaded, incarnation.name + " read its configuration anew");
          break;
        case wire::Life::RELOAD_REFUSED:
          add(event.at, EventKind::kReloadRefused,
              incarnation.name + " kept its old configuration: the new one was refused");
          break;
        case wire::Life::STOPPED:
          add(event.at, EventKind::kStopped, incarnation.name + " stopped with all answered");
          break;
        case wire::Life::CUT:
          add(event.at, EventKind::kCut,
              incarnation.name + " stopped with " + std::to_string(event.open_requests) + " requests open");
          break;
        default:
          break;
      }
    }
    for (const Incarnation::ClockStep& step : incarnation.clock_steps) {
      add(step.at, EventKind::kClockStep,
          "the clock of " + incarnation.name + " moved by " + FormatSeconds(step.by));
    }
    for (const Micros gap : incarnation.gaps) {
      add(gap, EventKind::kGap, incarnation.name + " could not record everything before this");
    }
    if (merged.died_at[i]) {
      // Added uncertainty: records are written to disk ten times a second, and a heartbeat is recorded once a
      // second.
      Event event{*merged.died_at[i],
                  merged.uncertainty[i] + Micros{1'000'000},
                  EventKind::kDied,
                  incarnation.name,
                  "",
                  {},
                  Micros{0}};
      event.text = incarnation.name + " died with " + std::to_string(incarnation.open_requests) +
                   (incarnation.open_requests == 1 ? " request" : " requests") +
                   " open: its records end without a word";
      for (const Instance& other : fleet.instances) {
        if (other.to > event.at + Micros{2'000'000} && other.from < event.at &&
            other.name != incarnation.name) {
          event.received_by.push_back(other.name);
        }
      }
      if (!event.received_by.empty())
        event.text += " while " + std::to_string(event.received_by.size()) + " others went on";
      out.push_back(std::move(event));
    }
  }
}

void BuildServerStateEvents(const InstanceTimelines& timelines, const MergedTimelines& merged,
                            std::vector<Event>& out, const FleetTimeline& fleet) {
  using Key = std::pair<ServerKey, EventKind>;
  std::map<Key, std::vector<Observation>> observations;
  for (std::size_t i = 0; i < merged.incarnations.size(); ++i) {
    for (const Incarnation::ServerStateChange& change : merged.incarnations[i]->server_changes) {
      if (change.is_in_first_list && change.state == Availability::kUp)
        continue;  // it was up when the instance started
      const bool is_cold = change.state == Availability::kUp && change.previous == Availability::kRemoved;
      const EventKind kind = change.state == Availability::kDraining  ? EventKind::kDraining
                             : change.state == Availability::kRemoved ? EventKind::kGone
                             : is_cold                                ? EventKind::kCold
                                                                      : EventKind::kUp;
      observations[{change.server, kind}].push_back({merged.ReferenceTime(i, change.at), i});
    }
  }
  GroupObservations(
      merged, observations, fleet,
      [&](const Key& key) {
        Event event;
        event.kind = key.second;
        event.subject = ServerName(timelines, key.first);
        event.text = event.subject + (key.second == EventKind::kDraining ? " was told to be draining"
                                      : key.second == EventKind::kGone   ? " was told to be gone"
                                      : key.second == EventKind::kCold   ? " came, cold"
                                                                         : " was told to be up again");
        return event;
      },
      out);
}

void BuildPurgeEvents(const MergedTimelines& merged, std::vector<Event>& out, const FleetTimeline& fleet) {
  using Key = std::pair<std::uint64_t, std::uint64_t>;
  std::map<Key, std::vector<Observation>> observations;
  for (std::size_t i = 0; i < merged.incarnations.size(); ++i) {
    for (const Incarnation::Purge& purge : merged.incarnations[i]->purges) {
      observations[{purge.group, purge.object}].push_back({merged.ReferenceTime(i, purge.at), i});
    }
  }
  std::vector<Event> purges;
  GroupObservations(
      merged, observations, fleet,
      [&](const Key& key) {
        Event event;
        event.kind = EventKind::kPurge;
        event.text = PurgeSubject(key.first, key.second) + " was purged";
        return event;
      },
      purges);
  std::stable_sort(purges.begin(), purges.end(), [](const Event& a, const Event& b) { return a.at < b.at; });
  for (std::size_t i = 0; i < purges.size();) {
    std::size_t j = i + 1;
    while (j < purges.size() && purges[j].at - purges[j - 1].at <= kPurgeWaveGap) ++j;
    if (j - i >= kMinPurgesInWave) {
      std::size_t groups = 0;
      for (std::size_t k = i; k < j; ++k) groups += purges[k].text.starts_with("group") ? 1 : 0;
      Event wave{purges[i].at, purges[i].uncertainty, EventKind::kPurgeWave, "", "", {}, Micros{0}};
      wave.text = "a wave of " + std::to_string(j - i) + " purges began, " + std::to_string(groups) +
                  " of them of groups, over " + FormatSeconds(purges[j - 1].at - purges[i].at);
      out.push_back(std::move(wave));
    }
    i = j;
  }
  out.insert(out.end(), purges.begin(), purges.end());
}

}  // namespace

const char* Name(EventKind kind) {
  constexpr std::array kNames{"started",  "died",           "stopped",    "cut",   "signalled",
                              "reloaded", "reload_refused", "clock_step", "gap",   "up",
                              "cold",     "draining",       "gone",       "purge", "purge_wave"};
  const auto place = static_cast<std::size_t>(kind);
  return place < kNames.size() ? kNames[place] : "unknown";
}

void BuildEvents(const InstanceTimelines& timelines, const MergedTimelines& merged, FleetTimeline& fleet) {
  std::vector<Event> events;
  BuildLifecycleEvents(merged, events, fleet);
  BuildServerStateEvents(timelines, merged, events, fleet);
  BuildPurgeEvents(merged, events, fleet);
  std::erase_if(events, [&](const Event& event) { return event.at < fleet.from || event.at > fleet.to; });
  std::stable_sort(events.begin(), events.end(), [](const Event& a, const Event& b) { return a.at < b.at; });
  fleet.events = std::move(events);
}

void BuildServers(const InstanceTimelines& timelines, const MergedTimelines& merged, FleetTimeline& fleet) {
  std::map<ServerKey, std::vector<std::pair<Micros, Availability>>> states;
  std::map<ServerKey, std::map<Micros, ServerCounts>> loads;
  for (std::size_t i = 0; i < merged.incarnations.size(); ++i) {
    const Incarnation& incarnation = *merged.incarnations[i];
    for (const Incarnation::ServerStateChange& change : incarnation.server_changes) {
      states[change.server].emplace_back(merged.ReferenceTime(i, change.at), change.state);
    }
    for (const auto& [key, buckets] : incarnation.server_counts) {
      for (const auto& [bucket, counts] : buckets) {
        ServerCounts& sum =
            loads[key][merged.ReferenceTime(i, bucket * kServerBucketWidth + kServerBucketWidth / 2) /
                       kServerBucketWidth * kServerBucketWidth];
        sum.attempts += counts.attempts;
        sum.failed += counts.failed;
        sum.rejected += counts.rejected;
      }
    }
  }
  for (auto& [key, changes] : states) {
    const auto found = timelines.Servers().find(key);
    if (found == timelines.Servers().end()) continue;
    ServerTimeline& server = fleet.servers.emplace_back();
    server.name = found->second.name;
    server.address = found->second.address;
    server.zone = found->second.zone;
    server.kind = found->second.kind;
    std::stable_sort(changes.begin(), changes.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    for (const auto& [at, state] : changes) {
      if (!server.bands.empty() && server.bands.back().state == state) continue;
      if (!server.bands.empty()) server.bands.back().to = at;
      server.bands.push_back({at, fleet.to, state});
    }
    for (const auto& [at, counts] : loads[key]) {
      if (at + kServerBucketWidth < fleet.from || at > fleet.to) continue;
      server.attempts += counts.attempts;
      server.failed += counts.failed;
      server.rejected += counts.rejected;
      server.load.emplace_back(at, counts);
    }
  }
  std::stable_sort(fleet.servers.begin(), fleet.servers.end(),
                   [](const ServerTimeline& a, const ServerTimeline& b) { return a.attempts > b.attempts; });
  for (std::size_t i = 0; i < merged.incarnations.size(); ++i) {
    const Incarnation& incarnation = *merged.incarnations[i];
    for (const Incarnation::DrainResult& result : incarnation.drain_results) {
      fleet.drains.push_back({ServerName(timelines, result.server), incarnation.name,
                              merged.ReferenceTime(i, result.received_at), result.sent_after,
                              result.last_sent_after, true});
    }
    for (const Incarnation::PurgeResult& result : incarnation.purge_results) {
      fleet.purges.push_back({PurgeSubject(result.group, result.object), incarnation.name,
                              merged.ReferenceTime(i, result.received_at), result.older_copies_served,
                              result.last_sent_after, result.last_served_after, true});
    }
  }
}

}  // namespace tinspan::timeline
