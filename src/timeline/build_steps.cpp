#include "timeline/build_steps.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <tuple>
#include <utility>

#include "record/json.hpp"

namespace tinspan::timeline {
namespace {

// Up to this many observers of the same update are all paired with each other; beyond it, each only with the
// next.
constexpr std::size_t kMaxFullyPaired = 8;

template <class Key>
void PairObservations(const std::map<Key, std::vector<std::pair<std::size_t, Micros>>>& observations,
                      Micros spread, const std::string& description, std::vector<Evidence>& out) {
  for (const auto& [key, observers] : observations) {
    for (std::size_t i = 0; i < observers.size(); ++i) {
      const std::size_t end =
          observers.size() <= kMaxFullyPaired ? observers.size() : std::min(observers.size(), i + 2);
      for (std::size_t j = i + 1; j < end; ++j) {
        const Micros difference = observers[j].second - observers[i].second;
        out.push_back({observers[i].first,
                       observers[j].first,
                       {difference - spread, difference + spread},
                       description});
      }
    }
  }
}

}  // namespace

std::string FormatSeconds(Micros time) {
  char text[32];
  std::snprintf(text, sizeof text, "%.2f s", static_cast<double>(time.count()) / 1e6);
  return text;
}
std::string FormatPercent(double share) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f%%", 100 * share);
  return text;
}
std::string PurgeSubject(std::uint64_t group, std::uint64_t object) {
  if (object != 0) return "object " + record::Hex(object);
  return "group " + (group < 100'000 ? std::to_string(group) : record::Hex(group));
}

std::vector<Evidence> GatherClockEvidence(const std::vector<const Incarnation*>& incarnations,
                                          const TimelineOptions& options) {
  using Observations = std::vector<std::pair<std::size_t, Micros>>;
  std::map<std::pair<std::string, std::uint64_t>, Observations> updates;
  std::map<std::tuple<std::int64_t, std::uint64_t, std::uint64_t>, Observations> purges;
  for (std::size_t i = 0; i < incarnations.size(); ++i) {
    std::map<std::string, std::uint64_t> last_versions;  // the version received last, by source
    for (const Incarnation::SourceUpdate& update : incarnations[i]->source_updates) {
      if (update.version == 0) continue;
      const auto [place, is_first] = last_versions.try_emplace(update.source, update.version);
      // An instance fetches its first list at its start, regardless of when the version was made, so that
      // list says nothing about the clock. Of a version received in parts, the first part counts.
      if (is_first || update.version <= place->second) continue;
      place->second = update.version;
      updates[{update.source, update.version}].emplace_back(i, update.at);
    }
    std::map<std::tuple<std::int64_t, std::uint64_t, std::uint64_t>, bool> is_counted;
    for (const Incarnation::Purge& purge : incarnations[i]->purges) {
      const std::tuple key(purge.issued_at.count(), purge.group, purge.object);
      if (!std::exchange(is_counted[key], true)) purges[key].emplace_back(i, purge.at);
    }
  }
  std::vector<Evidence> out;
  PairObservations(updates, options.max_update_spread, "a version of the member list told to both", out);
  PairObservations(purges, options.max_update_spread, "a purge told to both", out);
  return out;
}

MergedTimelines MergeTimelines(const InstanceTimelines& timelines, const TimelineOptions& options,
                               FleetTimeline& fleet) {
  MergedTimelines out;
  for (const auto& [key, incarnation] : timelines.Incarnations()) {
    if (incarnation.record_count > 0 && incarnation.dictionary.Header().format() > 0)
      out.incarnations.push_back(&incarnation);
  }
  const std::vector<Evidence> evidence = GatherClockEvidence(out.incarnations, options);
  const Offsets offsets(out.incarnations.size(), evidence);
  const auto name_of = [&](std::size_t i) { return out.incarnations[i]->name; };
  for (const std::size_t place : offsets.Contradictions()) {
    const Evidence& item = evidence[place];
    fleet.contradictions.push_back(
        item.description + ", " + name_of(item.first_clock) + " and " + name_of(item.second_clock) +
        ", would set their clocks " + FormatSeconds(item.difference.min) + " to " +
        FormatSeconds(item.difference.max) + " apart, against what others of its kind say");
  }
  const std::size_t reference = offsets.Reference();
  for (std::size_t i = 0; i < out.incarnations.size(); ++i) {
    const Incarnation& incarnation = *out.incarnations[i];
    Instance instance;
    instance.name = incarnation.name;
    instance.incarnation = incarnation.number;
    instance.version = incarnation.dictionary.Header().version();
    instance.is_reference = i == reference;
    instance.offset = offsets.Between(reference, i);
    instance.dropped_records = incarnation.dropped_records;
    // A clock whose interval contains 0 may be exact and is not shifted; its uncertainty is then the larger
    // bound of the interval.
    const bool may_be_exact = !instance.offset || instance.offset->Contains(Micros{0});
    out.clock_shifts.push_back(may_be_exact ? Micros{0} : instance.offset->Midpoint());
    out.uncertainty.push_back(i == reference || !instance.offset ? Micros{0}
                              : may_be_exact ? std::max(-instance.offset->min, instance.offset->max)
                                             : instance.offset->Uncertainty());
    instance.from = out.ReferenceTime(i, incarnation.first_record_at);
    instance.to = out.ReferenceTime(i, incarnation.last_record_at);
    for (const auto& [second, by_class] : incarnation.counts_by_second) {
      for (const ClassCounts& counts : by_class) instance.received += counts.received;
    }
    fleet.instances.push_back(std::move(instance));
  }
  // An incarnation without a recorded stop died if a later incarnation of the same instance exists or if
  // other records continue for longer than the timeout.
  for (std::size_t i = 0; i < out.incarnations.size(); ++i) {
    Instance& instance = fleet.instances[i];
    out.died_at.emplace_back();
    if (out.incarnations[i]->has_stopped) {
      const auto& lifecycle_events = out.incarnations[i]->lifecycle_events;
      const bool is_cut = std::any_of(lifecycle_events.begin(), lifecycle_events.end(),
                                      [](auto& event) { return event.kind == wire::Life::CUT; });
      instance.end = is_cut ? Instance::End::kCut : Instance::End::kStopped;
      continue;
    }
    const bool is_outlived =
        std::any_of(fleet.instances.begin(), fleet.instances.end(), [&](const Instance& other) {
          return (other.name == instance.name && other.incarnation > instance.incarnation) ||
                 (&other != &instance && other.to > instance.to + options.death_timeout);
        });
    if (!is_outlived) continue;
    instance.end = Instance::End::kDied;
    out.died_at.back() = instance.to;
  }
  // Classes are matched by name: the configurations of instances may list them in different orders.
  for (const Incarnation* const incarnation : out.incarnations) {
    for (const wire::Class& class_info : incarnation->dictionary.Header().classes()) {
      if (std::find(out.class_names.begin(), out.class_names.end(), class_info.name()) !=
          out.class_names.end())
        continue;
      out.class_names.push_back(class_info.name());
      out.class_weights.push_back(class_info.worth());
    }
  }
  fleet.from = Micros::max();
  fleet.to = Micros::min();
  for (const Instance& instance : fleet.instances) {
    fleet.from = std::min(fleet.from, instance.from);
    fleet.to = std::max(fleet.to, instance.to);
  }
  if (fleet.instances.empty()) fleet.from = fleet.to = Micros{0};
  if (options.from) fleet.from = std::max(fleet.from, *options.from);
  if (options.to) fleet.to = std::min(fleet.to, *options.to);
  if (fleet.from > fleet.to) fleet.from = fleet.to;
  return out;
}

}  // namespace tinspan::timeline
