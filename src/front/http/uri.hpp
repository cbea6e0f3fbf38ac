// Request targets in one canonical form: what is verified is what is routed.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace tinspan::http {

inline constexpr std::string_view kPackage = "URISigningPackage";  // RFC 9246, 2.2.1

struct Target {
  std::string path;     // canonical
  std::string query;    // without the package and without '?'
  std::string package;  // the signed JWT, if the target carries one
  std::string Uri() const { return query.empty() ? path : path + "?" + query; }
};

// Reads an origin-form target. Normalised as in RFC 3986, 6.2.2: unreserved characters decoded, hex digits in
// upper case, dot segments removed. Nothing if it has no single reading: a bad escape, an escaped slash,
// backslash or control character, a fragment, or more than one package.
std::optional<Target> ReadTarget(std::string_view text);

}  // namespace tinspan::http
