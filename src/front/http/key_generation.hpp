// Generates keys and extracts their public part, as JWK (RFC 7517, RFC 7518).
#pragma once

#include <string>
#include <string_view>

#include "front/http/jws.hpp"

namespace tinspan::http {

/// Generates a key and returns it as a JWK on one line: HS256 with 32 random bytes, or ES256 on P-256 with
/// its private part. Throws std::runtime_error if the system's random generator or the generation fails.
std::string NewKey(Algorithm algorithm, const std::string& id);

/// Returns a JWK or a JWK set without private members. Throws Malformed, with `path` as prefix of the member,
/// if it is invalid or contains an `oct` key: a shared secret has no public part.
std::string PublicJwks(std::string_view json, const std::string& path);

}  // namespace tinspan::http
