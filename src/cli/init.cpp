#include "cli/init.hpp"

#include <sys/stat.h>

#include <cerrno>
#include <cstring>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "cli/new_file.hpp"
#include "config/config.hpp"
#include "front/http/http_front.hpp"
#include "front/http/key_generation.hpp"

extern const std::string_view kExampleGateway;  // deploy/gateway.json

namespace tinspan::cli {
namespace {

namespace po = boost::program_options;
using Json = nlohmann::ordered_json;

// Returns an operator's token with the randomness of a signing key, so that it cannot be guessed.
std::string NewToken() {
  return Json::parse(http::NewKey(http::Algorithm::kHs256, "token")).at("k").get<std::string>();
}

}  // namespace

void AddInitOptions(Options& options) {
  options.add_options()("name", po::value<std::string>()->value_name("NAME"), "the gateway's name")(
      "listen", po::value<std::string>()->value_name("ADDRESS"),
      "where clients connect, such as 127.0.0.1:8080")(
      "origin", po::value<std::string>()->value_name("URL"),
      "scheme and authority under which links are signed, such as https://scans.example.is")(
      "consul", po::value<std::string>()->value_name("ADDRESS"), "Consul's address, such as 127.0.0.1:8500");
}

int RunInit(const Values& values, const std::vector<std::string>& arguments) {
  const std::string& folder = arguments[0];
  Json config_json = Json::parse(kExampleGateway);
  const auto override_from = [&](const char* option, Json& target) {
    if (values.count(option) > 0) target = values[option].as<std::string>();
  };
  override_from("name", config_json["name"]);
  override_from("listen", config_json["listen"]);
  override_from("origin", config_json["origin"]);
  override_from("consul", config_json["consul"]["address"]);
  const std::string folder_prefix = folder + "/";
  const auto path_of = [&](const char* key) {
    return folder_prefix + config_json.at(key).get<std::string>();
  };
  const std::string client_key = http::NewKey(http::Algorithm::kHs256, "shops-1");
  const std::string gateway_key =
      http::NewKey(http::Algorithm::kEs256, config_json.at("name").get<std::string>() + "-1");
  if (::mkdir(folder.c_str(), 0700) != 0 && errno != EEXIST) {
    throw std::runtime_error(folder + ": " + std::strerror(errno));
  }
  const std::vector<std::pair<std::string, std::string>> files{
      {folder_prefix + "gateway.json", config_json.dump(2) + "\n"},
      {path_of("keys_file"), "{\"keys\":[" + client_key + "]}\n"},
      {path_of("signing_key_file"), gateway_key + "\n"},
      {path_of("operator_token_file"), NewToken() + "\n"}};
  WriteNewFiles(files);
  try {  // the options may hold invalid values
    const config::Gateway config = config::ReadHttp(files[0].first);
    http::ReadKeys(config, config.keys);
    http::ReadSigningKey(config);
  } catch (const config::Error&) {
    for (const auto& [path, text] : files) std::remove(path.c_str());
    throw;
  }
  for (const auto& [path, text] : files) std::cout << "wrote " << path << "\n";
  std::cout << "start it with: tinspan serve -f " << files[0].first << "\n";
  return 0;
}

}  // namespace tinspan::cli
