// Updates server health, capacities and hit probabilities from the outcomes of attempts.
#pragma once

#include "routing/request.hpp"
#include "routing/routing_state.hpp"

namespace tinspan {

// Whether the outcome proves that the server did not execute the request.
bool ProvesNotExecuted(Outcome outcome);

// Attributes a failure or delay to its cause: the cache, its source, a lack of capacity, or the origin behind
// a parent.
class OutcomeRecorder {
 public:
  explicit OutcomeRecorder(RoutingState& state)
      : state_(state), context_(state.context), servers_(state.servers) {}

  // Processes the outcome of an attempt whose load has been released.
  void Record(Request& request, const Attempt& attempt, const OutcomeEvent& event);

  // Processes an attempt that is in flight past its latency objective; has an effect once per attempt. The
  // failure is recorded against a source only with the probability that the source got a request at all: one
  // instance of many rarely gets responses by way of a given source, so a missing one is weak evidence.
  void RecordLate(Attempt& attempt);

  // Whether the server has not responded to anything since the attempt was sent.
  bool IsUnresponsive(const Attempt& attempt) const {
    return !state_.outliers.WasResponsiveSince(attempt.server, attempt.sent_at);
  }

  // Attributes the errors of a request that has ended: to the server that returned the error, unless another
  // server returned one too and none served the request.
  void AttributeErrors(const Request& request);

 private:
  // Whether outcomes report how a fill was made (FillNote), and not only that there was one.
  bool IsFillPathReported() const { return context_.settings.fill_detail == FillDetail::kAll; }

  void RecordServed(const Request& request, const Attempt& attempt, const OutcomeEvent& event);
  void RecordFill(const Request& request, const Attempt& attempt, const OutcomeEvent& event);

  // Updates the origin behind a parent after a fill; returns whether the fill came from the origin. If
  // outcomes do not report this, a fill that was permitted to use the origin counts as a success of the
  // origin with the probability that it did. Otherwise an ejected origin would never be readmitted.
  bool RecordFillOrigin(const Attempt& attempt, FillNote note);

  // Whether a fill is late. If the size is unknown, a large object would appear slow, so the wait for its
  // first byte must be long as well.
  bool IsLateFill(const Request& request, const OutcomeEvent& event) const;

  // A source that rejects is overloaded, but has not failed.
  void RecordFailedFill(const Attempt& attempt, FillNote note);
  void RecordFailedAttempt(const Request& request, const Attempt& attempt, const OutcomeEvent& event);
  void RecordRejection(const Attempt& attempt, FillNote note);

  // Processes an attempt that ended late without a response. These are the slowest attempts and no response
  // reports them. They count as congestion only if fills are late as well; otherwise the response was lost.
  void RecordTimeout(const Attempt& attempt);
  void RecordMiss(const Attempt& attempt);
  void RecordSiblingFill(Request& request, const Attempt& attempt, const OutcomeEvent& event);

  // The response time divided by the request's latency objective.
  double LatencyRatio(const Request& request, const OutcomeEvent& event) const;

  RoutingState& state_;
  Context& context_;
  ServerTable& servers_;
};

}  // namespace tinspan
