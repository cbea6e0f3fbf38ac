// JSON Web Signature in compact serialization (RFC 7515) with HS256 and ES256 (RFC 7518), and keys as JWK
// (RFC 7517).
#pragma once

#include <openssl/evp.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace tinspan::http {

/// Encodes without padding.
std::string Base64Url(std::string_view bytes);
/// Decodes strictly. Returns nothing if the text has padding, other characters, or unused bits that are not
/// 0.
std::optional<std::string> FromBase64Url(std::string_view text);
/// Returns the 32 bytes of the digest.
std::string Sha256(std::string_view bytes);
/// Compares secrets. The duration does not depend on where they differ.
bool ConstantTimeEquals(std::string_view left, std::string_view right);

enum class Algorithm { kHs256, kEs256 };

/// A key with the one algorithm that it may be used with.
class Key {
 public:
  /// Parses a JWK. Throws tinspan::Malformed with the name of the missing or invalid member, prefixed by
  /// `path`.
  static Key FromJwk(std::string_view json, const std::string& path);
  const std::string& Id() const { return id_; }
  Algorithm Alg() const { return algorithm_; }
  /// Whether it is a shared secret or has a private part.
  bool CanSign() const { return algorithm_ == Algorithm::kHs256 || has_private_key_; }
  bool Verify(std::string_view input, std::string_view signature) const;
  /// Throws std::runtime_error if signing fails. Only if CanSign().
  std::string Sign(std::string_view input) const;

 private:
  std::string id_;
  Algorithm algorithm_ = Algorithm::kHs256;
  std::string secret_;
  bool has_private_key_ = false;
  std::shared_ptr<EVP_PKEY> key_pair_;
};

/// The accepted keys by `kid`. A token is rejected if the `alg` of its header is not the algorithm of the
/// key. This prevents forged tokens with `none` or with a public key used as an HMAC secret.
class KeySet {
 public:
  /// Parses a JWK set. Throws Malformed as Key::FromJwk, and if two keys have the same `kid`.
  static KeySet FromJwks(std::string_view json, const std::string& path);
  /// Returns the payload if the signature is valid, else nothing. Neither tokens nor the reason of a
  /// rejection are logged.
  std::optional<std::string> Verify(std::string_view token) const;
  std::size_t Size() const { return keys_.size(); }

 private:
  std::unordered_map<std::string, Key> keys_;
};

/// Returns the payload signed in compact serialization.
std::string SignCompact(const Key& key, std::string_view payload);

}  // namespace tinspan::http
