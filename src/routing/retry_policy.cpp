#include "routing/retry_policy.hpp"

#include <algorithm>

namespace tinspan {

constexpr double kTokensPerRequest = 0.3;  // a retry costs one token
constexpr double kMaxTokens = 20;

RetryBudget::RetryBudget() : tokens_(kMaxTokens) {}

void RetryBudget::OnRequest() { tokens_ = std::min(tokens_ + kTokensPerRequest, kMaxTokens); }

bool AttemptRules::CanAttempt(const Request& request, ServerIndex server) const {
  if (request.is_ended || request.is_streaming || context_.now >= request.deadline) return false;
  if (request.attempts.size() >= request.max_attempts) return false;
  const bool is_idempotent = request.traffic_class.effect == Effect::kIdempotent;
  if (request.InFlightCount() > 0 && (!context_.settings.can_hedge || !is_idempotent)) return false;
  return IsAttemptSafe(request, server);
}

bool AttemptRules::IsAttemptSafe(const Request& request, ServerIndex server) const {
  const ClassSettings& traffic_class = request.traffic_class;
  if (traffic_class.effect == Effect::kIdempotent) return true;
  if (!request.first_executed) return request.InFlightCount() == 0;
  if (traffic_class.effect == Effect::kNonIdempotent) return false;
  const Attempt& first = request.attempts[*request.first_executed];
  if (context_.now - first.sent_at >= traffic_class.idempotency_window) return false;
  if (traffic_class.idempotency_scope == IdempotencyScope::kAll) return true;
  const EndpointInfo& before = servers_[first.server].endpoint;
  const EndpointInfo& next = servers_[server].endpoint;
  if (before.zone != next.zone) return false;
  return traffic_class.idempotency_scope == IdempotencyScope::kZone || before.cell == next.cell;
}

bool AttemptRules::CanReject(const Request& request) {
  const ClassSettings& traffic_class = request.traffic_class;
  if (traffic_class.effect == Effect::kIdempotent) return true;
  if (!request.first_executed && request.InFlightCount() == 0) return true;
  return traffic_class.effect == Effect::kIdempotencyKey &&
         traffic_class.idempotency_scope == IdempotencyScope::kAll;
}

bool AttemptRules::IsRequestAtFault(const Request& request) {
  const auto first = std::ranges::find_if(request.attempts, &Attempt::has_error);
  return std::any_of(first, request.attempts.end(), [&](const Attempt& attempt) {
    return attempt.has_error && attempt.server != first->server;
  });
}

}  // namespace tinspan
