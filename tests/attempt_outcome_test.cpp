// Tests every cell of the table of attempt outcomes (docs/design/attempt-outcomes.md).
#include "core/attempt_outcome.hpp"

#include <gtest/gtest.h>

#include <array>
#include <vector>

namespace tinspan::core {
namespace {

using Kind = AttemptEnding::Kind;

// The expected knowledge for the effects kIdempotent, kIdempotencyKey and kNonIdempotent.
using ByEffect = std::array<Execution, 3>;
constexpr ByEffect kNever{Execution::kNeverRan, Execution::kNeverRan, Execution::kNeverRan};
constexpr ByEffect kRan{Execution::kRan, Execution::kRan, Execution::kRan};
constexpr ByEffect kUnknown{Execution::kUnknown, Execution::kUnknown, Execution::kUnknown};

struct Row {
  AttemptEnding ending;
  bool is_only_if_cached;
  bool is_complete;
  ByEffect expected;
};

Row Status(int status, const ByEffect& expected, bool is_only_if_cached = false) {
  return {{Kind::kHttpStatus, status}, is_only_if_cached, true, expected};
}
Row Ending(Kind kind, const ByEffect& expected, bool is_complete = true) {
  return {{kind, 0}, false, is_complete, expected};
}

std::vector<Row> Table() {
  constexpr ByEffect kRejectedUnlessOnce{Execution::kNeverRan, Execution::kNeverRan, Execution::kUnknown};
  constexpr ByEffect kRejectedIfIdempotent{Execution::kNeverRan, Execution::kUnknown, Execution::kUnknown};
  std::vector<Row> table{Status(429, kRejectedUnlessOnce),
                         Status(429, kRejectedUnlessOnce, true),
                         Status(503, kRejectedIfIdempotent),
                         Status(503, kRejectedIfIdempotent, true),
                         Status(504, kUnknown),
                         Status(504, kNever, true),
                         Ending(Kind::kServed, kRan),
                         Ending(Kind::kMiss, kNever),
                         Ending(Kind::kBusy, kNever),
                         Ending(Kind::kObsolete, kNever),
                         Ending(Kind::kError, kUnknown),
                         Ending(Kind::kUnreadable, kUnknown),
                         Ending(Kind::kConnectionLost, kUnknown),
                         Ending(Kind::kConnectionLost, kNever, false),
                         Ending(Kind::kConnectFailed, kNever),
                         Ending(Kind::kNotSent, kNever),
                         Ending(Kind::kTimedOut, kUnknown)};
  for (const int status : {200, 201, 202, 204, 206, 301, 304, 400, 404, 409, 410, 412, 413, 415, 416, 422}) {
    table.push_back(Status(status, kRan));
    table.push_back(Status(status, kRan, true));
  }
  for (const int status : {401, 403, 407, 408, 500, 501, 502, 505, 507, 508, 511, 520, 599}) {
    table.push_back(Status(status, kUnknown));
    table.push_back(Status(status, kUnknown, true));
  }
  return table;
}

class AttemptOutcomeTest : public testing::TestWithParam<Row> {};

// Guards against an ending being taken for a proof that an order never ran: it was rejected, its client tried
// again, and it ran twice (docs/incidents/2026-12-04-order-ran-twice.md).
TEST_P(AttemptOutcomeTest, SaysWhatIsKnown) {
  const Row& row = GetParam();
  constexpr std::array kEffects{Effect::kIdempotent, Effect::kIdempotencyKey, Effect::kNonIdempotent};
  for (std::size_t index = 0; index < kEffects.size(); ++index) {
    const SentRequest sent{.effect = kEffects[index],
                           .is_only_if_cached = row.is_only_if_cached,
                           .is_complete = row.is_complete};
    EXPECT_EQ(ExecutionAfter(OutcomeOf(sent, row.ending)), row.expected[index])
        << "kind " << static_cast<int>(row.ending.kind) << ", status " << row.ending.http_status
        << ", effect " << index;
  }
}

INSTANTIATE_TEST_SUITE_P(Table, AttemptOutcomeTest, testing::ValuesIn(Table()));

}  // namespace
}  // namespace tinspan::core
