// The clock of the whole program: Unix time in microseconds, as the operators' machines tell it.
#pragma once

#include <chrono>

namespace tinspan::net {

using Micros = std::chrono::microseconds;

inline Micros Now() {
  return std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace tinspan::net
