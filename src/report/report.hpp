// A story as data and as one page that opens offline. Pure: a story in, text out.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "timeline/story.hpp"

namespace tinspan::report {

// As docs/schema/report.schema.json describes.
nlohmann::ordered_json ToJson(const timeline::Story& story);

// One self-contained HTML file: no network, readable without JavaScript (tables hold every figure), in print,
// in light and dark, from 400 pixels of width on.
std::string ToHtml(const timeline::Story& story);

// The story's seconds in at most `most` equal bins, for tables and charts.
struct Bin {
  Micros at{0};
  std::vector<double> asked, earned;
  std::vector<std::uint64_t> refused, bad;
};
std::vector<Bin> Bins(const timeline::Story& story, std::size_t most, Micros& width);

}  // namespace tinspan::report
