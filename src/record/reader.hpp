// Reads the segments of flight recorders, also those that are still written or were cut off when their writer
// died.
//
// Pure: bytes in, records out (folder.hpp reads files). Nothing is repaired silently: an incomplete last
// record, changed bytes, a missing segment and an unknown record or format are skipped as far as needed, and
// each is reported as a ReadError with its file and offset.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "record/frame.hpp"
#include "record/record.pb.h"
#include "tinspan/router.hpp"

namespace tinspan::record {

// A part of the records that could not be read.
struct ReadError {
  std::string file;
  std::uint64_t offset = 0;  // in the file, in bytes
  std::string message;
};

// Decodes the records of one segment from its bytes while they arrive. Pure; not thread-safe.
class SegmentReader {
 public:
  explicit SegmentReader(std::string file) : file_(std::move(file)) {}
  enum class State { kRecord, kError, kMore };
  void Feed(std::string_view bytes) { frames_.Feed(bytes); }
  // kRecord: Record(), Time() and Offset() hold the next record. kError: Error() holds the error. kMore:
  // more bytes are needed.
  State Next();
  // As Next, once there are no more bytes. Must be called until it returns kMore.
  State End();

  const wire::Record& Record() const { return record_; }
  Micros Time() const { return Micros{segment_start_us_ + record_.at_us()}; }  // Unix time, see RecordSink
  std::uint64_t Offset() const { return offset_; }                             // in the file, of its frame
  const ReadError& Error() const { return error_; }

 private:
  State Decode(FrameReader::State state);
  State ReportError(std::uint64_t offset, std::string message);

  std::string file_;
  FrameReader frames_;
  wire::Record record_;
  std::optional<std::int64_t> header_wall_us_;  // not set before the first header
  std::int64_t segment_start_us_ = 0;           // Unix time
  std::uint64_t offset_ = 0;
  bool is_foreign_ = false;  // not a segment
  bool has_reported_newer_format_ = false;
  ReadError error_;
};

// A segment's file is named NAME.START.SEGMENT.tsrec; in NAME all but letters, digits and '-' become '_'.
inline constexpr std::string_view kSegmentSuffix = ".tsrec";
// NAME and its dot.
std::string FilePrefix(std::string_view name);

// The parts of a segment's file name.
struct SegmentName {
  std::string path;
  std::string prefix;            // the instance's name, as in the file name
  std::int64_t incarnation = 0;  // START: Unix time in microseconds
  std::uint32_t segment = 0;
  auto operator<=>(const SegmentName& other) const {
    return std::tie(prefix, incarnation, segment, path) <=>
           std::tie(other.prefix, other.incarnation, other.segment, other.path);
  }
  bool operator==(const SegmentName& other) const { return path == other.path; }
};
// Returns nothing if the file name is not that of a segment.
std::optional<SegmentName> ParseSegmentName(const std::string& path);

// Receives records and read errors.
class RecordSink {
 public:
  virtual ~RecordSink() = default;
  // The records of one incarnation arrive in the order in which they were written. `at` is Unix time: the
  // wall clock of the writer at the start of the segment plus the time since then on its monotonic clock.
  virtual void OnRecord(const SegmentName& from, Micros at, const wire::Record& record) = 0;
  virtual void OnReadError(const ReadError& error) = 0;
};

}  // namespace tinspan::record
