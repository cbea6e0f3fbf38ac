#include "cli/cli.hpp"

#include <spdlog/spdlog.h>

#include <boost/program_options.hpp>
#include <iostream>

#include "cli/serve.hpp"

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
      "log-level", po::value<std::string>()->default_value("info"), "trace, debug, info, warn, error or off");
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
    const config::Platform config = config::ReadPlatform();
    if (command == "check-config") {
      std::cout << "the configuration of " << config.name << " is in order\n";
      return 0;
    }
    ServePlatform(config);
  } catch (const std::exception& error) {
    spdlog::error("{}", error.what());
    return 1;
  }
  return 0;
}

}  // namespace tinspan::cli
