// Reading what recorders wrote, also while they still write and after they died in the middle.
//
// Pure: bytes in, records out (folder.hpp reads files). Nothing is repaired silently: a torn tail, bytes that
// were changed, a segment that is missing, a record or a format that is not known here are passed over as far
// as needed, and each is told as a Trouble with its file and offset.
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

struct Trouble {
  std::string file;
  std::uint64_t offset = 0;
  std::string what;
};

// One segment, fed its bytes as they come. Pure.
class SegmentReader {
 public:
  explicit SegmentReader(std::string file) : file_(std::move(file)) {}
  enum class State { kRecord, kTrouble, kMore };
  void Feed(std::string_view bytes) { frames_.Feed(bytes); }
  State Next();
  // No more will come: call until it answers kMore.
  State End();

  const wire::Record& Record() const { return record_; }
  Micros At() const { return Micros{base_ + record_.at_us()}; }  // see Sink
  std::uint64_t Offset() const { return offset_; }
  const Trouble& Problem() const { return trouble_; }

 private:
  State Read(FrameReader::State state);
  State Told(std::uint64_t offset, std::string what);

  std::string file_;
  FrameReader frames_;
  wire::Record record_;
  std::optional<std::int64_t> header_;  // its wall clock
  std::int64_t base_ = 0;
  std::uint64_t offset_ = 0;
  bool foreign_ = false;
  bool newer_told_ = false;
  Trouble trouble_;
};

// NAME.START.SEGMENT.tsrec; a name's characters that file names had better not hold become '_'.
inline constexpr std::string_view kSuffix = ".tsrec";
std::string FilePrefix(std::string_view name);

// What a segment's file name tells.
struct SegmentName {
  std::string path;
  std::string prefix;  // the instance, as file names write it
  std::int64_t incarnation = 0;
  std::uint32_t segment = 0;
  auto operator<=>(const SegmentName& o) const {
    return std::tie(prefix, incarnation, segment, path) <=>
           std::tie(o.prefix, o.incarnation, o.segment, o.path);
  }
  bool operator==(const SegmentName& o) const { return path == o.path; }
};
std::optional<SegmentName> ReadSegmentName(const std::string& path);

class Sink {
 public:
  virtual ~Sink() = default;
  // Records of one incarnation come in the order in which they were written. `at`: Unix time as the writer's
  // clock told it at the segment's head, carried on by one that never steps.
  virtual void OnRecord(const SegmentName& from, Micros at, const wire::Record& record) = 0;
  virtual void OnTrouble(const Trouble& trouble) = 0;
};

}  // namespace tinspan::record
