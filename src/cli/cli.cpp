#include "cli/cli.hpp"

#include <spdlog/spdlog.h>

#include <boost/program_options.hpp>
#include <iostream>

#include "cli/serve.hpp"
#include "front/http/http_front.hpp"

namespace tinspan::cli {
namespace {

namespace po = boost::program_options;

constexpr const char* kUsage =
    "usage: tinspan COMMAND [OPTIONS]\n"
    "  serve         run the doorman until SIGTERM\n"
    "  check-config  read the configuration, say what is wrong with it, and end\n"
    "  version       print the version\n";

}  // namespace

int Main(int argc, char** argv) {
  po::options_description options("options");
  options.add_options()("help,h", "print this")("command", po::value<std::string>(), "the sub-command")(
      "operator-file,f", po::value<std::string>(),
      "serve as a gateway between sites, as this file says; without it, on the platform, as PROXY_NAME, "
      "PROXY_LISTEN "
      "and PROXY_CONFIG say")("log-level", po::value<std::string>()->default_value("info"),
                              "trace, debug, info, warn, error or off");
  po::positional_options_description positional;
  positional.add("command", 1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(argc, argv).options(options).positional(positional).run(), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << "tinspan: " << error.what() << "\n" << kUsage;
    return 2;
  }
  const std::string command = values.count("command") ? values["command"].as<std::string>() : "";
  if (values.count("help")) {
    std::cout << kUsage << options;
    return 0;
  }
  if (command == "version") {
    std::cout << "tinspan " << TINSPAN_VERSION << "\n";
    return 0;
  }
  if (command != "serve" && command != "check-config") {
    std::cerr << kUsage;
    return 2;
  }
  spdlog::set_level(spdlog::level::from_str(values["log-level"].as<std::string>()));
  spdlog::flush_on(spdlog::level::info);
  try {
    const bool check = command == "check-config";
    if (values.count("operator-file")) {
      const config::Http config = config::ReadHttp(values["operator-file"].as<std::string>());
      http::ReadKeys(config, config.keys);
      http::ReadSigningKey(config);
      if (!check) ServeHttp(config);
    } else {
      const config::Platform config = config::ReadPlatform();
      if (!check) ServePlatform(config);
    }
    if (check) std::cout << "the configuration is in order\n";
  } catch (const std::exception& error) {
    spdlog::error("{}", error.what());
    return 1;
  }
  return 0;
}

}  // namespace tinspan::cli
