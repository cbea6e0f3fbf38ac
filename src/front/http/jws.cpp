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
constexpr std::size_t kCoordinateBytes = 32;  // of a P-256 coordinate, and of each half of a signature
constexpr std::size_t kMaxTokenBytes = 4096;

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

template <class T, void (*Free)(T*)>
struct Deleter {
  void operator()(T* object) const { Free(object); }
};
template <class T, void (*Free)(T*)>
using OpensslPtr = std::unique_ptr<T, Deleter<T, Free>>;
using BigNumPtr = OpensslPtr<BIGNUM, BN_clear_free>;
using EcdsaSigPtr = OpensslPtr<ECDSA_SIG, ECDSA_SIG_free>;
using MdContextPtr = OpensslPtr<EVP_MD_CTX, EVP_MD_CTX_free>;

// Returns a member that must be a non-empty string.
std::string RequiredString(const element& jwk, std::string_view name, const std::string& path) {
  std::string_view text;
  if (jwk[name].get(text) != simdjson::SUCCESS || text.empty()) {
    throw Malformed{path + "." + std::string(name), "a text"};
  }
  return std::string(text);
}
// Returns a member that must be a non-empty string, decoded from base64url.
std::string RequiredBytes(const element& jwk, std::string_view name, const std::string& path) {
  auto bytes = FromBase64Url(RequiredString(jwk, name, path));
  if (!bytes) throw Malformed{path + "." + std::string(name), "base64url"};
  return *bytes;
}

// Returns null if the point is not on the curve. `private_value` is empty for a public key.
std::shared_ptr<EVP_PKEY> MakeKeyPair(const std::string& coord_x, const std::string& coord_y,
                                      const std::string& private_value) {
  const std::string point = "\x04" + coord_x + coord_y;
  const OpensslPtr<OSSL_PARAM_BLD, OSSL_PARAM_BLD_free> builder(OSSL_PARAM_BLD_new());
  const BigNumPtr secret(private_value.empty() ? nullptr
                                               : BN_bin2bn(Bytes(private_value),
                                                           static_cast<int>(private_value.size()), nullptr));
  OSSL_PARAM_BLD_push_utf8_string(builder.get(), OSSL_PKEY_PARAM_GROUP_NAME, "prime256v1", 0);
  OSSL_PARAM_BLD_push_octet_string(builder.get(), OSSL_PKEY_PARAM_PUB_KEY, point.data(), point.size());
  if (secret) OSSL_PARAM_BLD_push_BN(builder.get(), OSSL_PKEY_PARAM_PRIV_KEY, secret.get());
  const OpensslPtr<OSSL_PARAM, OSSL_PARAM_free> params(OSSL_PARAM_BLD_to_param(builder.get()));
  const OpensslPtr<EVP_PKEY_CTX, EVP_PKEY_CTX_free> context(
      EVP_PKEY_CTX_new_from_name(nullptr, "EC", nullptr));
  EVP_PKEY* pair = nullptr;
  if (EVP_PKEY_fromdata_init(context.get()) != 1 ||
      EVP_PKEY_fromdata(context.get(), &pair, private_value.empty() ? EVP_PKEY_PUBLIC_KEY : EVP_PKEY_KEYPAIR,
                        params.get()) != 1) {
    return nullptr;
  }
  return {pair, EVP_PKEY_free};
}

std::string HmacSha256(std::string_view secret, std::string_view input) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> out;
  unsigned length = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), Bytes(input), input.size(), out.data(),
       &length);
  return {reinterpret_cast<const char*>(out.data()), length};
}

}  // namespace

std::string Base64Url(std::string_view bytes) {
  std::string out;
  std::uint32_t buffer = 0;
  int bits = 0;
  for (const char octet : bytes) {
    buffer = buffer << 8 | static_cast<unsigned char>(octet);
    for (bits += 8; bits >= 6; bits -= 6) out += kAlphabet[buffer >> (bits - 6) & 63];
  }
  if (bits > 0) out += kAlphabet[buffer << (6 - bits) & 63];
  return out;
}

std::optional<std::string> FromBase64Url(std::string_view text) {
  if (text.size() % 4 == 1) return std::nullopt;
  std::string out;
  std::uint32_t buffer = 0;
  int bits = 0;
  for (const char symbol : text) {
    const std::size_t value = kAlphabet.find(symbol);
    if (value == std::string_view::npos) return std::nullopt;
    buffer = buffer << 6 | static_cast<std::uint32_t>(value);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>(buffer >> bits & 255);
    }
  }
  // A value must have exactly one encoding: ignored bits at the end would allow several forms of a token.
  if ((buffer & ((1u << bits) - 1)) != 0) return std::nullopt;
  return out;
}

std::string Sha256(std::string_view bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> out;
  SHA256(Bytes(bytes), bytes.size(), out.data());
  return {reinterpret_cast<const char*>(out.data()), out.size()};
}

