// Reads folders of segments from disk (reader.hpp decodes them), also while their writers still append to
// them.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "record/reader.hpp"

namespace tinspan::record {

// Reads folders of segments, or single segments, and follows them as they grow. Not thread-safe.
class FolderReader {
 public:
  // Throws std::runtime_error naming the path if one is neither a folder nor a readable segment.
  explicit FolderReader(std::vector<std::string> paths);
  // Reads everything written since the last call. Returns the number of segments known so far.
  std::size_t Poll(RecordSink& sink);
  // Ends the reading: an incomplete last record is reported as damage.
  void Finish(RecordSink& sink);
  std::uint64_t Bytes() const { return bytes_; }  // read so far

 private:
  struct Segment {
    SegmentName name;
    std::uint64_t bytes_read = 0;
    std::unique_ptr<SegmentReader> reader;
    bool is_finished = false;
  };
  void FindSegments();
  void ReadNewBytes(Segment& segment, RecordSink& sink);
  // Passes on what the segment's reader has decoded. `is_at_end`: no more bytes follow.
  static void DeliverRecords(Segment& segment, RecordSink& sink, bool is_at_end);

  std::vector<std::string> paths_;
  std::map<SegmentName, Segment> segments_;
  std::map<std::pair<std::string, std::int64_t>, std::uint32_t>
      last_numbers_;  // of the segments read, by incarnation
  std::uint64_t bytes_ = 0;
};

}  // namespace tinspan::record
