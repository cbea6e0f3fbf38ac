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

constexpr std::size_t kMostPattern = 512;
// What is understood here; a claim that a link calls critical and that is not in this list refuses it.
constexpr std::array<std::string_view, 10> kUnderstood{"iss", "sub", "aud",   "exp",    "nbf",
                                                       "iat", "jti", "cdniv", "cdniuc", "cdnicrit"};

std::optional<double> Seconds(const element& claims, std::string_view name, bool& bad) {
  element value;
  if (claims[name].get(value) != simdjson::SUCCESS) return std::nullopt;
  double seconds = 0;
  if (value.get(seconds) != simdjson::SUCCESS || !std::isfinite(seconds)) bad = true;
  return seconds;
}

// exp must be there: links and tokens expire. Each bound is moved out by the leeway.
bool TimesHold(const element& claims, UnixTime now, Micros leeway) {
  bool bad = false;
  const auto expires = Seconds(claims, "exp", bad), not_before = Seconds(claims, "nbf", bad),
             issued = Seconds(claims, "iat", bad);
  const double at = std::chrono::duration<double>(now.SinceEpoch()).count();
  const double slack = std::chrono::duration<double>(leeway).count();
  return !bad && expires && at < *expires + slack && (!not_before || at >= *not_before - slack) &&
         (!issued || at >= *issued - slack);
}

bool AudienceHolds(const element& claims, const std::string& audience) {
  element value;
  if (claims["aud"].get(value) != simdjson::SUCCESS) return true;
  std::string_view one;
  if (value.get(one) == simdjson::SUCCESS) return one == audience;
  simdjson::dom::array several;
  if (value.get(several) != simdjson::SUCCESS) return false;
  for (const element entry : several) {
    if (entry.get(one) == simdjson::SUCCESS && one == audience) return true;
  }
  return false;
}

bool Matches(const std::string& pattern, const std::string& uri) {
  regex_t compiled;
  if (pattern.size() > kMostPattern ||
      ::regcomp(&compiled, ("^(" + pattern + ")$").c_str(), REG_EXTENDED | REG_NOSUB) != 0) {
    return false;
  }
  const bool matched = ::regexec(&compiled, uri.c_str(), 0, nullptr, 0) == 0;
  ::regfree(&compiled);
  return matched;
}

bool ContainerHolds(const element& claims, const std::string& uri) {
  std::string_view container;
  if (claims["cdniuc"].get(container) != simdjson::SUCCESS) return false;
  if (container.starts_with("hash:")) return SameSecret(container, HashContainer(uri));
  if (container.starts_with("regex:")) return Matches(std::string(container.substr(6)), uri);
  return false;
}

bool CriticalUnderstood(const element& claims) {
  element value;
  if (claims["cdnicrit"].get(value) != simdjson::SUCCESS) return true;
  std::string_view names;
  if (value.get(names) != simdjson::SUCCESS) return false;
  while (!names.empty()) {
    const std::size_t comma = names.find(',');
    const std::string_view name = names.substr(0, comma);
    if (std::find(kUnderstood.begin(), kUnderstood.end(), name) == kUnderstood.end()) return false;
    names.remove_prefix(comma == std::string_view::npos ? names.size() : comma + 1);
  }
  return true;
}

}  // namespace

std::string HashContainer(std::string_view uri) { return "hash:sha-256;" + Base64Url(Sha256(uri)); }

bool Access::LinkHolds(const Target& target, UnixTime now) const {
  const auto payload = keys_.Verify(target.package);
  simdjson::dom::parser parser;
  element claims;
  if (!payload || parser.parse(simdjson::padded_string(*payload)).get(claims) != simdjson::SUCCESS ||
      !claims.is_object()) {
    return false;
  }
  std::int64_t version = 0;
  if (claims["cdniv"].get(version) != simdjson::SUCCESS || version != 1) return false;
  // A client address is bound to the link in a form that is not read here: it cannot be said to match.
  if (claims["cdniip"].error() != simdjson::NO_SUCH_FIELD) return false;
  return CriticalUnderstood(claims) && TimesHold(claims, now, rules_.leeway) &&
         AudienceHolds(claims, rules_.audience) && ContainerHolds(claims, rules_.origin + target.Uri());
}

bool Access::TokenHolds(std::string_view token, UnixTime now) const {
  const auto payload = keys_.Verify(token);
  simdjson::dom::parser parser;
  element claims;
  if (!payload || parser.parse(simdjson::padded_string(*payload)).get(claims) != simdjson::SUCCESS ||
      !claims.is_object()) {
    return false;
  }
  // A link's signature is no token: it speaks for one URI only.
  if (claims["cdniuc"].error() != simdjson::NO_SUCH_FIELD) return false;
  return TimesHold(claims, now, rules_.leeway) && AudienceHolds(claims, rules_.audience);
}

std::string Signer::Claims(UnixTime now, UnixTime deadline, const std::string& more) const {
  const auto seconds = [](UnixTime time) { return std::to_string(time.SinceEpoch().count() / 1'000'000); };
  const std::string from = seconds(now - rules_.leeway);
  // Rounded up: whole seconds must not cut the deadline short.
  const std::string until = seconds(deadline + rules_.leeway + Micros{999'999});
  return R"({"iss":")" + issuer_ + R"(","aud":")" + rules_.audience + R"(","iat":)" + from + R"(,"nbf":)" +
         from + R"(,"exp":)" + until + more + "}";
}

std::string Signer::Link(const std::string& uri, UnixTime now, UnixTime deadline) const {
  const std::string claims =
      Claims(now, deadline, R"(,"cdniv":1,"cdniuc":")" + HashContainer(rules_.origin + uri) + "\"");
  return uri + (uri.find('?') == std::string::npos ? "?" : "&") + std::string(kPackage) + "=" +
         SignCompact(key_, claims);
}

std::string Signer::Token(UnixTime now, UnixTime deadline) const {
  return SignCompact(key_, Claims(now, deadline, ""));
}

}  // namespace tinspan::http
