#include "front/http/access.hpp"

#include <regex.h>
#include <simdjson.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>

namespace tinspan::http {
namespace {

using simdjson::dom::element;

constexpr std::size_t kMaxPatternBytes = 512;
// A link is rejected if its `cdnicrit` claim lists a claim that is not supported.
constexpr std::array<std::string_view, 10> kSupportedClaims{"iss", "sub", "aud",   "exp",    "nbf",
                                                            "iat", "jti", "cdniv", "cdniuc", "cdnicrit"};

// Returns nothing if the claim is absent. Sets `is_malformed` if it is not a finite number.
std::optional<double> ReadNumericDate(const element& claims, std::string_view name, bool& is_malformed) {
  element value;
  if (claims[name].get(value) != simdjson::SUCCESS) return std::nullopt;
  double numeric_date = 0;
  if (value.get(numeric_date) != simdjson::SUCCESS || !std::isfinite(numeric_date)) is_malformed = true;
  return numeric_date;
}

// `exp` is required: every link and token expires. Each bound is extended by the leeway.
bool IsWithinValidityPeriod(const element& claims, UnixTime now, Micros leeway) {
  bool is_malformed = false;
  const auto expires_at = ReadNumericDate(claims, "exp", is_malformed),
             not_before = ReadNumericDate(claims, "nbf", is_malformed),
             issued_at = ReadNumericDate(claims, "iat", is_malformed);
  const double now_s = std::chrono::duration<double>(now.SinceEpoch()).count();
  const double leeway_s = std::chrono::duration<double>(leeway).count();
  return !is_malformed && expires_at && now_s < *expires_at + leeway_s &&
         (!not_before || now_s >= *not_before - leeway_s) && (!issued_at || now_s >= *issued_at - leeway_s);
}

// `aud` is a string or a list of strings (RFC 7519, 4.1.3). Without it the audience is not restricted.
bool IsAudienceValid(const element& claims, const std::string& audience) {
  element value;
  if (claims["aud"].get(value) != simdjson::SUCCESS) return true;
  std::string_view name;
  if (value.get(name) == simdjson::SUCCESS) return name == audience;
  simdjson::dom::array names;
  if (value.get(names) != simdjson::SUCCESS) return false;
  for (const element entry : names) {
    if (entry.get(name) == simdjson::SUCCESS && name == audience) return true;
  }
  return false;
}

// The pattern must match the whole URI. A pattern that is too long or does not compile matches nothing.
bool MatchesPattern(const std::string& pattern, const std::string& uri) {
  regex_t compiled;
  if (pattern.size() > kMaxPatternBytes ||
      ::regcomp(&compiled, ("^(" + pattern + ")$").c_str(), REG_EXTENDED | REG_NOSUB) != 0) {
    return false;
  }
  const bool matched = ::regexec(&compiled, uri.c_str(), 0, nullptr, 0) == 0;
  ::regfree(&compiled);
  return matched;
}

bool MatchesUriContainer(const element& claims, const std::string& uri) {
  std::string_view container;
  if (claims["cdniuc"].get(container) != simdjson::SUCCESS) return false;
  if (container.starts_with("hash:")) return ConstantTimeEquals(container, HashContainer(uri));
  if (container.starts_with("regex:")) return MatchesPattern(std::string(container.substr(6)), uri);
  return false;
}

bool AreCriticalClaimsSupported(const element& claims) {
  element value;
  if (claims["cdnicrit"].get(value) != simdjson::SUCCESS) return true;
  std::string_view names;
  if (value.get(names) != simdjson::SUCCESS) return false;
  while (!names.empty()) {
    const std::size_t comma = names.find(',');
    const std::string_view name = names.substr(0, comma);
    if (std::find(kSupportedClaims.begin(), kSupportedClaims.end(), name) == kSupportedClaims.end())
      return false;
    names.remove_prefix(comma == std::string_view::npos ? names.size() : comma + 1);
  }
  return true;
}

}  // namespace

std::string HashContainer(std::string_view uri) { return "hash:sha-256;" + Base64Url(Sha256(uri)); }

bool AccessVerifier::IsLinkValid(const Target& target, UnixTime now) const {
  const auto payload = keys_.Verify(target.signed_jwt);
  simdjson::dom::parser parser;
  element claims;
  if (!payload || parser.parse(simdjson::padded_string(*payload)).get(claims) != simdjson::SUCCESS ||
      !claims.is_object()) {
    return false;
  }
  std::int64_t version = 0;
  if (claims["cdniv"].get(version) != simdjson::SUCCESS || version != 1) return false;
  // `cdniip` binds the link to a client address. Its format is not supported, so the address cannot be
  // verified and the link is rejected.
  if (claims["cdniip"].error() != simdjson::NO_SUCH_FIELD) return false;
  return AreCriticalClaimsSupported(claims) && IsWithinValidityPeriod(claims, now, rules_.clock_leeway) &&
         IsAudienceValid(claims, rules_.audience) &&
         MatchesUriContainer(claims, rules_.origin + target.Uri());
}

bool AccessVerifier::IsTokenValid(std::string_view token, UnixTime now) const {
  const auto payload = keys_.Verify(token);
  simdjson::dom::parser parser;
  element claims;
  if (!payload || parser.parse(simdjson::padded_string(*payload)).get(claims) != simdjson::SUCCESS ||
      !claims.is_object()) {
    return false;
  }
  // The JWT of a signed link is not accepted as a bearer token: it authorizes one URI only.
  if (claims["cdniuc"].error() != simdjson::NO_SUCH_FIELD) return false;
  return IsWithinValidityPeriod(claims, now, rules_.clock_leeway) && IsAudienceValid(claims, rules_.audience);
}

std::string Signer::MakeClaims(UnixTime now, UnixTime deadline, const std::string& extra_claims) const {
  const auto numeric_date = [](UnixTime time) {
    return std::to_string(time.SinceEpoch().count() / 1'000'000);
  };
  const std::string valid_from = numeric_date(now - rules_.clock_leeway);
  // Rounded up, so that the truncation to whole seconds does not end the validity before the deadline.
  const std::string valid_until = numeric_date(deadline + rules_.clock_leeway + Micros{999'999});
  return R"({"iss":")" + issuer_ + R"(","aud":")" + rules_.audience + R"(","iat":)" + valid_from +
         R"(,"nbf":)" + valid_from + R"(,"exp":)" + valid_until + extra_claims + "}";
}

std::string Signer::Link(const std::string& uri, UnixTime now, UnixTime deadline) const {
  const std::string claims =
      MakeClaims(now, deadline, R"(,"cdniv":1,"cdniuc":")" + HashContainer(rules_.origin + uri) + "\"");
  return uri + (uri.find('?') == std::string::npos ? "?" : "&") + std::string(kPackageParameter) + "=" +
         SignCompact(key_, claims);
}

std::string Signer::Token(UnixTime now, UnixTime deadline) const {
  return SignCompact(key_, MakeClaims(now, deadline, ""));
}

}  // namespace tinspan::http
