// Commands from the RequestCoordinator to a front, to be executed in order.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "tinspan/router.hpp"

namespace tinspan::core {

/// Send a request to a server. The front must call RequestCoordinator::CanSend immediately before writing it.
struct StartAttempt {
  SendAttempt action;
  std::uint32_t attempt = 0;  // counts from 0 per request
  Effect effect = Effect::kNonIdempotent;
  /// The request must have reached the server by then, or not at all; empty: at any time.
  std::optional<Micros> deliver_by{};
};

/// Cancel an attempt on the wire and drop any response data that still arrives for it.
struct AbortAttempt {
  RequestId id{};
  std::uint32_t attempt = 0;
};

/// Forward the attempt's response to the client: the bytes received so far and all that follow.
struct ForwardResponse {
  RequestId id{};
  std::uint32_t attempt = 0;
};

/// The result of a request.
enum class CompletionStatus {
  kServed,     // served by the named attempt
  kTruncated,  // forwarding had begun and cannot be finished: the client must be able to detect this
  kRejected,   // not executed, or safe to execute again: the client may retry
  kFailed,     // the request may or may not have been executed
};

/// What caused the final response.
enum class CompletionReason {
  kRouter,    // a decision of the Router, or a server's response
  kDeadline,  // the request's deadline passed
  kDraining,  // the instance is in standby or shutting down
};

/// The final response to a request. Every request gets exactly one, unless its client disconnects first.
struct CompleteRequest {
  RequestId id{};
  CompletionStatus status = CompletionStatus::kFailed;
  std::uint32_t attempt = 0;
  CompletionReason reason = CompletionReason::kRouter;
  Micros retry_after{0};           // 0: none is sent
  bool deadline_exceeded = false;  // the deadline passed; independent of the status
};

/// Write a line to the program's log.
struct LogMessage {
  std::string text;
};

using Command = std::variant<StartAttempt, AbortAttempt, ForwardResponse, CompleteRequest, LogMessage>;
using Commands = std::vector<Command>;

}  // namespace tinspan::core
