// Whether settings make sense at all; nothing is decided here.
#pragma once

#include "tinspan/router.hpp"

namespace tinspan {

// Throws std::invalid_argument naming what makes no sense.
void ValidateSettings(const Settings& settings);

}  // namespace tinspan
