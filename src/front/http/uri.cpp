#include "front/http/uri.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace tinspan::http {
namespace {

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  return -1;
}
bool IsUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '.' ||
         c == '_' || c == '~';
}

std::optional<std::string> Normalised(std::string_view text, bool path) {
  constexpr std::string_view kHex = "0123456789ABCDEF";
  constexpr std::string_view kAllowed = "!$&'()*+,;=:@/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (c != '%') {
      const bool good = IsUnreserved(c) || kAllowed.find(c) != std::string_view::npos || (!path && c == '?');
      if (!good) return std::nullopt;
      out += c;
      continue;
    }
    if (i + 2 >= text.size()) return std::nullopt;
    const int high = HexDigit(text[i + 1]), low = HexDigit(text[i + 2]);
    if (high < 0 || low < 0) return std::nullopt;
    const char value = static_cast<char>(high * 16 + low);
    if (static_cast<unsigned char>(value) < 0x20 || value == 0x7f) return std::nullopt;
    // Servers differ on whether these separate: what one would verify another would not fetch.
    if (path && (value == '/' || value == '\\')) return std::nullopt;
    if (IsUnreserved(value)) {
      out += value;
    } else {
      out += '%';
      out += kHex[static_cast<std::size_t>(high)];
      out += kHex[static_cast<std::size_t>(low)];
    }
    i += 2;
  }
  return out;
}

std::string WithoutDots(std::string_view path) {
  std::vector<std::string_view> kept;
  bool folder = false;
  for (std::size_t at = 1; at <= path.size();) {
    const std::size_t end = std::min(path.find('/', at), path.size());
    const std::string_view segment = path.substr(at, end - at);
    folder = segment == "." || segment == "..";
    if (segment == ".." && !kept.empty()) kept.pop_back();
    if (!folder) kept.push_back(segment);
    at = end + 1;
  }
  std::string out;
  for (const std::string_view segment : kept) out.append("/").append(segment);
  if (folder || out.empty()) out += "/";
  return out;
}

}  // namespace

std::optional<Target> ReadTarget(std::string_view text) {
  if (text.empty() || text.front() != '/') return std::nullopt;
  const std::size_t mark = text.find('?');
  const auto path = Normalised(text.substr(0, mark), true);
  if (!path) return std::nullopt;
  Target out;
  out.path = WithoutDots(*path);
  if (mark == std::string_view::npos) return out;
  const auto query = Normalised(text.substr(mark + 1), false);
  if (!query) return std::nullopt;
  bool packaged = false;
  for (std::size_t at = 0; at <= query->size();) {
    const std::size_t end = std::min(query->find('&', at), query->size());
    const std::string_view pair = std::string_view(*query).substr(at, end - at);
    at = end + 1;
    if (pair.substr(0, pair.find('=')) == kPackage) {
      if (std::exchange(packaged, true)) return std::nullopt;
      if (pair.size() > kPackage.size()) out.package = pair.substr(kPackage.size() + 1);
    } else if (!pair.empty() || at <= query->size()) {
      out.query.append(out.query.empty() ? "" : "&").append(pair);
    }
  }
  return out;
}

}  // namespace tinspan::http
