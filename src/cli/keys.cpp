#include "cli/keys.hpp"

#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>

#include "cli/new_file.hpp"
#include "config/config.hpp"
#include "front/http/access.hpp"
#include "front/http/new_key.hpp"

namespace tinspan::cli {
namespace {

namespace po = boost::program_options;
using Json = nlohmann::ordered_json;

std::string TextOf(const Values& values, const char* option) {
  return values.count(option) > 0 ? values[option].as<std::string>() : std::string();
}

[[noreturn]] void Wrong(const Malformed& wrong) {
  throw std::runtime_error(wrong.field + ": expected " + wrong.expected);
}

// The key named, or the first that can sign.
http::Key KeyIn(const std::string& json, const std::string& path, const std::string& id) {
  const Json read = Json::parse(json, nullptr, false);
  Json keys = Json::array();
  if (read.is_object()) keys = read.contains("keys") ? read.at("keys") : Json::array({read});
  try {
    for (const Json& one : keys) {
      http::Key key = http::Key::FromJwk(one.dump(), path);
      if (key.CanSign() && (id.empty() || key.Id() == id)) return key;
    }
  } catch (const Malformed& wrong) {
    Wrong(wrong);
  }
  throw std::runtime_error(path + ": expected a key that can sign" +
                           (id.empty() ? "" : " under id '" + id + "'"));
}

struct Signing {
  http::Signer signer;
  UnixTime until;
};

Signing Prepare(const Values& values) {
  http::AccessRules rules{TextOf(values, "origin"), TextOf(values, "audience"), net::Micros{0}};
  std::string keys = TextOf(values, "key"), json;
  if (values.count("operator-file") > 0) {
    const config::Http config = config::ReadHttp(TextOf(values, "operator-file"));
    if (rules.origin.empty()) rules.origin = config.origin;
    if (rules.audience.empty()) rules.audience = config.audience;
    if (keys.empty()) {
      keys = config.keys_path;
      json = config.keys;
    }
  }
  if (keys.empty()) throw Usage{"expected --key or --operator-file"};
  if (json.empty()) json = config::ReadFile("--key", keys);
  const auto seconds = values["expires"].as<std::uint32_t>();
  return {http::Signer(KeyIn(json, keys, TextOf(values, "id")), TextOf(values, "issuer"), rules),
          net::UnixNow() + net::Micros{std::int64_t{seconds} * 1'000'000}};
}

}  // namespace

void DescribeKeysNew(Options& options) {
  options.add_options()("alg", po::value<std::string>()->default_value("HS256")->value_name("NAME"),
                        "HS256: a shared secret; ES256: a pair on P-256")(
      "id", po::value<std::string>()->default_value("key-1")->value_name("ID"), "the key's `kid`")(
      "output,o", po::value<std::string>()->value_name("FILE"),
      "write it there, for its owner alone, and never over a file; without it, to standard output");
}

void DescribeKeysSign(Options& options) {
  options.add_options()("operator-file,f", po::value<std::string>()->value_name("FILE"),
                        "a gateway's file: origin, audience and keys are taken from it")(
      "key", po::value<std::string>()->value_name("FILE"), "a JWK or JWK set to sign with")(
      "id", po::value<std::string>()->value_name("ID"),
      "which key of the set; without it, the first that can sign")(
      "origin", po::value<std::string>()->value_name("URL"),
      "scheme and authority, such as https://scans.example.is")(
      "audience", po::value<std::string>()->value_name("NAME"), "whom it is for")(
      "issuer", po::value<std::string>()->default_value("tinspan-keys")->value_name("NAME"), "who signs")(
      "expires", po::value<std::uint32_t>()->default_value(600)->value_name("SECONDS"), "from now");
}

int RunKeysNew(const Values& values, const std::vector<std::string>&) {
  const std::string name = TextOf(values, "alg");
  if (name != "HS256" && name != "ES256") {
    throw Usage{"option '--alg': expected HS256 or ES256, not '" + name + "'"};
  }
  const std::string key =
      http::NewKey(name == "HS256" ? http::Algorithm::kHs256 : http::Algorithm::kEs256, TextOf(values, "id"));
  const std::string file = TextOf(values, "output");
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
    std::cout << http::PublicPart(config::ReadFile("FILE", arguments[0]), arguments[0]) << "\n";
  } catch (const Malformed& wrong) {
    Wrong(wrong);
  }
  return 0;
}

int RunKeysLink(const Values& values, const std::vector<std::string>& arguments) {
  const Signing with = Prepare(values);
  const auto target = http::ReadTarget(arguments[0]);
  if (!target || !target->package.empty()) {
    throw Usage{
        "TARGET: expected a path and query in one reading and without a signature, such as /scans/a/b.jpg"};
  }
  std::cout << with.signer.Link(target->Uri(), net::UnixNow(), with.until) << "\n";
  return 0;
}

int RunKeysToken(const Values& values, const std::vector<std::string>&) {
  const Signing with = Prepare(values);
  std::cout << with.signer.Token(net::UnixNow(), with.until) << "\n";
  return 0;
}

}  // namespace tinspan::cli
