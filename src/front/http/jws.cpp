#include "front/http/jws.hpp"

#include <openssl/bn.h>
#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/ecdsa.h>
#include <openssl/hmac.h>
#include <openssl/param_build.h>
#include <openssl/sha.h>
#include <simdjson.h>

#include <array>
#include <stdexcept>

#include "setup/text.hpp"

namespace tinspan::http {
namespace {

using simdjson::dom::element;

constexpr std::string_view kAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr std::size_t kCoordinate = 32;  // bytes of a P-256 number
constexpr std::size_t kMostToken = 4096;

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

template <class T, void (*Free)(T*)>
struct Deleter {
  void operator()(T* p) const { Free(p); }
};
template <class T, void (*Free)(T*)>
using Owned = std::unique_ptr<T, Deleter<T, Free>>;
using Number = Owned<BIGNUM, BN_clear_free>;
using Signature = Owned<ECDSA_SIG, ECDSA_SIG_free>;
using Context = Owned<EVP_MD_CTX, EVP_MD_CTX_free>;

std::string EndpointInfo(const element& jwk, std::string_view name, const std::string& path) {
  std::string_view text;
  if (jwk[name].get(text) != simdjson::SUCCESS || text.empty()) {
    throw Malformed{path + "." + std::string(name), "a text"};
  }
  return std::string(text);
}
std::string Binary(const element& jwk, std::string_view name, const std::string& path) {
  auto bytes = FromBase64Url(EndpointInfo(jwk, name, path));
  if (!bytes) throw Malformed{path + "." + std::string(name), "base64url"};
  return *bytes;
}

std::shared_ptr<EVP_PKEY> MakePair(const std::string& x, const std::string& y, const std::string& d) {
  const std::string point = "\x04" + x + y;
  const Owned<OSSL_PARAM_BLD, OSSL_PARAM_BLD_free> build(OSSL_PARAM_BLD_new());
  const Number secret(d.empty() ? nullptr : BN_bin2bn(Bytes(d), static_cast<int>(d.size()), nullptr));
  OSSL_PARAM_BLD_push_utf8_string(build.get(), OSSL_PKEY_PARAM_GROUP_NAME, "prime256v1", 0);
  OSSL_PARAM_BLD_push_octet_string(build.get(), OSSL_PKEY_PARAM_PUB_KEY, point.data(), point.size());
  if (secret) OSSL_PARAM_BLD_push_BN(build.get(), OSSL_PKEY_PARAM_PRIV_KEY, secret.get());
  const Owned<OSSL_PARAM, OSSL_PARAM_free> params(OSSL_PARAM_BLD_to_param(build.get()));
  const Owned<EVP_PKEY_CTX, EVP_PKEY_CTX_free> context(EVP_PKEY_CTX_new_from_name(nullptr, "EC", nullptr));
  EVP_PKEY* pair = nullptr;
  if (EVP_PKEY_fromdata_init(context.get()) != 1 ||
      EVP_PKEY_fromdata(context.get(), &pair, d.empty() ? EVP_PKEY_PUBLIC_KEY : EVP_PKEY_KEYPAIR,
                        params.get()) != 1) {
    return nullptr;
  }
  return {pair, EVP_PKEY_free};
}

std::string Hmac(std::string_view secret, std::string_view input) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> out;
  unsigned length = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), Bytes(input), input.size(), out.data(),
       &length);
  return {reinterpret_cast<const char*>(out.data()), length};
}

}  // namespace

std::string Base64Url(std::string_view bytes) {
  std::string out;
  std::uint32_t held = 0;
  int bits = 0;
  for (const char c : bytes) {
    held = held << 8 | static_cast<unsigned char>(c);
    for (bits += 8; bits >= 6; bits -= 6) out += kAlphabet[held >> (bits - 6) & 63];
  }
  if (bits > 0) out += kAlphabet[held << (6 - bits) & 63];
  return out;
}

std::optional<std::string> FromBase64Url(std::string_view text) {
  if (text.size() % 4 == 1) return std::nullopt;
  std::string out;
  std::uint32_t held = 0;
  int bits = 0;
  for (const char c : text) {
    const std::size_t value = kAlphabet.find(c);
    if (value == std::string_view::npos) return std::nullopt;
    held = held << 6 | static_cast<std::uint32_t>(value);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>(held >> bits & 255);
    }
  }
  // One text for one value: stray bits at the end would let a token be written in several ways.
  if ((held & ((1u << bits) - 1)) != 0) return std::nullopt;
  return out;
}

std::string Sha256(std::string_view bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> out;
  SHA256(Bytes(bytes), bytes.size(), out.data());
  return {reinterpret_cast<const char*>(out.data()), out.size()};
}

