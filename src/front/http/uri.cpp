#include "front/http/uri.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace tinspan::http {
namespace {

int HexDigit(char octet) {
  if (octet >= '0' && octet <= '9') return octet - '0';
  if (octet >= 'A' && octet <= 'F') return octet - 'A' + 10;
  if (octet >= 'a' && octet <= 'f') return octet - 'a' + 10;
  return -1;
}
bool IsUnreserved(char octet) {
  return (octet >= 'a' && octet <= 'z') || (octet >= 'A' && octet <= 'Z') || (octet >= '0' && octet <= '9') ||
         octet == '-' || octet == '.' || octet == '_' || octet == '~';
}

// Returns nothing for characters that are not allowed in a path or query, and for ambiguous escapes.
std::optional<std::string> Normalize(std::string_view text, bool is_path) {
  constexpr std::string_view kHex = "0123456789ABCDEF";
  constexpr std::string_view kAllowed = "!$&'()*+,;=:@/";
  std::string out;
  for (std::size_t position = 0; position < text.size(); ++position) {
    const char octet = text[position];
    if (octet != '%') {
      const bool is_allowed =
          IsUnreserved(octet) || kAllowed.find(octet) != std::string_view::npos || (!is_path && octet == '?');
      if (!is_allowed) return std::nullopt;
      out += octet;
      continue;
    }
    if (position + 2 >= text.size()) return std::nullopt;
    const int high = HexDigit(text[position + 1]), low = HexDigit(text[position + 2]);
    if (high < 0 || low < 0) return std::nullopt;
    const char value = static_cast<char>(high * 16 + low);
    if (static_cast<unsigned char>(value) < 0x20 || value == 0x7f) return std::nullopt;
    // Servers differ in whether these separate segments: the verified URI could be another than the one that
    // is fetched.
    if (is_path && (value == '/' || value == '\\')) return std::nullopt;
    if (IsUnreserved(value)) {
      out += value;
    } else {
      out += '%';
      out += kHex[static_cast<std::size_t>(high)];
      out += kHex[static_cast<std::size_t>(low)];
    }
    position += 2;
  }
  return out;
}

// RFC 3986, 5.2.4. A dot segment at the end leaves a slash.
std::string RemoveDotSegments(std::string_view path) {
  std::vector<std::string_view> segments;
  bool is_dot_segment = false;
  for (std::size_t position = 1; position <= path.size();) {
    const std::size_t end = std::min(path.find('/', position), path.size());
    const std::string_view segment = path.substr(position, end - position);
    is_dot_segment = segment == "." || segment == "..";
    if (segment == ".." && !segments.empty()) segments.pop_back();
    if (!is_dot_segment) segments.push_back(segment);
    position = end + 1;
  }
  std::string out;
  for (const std::string_view segment : segments) out.append("/").append(segment);
  if (is_dot_segment || out.empty()) out += "/";
  return out;
}

}  // namespace

std::optional<Target> ParseTarget(std::string_view text) {
  if (text.empty() || text.front() != '/') return std::nullopt;
  const std::size_t query_mark = text.find('?');
  const auto path = Normalize(text.substr(0, query_mark), true);
  if (!path) return std::nullopt;
  Target out;
  out.path = RemoveDotSegments(*path);
  if (query_mark == std::string_view::npos) return out;
  const auto query = Normalize(text.substr(query_mark + 1), false);
  if (!query) return std::nullopt;
  bool has_package = false;
  for (std::size_t position = 0; position <= query->size();) {
    const std::size_t end = std::min(query->find('&', position), query->size());
    const std::string_view pair = std::string_view(*query).substr(position, end - position);
    position = end + 1;
    if (pair.substr(0, pair.find('=')) == kPackageParameter) {
      if (std::exchange(has_package, true)) return std::nullopt;
      if (pair.size() > kPackageParameter.size()) out.signed_jwt = pair.substr(kPackageParameter.size() + 1);
    } else if (!pair.empty() || position <= query->size()) {
      out.query.append(out.query.empty() ? "" : "&").append(pair);
    }
  }
  return out;
}

}  // namespace tinspan::http
