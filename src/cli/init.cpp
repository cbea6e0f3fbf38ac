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
#include "front/http/new_key.hpp"

extern const std::string_view kExampleGateway;  // deploy/gateway.json

namespace tinspan::cli {
namespace {

namespace po = boost::program_options;
using Json = nlohmann::ordered_json;

// A token that nobody guesses: the same randomness as a key's.
std::string NewToken() {
  return Json::parse(http::NewKey(http::Algorithm::kHs256, "token")).at("k").get<std::string>();
}

}  // namespace

void DescribeInit(Options& options) {
  options.add_options()("name", po::value<std::string>()->value_name("NAME"), "of the gateway")(
      "listen", po::value<std::string>()->value_name("ADDRESS"),
      "where clients connect, such as 127.0.0.1:8080")(
      "origin", po::value<std::string>()->value_name("URL"),
      "scheme and authority under which links are signed, such as https://scans.example.is")(
      "consul", po::value<std::string>()->value_name("ADDRESS"), "Consul's address, such as 127.0.0.1:8500");
}

int RunInit(const Values& values, const std::vector<std::string>& arguments) {
  const std::string& folder = arguments[0];
  Json file = Json::parse(kExampleGateway);
  const auto set = [&](const char* option, Json& target) {
    if (values.count(option) > 0) target = values[option].as<std::string>();
  };
  set("name", file["name"]);
  set("listen", file["listen"]);
  set("origin", file["origin"]);
  set("consul", file["consul"]["address"]);
  const std::string at = folder + "/";
  const auto named = [&](const char* key) { return at + file.at(key).get<std::string>(); };
  const std::string shops = http::NewKey(http::Algorithm::kHs256, "shops-1");
  const std::string own = http::NewKey(http::Algorithm::kEs256, file.at("name").get<std::string>() + "-1");
  if (::mkdir(folder.c_str(), 0700) != 0 && errno != EEXIST) {
    throw std::runtime_error(folder + ": " + std::strerror(errno));
  }
  const std::vector<std::pair<std::string, std::string>> files{
      {at + "gateway.json", file.dump(2) + "\n"},
      {named("keys_file"), "{\"keys\":[" + shops + "]}\n"},
      {named("signing_key_file"), own + "\n"},
      {named("operator_token_file"), NewToken() + "\n"}};
  WriteNewFiles(files);
  try {  // what was given may make no sense
    const config::Http config = config::ReadHttp(files[0].first);
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
