// The program's two clocks and the conversion between them. No other file may read a system clock; the check
// tests/lint/clocks enforces this.
#pragma once

#include <chrono>

#include "setup/unix_time.hpp"

namespace tinspan::net {

using Micros = std::chrono::microseconds;

/// Unix time from the wall clock, for tokens, records and the log. It steps when the clock is set.
inline UnixTime UnixNow() {
  return UnixTime(std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch()));
}

namespace clock_internal {

inline Micros SteadyNow() {
  return std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now().time_since_epoch());
}

/// The Unix time minus the monotonic clock, fixed at the first call.
inline Micros UnixOffset() {
  static const Micros offset = UnixNow().SinceEpoch() - SteadyNow();
  return offset;
}

}  // namespace clock_internal

/// The program's monotonic clock, used for every deadline, window, timer and age. It starts at the Unix time
/// of the program's start and never steps. If the wall clock is set while the program runs, the two clocks
/// differ by that step until the program restarts. Deadlines, timers, ages of copies and purges are not
/// affected, and timestamps from other parties are still compared with the Unix time of the start, because a
/// step of this machine's clock does not change the timestamps that they send.
inline Micros Now() { return clock_internal::UnixOffset() + clock_internal::SteadyNow(); }

/// Converts a Unix timestamp from another party to the program's clock.
constexpr Micros ToProgramTime(UnixTime moment) { return moment.SinceEpoch(); }

/// By how much the wall clock was stepped since the program started. Small values are clock drift.
inline Micros WallClockStep() { return UnixNow().SinceEpoch() - Now(); }

}  // namespace tinspan::net
