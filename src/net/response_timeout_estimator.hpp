// Estimates the timeout after which a connection without a response is suspected to be dead.
#pragma once

#include <chrono>

namespace tinspan::net {

/// Estimates a timeout from recent response times and their variation, like TCP's retransmission timeout (RFC
/// 6298, section 2). With a fixed timeout every connection would be considered dead when all responses are
/// slow alike, for example while all copies of a fleet are filled again. It does no I/O and reads no clock.
class ResponseTimeoutEstimator {
 public:
  using Micros = std::chrono::microseconds;

  /// Timeout() stays within [`min_timeout`, `max_timeout`].
  ResponseTimeoutEstimator(Micros min_timeout, Micros max_timeout)
      : min_timeout_(min_timeout), max_timeout_(max_timeout) {}

  /// Adds the time that a response took, without the transfer time of its bytes. Negative times count as 0.
  void AddSample(Micros elapsed);
  /// The current timeout; `min_timeout` before the first sample.
  Micros Timeout() const;

 private:
  Micros min_timeout_;
  Micros max_timeout_;
  bool has_sample_ = false;
  double smoothed_us_ = 0;   // SRTT of RFC 6298
  double variation_us_ = 0;  // RTTVAR of RFC 6298
};

}  // namespace tinspan::net
