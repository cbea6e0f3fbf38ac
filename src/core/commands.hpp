// What the RequestCoordinator wants a front to do, in order.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "tinspan/router.hpp"

namespace tinspan::core {

/// Send a request to a server. A front asks RequestCoordinator::CanSend right before it writes.
struct StartAttempt {
  SendAttempt action;
  std::uint32_t attempt = 0;  // counted from 0 for each request
};

/// Give an attempt up: it is cancelled on the wire, and whatever still comes of it is dropped.
struct AbortAttempt {
  RequestId id{};
  std::uint32_t attempt = 0;
};

/// The attempt's response is the client's: forward what there is and what comes.
struct ForwardResponse {
  RequestId id{};
  std::uint32_t attempt = 0;
};

enum class CompletionStatus {
  kServed,     // by the attempt named
  kTruncated,  // the response had begun and cannot be finished: the client must notice
  kRejected,   // a retry is harmless
  kFailed,     // nothing is promised about what has run
};

/// Who decided on a final answer that no server gave.
enum class CompletionReason {
  kRouter,    // the decision module, or a server's response
  kDeadline,  // the client's time was up
  kDraining,  // the instance lets its clients go
};

/// The final answer. Every request gets exactly one, unless its client has gone.
struct CompleteRequest {
  RequestId id{};
  CompletionStatus status = CompletionStatus::kFailed;
  std::uint32_t attempt = 0;
  CompletionReason reason = CompletionReason::kRouter;
  Micros retry_after{0};           // 0: no advice
  bool deadline_exceeded = false;  // the time was up, whatever the status
};

/// A line for the program's log.
struct LogMessage {
  std::string text;
};

using Command = std::variant<StartAttempt, AbortAttempt, ForwardResponse, CompleteRequest, LogMessage>;
using Commands = std::vector<Command>;

}  // namespace tinspan::core
