// Any bytes as a segment, through everything that reads one: frames, records, JSON, the timeline and the
// report. The first byte chooses: even, the rest is the file; odd, it is cut into messages that are framed as
// they should be, so that what is inside them is reached too.
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "record/frame.hpp"
#include "record/json.hpp"
#include "record/reader.hpp"
#include "report/report.hpp"
#include "timeline/fleet_timeline.hpp"

using namespace tinspan;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  std::string_view rest(reinterpret_cast<const char*>(data) + 1, size - 1);
  std::string file;
  if (data[0] % 2 == 0) {
    file = rest;
  } else {
    file = record::kMagic;
    record::wire::Record header;
    header.mutable_header()->set_format(1);
    header.mutable_header()->set_name("fuzz");
    header.mutable_header()->add_classes()->set_worth(1);
    record::AppendFrame(file, header.SerializeAsString());
    while (!rest.empty()) {
      const std::size_t length = std::min<std::size_t>(static_cast<unsigned char>(rest[0]) + 1u, rest.size());
      record::AppendFrame(file, rest.substr(0, length));
      rest.remove_prefix(length);
    }
  }
  record::SegmentReader reader("fuzz");
  record::Book book;
  timeline::InstanceTimelines timelines;
  const record::SegmentName name{"fuzz", "fuzz", 1, 1};
  const auto drain = [&](bool end) {
    while (true) {
      const auto state = end ? reader.End() : reader.Next();
      if (state == record::SegmentReader::State::kMore) return;
      if (state == record::SegmentReader::State::kTrouble) {
        timelines.OnTrouble(reader.Problem());
        continue;
      }
      book.Note(reader.Record());
      record::ToJson(book, reader.At(), reader.Record())
          .dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
      timelines.OnRecord(name, reader.At(), reader.Record());
    }
  };
  for (std::size_t at = 0; at < file.size(); at += 97) {
    reader.Feed(std::string_view(file).substr(at, 97));
    drain(false);
  }
  drain(true);
  const timeline::FleetTimeline fleet = timeline::BuildFleetTimeline(timelines, {});
  if (size % 8 == 0) report::ToHtml(fleet);  // large, and slow beside the rest
  report::ToJson(fleet).dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
  return 0;
}
