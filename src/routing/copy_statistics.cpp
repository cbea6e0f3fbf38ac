#include "routing/copy_statistics.hpp"

#include <algorithm>
#include <limits>

#include "routing/hash.hpp"

namespace tinspan {

constexpr int kFilters = 4;                          // k, as in the design
constexpr Micros kSlideInterval{2'000'000};          // tau, as in the design
constexpr std::size_t kBucketsPerFilter = 1U << 12;  // many times the requests that a cache gets in tau
constexpr int kHashFunctions = 3;                    // gives a few false positives per thousand lookups
constexpr auto kMaxCount = std::numeric_limits<std::uint8_t>::max();
constexpr int kSummaryValues = 64;    // number of distinct summary values
constexpr double kInitialHits = 0.5;  // initial probability 1/2, which the first lookup changes strongly
constexpr double kInitialLookups = 1;
constexpr double kMaxLookups = 64;  // above this, both counts are halved so that the share follows changes

EvolutiveCounter::EvolutiveCounter() : filters_(kFilters, std::vector<std::uint8_t>(kBucketsPerFilter)) {}

std::size_t EvolutiveCounter::BucketIndex(std::uint64_t key, int hash_number) {
  return MixHash(key, hash_number) % kBucketsPerFilter;
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
    std::uint8_t& count = filters_[head_][BucketIndex(key, i)];
    if (count < kMaxCount) ++count;
  }
}

int EvolutiveCounter::Summary(std::uint64_t key) const {
  int summary = std::numeric_limits<int>::max();
  for (int i = 0; i < kHashFunctions; ++i) {
    const std::size_t bucket = BucketIndex(key, i);
    int sum = 0;
    for (int age = 0; age < kFilters; ++age) {
      sum += (kFilters - age) * filters_[(head_ + kFilters - age) % kFilters][bucket];
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
