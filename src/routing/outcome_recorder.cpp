#include "routing/outcome_recorder.hpp"

#include <algorithm>
#include <utility>

#include "routing/dispatcher.hpp"
#include "routing/time_units.hpp"

namespace tinspan {
namespace {

constexpr double kLateHitRatio = 0.7;   // of the latency objective: later hits say that capacity runs out
constexpr double kLateFillRatio = 1.0;  // the same for fills, which are slower without any fault
constexpr double kLateWaitRatio = 0.7;  // the same for the wait for a source's first byte
constexpr double kMinObjective = 1e-3;  // seconds, as a divisor

bool IsFilled(FillNote note) { return note == FillNote::kFilled || note == FillNote::kFilledViaOrigin; }

bool IsFailedFill(FillNote note) {
  return note == FillNote::kSourceRejected || note == FillNote::kSourceUnreachable ||
         note == FillNote::kOriginFailed;
}

bool IsSourceUntouched(FillNote note) {
  return note == FillNote::kHit || note == FillNote::kStaleHit || note == FillNote::kJoined;
}

}  // namespace

bool ProvesNotExecuted(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed ||
         outcome == Outcome::kNotSent || outcome == Outcome::kMiss;
}

void OutcomeRecorder::Record(Request& request, const Attempt& attempt, const OutcomeEvent& event) {
  const bool is_served = event.outcome == Outcome::kServed;
  if (!is_served && !ProvesNotExecuted(event.outcome)) {
    state_.ingress.RecordAbandonedFill(attempt.ingress_probability);
  }
  if (event.load.link_utilization && state_.servers[attempt.server].role == Role::kCache) {
    state_.ingress.RecordUtilization(*event.load.link_utilization);
  }
  if (is_served) {
    RecordServed(request, attempt, event);
  } else if (IsFailedFill(event.note)) {
    RecordFailedFill(attempt, event.note);
  } else {
    RecordFailedAttempt(request, attempt, event);
  }
  if (attempt.sibling_summary > 0) RecordSiblingFill(request, attempt, event);
  if (attempt.HasSource() && IsSourceUntouched(event.note)) {
    SlowStartBudget::Refund(state_.servers[attempt.source], attempt.source_charge);
  }
}

void OutcomeRecorder::RecordServed(const Request& request, const Attempt& attempt,
                                   const OutcomeEvent& event) {
  Server& server = state_.servers[attempt.server];
  state_.outliers.RecordSuccess(attempt.server);
  if (!attempt.was_overdue) state_.late_attempts.Add(0);
  server.work.Add(state_.costs.TransferTime(request), state_.context.now, state_.context.settings);
  if (attempt.HasSource() && IsFilled(event.note)) {
    RecordFill(request, attempt, event);
  } else {
    const bool is_late = LatencyRatio(request, event) > kLateHitRatio;
    state_.capacity.RecordResponse(server.load, is_late, ResponseKind::kHit);
  }
  if (event.note != FillNote::kNone) {
    state_.hits.cache_hits.At(attempt.own_summary).Record(!IsFilled(event.note));
  }
  const bool is_own_transfer =
      event.note == FillNote::kHit || state_.context.settings.fill_detail == FillDetail::kOff;
  if (request.event.size_kb <= 0 && is_own_transfer) {
    state_.costs.RecordTransferTime(request, event.elapsed);
  }
}

void OutcomeRecorder::RecordFill(const Request& request, const Attempt& attempt, const OutcomeEvent& event) {
  Server& source = state_.servers[attempt.source];
  state_.outliers.RecordSuccess(attempt.source);
  source.work.Add(state_.costs.TransferTime(request), state_.context.now, state_.context.settings);
  const bool is_via_origin = RecordFillOrigin(attempt, event.note);
  Load& filled_by = is_via_origin ? state_.servers[*attempt.origin].load : source.load;
  state_.capacity.RecordResponse(filled_by, IsLateFill(request, event), ResponseKind::kFill);
  if (attempt.ingress_probability <= 0) return;
  // A fill that waited for most of its time speaks of its source, not of the link.
  const double wait = ToSeconds(event.fill_wait.value_or(Micros{0}));
  const bool is_link_slow = wait < ToSeconds(event.elapsed) / 2;
  state_.ingress.RecordFill(LatencyRatio(request, event) > kLateFillRatio && is_link_slow);
}

// What a fill says of the origin behind a parent. True: the origin filled it.
bool OutcomeRecorder::RecordFillOrigin(const Attempt& attempt, FillNote note) {
  if (!attempt.origin) return false;
  const bool is_via_origin = note == FillNote::kFilledViaOrigin;
  const bool is_way_told = state_.context.settings.fill_detail == FillDetail::kAll;
  if (is_via_origin) {
    state_.outliers.RecordSuccess(*attempt.origin);
  } else if (!is_way_told && !attempt.is_parent_cached_only) {
    // A fill that was free to go by the origin speaks for it by the chance that it did: else an ejected
    // origin would never be readmitted.
    state_.outliers.RecordSuccess(*attempt.origin, 1 - state_.hits.parent_hits.Value());
  }
  if (is_way_told || attempt.is_parent_cached_only) state_.hits.parent_hits.Record(!is_via_origin);
  return is_via_origin;
}

// Where sizes are not told, a large object looks slow: the wait for its first byte must be long too.
bool OutcomeRecorder::IsLateFill(const Request& request, const OutcomeEvent& event) const {
  const double latency_ratio = LatencyRatio(request, event);
  if (request.event.size_kb > 0 || !event.fill_wait) return latency_ratio > kLateFillRatio;
  const double objective = ToSeconds(state_.context.ClassOf(request.event).latency_objective);
  return latency_ratio > 1 && ToSeconds(*event.fill_wait) > kLateWaitRatio * objective;
}

double OutcomeRecorder::LatencyRatio(const Request& request, const OutcomeEvent& event) const {
  return ToSeconds(event.elapsed) / std::max(state_.costs.LatencyObjective(request), kMinObjective);
}

void OutcomeRecorder::RecordFailedFill(const Attempt& attempt, FillNote note) {
  state_.outliers.RecordHeard(attempt.server);
  std::optional<ServerIndex> at_fault = attempt.HasSource() ? std::optional(attempt.source) : std::nullopt;
  if (note == FillNote::kOriginFailed) at_fault = state_.servers.Origin();
  if (!at_fault) return;
  state_.capacity.RecordRejection(state_.servers[*at_fault].load);
  // A source that rejects is alive and full, not faulty.
  if (note != FillNote::kSourceRejected) state_.outliers.RecordFailure(*at_fault);
}

void OutcomeRecorder::RecordFailedAttempt(const Request& request, const Attempt& attempt,
                                          const OutcomeEvent& event) {
  switch (event.outcome) {
    case Outcome::kRejected:
      state_.outliers.RecordHeard(attempt.server);
      if (event.note == FillNote::kNoFillSlot) return state_.ingress.RecordRejection();  // hits may go on
      return state_.capacity.RecordRejection(state_.servers[attempt.server].load);
    case Outcome::kConnectFailed:
      return state_.outliers.RecordUnreachable(attempt.server);
    case Outcome::kError:
      return state_.outliers.RecordHeard(attempt.server);  // for the rest see AttributeErrors
    case Outcome::kReset:
      return state_.outliers.RecordReset(attempt.server, attempt.sent_at);
    default:
      break;
  }
  if (ToSeconds(event.elapsed) > state_.costs.LatencyObjective(request)) return RecordTimeout(attempt);
  if (event.outcome != Outcome::kMiss) return;
  state_.outliers.RecordSuccess(attempt.server);
  const bool is_way_told = state_.context.settings.fill_detail == FillDetail::kAll;
  if (attempt.is_parent_cached_only && !is_way_told) state_.hits.parent_hits.Record(false);
}

// Cut off late: the slowest of all, which no answer would ever tell of. It speaks of congestion only where
// fills come late as well; else its answer was lost on the way.
void OutcomeRecorder::RecordTimeout(const Attempt& attempt) {
  if (!state_.ingress.IsCongested()) return;
  const ServerIndex filled_by = attempt.origin.value_or(attempt.source);
  const ServerIndex slow = IsFillLikely(attempt) ? filled_by : attempt.server;
  state_.capacity.Reduce(state_.servers[slow].load, ResponseKind::kHit);
  if (IsIngressLikely(attempt)) state_.ingress.RecordTimeout();
}

void OutcomeRecorder::RecordSiblingFill(Request& request, const Attempt& attempt, const OutcomeEvent& event) {
  HitProbability& probability = state_.hits.sibling_fills.At(attempt.sibling_summary);
  const bool is_served = event.outcome == Outcome::kServed;
  if (is_served && IsFilled(event.note)) probability.Record(true);
  if (event.note == FillNote::kSourceMiss) probability.Record(false);
  if (!is_served) request.has_sibling_failed = true;
}

bool OutcomeRecorder::IsSilent(const Attempt& attempt) const {
  return !state_.outliers.HasHeardSince(attempt.server, attempt.sent_at);
}

// Speaks against a source only by the probability that it was asked at all: one instance of many hears of a
// source seldom, so its silence alone says little.
void OutcomeRecorder::RecordOverdue(Attempt& attempt) {
  if (std::exchange(attempt.was_overdue, true)) return;
  state_.late_attempts.Add(1);
  if (IsSilent(attempt)) {
    state_.outliers.RecordUnreachable(attempt.server);
  } else if (attempt.HasSource() && !state_.outliers.HasHeardSince(attempt.source, attempt.sent_at)) {
    state_.outliers.RecordFailure(attempt.source, attempt.fill_probability);
  } else if (attempt.origin && IsFillLikely(attempt) &&
             !state_.outliers.HasHeardSince(*attempt.origin, attempt.sent_at)) {
    state_.outliers.RecordFailure(*attempt.origin);  // the parent lives, what is behind it does not
  }
}

void OutcomeRecorder::AttributeErrors(const Request& request) {
  if (AttemptRules::IsRequestAtFault(request) && !request.was_served) return;
  for (const Attempt& attempt : request.attempts) {
    if (attempt.has_error) state_.outliers.RecordFailure(attempt.server);
  }
}

}  // namespace tinspan
