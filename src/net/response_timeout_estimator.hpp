// How long a response may stay away before its connection is suspected.
#pragma once

#include <chrono>

namespace tinspan::net {

/// Estimates a timeout from what responses took lately and how far that varied, as TCP sets its
/// retransmission timeout (RFC 6298, section 2). A fixed timeout would take every connection for dead where
/// all responses are slow alike, as when a whole fleet's copies are fetched anew. No descriptor and no clock.
class ResponseTimeoutEstimator {
 public:
  using Micros = std::chrono::microseconds;

  /// Timeout() stays within [`min_timeout`, `max_timeout`].
  ResponseTimeoutEstimator(Micros min_timeout, Micros max_timeout)
      : min_timeout_(min_timeout), max_timeout_(max_timeout) {}

  /// A response came after `elapsed`, the time that its own bytes take left out. Below 0 counts as 0.
  void AddSample(Micros elapsed);
  /// The timeout that holds now; `min_timeout` until the first sample.
  Micros Timeout() const;

 private:
  Micros min_timeout_;
  Micros max_timeout_;
  bool has_sample_ = false;
  double smoothed_us_ = 0;   // SRTT of RFC 6298
  double variation_us_ = 0;  // RTTVAR of RFC 6298
};

}  // namespace tinspan::net
