#include "front/http/new_key.hpp"

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

std::string Number(const EVP_PKEY* pair, const char* name) {
  BIGNUM* number = nullptr;
  if (EVP_PKEY_get_bn_param(pair, name, &number) != 1) throw std::runtime_error("a key could not be made");
  std::array<unsigned char, 32> bytes;
  const int length = BN_bn2binpad(number, bytes.data(), bytes.size());
  BN_clear_free(number);
  if (length < 0) throw std::runtime_error("a key could not be made");
  return Base64Url({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
}

Json Public(const Json& key, const std::string& path) {
  Key::FromJwk(key.dump(), path);  // names what is wrong with it
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
    if (RAND_bytes(secret.data(), secret.size()) != 1) throw std::runtime_error("no randomness to be had");
    const Json key{{"kty", "oct"},
                   {"kid", id},
                   {"alg", "HS256"},
                   {"k", Base64Url({reinterpret_cast<const char*>(secret.data()), secret.size()})}};
    return key.dump();
  }
  const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> pair(EVP_EC_gen("P-256"), EVP_PKEY_free);
  if (!pair) throw std::runtime_error("a key could not be made");
  const Json key{{"kty", "EC"},
                 {"crv", "P-256"},
                 {"kid", id},
                 {"alg", "ES256"},
                 {"x", Number(pair.get(), OSSL_PKEY_PARAM_EC_PUB_X)},
                 {"y", Number(pair.get(), OSSL_PKEY_PARAM_EC_PUB_Y)},
                 {"d", Number(pair.get(), OSSL_PKEY_PARAM_PRIV_KEY)}};
  return key.dump();
}

std::string PublicPart(std::string_view json, const std::string& path) {
  const Json read = Json::parse(json, nullptr, false);
  if (!read.is_object()) throw Malformed{path, "a JWK or a JWK set"};
  if (!read.contains("keys")) return Public(read, path).dump();
  if (!read.at("keys").is_array()) throw Malformed{path + ".keys", "a list of JWKs"};
  Json keys = Json::array();
  for (const Json& one : read.at("keys")) {
    keys.push_back(Public(one, path + ".keys." + std::to_string(keys.size())));
  }
  return Json{{"keys", keys}}.dump();
}

}  // namespace tinspan::http
