// What is remembered of possible executions, and for how long.
#include "core/execution_ledger.hpp"

#include <gtest/gtest.h>

namespace tinspan::core {
namespace {

constexpr std::size_t kMaxEntries = 16'384;
constexpr Micros kSentAt{1'000'000};
constexpr Micros kExpiresAt{5'000'000};
const OperationId kOrder = MakeOperationId("order");

TEST(ExecutionLedgerTest, RemembersTheFirstExecutionUntilItExpires) {
  ExecutionLedger ledger;
  EXPECT_EQ(ledger.FirstExecutedAt(kOrder, kSentAt), std::nullopt);
  ledger.Record(kOrder, {RequestId{1}, 0}, kSentAt, kExpiresAt);
  ledger.Record(kOrder, {RequestId{2}, 0}, kSentAt + Micros{1}, kExpiresAt + Micros{1});
  EXPECT_EQ(ledger.FirstExecutedAt(kOrder, kExpiresAt - Micros{1}), kSentAt);
  EXPECT_EQ(ledger.FirstExecutedAt(kOrder, kExpiresAt), std::nullopt);
}

TEST(ExecutionLedgerTest, ReplacesAnExpiredExecution) {
  ExecutionLedger ledger;
  ledger.Record(kOrder, {RequestId{1}, 0}, kSentAt, kExpiresAt);
  ledger.Record(kOrder, {RequestId{2}, 0}, kExpiresAt, 2 * kExpiresAt);
  EXPECT_EQ(ledger.FirstExecutedAt(kOrder, kExpiresAt), kExpiresAt);
}

TEST(ExecutionLedgerTest, ForgetsOnlyTheAttemptThatItRemembers) {
  ExecutionLedger ledger;
  ledger.Record(kOrder, {RequestId{1}, 0}, kSentAt, kExpiresAt);
  ledger.Forget(kOrder, {RequestId{1}, 1});
  EXPECT_EQ(ledger.FirstExecutedAt(kOrder, kSentAt), kSentAt);
  ledger.Forget(kOrder, {RequestId{1}, 0});
  EXPECT_EQ(ledger.FirstExecutedAt(kOrder, kSentAt), std::nullopt);
}

TEST(ExecutionLedgerTest, RemembersNothingOfAnUnknownOperation) {
  ExecutionLedger ledger;
  ledger.Record(OperationId{}, {RequestId{1}, 0}, kSentAt, kExpiresAt);
  EXPECT_EQ(ledger.Size(), 0U);
}

TEST(ExecutionLedgerTest, KeepsABoundedNumberAndDropsTheOldest) {
  ExecutionLedger ledger;
  for (std::size_t number = 0; number <= kMaxEntries; ++number) {
    ledger.Record(OperationId{number + 1}, {RequestId{number}, 0}, kSentAt, kExpiresAt);
  }
  EXPECT_EQ(ledger.Size(), kMaxEntries);
  EXPECT_EQ(ledger.FirstExecutedAt(OperationId{1}, kSentAt), std::nullopt);
  EXPECT_EQ(ledger.FirstExecutedAt(OperationId{kMaxEntries + 1}, kSentAt), kSentAt);
}

TEST(ExecutionLedgerTest, PrunesWhatHasExpired) {
  ExecutionLedger ledger;
  ledger.Record(kOrder, {RequestId{1}, 0}, kSentAt, kExpiresAt);
  ledger.Record(MakeOperationId("later order"), {RequestId{2}, 0}, kSentAt, kExpiresAt + Micros{1});
  ledger.Prune(kExpiresAt);
  EXPECT_EQ(ledger.Size(), 1U);
}

}  // namespace
}  // namespace tinspan::core