bool SameSecret(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

Key Key::FromJwk(std::string_view json, const std::string& path) {
  simdjson::dom::parser parser;
  element jwk;
  if (parser.parse(simdjson::padded_string(json)).get(jwk) != simdjson::SUCCESS || !jwk.is_object()) {
    throw Malformed{path, "a JWK"};
  }
  Key key;
  key.id_ = EndpointInfo(jwk, "kid", path);
  const std::string algorithm = EndpointInfo(jwk, "alg", path), type = EndpointInfo(jwk, "kty", path);
  if (algorithm == "HS256" && type == "oct") {
    key.secret_ = Binary(jwk, "k", path);
    if (key.secret_.size() < 32) throw Malformed{path + ".k", "32 bytes at least"};  // RFC 7518, 3.2
  } else if (algorithm == "ES256" && type == "EC") {
    key.algorithm_ = Algorithm::kEs256;
    if (EndpointInfo(jwk, "crv", path) != "P-256") throw Malformed{path + ".crv", "P-256"};
    const std::string x = Binary(jwk, "x", path), y = Binary(jwk, "y", path);
    std::string d;
    element secret;
    if (jwk["d"].get(secret) == simdjson::SUCCESS) d = Binary(jwk, "d", path);
    key.private_ = !d.empty();
    if (x.size() == kCoordinate && y.size() == kCoordinate) key.pair_ = MakePair(x, y, d);
    if (!key.pair_) throw Malformed{path + ".x", "a point of P-256"};
  } else {
    throw Malformed{path + ".alg", "HS256 with kty oct, or ES256 with kty EC"};
  }
  return key;
}

bool Key::Verify(std::string_view input, std::string_view signature) const {
  if (algorithm_ == Algorithm::kHs256) return SameSecret(Hmac(secret_, input), signature);
  if (signature.size() != 2 * kCoordinate) return false;
  const Signature pair(ECDSA_SIG_new());
  BIGNUM* const r = BN_bin2bn(Bytes(signature), kCoordinate, nullptr);
  BIGNUM* const s = BN_bin2bn(Bytes(signature) + kCoordinate, kCoordinate, nullptr);
  ECDSA_SIG_set0(pair.get(), r, s);  // owns both from here
  unsigned char* der = nullptr;
  const int length = i2d_ECDSA_SIG(pair.get(), &der);
  const Context context(EVP_MD_CTX_new());
  const bool good =
      length > 0 && EVP_DigestVerifyInit(context.get(), nullptr, EVP_sha256(), nullptr, pair_.get()) == 1 &&
      EVP_DigestVerify(context.get(), der, static_cast<std::size_t>(length), Bytes(input), input.size()) == 1;
  OPENSSL_free(der);
  return good;
}

std::string Key::Sign(std::string_view input) const {
  if (algorithm_ == Algorithm::kHs256) return Hmac(secret_, input);
  const Context context(EVP_MD_CTX_new());
  std::array<unsigned char, 128> der;
  std::size_t length = der.size();
  if (EVP_DigestSignInit(context.get(), nullptr, EVP_sha256(), nullptr, pair_.get()) != 1 ||
      EVP_DigestSign(context.get(), der.data(), &length, Bytes(input), input.size()) != 1) {
    throw std::runtime_error("signing failed with key " + id_);
  }
  const unsigned char* at = der.data();
  const Signature pair(d2i_ECDSA_SIG(nullptr, &at, static_cast<long>(length)));
  std::string out(2 * kCoordinate, '\0');
  auto* const bytes = reinterpret_cast<unsigned char*>(out.data());
  BN_bn2binpad(ECDSA_SIG_get0_r(pair.get()), bytes, kCoordinate);
  BN_bn2binpad(ECDSA_SIG_get0_s(pair.get()), bytes + kCoordinate, kCoordinate);
  return out;
}

KeySet KeySet::FromJwks(std::string_view json, const std::string& path) {
  simdjson::dom::parser parser;
  element set;
  simdjson::dom::array keys;
  if (parser.parse(simdjson::padded_string(json)).get(set) != simdjson::SUCCESS ||
      set["keys"].get(keys) != simdjson::SUCCESS) {
    throw Malformed{path + ".keys", "a list of JWKs"};
  }
  KeySet out;
  std::size_t place = 0;
  for (const element one : keys) {
    const std::string at = path + ".keys." + std::to_string(place++);
    Key key = Key::FromJwk(simdjson::minify(one), at);
    const std::string id = key.Id();
    if (!out.keys_.emplace(id, std::move(key)).second) throw Malformed{at + ".kid", "an id of its own"};
  }
  return out;
}

std::optional<std::string> KeySet::Verify(std::string_view token) const {
  const std::size_t first = token.find('.'), last = token.rfind('.');
  if (token.size() > kMostToken || first == std::string_view::npos || first == last) return std::nullopt;
  const auto header = FromBase64Url(token.substr(0, first));
  const auto payload = FromBase64Url(token.substr(first + 1, last - first - 1));
  const auto signature = FromBase64Url(token.substr(last + 1));
  if (!header || !payload || !signature) return std::nullopt;
  simdjson::dom::parser parser;
  element fields;
  if (parser.parse(simdjson::padded_string(*header)).get(fields) != simdjson::SUCCESS ||
      !fields.is_object()) {
    return std::nullopt;
  }
  // A critical extension that is not understood makes the token invalid (RFC 7515, 4.1.11); none is here.
  if (fields["crit"].error() != simdjson::NO_SUCH_FIELD) return std::nullopt;
  std::string_view id, algorithm;
  if (fields["kid"].get(id) != simdjson::SUCCESS || fields["alg"].get(algorithm) != simdjson::SUCCESS) {
    return std::nullopt;
  }
  const auto key = keys_.find(std::string(id));
  if (key == keys_.end()) return std::nullopt;
  if (algorithm != (key->second.Alg() == Algorithm::kHs256 ? "HS256" : "ES256")) return std::nullopt;
  if (!key->second.Verify(token.substr(0, last), *signature)) return std::nullopt;
  return payload;
}

std::string SignCompact(const Key& key, std::string_view payload) {
  const std::string header = std::string(R"({"alg":")") +
                             (key.Alg() == Algorithm::kHs256 ? "HS256" : "ES256") + R"(","kid":")" +
                             key.Id() + R"("})";
  const std::string input = Base64Url(header) + "." + Base64Url(payload);
  return input + "." + Base64Url(key.Sign(input));
}

}  // namespace tinspan::http
