// Conversion between the interface's microseconds and seconds as a number.
#pragma once

#include <cmath>

#include "tinspan/router.hpp"

namespace tinspan {

inline double ToSeconds(Micros time) { return std::chrono::duration<double>(time).count(); }

// Rounds to the nearest microsecond.
inline Micros FromSeconds(double seconds) { return Micros{std::llround(seconds * 1e6)}; }

}  // namespace tinspan
