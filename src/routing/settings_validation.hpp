// Checks settings for invalid values.
#pragma once

#include "tinspan/router.hpp"

namespace tinspan {

// Returns its argument. Throws std::invalid_argument with the name of the invalid setting.
const Settings& Validated(const Settings& settings);

}  // namespace tinspan
