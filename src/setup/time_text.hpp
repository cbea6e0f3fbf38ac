// Unix times as people write them: RFC 3339, in UTC.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "tinspan/router.hpp"

namespace tinspan {

// Such as 2026-12-01T14:03:00.250000Z.
std::string TimeText(Micros unix_time);
// As above, with any number of decimals and Z, or `@SECONDS` since 1970 with decimals. Nothing if it is
// neither.
std::optional<Micros> ReadTime(std::string_view text);

}  // namespace tinspan
