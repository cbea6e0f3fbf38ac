#include "record/rotation.hpp"

#include <algorithm>
#include <utility>

namespace tinspan::record {

Rotation::Rotation(RotationRules rules, std::vector<SegmentFile> old)
    : rules_(rules), files_(old.begin(), old.end()) {
  rules_.segment_bytes = std::min(rules_.segment_bytes, rules_.total_bytes / 2);
}

bool Rotation::Fits(std::uint64_t bytes, Micros now) const {
  if (!open_ || files_.back().bytes + bytes > rules_.segment_bytes) return false;
  // A clock that stepped back would keep a segment open for as long as it stepped.
  return now >= opened_ && now - opened_ < rules_.segment_age;
}

std::vector<std::string> Rotation::Open(const std::string& name, Micros now) {
  std::vector<std::string> out;
  // Room for a whole segment, from the start: nothing has to be made free while it is written.
  while (!files_.empty() && Held() + rules_.segment_bytes > rules_.total_bytes) {
    out.push_back(std::move(files_.front().name));
    files_.pop_front();
  }
  files_.push_back({name, 0});
  open_ = true;
  opened_ = now;
  return out;
}

std::uint64_t Rotation::Held() const {
  std::uint64_t sum = 0;
  for (const SegmentFile& file : files_) sum += file.bytes;
  return sum;
}

}  // namespace tinspan::record
