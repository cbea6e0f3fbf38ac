// Statistics of cached copies, as the design defines them: evolutive summary counters of the requests that a
// cache got recently, and Pfreq, the probability that a copy is found.
#pragma once

#include <cstdint>
#include <vector>

#include "tinspan/router.hpp"

namespace tinspan {

// A ring of k counting Bloom filters. Requests are counted in the head; every tau the oldest filter is
// cleared and becomes the head, so that the counts cover the last k * tau. A count may be too high because
// objects share buckets; it is too low only after saturation.
class EvolutiveCounter {
 public:
  EvolutiveCounter();

  // Advances the ring to the current time and clears expired filters. Call it before Count or Summary.
  void Slide(Micros now);

  // Counts one request for the copy with this key. Buckets saturate at their maximum.
  void Count(std::uint64_t key);

  // The weighted sum of a copy's counts: the newest filter has weight k, the oldest weight 1.
  int Summary(std::uint64_t key) const;

 private:
  // Index of a key's bucket in a filter for one of the hash functions.
  static std::size_t BucketIndex(std::uint64_t key, int hash_number);

  std::vector<std::vector<std::uint8_t>> filters_;
  int head_ = 0;
  std::int64_t epoch_ = 0;  // index of the head's tau interval since the clock's origin
};

// The share of lookups that are hits; recent lookups have more weight. Starts at 0.5.
class HitProbability {
 public:
  HitProbability();

  double Value() const { return hits_ / lookups_; }
  void Record(bool is_hit);

 private:
  double hits_;
  double lookups_;
};

// One probability for each summary value of an evolutive counter; large values share the last entry.
class HitProbabilityBySummary {
 public:
  HitProbabilityBySummary();

  HitProbability& At(int summary);

 private:
  std::vector<HitProbability> entries_;
};

struct HitStatistics {
  HitProbabilityBySummary sibling_fills;  // Pfreq: that a sibling can serve a fill, by its summary
  HitProbabilityBySummary cache_hits;     // that an attempt needs no fill, by the cache's own summary
  HitProbability parent_hits;             // that a parent has the copy that a fill requests
};

}  // namespace tinspan
