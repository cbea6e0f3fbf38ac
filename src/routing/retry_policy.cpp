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
  const std::optional<Micros> executed_at = FirstExecutedAt(request);
  if (!executed_at) return request.InFlightCount() == 0;
  if (traffic_class.effect == Effect::kNonIdempotent) return false;
  if (context_.now - *executed_at >= traffic_class.idempotency_window) return false;
  if (traffic_class.idempotency_scope == IdempotencyScope::kAll) return true;
  // Which caches drop a repeat of an earlier try is not known.
  if (request.executed_before_at || !request.first_executed) return false;
  const Attempt& first = request.attempts[*request.first_executed];
  const EndpointInfo& before = servers_[first.server].endpoint;
  const EndpointInfo& next = servers_[server].endpoint;
  if (before.zone != next.zone) return false;
  return traffic_class.idempotency_scope == IdempotencyScope::kZone || before.cell == next.cell;
}

std::optional<Micros> AttemptRules::FirstExecutedAt(const Request& request) {
  std::optional<Micros> executed_at = request.executed_before_at;
  if (!request.first_executed) return executed_at;
  const Micros sent_at = request.attempts[*request.first_executed].sent_at;
  executed_at = std::min(executed_at.value_or(sent_at), sent_at);
  return std::min(*executed_at, request.begun_at.value_or(*executed_at));
}

bool AttemptRules::CanReject(const Request& request) {
  const ClassSettings& traffic_class = request.traffic_class;
  if (traffic_class.effect == Effect::kIdempotent) return true;
  const bool may_have_run = request.first_executed || request.executed_before_at;
  if (!may_have_run && request.InFlightCount() == 0) return true;
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
