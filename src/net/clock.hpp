// The two clocks of the program, and the one place that translates between them. No other file reads a clock
// of the system (tests/lint/clocks).
#pragma once

#include <chrono>

#include "setup/unix_time.hpp"

namespace tinspan::net {

using Micros = std::chrono::microseconds;

/// Unix time as the wall clock tells it: for tokens, records and the log. It may step when the clock is set.
inline UnixTime UnixNow() {
  return UnixTime(std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch()));
}

namespace clock_internal {

inline Micros SteadyNow() {
  return std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now().time_since_epoch());
}

/// What is added to the system's monotonic clock so that it tells Unix time as it was at the first call.
inline Micros Origin() {
  static const Micros origin = UnixNow().SinceEpoch() - SteadyNow();
  return origin;
}

}  // namespace clock_internal

/// The program's clock: monotonic, for every deadline, window, wait, grace, timer and age. It began with the
/// Unix time of the program's start and never steps. Once the wall clock is set while the program runs, the
/// two differ by that step until the program is started anew: what is held (deadlines, timers, copies' ages,
/// purges) stays as it was, and moments that other parties name are still read against the Unix time of the
/// start, which a step of this machine's clock does not change for them.
inline Micros Now() { return clock_internal::Origin() + clock_internal::SteadyNow(); }

/// A moment that another party named in Unix time, on the program's clock.
constexpr Micros ToProgramTime(UnixTime moment) { return moment.SinceEpoch(); }

/// By how much the wall clock was set since the program started; small differences are the clocks' own drift.
inline Micros WallClockStep() { return UnixNow().SinceEpoch() - Now(); }

}  // namespace tinspan::net
