// When a recorder begins a new segment and which old ones it takes away. Pure: the sizes and the clock are
// passed in; the caller does what is answered, in order.
//
// Promise: as long as what it answers is carried out, the files of one instance never hold more than
// `total_bytes` together, neither between two calls nor in the middle of one.
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
  std::uint64_t total_bytes = 256 << 20;  // two segments at least
};

struct SegmentFile {
  std::string name;
  std::uint64_t bytes = 0;
};

class Rotation {
 public:
  // `old`: files of this instance that are there already, the oldest first.
  Rotation(RotationRules rules, std::vector<SegmentFile> old);

  // Whether `bytes` more still fit into the open segment; where not, Open comes first.
  bool Fits(std::uint64_t bytes, Micros now) const;
  // Begins a segment. What has to be deleted before its first byte is written.
  std::vector<std::string> Open(const std::string& name, Micros now);
  // Nothing more goes into the open segment: Open comes before the next byte.
  void CloseSegment() { open_ = false; }
  // Bytes that have been handed to the open segment.
  void Wrote(std::uint64_t bytes) { files_.back().bytes += bytes; }
  std::uint64_t Held() const;

 private:
  RotationRules rules_;
  std::deque<SegmentFile> files_;  // the last one is open
  bool open_ = false;
  Micros opened_{0};
};

}  // namespace tinspan::record
