// JSON Web Signature, compact form (RFC 7515), with HS256 and ES256 (RFC 7518) and keys as JWK (RFC 7517).
#pragma once

#include <openssl/evp.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace tinspan::http {

std::string Base64Url(std::string_view bytes);
std::optional<std::string> FromBase64Url(std::string_view text);  // strict: no padding, no stray bits
std::string Sha256(std::string_view bytes);
bool SameSecret(std::string_view a, std::string_view b);  // in a time that does not tell where they differ

enum class Algorithm { kHs256, kEs256 };

class Key {
 public:
  // Throws tinspan::Malformed naming the member that is missing or wrong. `path` goes before its name.
  static Key FromJwk(std::string_view json, const std::string& path);
  const std::string& Id() const { return id_; }
  Algorithm Alg() const { return algorithm_; }
  bool CanSign() const { return algorithm_ == Algorithm::kHs256 || private_; }
  bool Verify(std::string_view input, std::string_view signature) const;
  std::string Sign(std::string_view input) const;

 private:
  std::string id_;
  Algorithm algorithm_ = Algorithm::kHs256;
  std::string secret_;
  bool private_ = false;
  std::shared_ptr<EVP_PKEY> pair_;
};

// The keys that may sign, by `kid`. A key is used with the one algorithm that it was made for, whatever a
// token's header claims: neither `none` nor a public key used as an HMAC secret gets through.
class KeySet {
 public:
  static KeySet FromJwks(std::string_view json, const std::string& path);
  // The payload if the signature holds, else nothing. Tokens are not logged, nor why one was refused.
  std::optional<std::string> Verify(std::string_view token) const;
  std::size_t Size() const { return keys_.size(); }

 private:
  std::unordered_map<std::string, Key> keys_;
};

std::string SignCompact(const Key& key, std::string_view payload);

}  // namespace tinspan::http
