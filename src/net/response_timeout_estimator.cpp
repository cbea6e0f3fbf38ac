#include "net/response_timeout_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace tinspan::net {
namespace {

// The constants of RFC 6298, section 2.
constexpr double kAlpha = 0.125;
constexpr double kBeta = 0.25;
constexpr double kVariationMultiple = 4;

}  // namespace

void ResponseTimeoutEstimator::AddSample(Micros elapsed) {
  const auto sample_us = static_cast<double>(std::max(elapsed, Micros{0}).count());
  if (!has_sample_) {
    has_sample_ = true;
    smoothed_us_ = sample_us;
    variation_us_ = sample_us / 2;
    return;
  }
  variation_us_ += kBeta * (std::abs(sample_us - smoothed_us_) - variation_us_);
  smoothed_us_ += kAlpha * (sample_us - smoothed_us_);
}

ResponseTimeoutEstimator::Micros ResponseTimeoutEstimator::Timeout() const {
  if (!has_sample_) return min_timeout_;
  const double estimate_us = smoothed_us_ + kVariationMultiple * variation_us_;
  return std::clamp(Micros{static_cast<Micros::rep>(estimate_us)}, min_timeout_, max_timeout_);
}

}  // namespace tinspan::net
