// Decides when a recorder starts a new segment and which old ones it deletes. Pure: sizes and the clock are
// passed in; the caller carries out the returned decisions in their order.
//
// Guarantee: if its decisions are carried out, the files of one instance never exceed `total_bytes` together,
// neither between two calls nor during one.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "tinspan/router.hpp"

namespace tinspan::record {

struct RotationRules {
  std::uint64_t segment_bytes = 8 << 20;
  Micros segment_age{600'000'000};
  std::uint64_t total_bytes = 256 << 20;  // at least two segments
};

struct SegmentFile {
  std::string name;
  std::uint64_t bytes = 0;
};

class Rotation {
 public:
  // `old_files`: existing files of this instance, the oldest first.
  Rotation(RotationRules rules, std::vector<SegmentFile> old_files);

  // Whether `bytes` more fit into the open segment. If not, OpenSegment must be called before they are
  // written.
  bool Fits(std::uint64_t bytes, Micros now) const;
  // Starts a segment. Returns the files that must be deleted before its first byte is written.
  std::vector<std::string> OpenSegment(const std::string& name, Micros now);
  // Closes the open segment: OpenSegment must be called before the next byte is written.
  void CloseSegment() { is_open_ = false; }
  // Counts bytes that were written to the open segment.
  void AddBytes(std::uint64_t bytes) { files_.back().bytes += bytes; }
  std::uint64_t TotalBytes() const;

 private:
  RotationRules rules_;
  std::deque<SegmentFile> files_;  // the last one is the open segment if is_open_
  bool is_open_ = false;
  Micros opened_at_{0};
};

}  // namespace tinspan::record
