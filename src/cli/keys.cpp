#include "cli/keys.hpp"

#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>

#include "cli/new_file.hpp"
#include "config/config.hpp"
#include "front/http/access.hpp"
#include "front/http/key_generation.hpp"

namespace tinspan::cli {
namespace {

namespace po = boost::program_options;
using Json = nlohmann::ordered_json;

std::string OptionText(const Values& values, const char* option) {
  return values.count(option) > 0 ? values[option].as<std::string>() : std::string();
}

[[noreturn]] void ThrowMalformed(const Malformed& malformed) {
  throw std::runtime_error(malformed.field + ": expected " + malformed.expected);
}

// Returns the key with this id that can sign, or, without an id, the first key that can sign. Throws
// std::runtime_error, which names `path`, if there is none or a key is malformed.
http::Key FindSigningKey(const std::string& json, const std::string& path, const std::string& id) {
  const Json document = Json::parse(json, nullptr, false);
  Json keys = Json::array();
  if (document.is_object()) keys = document.contains("keys") ? document.at("keys") : Json::array({document});
  try {
    for (const Json& jwk : keys) {
      http::Key key = http::Key::FromJwk(jwk.dump(), path);
      if (key.CanSign() && (id.empty() || key.Id() == id)) return key;
    }
  } catch (const Malformed& malformed) {
    ThrowMalformed(malformed);
  }
  throw std::runtime_error(path + ": expected a key that can sign" +
                           (id.empty() ? "" : " under id '" + id + "'"));
}

// What a link or token is signed with, and when it expires.
struct SigningContext {
  http::Signer signer;
  UnixTime expires_at;
};

SigningContext PrepareSigning(const Values& values) {
  http::AccessRules rules{OptionText(values, "origin"), OptionText(values, "audience"), net::Micros{0}};
  std::string keys = OptionText(values, "key"), json;
  if (values.count("operator-file") > 0) {
    const config::Gateway config = config::ReadHttp(OptionText(values, "operator-file"));
    if (rules.origin.empty()) rules.origin = config.origin;
    if (rules.audience.empty()) rules.audience = config.audience;
    if (keys.empty()) {
      keys = config.keys_path;
      json = config.keys;
    }
  }
  if (keys.empty()) throw UsageError{"expected --key or --operator-file"};
  if (json.empty()) json = config::ReadFile("--key", keys);
  const auto seconds = values["expires"].as<std::uint32_t>();
  return {
      http::Signer(FindSigningKey(json, keys, OptionText(values, "id")), OptionText(values, "issuer"), rules),
      net::UnixNow() + net::Micros{std::int64_t{seconds} * 1'000'000}};
}

}  // namespace

void AddKeysNewOptions(Options& options) {
  options.add_options()("alg", po::value<std::string>()->default_value("HS256")->value_name("NAME"),
                        "HS256: a shared secret; ES256: a key pair on P-256")(
      "id", po::value<std::string>()->default_value("key-1")->value_name("ID"), "the key's `kid`")(
      "output,o", po::value<std::string>()->value_name("FILE"),
      "the file to create, readable by its owner only; an existing file is not replaced; without this "
      "option, standard output");
}

void AddKeysSignOptions(Options& options) {
  options.add_options()("operator-file,f", po::value<std::string>()->value_name("FILE"),
                        "a gateway's file, which gives origin, audience and keys")(
      "key", po::value<std::string>()->value_name("FILE"), "a JWK or JWK set to sign with")(
      "id", po::value<std::string>()->value_name("ID"),
      "the key of the set to use; without it, the first that can sign")(
      "origin", po::value<std::string>()->value_name("URL"),
      "scheme and authority, such as https://scans.example.is")(
      "audience", po::value<std::string>()->value_name("NAME"), "the audience (claim `aud`)")(
      "issuer", po::value<std::string>()->default_value("tinspan-keys")->value_name("NAME"), "who signs")(
      "expires", po::value<std::uint32_t>()->default_value(600)->value_name("SECONDS"), "from now");
}

int RunKeysNew(const Values& values, const std::vector<std::string>&) {
  const std::string name = OptionText(values, "alg");
  if (name != "HS256" && name != "ES256") {
    throw UsageError{"option '--alg': expected HS256 or ES256, not '" + name + "'"};
  }
  const std::string key = http::NewKey(name == "HS256" ? http::Algorithm::kHs256 : http::Algorithm::kEs256,
                                       OptionText(values, "id"));
  const std::string file = OptionText(values, "output");
  if (file.empty()) {
    std::cout << key << "\n";
  } else {
    WriteNewFiles({{file, key + "\n"}});
    std::cout << "wrote " << file << "\n";
  }
  return 0;
}

int RunKeysPublic(const Values&, const std::vector<std::string>& arguments) {
  try {
    std::cout << http::PublicJwks(config::ReadFile("FILE", arguments[0]), arguments[0]) << "\n";
  } catch (const Malformed& malformed) {
    ThrowMalformed(malformed);
  }
  return 0;
}

int RunKeysLink(const Values& values, const std::vector<std::string>& arguments) {
  const SigningContext signing = PrepareSigning(values);
  const auto target = http::ParseTarget(arguments[0]);
  if (!target || !target->signed_jwt.empty()) {
    throw UsageError{
        "TARGET: expected an unambiguous path and query without a signature, such as /scans/a/b.jpg"};
  }
  std::cout << signing.signer.Link(target->Uri(), net::UnixNow(), signing.expires_at) << "\n";
  return 0;
}

int RunKeysToken(const Values& values, const std::vector<std::string>&) {
  const SigningContext signing = PrepareSigning(values);
  std::cout << signing.signer.Token(net::UnixNow(), signing.expires_at) << "\n";
  return 0;
}

}  // namespace tinspan::cli
