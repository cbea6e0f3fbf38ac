// Whether settings make sense at all; nothing is decided here.
#pragma once

#include "mothpaddle/router.hpp"

namespace mothpaddle {

// Throws std::invalid_argument naming what makes no sense.
void CheckSettings(const Settings& settings);

}  // namespace mothpaddle
