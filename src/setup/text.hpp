// Parses numbers, durations, ids and enumerators from text. Every function that takes a `field` throws
// Malformed with it if the text does not have the expected format.
#pragma once

#include <charconv>
#include <cmath>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "tinspan/router.hpp"

namespace tinspan {

/// Thrown for text of the wrong format: the faulty field, and what was expected there.
struct Malformed {
  std::string field;
  std::string expected;
};

/// The whole text must be one number; a floating-point number must be finite.
template <class Number>
Number ParseNumber(std::string_view text, std::string_view field) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || text.empty()) {
    throw Malformed{std::string(field), std::is_integral_v<Number> ? "a whole number" : "a number"};
  }
  if constexpr (std::is_floating_point_v<Number>) {
    if (!std::isfinite(value)) throw Malformed{std::string(field), "a finite number"};
  }
  return value;
}

/// Parses milliseconds with optional decimals, rounded to microseconds.
inline Micros ParseMillis(std::string_view text, std::string_view field) {
  const double millis = ParseNumber<double>(text, field);
  if (std::abs(millis) > 4e12) throw Malformed{std::string(field), "a time in milliseconds below 4e12"};
  return Micros{std::llround(millis * 1000.0)};
}

/// Parses 16 hex digits.
inline ObjectId ParseObject(std::string_view text, std::string_view field) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  if (text.size() != 16 || error != std::errc{} || end != text.data() + text.size()) {
    throw Malformed{std::string(field), "16 hex digits"};
  }
  return ObjectId{value};
}

/// A field without a value is empty or "-".
inline bool IsAbsent(std::string_view text) { return text == "-" || text.empty(); }

/// Always returns at least one part; parts may be empty.
inline std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  for (std::size_t start = 0;;) {
    const std::size_t end = text.find(separator, start);
    parts.push_back(text.substr(start, end - start));
    if (end == std::string_view::npos) return parts;
    start = end + 1;
  }
}

/// Returns the value that `words` assigns to `text`.
template <class Value>
Value ParseEnum(std::string_view text, std::string_view field,
                std::initializer_list<std::pair<std::string_view, Value>> words) {
  std::string expected = "one of";
  for (const auto& [word, value] : words) {
    if (word == text) return value;
    expected.append(" ").append(word);
  }
  throw Malformed{std::string(field), expected};
}

/// Derives a server's number from its name (64-bit FNV-1a), so that it is the same at every router.
inline ServerId HashName(std::string_view name) {
  std::uint64_t hash = 14695981039346656037ull;
  for (const char character : name) hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211ull;
  return ServerId{hash};
}

}  // namespace tinspan
