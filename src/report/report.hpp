// The incident report: a fleet timeline as JSON or as one HTML page that works offline. Pure.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "timeline/fleet_timeline.hpp"

namespace tinspan::report {

// In the format of docs/schema/report.schema.json.
nlohmann::ordered_json ToJson(const timeline::FleetTimeline& fleet);

// One self-contained HTML file. It loads nothing from the network, is readable without JavaScript (tables
// contain every figure), in print, in light and dark mode, and from a width of 400 pixels on.
std::string ToHtml(const timeline::FleetTimeline& fleet);

// How clients were served within one bucket of equal width, for tables and charts.
struct TimeBucket {
  Micros at{0};
  std::vector<double> requested_weight, earned_weight;  // per class
  std::vector<std::uint64_t> refused, failed;           // per class
};
// Combines the timeline's seconds into at most `max_buckets` buckets, as far as the widest bucket of one hour
// allows; `width` receives their width.
std::vector<TimeBucket> TimeBuckets(const timeline::FleetTimeline& fleet, std::size_t max_buckets,
                                    Micros& width);

}  // namespace tinspan::report
