// Feeds arbitrary bytes as a segment to everything that reads one: frames, records, JSON, the timeline and
// the report. If the first byte is even, the bytes after it are the file; if it is odd, they are cut into
// messages with valid frames, so that the decoding of messages is fuzzed too.
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
  std::string_view input(reinterpret_cast<const char*>(data) + 1, size - 1);
  std::string file;
  if (data[0] % 2 == 0) {
    file = input;
  } else {
    file = record::kMagic;
    record::wire::Record header;
    header.mutable_header()->set_format(1);
    header.mutable_header()->set_name("fuzz");
    header.mutable_header()->add_classes()->set_worth(1);
    record::AppendFrame(file, header.SerializeAsString());
    while (!input.empty()) {
      const std::size_t length =
          std::min<std::size_t>(static_cast<unsigned char>(input[0]) + 1u, input.size());
      record::AppendFrame(file, input.substr(0, length));
      input.remove_prefix(length);
    }
  }
  record::SegmentReader reader("fuzz");
  record::Dictionary dictionary;
  timeline::InstanceTimelines timelines;
  const record::SegmentName name{"fuzz", "fuzz", 1, 1};
  const auto read_available = [&](bool is_at_end) {
    while (true) {
      const auto state = is_at_end ? reader.End() : reader.Next();
      if (state == record::SegmentReader::State::kMore) return;
      if (state == record::SegmentReader::State::kError) {
        timelines.OnReadError(reader.Error());
        continue;
      }
      dictionary.Apply(reader.Record());
      record::ToJson(dictionary, reader.Time(), reader.Record())
          .dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
      timelines.OnRecord(name, reader.Time(), reader.Record());
    }
  };
  for (std::size_t offset = 0; offset < file.size(); offset += 97) {
    reader.Feed(std::string_view(file).substr(offset, 97));
    read_available(false);
  }
  read_available(true);
  const timeline::FleetTimeline fleet = timeline::BuildFleetTimeline(timelines, {});
  if (size % 8 == 0) report::ToHtml(fleet);  // only sometimes: its output is large and slow to produce
  report::ToJson(fleet).dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
  return 0;
}
