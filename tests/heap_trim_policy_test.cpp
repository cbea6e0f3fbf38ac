#include "net/heap_trim_policy.hpp"

#include <gtest/gtest.h>

namespace tinspan::net {
namespace {

constexpr std::size_t kMuch = HeapTrimPolicy::kMinFreeBytes;

ProcessMemory Memory(std::size_t resident_bytes, std::size_t heap_free_bytes) {
  return {.resident_bytes = resident_bytes, .heap_free_bytes = heap_free_bytes};
}

TEST(HeapTrimPolicyTest, TrimsOnceMuchIsFree) {
  HeapTrimPolicy policy;
  EXPECT_FALSE(policy.ShouldTrim(Memory(10 * kMuch, kMuch - 1)));
  EXPECT_TRUE(policy.ShouldTrim(Memory(10 * kMuch, kMuch)));
}

// The allocator goes on counting what it has returned as free.
TEST(HeapTrimPolicyTest, DoesNotTrimAgainWithoutGrowth) {
  HeapTrimPolicy policy;
  policy.OnTrimmed(Memory(5 * kMuch, 4 * kMuch));
  EXPECT_FALSE(policy.ShouldTrim(Memory(5 * kMuch, 4 * kMuch)));
  EXPECT_FALSE(policy.ShouldTrim(Memory(6 * kMuch - 1, 4 * kMuch)));
  EXPECT_TRUE(policy.ShouldTrim(Memory(6 * kMuch, 4 * kMuch)));
}

TEST(HeapTrimPolicyTest, MeasuresGrowthFromTheLeastSinceTheTrim) {
  HeapTrimPolicy policy;
  policy.OnTrimmed(Memory(5 * kMuch, 4 * kMuch));
  EXPECT_FALSE(policy.ShouldTrim(Memory(3 * kMuch, 4 * kMuch)));
  EXPECT_TRUE(policy.ShouldTrim(Memory(4 * kMuch, 4 * kMuch)));
}

}  // namespace
}  // namespace tinspan::net
