// The clock of the whole program.
#pragma once

#include <chrono>

namespace tinspan::net {

using Micros = std::chrono::microseconds;

/// Unix time in microseconds, as the system's clock tells it. It may step when the system's clock is set.
inline Micros Now() {
  return std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace tinspan::net
