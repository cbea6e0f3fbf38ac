// Formats and parses Unix times as RFC 3339 text in UTC.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "tinspan/router.hpp"

namespace tinspan {

/// Formats a time with microseconds, such as 2026-12-01T14:03:00.250000Z.
std::string FormatTime(Micros unix_time);
/// Parses the format above, with any number of decimals or none, or `@SECONDS` since 1970 with optional
/// decimals. Returns nullopt for any other text.
std::optional<Micros> ParseTime(std::string_view text);

}  // namespace tinspan
