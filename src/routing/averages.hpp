// Exponentially weighted averages: of a series of values, and of amounts over time.
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

  // `weight`, from 0 to 1, is the weight of the new value.
  void Add(double value, double weight) { value_ += weight * (value - value_); }

 private:
  double value_ = 0;
};

// A sum of amounts, each of which decays exponentially with its age.
class DecayingSum {
 public:
  // `time_constant` is in seconds; an amount decays to 1/e in this time.
  double Value(Micros now, double time_constant) const {
    return sum_ * std::exp(-ToSeconds(now - updated_at_) / time_constant);
  }

  void Add(double amount, Micros now, double time_constant) {
    sum_ = Value(now, time_constant) + amount;
    updated_at_ = now;
  }

 private:
  double sum_ = 0;  // value at updated_at_
  Micros updated_at_{0};
};

}  // namespace tinspan
