// Averages that follow change: of values, and of work over time.
#pragma once

#include <cmath>

#include "routing/time_units.hpp"

namespace tinspan {

// An exponentially weighted moving average.
class RunningMean {
 public:
  RunningMean() = default;
  explicit RunningMean(double initial) : value_(initial) {}

  double Value() const { return value_; }

  // `weight`, from 0 to 1, is the new value's.
  void Add(double value, double weight) { value_ += weight * (value - value_); }

 private:
  double value_ = 0;
};

// A sum of amounts that fade exponentially with their age.
class DecayingSum {
 public:
  // `time_constant` is in seconds: after it 1/e of an amount is left.
  double Value(Micros now, double time_constant) const {
    return sum_ * std::exp(-ToSeconds(now - updated_at_) / time_constant);
  }

  void Add(double amount, Micros now, double time_constant) {
    sum_ = Value(now, time_constant) + amount;
    updated_at_ = now;
  }

 private:
  double sum_ = 0;  // as it was at updated_at_
  Micros updated_at_{0};
};

}  // namespace tinspan
