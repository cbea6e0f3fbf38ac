// Conversion between the microseconds of the interface and seconds as double.
#pragma once

#include <cmath>

#include "tinspan/router.hpp"

namespace tinspan {

inline double ToSeconds(Micros time) { return std::chrono::duration<double>(time).count(); }

// Rounds to the nearest microsecond.
inline Micros FromSeconds(double seconds) { return Micros{std::llround(seconds * 1e6)}; }

}  // namespace tinspan
