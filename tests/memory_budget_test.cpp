#include "net/memory_budget.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace tinspan::net {
namespace {

TEST(MemoryBudgetTest, RefusesWhatExceedsItAndGrantsItAfterARelease) {
  MemoryBudget budget(100);
  std::optional<MemoryReservation> first(&budget);
  MemoryReservation second(&budget);
  EXPECT_TRUE(first->TryResize(60));
  EXPECT_FALSE(second.TryResize(60));
  EXPECT_TRUE(second.IsWaiting());
  EXPECT_FALSE(budget.TakeReleased());
  first.reset();
  EXPECT_TRUE(budget.TakeReleased());
  EXPECT_TRUE(second.TryResize(60));
  EXPECT_FALSE(budget.HasWaiters());
  EXPECT_EQ(budget.UsedBytes(), 60u);
}

TEST(MemoryBudgetTest, GrantsTheOnlyHolderAnySize) {
  MemoryBudget budget(100);
  MemoryReservation reservation(&budget);
  EXPECT_TRUE(reservation.TryResize(50));
  EXPECT_TRUE(reservation.TryResize(500));
  EXPECT_EQ(budget.UsedBytes(), 500u);
}

TEST(MemoryBudgetTest, CountsAWaitingReservationOnceUntilItEnds) {
  MemoryBudget budget(100);
  MemoryReservation first(&budget);
  first.Resize(150);  // not refused: the bytes are there already
  {
    MemoryReservation second(&budget);
    EXPECT_FALSE(second.TryResize(1));
    EXPECT_FALSE(second.TryResize(1));
    EXPECT_TRUE(budget.HasWaiters());
  }
  EXPECT_FALSE(budget.HasWaiters());
}

TEST(MemoryBudgetTest, LeavesHalfOfItToThoseThatCannotDoWithout) {
  MemoryBudget budget(100);
  MemoryReservation optional(&budget);
  EXPECT_TRUE(optional.TryResizeOptional(50));
  EXPECT_FALSE(optional.TryResizeOptional(51));
  EXPECT_FALSE(budget.HasWaiters());
  MemoryReservation needed(&budget);
  EXPECT_TRUE(needed.TryResize(50));
}

TEST(MemoryBudgetTest, IsNotNeededForAReservation) {
  MemoryReservation reservation(nullptr);
  EXPECT_TRUE(reservation.TryResize(1 << 30));
  EXPECT_EQ(reservation.Bytes(), 0u);
}

}  // namespace
}  // namespace tinspan::net
