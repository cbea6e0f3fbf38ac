// Request targets in canonical form. Verification and routing use the same form, so they cannot disagree.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace tinspan::http {

inline constexpr std::string_view kPackageParameter = "URISigningPackage";  // RFC 9246, 2.2.1

/// A request target, divided into its parts.
struct Target {
  std::string path;        // normalized
  std::string query;       // normalized, without '?' and the signed JWT
  std::string signed_jwt;  // the signed JWT, if the target carries one
  /// Path and query, without the signed JWT.
  std::string Uri() const { return query.empty() ? path : path + "?" + query; }
};

/// Parses a target in origin-form and normalizes it as in RFC 3986, 6.2.2: unreserved characters are decoded,
/// hex digits are in upper case, dot segments are removed. Returns nothing if the target is ambiguous or
/// invalid: an invalid escape, an escaped slash or backslash in the path, an escaped control character, a
/// fragment, or more than one signed JWT.
std::optional<Target> ParseTarget(std::string_view text);

}  // namespace tinspan::http
