#include "routing/hit_probability.hpp"

#include <algorithm>

namespace tinspan {
constexpr int kSummaryValues = 64;    // summary values told apart
constexpr double kInitialHits = 0.5;  // before any answer: one half, which one answer moves by much
constexpr double kInitialLookups = 1;
constexpr double kMaxLookups = 64;  // beyond it both counts are halved, to follow change

HitProbability::HitProbability() : hits_(kInitialHits), lookups_(kInitialLookups) {}

void HitProbability::Record(bool is_hit) {
  const double retained = lookups_ + 1 > kMaxLookups ? 0.5 : 1;
  hits_ = retained * (hits_ + (is_hit ? 1 : 0));
  lookups_ = retained * (lookups_ + 1);
}

HitProbabilityBySummary::HitProbabilityBySummary() : entries_(kSummaryValues) {}

HitProbability& HitProbabilityBySummary::At(int summary) {
  return entries_[std::min(summary, kSummaryValues - 1)];
}

}  // namespace tinspan
