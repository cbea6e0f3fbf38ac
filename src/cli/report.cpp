#include "cli/report.hpp"

#include <fstream>
#include <iostream>
#include <stdexcept>

#include "cli/records.hpp"
#include "record/folder.hpp"
#include "report/report.hpp"

namespace tinspan::cli {
namespace {

namespace po = boost::program_options;
constexpr Micros kAroundMargin{60'000'000};  // on either side of --around

}  // namespace

void AddReportOptions(Options& options) {
  options.add_options()("from", po::value<std::string>()->value_name("TIME"),
                        "not before, as 2026-12-01T14:03:00Z")(
      "to", po::value<std::string>()->value_name("TIME"), "not after")(
      "around", po::value<std::string>()->value_name("TIME"), "a minute before it to a minute after it")(
      "format", po::value<std::string>()->default_value("html")->value_name("FORMAT"),
      "html, or json as docs/schema/report.schema.json describes")(
      "output,o", po::value<std::string>()->value_name("FILE"),
      "write it there; without it, to standard output");
}

int RunReport(const Values& values, const std::vector<std::string>& arguments) {
  const std::string format = values["format"].as<std::string>();
  if (format != "html" && format != "json")
    throw UsageError{"option '--format': expected html or json, not '" + format + "'"};
  timeline::TimelineOptions options;
  options.from = TimeOption(values, "from");
  options.to = TimeOption(values, "to");
  if (const auto around = TimeOption(values, "around")) {
    if (options.from || options.to) throw UsageError{"option '--around': expected without --from and --to"};
    options.from = *around - kAroundMargin;
    options.to = *around + kAroundMargin;
  }
  if (options.from && options.to && *options.from >= *options.to)
    throw UsageError{"option '--to': expected a time after --from"};
  timeline::InstanceTimelines timelines;
  ReadRecords(arguments, timelines);
  const timeline::FleetTimeline fleet = timeline::BuildFleetTimeline(timelines, options);
  if (fleet.instances.empty())
    throw std::runtime_error(arguments[0] + ": nothing in these records can be read");
  const std::string text =
      format == "html"
          ? report::ToHtml(fleet)
          : report::ToJson(fleet).dump(1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) +
                "\n";
  if (values.count("output") == 0) {
    std::cout << text;
    return 0;
  }
  const std::string path = values["output"].as<std::string>();
  std::ofstream out(path, std::ios::binary | std::ios::trunc);
  out << text << std::flush;
  if (!out) throw std::runtime_error(path + ": could not be written");
  std::cout << "wrote " << path << ": " << fleet.sentences.front() << "\n";
  return 0;
}

}  // namespace tinspan::cli
