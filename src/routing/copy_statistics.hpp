// The design's statistics of copies: evolutive summary counters of what a cache was sent lately, and Pfreq,
// how likely a copy is found.
#pragma once

#include <cstdint>
#include <vector>

#include "tinspan/router.hpp"

namespace tinspan {

// A ring of k count filters (Bloom filters whose places count). The head counts what is sent now; every tau
// the oldest filter is cleared and becomes the head, so that counts look back k * tau. Counts may be too
// high, by objects that share places, and are never too low, but for saturation.
class EvolutiveCounter {
 public:
  EvolutiveCounter();

  // Clears the filters whose time has passed. To be called before Count or Summary.
  void Slide(Micros now);

  // Counts one request for the copy with this key. A full place stays full.
  void Count(std::uint64_t key);

  // The linear summary of a copy's counts: the newest filter weighs k, the oldest 1.
  int Summary(std::uint64_t key) const;

 private:
  // A key's place in a filter, by the number of the hash function.
  static std::size_t Place(std::uint64_t key, int hash_number);

  std::vector<std::vector<std::uint8_t>> filters_;
  int head_ = 0;
  std::int64_t epoch_ = 0;  // number of the head's tau since the clock's origin
};

// The share of lookups that hit, with more weight on recent ones. Starts at one half.
class HitProbability {
 public:
  HitProbability();

  double Value() const { return hits_ / lookups_; }
  void Record(bool is_hit);

 private:
  double hits_;
  double lookups_;
};

// One probability for each value of an evolutive counter's summary; large values share the last.
class HitProbabilityBySummary {
 public:
  HitProbabilityBySummary();

  HitProbability& At(int summary);

 private:
  std::vector<HitProbability> entries_;
};

struct HitStatistics {
  HitProbabilityBySummary sibling_fills;  // Pfreq: fills that a sibling could serve, by its summary
  HitProbabilityBySummary cache_hits;     // attempts that needed no fill, by the cache's own summary
  HitProbability parent_hits;             // fills that a parent held itself
};

}  // namespace tinspan
