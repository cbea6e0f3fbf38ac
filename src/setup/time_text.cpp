#include "setup/time_text.hpp"

#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <ctime>

namespace tinspan {

std::string TimeText(Micros unix_time) {
  const auto whole = std::chrono::floor<std::chrono::seconds>(unix_time);
  const std::time_t seconds = static_cast<std::time_t>(whole.count());
  std::tm utc{};
  ::gmtime_r(&seconds, &utc);
  std::array<char, 64> text;
  const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &utc);
  std::snprintf(text.data() + size, text.size() - size, ".%06dZ",
                static_cast<int>((unix_time - whole).count()));
  return text.data();
}

std::optional<Micros> ReadTime(std::string_view text) {
  if (text.starts_with('@')) {
    double seconds = 0;
    const auto [end, error] = std::from_chars(text.data() + 1, text.data() + text.size(), seconds);
    if (error != std::errc{} || end != text.data() + text.size() || !(std::abs(seconds) < 4e9)) {
      return std::nullopt;
    }
    return Micros{std::llround(seconds * 1e6)};
  }
  std::tm utc{};
  const std::string whole(text.substr(0, 19));
  const char* const end = ::strptime(whole.c_str(), "%Y-%m-%dT%H:%M:%S", &utc);
  if (whole.size() != 19 || end == nullptr || *end != '\0') return std::nullopt;
  std::int64_t micros = 0;
  std::string_view rest = text.substr(19);
  if (rest.starts_with('.')) {
    std::int64_t unit = 100'000;
    std::size_t at = 1;
    for (; at < rest.size() && rest[at] >= '0' && rest[at] <= '9'; ++at, unit /= 10)
      micros += (rest[at] - '0') * unit;
    if (at == 1) return std::nullopt;
    rest.remove_prefix(at);
  }
  if (rest != "Z") return std::nullopt;
  return Micros{std::int64_t{::timegm(&utc)} * 1'000'000 + micros};
}

}  // namespace tinspan
