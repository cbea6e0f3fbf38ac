// Averages that follow change: of values, and of work over time.
#pragma once

#include "tinspan/router.hpp"

namespace tinspan {

// An exponentially weighted moving average; each new value has the same weight.
class RunningMean {
 public:
  RunningMean() = default;
  explicit RunningMean(double initial) : value_(initial) {}

  double Value() const { return value_; }
  void Add(double value);

 private:
  double value_ = 0;
};

// Seconds of sending time that fade exponentially with their age.
class RecentWork {
 public:
  // What is left of the work by now.
  double Value(Micros now, const Settings& settings) const;

  // The same as work a second.
  double Rate(Micros now, const Settings& settings) const;

  void Add(double seconds, Micros now, const Settings& settings);

 private:
  double seconds_ = 0;  // as it was at updated_at_
  Micros updated_at_{0};
};

}  // namespace tinspan
