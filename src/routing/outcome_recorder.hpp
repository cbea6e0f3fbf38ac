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
  explicit OutcomeRecorder(RoutingState& state) : state_(state) {}

  // Learns from an outcome of an attempt that has been released.
  void Record(Request& request, const Attempt& attempt, const OutcomeEvent& event);

  // Learns from an attempt that is in flight past its latency objective; once for each attempt.
  void RecordOverdue(Attempt& attempt);

  // The server has given no sign of life since the attempt was sent.
  bool IsSilent(const Attempt& attempt) const;

  // Who is at fault for an error shows once the request has ended: the server that gave it, unless another
  // server gave one too.
  void AttributeErrors(const Request& request);

 private:
  void RecordServed(const Request& request, const Attempt& attempt, const OutcomeEvent& event);
  void RecordFill(const Request& request, const Attempt& attempt, const OutcomeEvent& event);
  bool RecordFillOrigin(const Attempt& attempt, FillNote note);
  void RecordFailedFill(const Attempt& attempt, FillNote note);
  void RecordFailedAttempt(const Request& request, const Attempt& attempt, const OutcomeEvent& event);
  void RecordTimeout(const Attempt& attempt);
  void RecordSiblingFill(Request& request, const Attempt& attempt, const OutcomeEvent& event);
  bool IsLateFill(const Request& request, const OutcomeEvent& event) const;
  double LatencyRatio(const Request& request, const OutcomeEvent& event) const;

  RoutingState& state_;
};

}  // namespace tinspan
