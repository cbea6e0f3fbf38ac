#include "routing/averages.hpp"

#include <algorithm>
#include <cmath>

#include "routing/time_units.hpp"

namespace tinspan {
namespace {

constexpr double kNewValueWeight = 0.05;          // slow enough that single values do not show
constexpr double kOverloadWindowsRemembered = 4;  // what happens in one window must not be forgotten in it
constexpr double kMinOverloadWindow = 0.5;        // seconds; shorter ones see too few requests

double TimeConstant(const Settings& settings) {  // in seconds
  return kOverloadWindowsRemembered * std::max(ToSeconds(settings.overload_window), kMinOverloadWindow);
}

}  // namespace

void RunningMean::Add(double value) { value_ += kNewValueWeight * (value - value_); }

double RecentWork::Value(Micros now, const Settings& settings) const {
  return seconds_ * std::exp(-ToSeconds(now - updated_at_) / TimeConstant(settings));
}

double RecentWork::Rate(Micros now, const Settings& settings) const {
  return Value(now, settings) / TimeConstant(settings);
}

void RecentWork::Add(double seconds, Micros now, const Settings& settings) {
  seconds_ = Value(now, settings) + seconds;
  updated_at_ = now;
}

}  // namespace tinspan
