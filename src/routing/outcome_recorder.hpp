// What the outcomes of attempts say about servers, capacities and hit probabilities.
#pragma once

#include "routing/request.hpp"
#include "routing/routing_state.hpp"

namespace tinspan {

// Whether the outcome proves that the request was not executed.
bool ProvesNotExecuted(Outcome outcome);

// Keeps apart what may be at fault: the cache, the source behind it, a place too full, the origin behind a
// parent.
class OutcomeRecorder {
 public:
  explicit OutcomeRecorder(RoutingState& state)
      : state_(state), context_(state.context), servers_(state.servers) {}

  // Learns from an outcome of an attempt that has been released.
  void Record(Request& request, const Attempt& attempt, const OutcomeEvent& event);

  // Learns from an attempt that is in flight past its latency objective; once for each attempt. It speaks
  // against a source only by the probability that it was asked at all: one instance of many hears of a
  // source seldom, so its silence alone says little.
  void RecordLate(Attempt& attempt);

  // The server has given no sign of life since the attempt was sent.
  bool IsSilent(const Attempt& attempt) const {
    return !state_.outliers.WasResponsiveSince(attempt.server, attempt.sent_at);
  }

  // Who is at fault for an error shows once the request has ended: the server that gave it, unless another
  // server gave one too.
  void AttributeErrors(const Request& request);

 private:
  // Whether outcomes tell how a fill came, and not only that it did.
  bool IsFillWayReported() const { return context_.settings.fill_detail == FillDetail::kAll; }

  void RecordServed(const Request& request, const Attempt& attempt, const OutcomeEvent& event);
  void RecordFill(const Request& request, const Attempt& attempt, const OutcomeEvent& event);

  // What a fill says of the origin behind a parent. True: the origin filled it. Where outcomes do not tell
  // the way, a fill that was free to go by the origin speaks for it by the probability that it did: else an
  // ejected origin would never be readmitted.
  bool RecordFillOrigin(const Attempt& attempt, FillNote note);

  // Where sizes are not told, a large object looks slow: the wait for its first byte must be long too.
  bool IsLateFill(const Request& request, const OutcomeEvent& event) const;

  // A source that rejects is alive and full, not faulty.
  void RecordFailedFill(const Attempt& attempt, FillNote note);
  void RecordFailedAttempt(const Request& request, const Attempt& attempt, const OutcomeEvent& event);
  void RecordRejection(const Attempt& attempt, FillNote note);

  // Cut off late: the slowest of all, which no answer would ever tell of. It speaks of congestion only where
  // fills come late as well; else its answer was lost on the way.
  void RecordTimeout(const Attempt& attempt);
  void RecordMiss(const Attempt& attempt);
  void RecordSiblingFill(Request& request, const Attempt& attempt, const OutcomeEvent& event);

  // The time an answer took, over the request's latency objective.
  double LatencyRatio(const Request& request, const OutcomeEvent& event) const;

  RoutingState& state_;
  Context& context_;
  ServerTable& servers_;
};

}  // namespace tinspan
