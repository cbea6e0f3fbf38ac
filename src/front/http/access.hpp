// Verifies signed links (RFC 9246) and bearer tokens (RFC 6750, RFC 7519) of clients' requests, and signs the
// gateway's requests to signing servers. Links and tokens carry the same kind of signature, a JWT.
#pragma once

#include <string>
#include <string_view>

#include "front/http/jws.hpp"
#include "front/http/uri.hpp"
#include "net/clock.hpp"

namespace tinspan::http {

using net::Micros;

/// What links and tokens are verified against and signed with.
struct AccessRules {
  std::string origin;    // scheme and authority of the signed URIs, such as https://scans.example.is
  std::string audience;  // the expected `aud` claim; a link or token without one is valid too
  /// Tolerated clock difference; every time bound is extended by it.
  Micros clock_leeway{5'000'000};
};

/// Verifies links and tokens against a key set. Not thread-safe.
class AccessVerifier {
 public:
  AccessVerifier(KeySet keys, AccessRules rules) : keys_(std::move(keys)), rules_(std::move(rules)) {}
  /// Takes effect for requests that are verified from now on.
  void ReplaceKeys(KeySet keys) { keys_ = std::move(keys); }

  /// Both return false for any link or token that is malformed, expired, not valid yet, for another audience
  /// or (a link) another URI, or not signed by a known key. Called once per request, when it was received
  /// completely: a transfer in progress is not verified again.
  bool IsLinkValid(const Target& target, UnixTime now) const;
  bool IsTokenValid(std::string_view token, UnixTime now) const;

 private:
  KeySet keys_;
  AccessRules rules_;
};

/// Signs requests to servers. A signature is valid from one leeway before `now` until one leeway after the
/// deadline, so that the clocks of both sides may differ by the leeway. Both functions throw
/// std::runtime_error if signing fails.
class Signer {
 public:
  Signer(Key key, std::string issuer, AccessRules rules)
      : key_(std::move(key)), issuer_(std::move(issuer)), rules_(std::move(rules)) {}
  /// Returns `uri` with a URISigningPackage parameter appended.
  std::string Link(const std::string& uri, UnixTime now, UnixTime deadline) const;
  /// Returns a JWT for the Authorization field.
  std::string Token(UnixTime now, UnixTime deadline) const;

 private:
  std::string MakeClaims(UnixTime now, UnixTime deadline, const std::string& extra_claims) const;
  Key key_;
  std::string issuer_;
  AccessRules rules_;
};

/// Returns the `hash:` form of a URI container (RFC 9246, 2.1.15.1).
std::string HashContainer(std::string_view uri);

}  // namespace tinspan::http
