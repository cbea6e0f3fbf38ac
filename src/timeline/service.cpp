// How well clients were served, per second and in total.
#include <algorithm>
#include <cmath>

#include "timeline/build_steps.hpp"

namespace tinspan::timeline {
namespace {

constexpr Micros kSecond{1'000'000};

}  // namespace

double ServicePoint::RequestedWeight() const {
  double sum = 0;
  for (const double weight : requested_weight) sum += weight;
  return sum;
}
double ServicePoint::EarnedWeight() const {
  double sum = 0;
  for (const double weight : earned_weight) sum += weight;
  return sum;
}

// A request counts in the second in which it ended; one that was open when its instance died counts in the
// second of the death.
void BuildService(const MergedTimelines& merged, const TimelineOptions& options, FleetTimeline& fleet) {
  const std::size_t classes = merged.class_names.size();
  const auto is_in_range = [&](Micros at) {
    return (!options.from || at >= *options.from) && (!options.to || at <= *options.to);
  };
  std::map<std::int64_t, ServicePoint> points;
  const auto point = [&](Micros at) -> ServicePoint& {
    ServicePoint& out = points[at.count() / kSecond.count()];
    out.at = Micros{at.count() / kSecond.count() * kSecond.count()};
    out.requested_weight.resize(classes);
    out.earned_weight.resize(classes);
    out.refused.resize(classes);
    out.failed.resize(classes);
    return out;
  };
  for (std::size_t i = 0; i < classes; ++i) {
    Tally& tally = fleet.classes.emplace_back();
    tally.name = merged.class_names[i];
  }
  for (std::size_t i = 0; i < merged.incarnations.size(); ++i) {
    const Incarnation& incarnation = *merged.incarnations[i];
    const auto& header = incarnation.dictionary.Header();
    std::vector<std::size_t> class_indices;  // index in merged.class_names of each class in the header
    for (const wire::Class& class_info : header.classes()) {
      class_indices.push_back(static_cast<std::size_t>(
          std::find(merged.class_names.begin(), merged.class_names.end(), class_info.name()) -
          merged.class_names.begin()));
    }
    std::vector<std::int64_t> open(classes, 0);
    for (const auto& [second, by_class] : incarnation.counts_by_second) {
      // The middle of the second, so that the clock shift moves it to the second that holds most of it.
      const Micros at = merged.ReferenceTime(i, second * kSecond + kSecond / 2);
      for (std::size_t c = 0; c < by_class.size() && c < class_indices.size(); ++c) {
        const ClassCounts& counts = by_class[c];
        const wire::Class& class_info = header.classes(static_cast<int>(c));
        open[class_indices[c]] +=
            static_cast<std::int64_t>(counts.received) - static_cast<std::int64_t>(counts.Ended());
        if (!is_in_range(at)) continue;
        Tally& tally = fleet.classes[class_indices[c]];
        ServicePoint& current = point(at);
        tally.received += counts.received;
        tally.repeats += counts.repeats;
        for (std::uint32_t e = 0; e < record::kRequestOutcomeCount; ++e) {
          const auto ending = static_cast<record::RequestOutcome>(e);
          const double count = static_cast<double>(counts.ended[e]);
          const double earned_weight = count * class_info.worth() * record::EarnedShare(ending, class_info);
          // The client disconnected, so the request no longer counts as requested.
          const double requested_weight =
              ending == record::RequestOutcome::kClientDisconnected ? 0 : count * class_info.worth();
          tally.ended[e] += counts.ended[e];
          tally.requested_weight += requested_weight;
          tally.earned_weight += earned_weight;
          current.requested_weight[class_indices[c]] += requested_weight;
          current.earned_weight[class_indices[c]] += earned_weight;
          if (ending == record::RequestOutcome::kRejected)
            current.refused[class_indices[c]] += counts.ended[e];
          if (e >= static_cast<std::uint32_t>(record::RequestOutcome::kTruncated) &&
              ending != record::RequestOutcome::kClientDisconnected &&
              ending != record::RequestOutcome::kRejected) {
            current.failed[class_indices[c]] += counts.ended[e];
          }
        }
      }
    }
    if (!merged.died_at[i] || !is_in_range(*merged.died_at[i])) continue;
    for (std::size_t c = 0; c < classes; ++c) {
      if (open[c] <= 0) continue;
      Tally& tally = fleet.classes[c];
      ServicePoint& current = point(*merged.died_at[i]);
      const double weight = static_cast<double>(open[c]) * merged.class_weights[c];
      tally.lost += static_cast<std::uint64_t>(open[c]);
      tally.requested_weight += weight;
      current.requested_weight[c] += weight;
      current.failed[c] += static_cast<std::uint64_t>(open[c]);
    }
  }
  fleet.total.name = "all";
  for (const Tally& tally : fleet.classes) {
    fleet.total.requested_weight += tally.requested_weight;
    fleet.total.earned_weight += tally.earned_weight;
    fleet.total.received += tally.received;
    fleet.total.repeats += tally.repeats;
    fleet.total.lost += tally.lost;
    for (std::size_t e = 0; e < tally.ended.size(); ++e) fleet.total.ended[e] += tally.ended[e];
    if (tally.requested_weight > 0)
      fleet.worst_class_share = std::min(fleet.worst_class_share, tally.EarnedShare());
  }
  fleet.whole_share = fleet.total.EarnedShare();
  for (auto& [second, one] : points) fleet.points.push_back(std::move(one));
  double requested_weight = 0, earned_weight = 0;
  const double min_requested = 10 * fleet.total.requested_weight /
                               static_cast<double>(std::max<std::size_t>(fleet.points.size(), 1)) / 5;
  fleet.worst_10s_share = fleet.whole_share;
  fleet.worst_10s_at = fleet.from;
  for (std::size_t i = 0, first = 0; i < fleet.points.size(); ++i) {
    requested_weight += fleet.points[i].RequestedWeight();
    earned_weight += fleet.points[i].EarnedWeight();
    const Micros from = fleet.points[i].at - 9 * kSecond;
    for (; fleet.points[first].at < from; ++first) {
      requested_weight -= fleet.points[first].RequestedWeight();
      earned_weight -= fleet.points[first].EarnedWeight();
    }
    // Ten seconds with hardly any requests are not significant, and neither is a start of less than ten
    // seconds.
    if (from < fleet.points.front().at || requested_weight < std::max(min_requested, 1e-9) ||
        earned_weight / requested_weight >= fleet.worst_10s_share)
      continue;
    fleet.worst_10s_share = std::max(earned_weight / requested_weight, 0.0);
    fleet.worst_10s_at = from;
  }
  std::map<std::pair<std::int64_t, std::uint32_t>, LatencyCounts> latency;
  for (std::size_t i = 0; i < merged.incarnations.size(); ++i) {
    const Incarnation& incarnation = *merged.incarnations[i];
    for (const auto& [bucket, by_class] : incarnation.latency) {
      const Micros at = merged.ReferenceTime(i, bucket * kLatencyBucketWidth + kLatencyBucketWidth / 2);
      if (!is_in_range(at)) continue;
      for (const auto& [class_id, counts] : by_class) {
        const auto class_index = std::find(merged.class_names.begin(), merged.class_names.end(),
                                           incarnation.dictionary.ClassName(class_id));
        auto& sum = latency[{at / kLatencyBucketWidth,
                             static_cast<std::uint32_t>(class_index - merged.class_names.begin())}];
        for (std::size_t b = 0; b < counts.size(); ++b) sum[b] += counts[b];
      }
    }
  }
  for (const auto& [key, counts] : latency) {
    fleet.latency.push_back(
        {key.first * kLatencyBucketWidth, key.second, Quantile(counts, 0.5), Quantile(counts, 0.99)});
  }
}

}  // namespace tinspan::timeline
