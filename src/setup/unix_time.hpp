// A type for Unix time, distinct from the monotonic time.
#pragma once

#include <compare>

#include "tinspan/router.hpp"

namespace tinspan {

/// A point in time that a message, a record or a report gives in Unix time, from this machine's wall clock or
/// from another machine. It does not convert to Micros, the type of the monotonic clock, which measures every
/// deadline, window, wait and age, because the wall clock may be set while the program runs (net/clock.hpp).
class UnixTime {
 public:
  constexpr UnixTime() = default;
  constexpr explicit UnixTime(Micros since_epoch) : since_epoch_(since_epoch) {}

  /// The time since 1970-01-01T00:00:00Z, not counting leap seconds.
  constexpr Micros SinceEpoch() const { return since_epoch_; }

  constexpr auto operator<=>(const UnixTime&) const = default;
  constexpr UnixTime operator+(Micros duration) const { return UnixTime(since_epoch_ + duration); }
  constexpr UnixTime operator-(Micros duration) const { return UnixTime(since_epoch_ - duration); }
  constexpr Micros operator-(UnixTime earlier) const { return since_epoch_ - earlier.since_epoch_; }

 private:
  Micros since_epoch_{0};
};

}  // namespace tinspan