bool ConstantTimeEquals(std::string_view left, std::string_view right) {
  return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

Key Key::FromJwk(std::string_view json, const std::string& path) {
  simdjson::dom::parser parser;
  element jwk;
  if (parser.parse(simdjson::padded_string(json)).get(jwk) != simdjson::SUCCESS || !jwk.is_object()) {
    throw Malformed{path, "a JWK"};
  }
  Key key;
  key.id_ = RequiredString(jwk, "kid", path);
  const std::string algorithm = RequiredString(jwk, "alg", path), type = RequiredString(jwk, "kty", path);
  if (algorithm == "HS256" && type == "oct") {
    key.secret_ = RequiredBytes(jwk, "k", path);
    if (key.secret_.size() < 32) throw Malformed{path + ".k", "at least 32 bytes"};  // RFC 7518, 3.2
  } else if (algorithm == "ES256" && type == "EC") {
    key.algorithm_ = Algorithm::kEs256;
    if (RequiredString(jwk, "crv", path) != "P-256") throw Malformed{path + ".crv", "P-256"};
    const std::string coord_x = RequiredBytes(jwk, "x", path), coord_y = RequiredBytes(jwk, "y", path);
    std::string private_value;
    element secret;
    if (jwk["d"].get(secret) == simdjson::SUCCESS) private_value = RequiredBytes(jwk, "d", path);
    key.has_private_key_ = !private_value.empty();
    if (coord_x.size() == kCoordinateBytes && coord_y.size() == kCoordinateBytes)
      key.key_pair_ = MakeKeyPair(coord_x, coord_y, private_value);
    if (!key.key_pair_) throw Malformed{path + ".x", "coordinates x and y of a point on P-256"};
  } else {
    throw Malformed{path + ".alg", "HS256 with kty oct, or ES256 with kty EC"};
  }
  return key;
}

bool Key::Verify(std::string_view input, std::string_view signature) const {
  if (algorithm_ == Algorithm::kHs256) return ConstantTimeEquals(HmacSha256(secret_, input), signature);
  if (signature.size() != 2 * kCoordinateBytes) return false;
  const EcdsaSigPtr pair(ECDSA_SIG_new());
  BIGNUM* const sig_r = BN_bin2bn(Bytes(signature), kCoordinateBytes, nullptr);
  BIGNUM* const sig_s = BN_bin2bn(Bytes(signature) + kCoordinateBytes, kCoordinateBytes, nullptr);
  ECDSA_SIG_set0(pair.get(), sig_r, sig_s);  // takes ownership of both
  unsigned char* der = nullptr;
  const int length = i2d_ECDSA_SIG(pair.get(), &der);
  const MdContextPtr context(EVP_MD_CTX_new());
  const bool is_valid =
      length > 0 &&
      EVP_DigestVerifyInit(context.get(), nullptr, EVP_sha256(), nullptr, key_pair_.get()) == 1 &&
      EVP_DigestVerify(context.get(), der, static_cast<std::size_t>(length), Bytes(input), input.size()) == 1;
  OPENSSL_free(der);
  return is_valid;
}

std::string Key::Sign(std::string_view input) const {
  if (algorithm_ == Algorithm::kHs256) return HmacSha256(secret_, input);
  const MdContextPtr context(EVP_MD_CTX_new());
  std::array<unsigned char, 128> der;
  std::size_t length = der.size();
  if (EVP_DigestSignInit(context.get(), nullptr, EVP_sha256(), nullptr, key_pair_.get()) != 1 ||
      EVP_DigestSign(context.get(), der.data(), &length, Bytes(input), input.size()) != 1) {
    throw std::runtime_error("signing failed with key " + id_);
  }
  const unsigned char* der_position = der.data();
  const EcdsaSigPtr pair(d2i_ECDSA_SIG(nullptr, &der_position, static_cast<long>(length)));
  std::string out(2 * kCoordinateBytes, '\0');
  auto* const bytes = reinterpret_cast<unsigned char*>(out.data());
  BN_bn2binpad(ECDSA_SIG_get0_r(pair.get()), bytes, kCoordinateBytes);
  BN_bn2binpad(ECDSA_SIG_get0_s(pair.get()), bytes + kCoordinateBytes, kCoordinateBytes);
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
  std::size_t index = 0;
  for (const element jwk : keys) {
    const std::string jwk_path = path + ".keys." + std::to_string(index++);
    Key key = Key::FromJwk(simdjson::minify(jwk), jwk_path);
    const std::string id = key.Id();
    if (!out.keys_.emplace(id, std::move(key)).second)
      throw Malformed{jwk_path + ".kid", "an id that no other key of the set has"};
  }
  return out;
}

std::optional<std::string> KeySet::Verify(std::string_view token) const {
  const std::size_t first = token.find('.'), last = token.rfind('.');
  if (token.size() > kMaxTokenBytes || first == std::string_view::npos || first == last) return std::nullopt;
  const auto header = FromBase64Url(token.substr(0, first));
  const auto payload = FromBase64Url(token.substr(first + 1, last - first - 1));
  const auto signature = FromBase64Url(token.substr(last + 1));
  if (!header || !payload || !signature) return std::nullopt;
  simdjson::dom::parser parser;
  element header_params;
  if (parser.parse(simdjson::padded_string(*header)).get(header_params) != simdjson::SUCCESS ||
      !header_params.is_object()) {
    return std::nullopt;
  }
  // A critical extension that is not supported makes the token invalid (RFC 7515, 4.1.11); none is supported.
  if (header_params["crit"].error() != simdjson::NO_SUCH_FIELD) return std::nullopt;
  std::string_view id, algorithm;
  if (header_params["kid"].get(id) != simdjson::SUCCESS ||
      header_params["alg"].get(algorithm) != simdjson::SUCCESS) {
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
