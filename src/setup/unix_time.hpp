// Unix time as a type of its own.
#pragma once

#include <compare>

#include "tinspan/router.hpp"

namespace tinspan {

/// A moment that the wire, a record or a page names in Unix time, as this machine's wall clock or another
/// party tells it. It does not convert to Micros, the program's monotonic clock, by which every deadline,
/// window, wait and age is counted: the wall clock may be set while the program runs (net/clock.hpp).
class UnixTime {
 public:
  constexpr UnixTime() = default;
  constexpr explicit UnixTime(Micros since_epoch) : since_epoch_(since_epoch) {}

  /// Since 1970-01-01T00:00:00Z, without leap seconds.
  constexpr Micros SinceEpoch() const { return since_epoch_; }

  constexpr auto operator<=>(const UnixTime&) const = default;
  constexpr UnixTime operator+(Micros span) const { return UnixTime(since_epoch_ + span); }
  constexpr UnixTime operator-(Micros span) const { return UnixTime(since_epoch_ - span); }
  constexpr Micros operator-(UnixTime earlier) const { return since_epoch_ - earlier.since_epoch_; }

 private:
  Micros since_epoch_{0};
};

}  // namespace tinspan
