// Making keys and showing their public part, as JWK (RFC 7517, RFC 7518).
#pragma once

#include <string>
#include <string_view>

#include "front/http/jws.hpp"

namespace tinspan::http {

// A fresh key as a JWK of one line: HS256 with 32 random bytes, or ES256 on P-256 with its private part.
// Throws std::runtime_error if the system gives no randomness.
std::string NewKey(Algorithm algorithm, const std::string& id);

// A JWK or JWK set without anything private. Throws Malformed if it cannot be read, or holds an `oct` key: a
// shared secret has no public part.
std::string PublicPart(std::string_view json, const std::string& path);

}  // namespace tinspan::http
