// What the ending of an attempt says about its execution: the one table for all fronts
// (docs/design/attempt-outcomes.md). Pure functions.
#pragma once

#include <cstdint>

#include "tinspan/router.hpp"

namespace tinspan::core {

/// What is known about the execution of an attempt at its server.
enum class Execution : std::uint8_t {
  kNeverRan,  // proven: the request may be rejected or sent again, whatever its effect
  kRan,       // the response says so
  kUnknown,   // it may have run, or still be running
};

/// What was sent for an attempt, as far as its outcome depends on it.
struct SentRequest {
  Effect effect = Effect::kNonIdempotent;
  /// The request itself carried `Cache-Control: only-if-cached`.
  bool is_only_if_cached = false;
  /// The socket has taken the complete request, so the server may have received it.
  bool is_complete = true;
};

/// How an attempt ended.
struct AttemptEnding {
  enum class Kind : std::uint8_t {
    kHttpStatus,      // a response with `http_status`
    kServed,          // the platform's OK and SAME
    kMiss,            // the platform's MISS
    kBusy,            // the platform's BUSY
    kObsolete,        // the platform's VOID
    kError,           // the platform's ERR
    kUnreadable,      // a response that cannot be read
    kConnectionLost,  // the connection ended before the response
    kConnectFailed,   // no connection came about
    kNotSent,         // nothing was sent, for a reason of this process
    kTimedOut,
  };
  Kind kind = Kind::kHttpStatus;
  int http_status = 0;
};

/// Returns the outcome of an attempt for the Router. A status that is passed on to the client is kServed.
Outcome OutcomeOf(const SentRequest& sent, const AttemptEnding& ending);

/// Returns what an outcome says about the execution.
Execution ExecutionAfter(Outcome outcome);

}  // namespace tinspan::core
