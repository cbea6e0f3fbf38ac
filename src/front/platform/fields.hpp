// Parsing of the field lists `name=value,name=value` in the platform's messages, whose values contain no
// commas, and of the numbers in them.
#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>
#include <type_traits>

namespace tinspan::platform {

/// Result of parsing a field list.
enum class FieldListStatus { kValid, kMalformed };

/// Calls `visit(name, value)` for each field of `text` in order. An empty text and "-" are empty lists.
/// Returns kMalformed at the first pair without a name or `=`; the fields before it have been visited.
template <class Visitor>
FieldListStatus ForEachField(std::string_view text, const Visitor& visit) {
  if (text.empty() || text == "-") return FieldListStatus::kValid;
  while (true) {
    const std::size_t comma = text.find(',');
    const std::string_view pair = text.substr(0, comma);
    const std::size_t separator = pair.find('=');
    if (separator == std::string_view::npos || separator == 0) return FieldListStatus::kMalformed;
    visit(pair.substr(0, separator), pair.substr(separator + 1));
    if (comma == std::string_view::npos) return FieldListStatus::kValid;
    text.remove_prefix(comma + 1);
  }
}

/// Parses all of `text` as a number; `base` applies to integers only. Returns nullopt if `text` is not a
/// number or is out of the type's range.
template <class Number>
std::optional<Number> ReadNumber(std::string_view text, int base = 10) {
  Number value{};
  std::from_chars_result result{};
  if constexpr (std::is_integral_v<Number>) {
    result = std::from_chars(text.data(), text.data() + text.size(), value, base);
  } else {
    result = std::from_chars(text.data(), text.data() + text.size(), value);
  }
  if (result.ec != std::errc{} || result.ptr != text.data() + text.size() || text.empty())
    return std::nullopt;
  return value;
}

}  // namespace tinspan::platform
