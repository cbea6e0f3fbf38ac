// `name=value,name=value`, as the platform's messages carry them; values hold no commas.
#pragma once

#include <charconv>
#include <optional>
#include <string_view>

namespace tinspan::platform {

template <class Call>  // Call(name, value); false: a pair without a name
bool EachField(std::string_view text, Call&& call) {
  if (text.empty() || text == "-") return true;
  while (true) {
    const std::size_t comma = text.find(',');
    const std::string_view pair = text.substr(0, comma);
    const std::size_t mark = pair.find('=');
    if (mark == std::string_view::npos || mark == 0) return false;
    call(pair.substr(0, mark), pair.substr(mark + 1));
    if (comma == std::string_view::npos) return true;
    text.remove_prefix(comma + 1);
  }
}

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
