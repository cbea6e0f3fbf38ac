#include "front/http/key_generation.hpp"

#include <openssl/bn.h>
#include <openssl/core_names.h>
#include <openssl/ec.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "setup/text.hpp"

namespace tinspan::http {
namespace {

using Json = nlohmann::ordered_json;

// Returns a coordinate or the private value in base64url.
std::string EcParameter(const EVP_PKEY* pair, const char* name) {
  BIGNUM* value = nullptr;
  if (EVP_PKEY_get_bn_param(pair, name, &value) != 1)
    throw std::runtime_error("cannot read the generated key");
  std::array<unsigned char, 32> bytes;
  const int length = BN_bn2binpad(value, bytes.data(), bytes.size());
  BN_clear_free(value);
  if (length < 0) throw std::runtime_error("cannot encode the generated key");
  return Base64Url({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
}

Json PublicJwk(const Json& key, const std::string& path) {
  Key::FromJwk(key.dump(), path);  // throws if the key is invalid
  if (key.at("kty") != "EC") throw Malformed{path + ".kty", "EC: a shared secret has no public part"};
  Json out;
  for (const char* name : {"kty", "crv", "kid", "alg", "use", "x", "y"}) {
    if (key.contains(name)) out[name] = key.at(name);
  }
  return out;
}

}  // namespace

std::string NewKey(Algorithm algorithm, const std::string& id) {
  if (algorithm == Algorithm::kHs256) {
    std::array<unsigned char, 32> secret;
    if (RAND_bytes(secret.data(), secret.size()) != 1)
      throw std::runtime_error("the random generator of the system failed");
    const Json key{{"kty", "oct"},
                   {"kid", id},
                   {"alg", "HS256"},
                   {"k", Base64Url({reinterpret_cast<const char*>(secret.data()), secret.size()})}};
    return key.dump();
  }
  const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> pair(EVP_EC_gen("P-256"), EVP_PKEY_free);
  if (!pair) throw std::runtime_error("cannot generate a P-256 key");
  const Json key{{"kty", "EC"},
                 {"crv", "P-256"},
                 {"kid", id},
                 {"alg", "ES256"},
                 {"x", EcParameter(pair.get(), OSSL_PKEY_PARAM_EC_PUB_X)},
                 {"y", EcParameter(pair.get(), OSSL_PKEY_PARAM_EC_PUB_Y)},
                 {"d", EcParameter(pair.get(), OSSL_PKEY_PARAM_PRIV_KEY)}};
  return key.dump();
}

std::string PublicJwks(std::string_view json, const std::string& path) {
  const Json parsed = Json::parse(json, nullptr, false);
  if (!parsed.is_object()) throw Malformed{path, "a JWK or a JWK set"};
  if (!parsed.contains("keys")) return PublicJwk(parsed, path).dump();
  if (!parsed.at("keys").is_array()) throw Malformed{path + ".keys", "a list of JWKs"};
  Json keys = Json::array();
  for (const Json& key : parsed.at("keys")) {
    keys.push_back(PublicJwk(key, path + ".keys." + std::to_string(keys.size())));
  }
  return Json{{"keys", keys}}.dump();
}

}  // namespace tinspan::http
