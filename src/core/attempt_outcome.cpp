#include "core/attempt_outcome.hpp"

namespace tinspan::core {
namespace {

constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kProxyAuthenticationRequired = 407;
constexpr int kRequestTimeout = 408;
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

bool IsFailure(int status) {
  return status == kUnauthorized || status == kForbidden || status == kProxyAuthenticationRequired ||
         status == kRequestTimeout || status == kTooManyRequests || status >= kFirstServerError;
}

Outcome OutcomeOfStatus(const SentRequest& sent, int status) {
  // RFC 9111, section 5.2.1.7: nothing is stored. Without the directive a 504 is a time limit that passed
  // behind the server, and says nothing about the execution.
  if (status == kGatewayTimeout && sent.is_only_if_cached) return Outcome::kMiss;
  // An overloaded server says that it did not process the request (RFC 6585, section 4; RFC 9110, section
  // 15.6.4), but an intermediary may say so after an earlier attempt of its own. That does not matter for an
  // idempotent request. With an idempotency key, 429 is taken at its word.
  if (status == kTooManyRequests && sent.effect != Effect::kNonIdempotent) return Outcome::kRejected;
  if (status == kServiceUnavailable && sent.effect == Effect::kIdempotent) return Outcome::kRejected;
  return IsFailure(status) ? Outcome::kError : Outcome::kServed;
}

}  // namespace

Outcome OutcomeOf(const SentRequest& sent, const AttemptEnding& ending) {
  using Kind = AttemptEnding::Kind;
  switch (ending.kind) {
    case Kind::kHttpStatus:
      return OutcomeOfStatus(sent, ending.http_status);
    case Kind::kServed:
      return Outcome::kServed;
    case Kind::kMiss:
      return Outcome::kMiss;
    case Kind::kBusy:
      return Outcome::kRejected;
    case Kind::kObsolete:
    case Kind::kNotSent:
      return Outcome::kNotSent;
    case Kind::kConnectFailed:
      return Outcome::kConnectFailed;
    case Kind::kConnectionLost:
      return sent.is_complete ? Outcome::kReset : Outcome::kConnectFailed;
    case Kind::kTimedOut:
      return Outcome::kTimedOut;
    case Kind::kError:
    case Kind::kUnreadable:
      return Outcome::kError;
  }
  return Outcome::kError;
}

Execution ExecutionAfter(Outcome outcome) {
  switch (outcome) {
    case Outcome::kRejected:
    case Outcome::kConnectFailed:
    case Outcome::kNotSent:
    case Outcome::kMiss:
      return Execution::kNeverRan;
    case Outcome::kServed:
      return Execution::kRan;
    default:
      return Execution::kUnknown;
  }
}

}  // namespace tinspan::core
