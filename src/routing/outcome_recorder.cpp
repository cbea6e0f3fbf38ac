#include "routing/outcome_recorder.hpp"

#include <algorithm>
#include <utility>

#include "routing/dispatcher.hpp"
#include "routing/time_units.hpp"

namespace tinspan {
namespace {

constexpr double kLateHitRatio = 0.7;   // of the latency objective; later hits show that capacity is short
constexpr double kLateFillRatio = 1.0;  // the same for fills, which are slower without a fault
constexpr double kLateWaitRatio = 0.7;  // the same for the wait for a source's first byte
constexpr double kLateAttemptWeight = 0.05;  // weight of one attempt in the rate of late attempts
constexpr double kMinObjective = 1e-3;       // seconds; avoids a division by 0

bool IsFilled(FillNote note) { return note == FillNote::kFilled || note == FillNote::kFilledViaOrigin; }

bool IsSourceFault(FillNote note) {
  return note == FillNote::kSourceRejected || note == FillNote::kSourceUnreachable;
}

bool IsSourceUnused(FillNote note) {
  return note == FillNote::kHit || note == FillNote::kStaleHit || note == FillNote::kJoined;
}

}  // namespace

bool ProvesNotExecuted(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed ||
         outcome == Outcome::kNotSent || outcome == Outcome::kMiss;
}

void OutcomeRecorder::Record(Request& request, const Attempt& attempt, const OutcomeEvent& event) {
  const bool is_served = event.outcome == Outcome::kServed;
  const bool is_abandoned = !is_served && !ProvesNotExecuted(event.outcome);
  if (is_abandoned) state_.ingress.RecordAbandonedFill(attempt.ingress_probability);
  if (servers_[attempt.server].role == Role::kCache) state_.ingress.RecordReport(event.load);
  if (is_served) {
    RecordServed(request, attempt, event);
  } else if (IsSourceFault(event.note) || event.note == FillNote::kOriginFailed) {
    RecordFailedFill(attempt, event.note);
  } else {
    RecordFailedAttempt(request, attempt, event);
  }
  if (attempt.sibling_summary > 0) RecordSiblingFill(request, attempt, event);
  const bool is_source_unused = attempt.HasSource() && IsSourceUnused(event.note);
  if (is_source_unused) servers_[attempt.source].slow_start.budget += attempt.transfer_time;
}

void OutcomeRecorder::RecordServed(const Request& request, const Attempt& attempt,
                                   const OutcomeEvent& event) {
  Server& server = servers_[attempt.server];
  state_.outliers.RecordSuccess(attempt.server);
  if (!attempt.was_late) state_.late_attempt_rate.Add(0, kLateAttemptWeight);
  state_.slow_start.RecordWork(server, state_.costs.TransferTime(request));
  if (attempt.HasSource() && IsFilled(event.note)) {
    RecordFill(request, attempt, event);
  } else {
    const bool is_late = LatencyRatio(request, event) > kLateHitRatio;
    state_.capacity.RecordResponse(server.load, is_late, ResponseKind::kHit);
  }
  HitProbability& cache_hits = state_.hits.cache_hits.At(attempt.own_summary);
  if (event.note != FillNote::kNone) cache_hits.Record(!IsFilled(event.note));
  const bool is_hit = event.note == FillNote::kHit || context_.settings.fill_detail == FillDetail::kOff;
  if (is_hit && request.event.size_kb <= 0) state_.costs.RecordTransferTime(request, event.elapsed);
}

void OutcomeRecorder::RecordFill(const Request& request, const Attempt& attempt, const OutcomeEvent& event) {
  Server& source = servers_[attempt.source];
  state_.outliers.RecordSuccess(attempt.source);
  state_.slow_start.RecordWork(source, state_.costs.TransferTime(request));
  const bool is_via_origin = RecordFillOrigin(attempt, event.note);
  Load& filled_by = is_via_origin ? servers_[*attempt.origin].load : source.load;
  state_.capacity.RecordResponse(filled_by, IsLateFill(request, event), ResponseKind::kFill);
  if (attempt.ingress_probability <= 0) return;
  // If most of the time was spent waiting for the first byte, the source was slow, not the link.
  const bool has_waited = event.fill_wait && ToSeconds(*event.fill_wait) >= ToSeconds(event.elapsed) / 2;
  state_.ingress.RecordFill(LatencyRatio(request, event) > kLateFillRatio && !has_waited);
}

bool OutcomeRecorder::RecordFillOrigin(const Attempt& attempt, FillNote note) {
  if (!attempt.origin) return false;
  const bool is_via_origin = note == FillNote::kFilledViaOrigin;
  const bool is_path_known = IsFillPathReported() || attempt.is_parent_cached_only;
  if (is_via_origin) {
    state_.outliers.RecordSuccess(*attempt.origin);
  } else if (!is_path_known) {
    state_.outliers.RecordSuccess(*attempt.origin, 1 - state_.hits.parent_hits.Value());
  }
  if (is_path_known) state_.hits.parent_hits.Record(!is_via_origin);
  return is_via_origin;
}

bool OutcomeRecorder::IsLateFill(const Request& request, const OutcomeEvent& event) const {
  const double latency_ratio = LatencyRatio(request, event);
  if (request.event.size_kb > 0 || !event.fill_wait) return latency_ratio > kLateFillRatio;
  const double objective = ToSeconds(request.traffic_class.latency_objective);
  return latency_ratio > 1 && ToSeconds(*event.fill_wait) > kLateWaitRatio * objective;
}

double OutcomeRecorder::LatencyRatio(const Request& request, const OutcomeEvent& event) const {
  return ToSeconds(event.elapsed) / std::max(state_.costs.LatencyObjective(request), kMinObjective);
}

void OutcomeRecorder::RecordFailedFill(const Attempt& attempt, FillNote note) {
  state_.outliers.RecordResponsive(attempt.server);
  const bool is_origin_fault = note == FillNote::kOriginFailed;
  const std::optional<ServerIndex> at_fault = is_origin_fault ? servers_.Origin() : attempt.Source();
  if (!at_fault) return;
  state_.capacity.RecordRejection(servers_[*at_fault].load);
  if (note != FillNote::kSourceRejected) state_.outliers.RecordFailure(*at_fault);
}

void OutcomeRecorder::RecordFailedAttempt(const Request& request, const Attempt& attempt,
                                          const OutcomeEvent& event) {
  const bool is_late = ToSeconds(event.elapsed) > state_.costs.LatencyObjective(request);
  switch (event.outcome) {
    case Outcome::kRejected:
      return RecordRejection(attempt, event.note);
    case Outcome::kConnectFailed:
      return state_.outliers.RecordUnreachable(attempt.server);
    case Outcome::kError:  // AttributeErrors records failures
      return state_.outliers.RecordResponsive(attempt.server);
    case Outcome::kReset:
      return state_.outliers.RecordReset(attempt.server, attempt.sent_at);
    default:
      if (is_late) return RecordTimeout(attempt);
      if (event.outcome == Outcome::kMiss) RecordMiss(attempt);
  }
}

void OutcomeRecorder::RecordRejection(const Attempt& attempt, FillNote note) {
  state_.outliers.RecordResponsive(attempt.server);
  // If a cache has no free fill slot, the ingress link is congested. Hits are not affected.
  if (note == FillNote::kNoFillSlot) return state_.ingress.RecordRejection();
  state_.capacity.RecordRejection(servers_[attempt.server].load);
}

void OutcomeRecorder::RecordTimeout(const Attempt& attempt) {
  if (!state_.ingress.IsCongested()) return;
  const ServerIndex filled_by = attempt.origin.value_or(attempt.source);
  const ServerIndex slow_server = IsFillLikely(attempt) ? filled_by : attempt.server;
  state_.capacity.Reduce(servers_[slow_server].load, ResponseKind::kHit);
  if (IsIngressLikely(attempt)) state_.ingress.RecordTimeout();
}

void OutcomeRecorder::RecordMiss(const Attempt& attempt) {
  state_.outliers.RecordSuccess(attempt.server);
  if (attempt.is_parent_cached_only && !IsFillPathReported()) state_.hits.parent_hits.Record(false);
}

void OutcomeRecorder::RecordSiblingFill(Request& request, const Attempt& attempt, const OutcomeEvent& event) {
  HitProbability& probability = state_.hits.sibling_fills.At(attempt.sibling_summary);
  const bool is_served = event.outcome == Outcome::kServed;
  if (is_served && IsFilled(event.note)) probability.Record(true);
  if (event.note == FillNote::kSourceMiss) probability.Record(false);
  if (!is_served) request.has_sibling_failed = true;
}

void OutcomeRecorder::RecordLate(Attempt& attempt) {
  if (std::exchange(attempt.was_late, true)) return;
  state_.late_attempt_rate.Add(1, kLateAttemptWeight);
  const auto is_unresponsive = [&](ServerIndex index) {
    return !state_.outliers.WasResponsiveSince(index, attempt.sent_at);
  };
  if (is_unresponsive(attempt.server)) {
    state_.outliers.RecordUnreachable(attempt.server);
  } else if (attempt.HasSource() && is_unresponsive(attempt.source)) {
    state_.outliers.RecordFailure(attempt.source, attempt.fill_probability);
  } else if (attempt.origin && IsFillLikely(attempt) && is_unresponsive(*attempt.origin)) {
    state_.outliers.RecordFailure(*attempt.origin);  // the parent responds, the origin behind it does not
  }
}

void OutcomeRecorder::AttributeErrors(const Request& request) {
  if (AttemptRules::IsRequestAtFault(request) && !request.was_served) return;
  for (const Attempt& attempt : request.attempts) {
    if (attempt.has_error) state_.outliers.RecordFailure(attempt.server);
  }
}

}  // namespace tinspan
