// Pfreq of the design: how likely a copy is found, learned from the answers.
#pragma once

#include <vector>

namespace tinspan {

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
