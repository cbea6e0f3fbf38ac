// Whether a request may pass: signed links (RFC 9246) and bearer tokens (RFC 6750, RFC 7519), two carriers of
// one kind of signature. And the gateway's own signatures on what it asks of signing servers.
#pragma once

#include <string>
#include <string_view>

#include "front/http/jws.hpp"
#include "front/http/uri.hpp"
#include "net/clock.hpp"

namespace tinspan::http {

using net::Micros;

struct AccessRules {
  std::string origin;    // scheme and authority of the signed URIs, such as https://scans.example.is
  std::string audience;  // whom tokens and links are for, where they say
  Micros leeway{5'000'000};
};

class Access {
 public:
  Access(KeySet keys, AccessRules rules) : keys_(std::move(keys)), rules_(std::move(rules)) {}
  void Replace(KeySet keys) { keys_ = std::move(keys); }

  // Judged once, at the request's last byte: a transfer under way is not judged again.
  bool LinkHolds(const Target& target, UnixTime now) const;
  bool TokenHolds(std::string_view token, UnixTime now) const;

 private:
  KeySet keys_;
  AccessRules rules_;
};

// Signs what the gateway asks of a server: valid from a leeway ago until the deadline and a leeway more, so
// that neither clock has to be right.
class Signer {
 public:
  Signer(Key key, std::string issuer, AccessRules rules)
      : key_(std::move(key)), issuer_(std::move(issuer)), rules_(std::move(rules)) {}
  // The target with a package of its own, and a token.
  std::string Link(const std::string& uri, UnixTime now, UnixTime deadline) const;
  std::string Token(UnixTime now, UnixTime deadline) const;

 private:
  std::string Claims(UnixTime now, UnixTime deadline, const std::string& more) const;
  Key key_;
  std::string issuer_;
  AccessRules rules_;
};

// The `hash:` form of a URI container (RFC 9246, 2.1.15.1).
std::string HashContainer(std::string_view uri);

}  // namespace tinspan::http
