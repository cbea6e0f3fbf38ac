#include "routing/copy_statistics.hpp"

#include <algorithm>
#include <limits>

#include "routing/hash.hpp"

namespace tinspan {

constexpr int kFilters = 4;                         // k: the design's value
constexpr Micros kSlideInterval{2'000'000};         // tau: the design's value
constexpr std::size_t kPlacesPerFilter = 1U << 12;  // many times what one cache gets in tau
constexpr int kHashFunctions = 3;                   // false positives of some in a thousand
constexpr auto kMaxCount = std::numeric_limits<std::uint8_t>::max();
constexpr int kSummaryValues = 64;    // summary values told apart
constexpr double kInitialHits = 0.5;  // before any answer: one half, which one answer moves by much
constexpr double kInitialLookups = 1;
constexpr double kMaxLookups = 64;  // beyond it both counts are halved, to follow change

EvolutiveCounter::EvolutiveCounter() : filters_(kFilters, std::vector<std::uint8_t>(kPlacesPerFilter)) {}

std::size_t EvolutiveCounter::Place(std::uint64_t key, int hash_number) {
  return MixHash(key, hash_number) % kPlacesPerFilter;
}

void EvolutiveCounter::Slide(Micros now) {
  const std::int64_t epoch = now / kSlideInterval;
  const std::int64_t steps = std::clamp<std::int64_t>(epoch - epoch_, 0, kFilters);
  for (std::int64_t i = 0; i < steps; ++i) {
    head_ = (head_ + 1) % kFilters;
    std::fill(filters_[head_].begin(), filters_[head_].end(), 0);
  }
  epoch_ = epoch;
}

void EvolutiveCounter::Count(std::uint64_t key) {
  for (int i = 0; i < kHashFunctions; ++i) {
    std::uint8_t& count = filters_[head_][Place(key, i)];
    if (count < kMaxCount) ++count;
  }
}

int EvolutiveCounter::Summary(std::uint64_t key) const {
  int summary = std::numeric_limits<int>::max();
  for (int i = 0; i < kHashFunctions; ++i) {
    const std::size_t place = Place(key, i);
    int sum = 0;
    for (int age = 0; age < kFilters; ++age) {
      sum += (kFilters - age) * filters_[(head_ + kFilters - age) % kFilters][place];
    }
    summary = std::min(summary, sum);
  }
  return summary;
}

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
