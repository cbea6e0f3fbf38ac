#include "setup/time_text.hpp"

#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <ctime>

namespace tinspan {

std::string FormatTime(Micros unix_time) {
  const auto whole_seconds = std::chrono::floor<std::chrono::seconds>(unix_time);
  const std::time_t seconds = static_cast<std::time_t>(whole_seconds.count());
  std::tm utc{};
  ::gmtime_r(&seconds, &utc);
  std::array<char, 64> text;
  const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &utc);
  std::snprintf(text.data() + size, text.size() - size, ".%06dZ",
                static_cast<int>((unix_time - whole_seconds).count()));
  return text.data();
}

std::optional<Micros> ParseTime(std::string_view text) {
  if (text.starts_with('@')) {
    double seconds = 0;
    const auto [end, error] = std::from_chars(text.data() + 1, text.data() + text.size(), seconds);
    if (error != std::errc{} || end != text.data() + text.size() || !(std::abs(seconds) < 4e9)) {
      return std::nullopt;
    }
    return Micros{std::llround(seconds * 1e6)};
  }
  std::tm utc{};
  const std::string date_and_time(text.substr(0, 19));
  const char* const end = ::strptime(date_and_time.c_str(), "%Y-%m-%dT%H:%M:%S", &utc);
  if (date_and_time.size() != 19 || end == nullptr || *end != '\0') return std::nullopt;
  std::int64_t micros = 0;
  std::string_view rest = text.substr(19);
  if (rest.starts_with('.')) {
    std::int64_t digit_value = 100'000;
    std::size_t end_of_digits = 1;
    for (; end_of_digits < rest.size() && rest[end_of_digits] >= '0' && rest[end_of_digits] <= '9';
         ++end_of_digits, digit_value /= 10)
      micros += (rest[end_of_digits] - '0') * digit_value;
    if (end_of_digits == 1) return std::nullopt;
    rest.remove_prefix(end_of_digits);
  }
  if (rest != "Z") return std::nullopt;
  return Micros{std::int64_t{::timegm(&utc)} * 1'000'000 + micros};
}

}  // namespace tinspan
