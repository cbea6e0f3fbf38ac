// Whether settings make sense at all; nothing is decided here.
#pragma once

#include "tinspan/router.hpp"

namespace tinspan {

// Gives its argument back, or throws std::invalid_argument naming what makes no sense.
const Settings& Validated(const Settings& settings);

}  // namespace tinspan
