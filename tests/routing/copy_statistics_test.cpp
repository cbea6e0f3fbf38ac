// Evolutive summary counters and Pfreq, tested without a Router.
#include "routing/copy_statistics.hpp"

#include <gtest/gtest.h>

namespace tinspan {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kKey = 7;
constexpr Micros kTau = 2s;

TEST(EvolutiveCounter, WeighsTheNewestFilterByK) {
  EvolutiveCounter counter;
  counter.Slide(0s);
  counter.Count(kKey);
  EXPECT_EQ(counter.Summary(kKey), 4);
}

TEST(EvolutiveCounter, WeighsACountLessWithEachTau) {
  EvolutiveCounter counter;
  counter.Slide(0s);
  counter.Count(kKey);
  for (int age = 1; age <= 4; ++age) {
    counter.Slide(age * kTau);
    EXPECT_EQ(counter.Summary(kKey), 4 - age);
  }
}

TEST(EvolutiveCounter, ClearsAllFiltersAfterALongTime) {
  EvolutiveCounter counter;
  counter.Slide(0s);
  counter.Count(kKey);
  counter.Slide(100 * kTau);
  EXPECT_EQ(counter.Summary(kKey), 0);
}

TEST(EvolutiveCounter, SaturatesAndNeverWraps) {
  EvolutiveCounter counter;
  counter.Slide(0s);
  for (int i = 0; i < 300; ++i) counter.Count(kKey);
  EXPECT_EQ(counter.Summary(kKey), 4 * 255);
}

TEST(EvolutiveCounter, CountsEachKeyApart) {
  EvolutiveCounter counter;
  counter.Slide(0s);
  counter.Count(kKey);
  EXPECT_EQ(counter.Summary(kKey + 1), 0);
}

TEST(HitProbability, StartsAtOneHalf) { EXPECT_DOUBLE_EQ(HitProbability().Value(), 0.5); }

TEST(HitProbability, IsTheShareOfHits) {
  HitProbability probability;
  probability.Record(true);
  probability.Record(false);
  probability.Record(false);
  EXPECT_DOUBLE_EQ(probability.Value(), 1.5 / 4);
}

TEST(HitProbability, FollowsAChange) {
  HitProbability probability;
  for (int i = 0; i < 1000; ++i) probability.Record(true);
  for (int i = 0; i < 100; ++i) probability.Record(false);
  EXPECT_LT(probability.Value(), 0.25);
}

TEST(HitProbabilityBySummary, SharesOneEntryAmongLargeSummaries) {
  HitProbabilityBySummary probabilities;
  probabilities.At(1000).Record(false);
  EXPECT_EQ(&probabilities.At(1000), &probabilities.At(2000));
  EXPECT_NE(&probabilities.At(1), &probabilities.At(2));
}

}  // namespace
}  // namespace tinspan
