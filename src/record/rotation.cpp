#include "record/rotation.hpp"

#include <algorithm>
#include <utility>

namespace tinspan::record {

Rotation::Rotation(RotationRules rules, std::vector<SegmentFile> old_files)
    : rules_(rules), files_(old_files.begin(), old_files.end()) {
  rules_.segment_bytes = std::min(rules_.segment_bytes, rules_.total_bytes / 2);
}

bool Rotation::Fits(std::uint64_t bytes, Micros now) const {
  if (!is_open_ || files_.back().bytes + bytes > rules_.segment_bytes) return false;
  // Without the first comparison, a clock that steps back would keep the segment open until it has caught up.
  return now >= opened_at_ && now - opened_at_ < rules_.segment_age;
}

std::vector<std::string> Rotation::OpenSegment(const std::string& name, Micros now) {
  std::vector<std::string> deleted;
  // Frees the space of a whole segment now, so that nothing has to be deleted while it is written.
  while (!files_.empty() && TotalBytes() + rules_.segment_bytes > rules_.total_bytes) {
    deleted.push_back(std::move(files_.front().name));
    files_.pop_front();
  }
  files_.push_back({name, 0});
  is_open_ = true;
  opened_at_ = now;
  return deleted;
}

std::uint64_t Rotation::TotalBytes() const {
  std::uint64_t sum = 0;
  for (const SegmentFile& file : files_) sum += file.bytes;
  return sum;
}

}  // namespace tinspan::record
