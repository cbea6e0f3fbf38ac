// Field lists `name=value,name=value` as the platform's messages carry them (values hold no commas), and the
// numbers in them.
#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>
#include <type_traits>

namespace tinspan::platform {

/// Whether a text was a list of fields.
enum class FieldList { kValid, kMalformed };

/// Calls `visit(name, value)` for each field of `text` in order; an empty text and "-" are lists without a
/// field. kMalformed: a pair has no name or no `=`; the fields in front of it have been visited.
template <class Visitor>
FieldList ForEachField(std::string_view text, const Visitor& visit) {
  if (text.empty() || text == "-") return FieldList::kValid;
  while (true) {
    const std::size_t comma = text.find(',');
    const std::string_view pair = text.substr(0, comma);
    const std::size_t separator = pair.find('=');
    if (separator == std::string_view::npos || separator == 0) return FieldList::kMalformed;
    visit(pair.substr(0, separator), pair.substr(separator + 1));
    if (comma == std::string_view::npos) return FieldList::kValid;
    text.remove_prefix(comma + 1);
  }
}

/// The number that `text` consists of, in base `base` where it is an integer; nothing if it is none or out of
/// the type's range.
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
