#include "cli/cli.hpp"

#include <algorithm>
#include <array>
#include <iostream>

#include "cli/command.hpp"
#include "cli/console.hpp"
#include "cli/door.hpp"
#include "cli/init.hpp"
#include "cli/keys.hpp"
#include "cli/records.hpp"
#include "cli/report.hpp"
#include "cli/serve.hpp"
#include "log/log.hpp"

namespace tinspan::cli {
namespace {

namespace po = boost::program_options;

constexpr std::size_t kMany = 4096;

void None(Options&) {}

int Version(const Values&, const std::vector<std::string>&) {
  std::cout << "tinspan " << TINSPAN_VERSION << "\n";
  return 0;
}

int Help(const Values& values, const std::vector<std::string>& arguments);

const std::array kCommands{
    Command{"serve", "", "run the doorman until SIGTERM", "tinspan serve -f gateway/gateway.json\n", 0, 0,
            DescribeServe, RunServe},
    Command{"check-config", "", "read the configuration, say what is wrong with it, and end",
            "tinspan check-config -f gateway/gateway.json\n", 0, 0, DescribeFile, RunCheckConfig},
    Command{"init", "DIR", "write a gateway's file with fresh keys and an operator's token into DIR",
            "tinspan init gateway\ntinspan init north --name north --listen 127.0.0.1:8081\n", 1, 1,
            DescribeInit, RunInit},
    Command{"keys new", "", "make a key, as a JWK",
            "tinspan keys new --alg ES256 --id shop-2 -o shop.jwk.json\n", 0, 0, DescribeKeysNew, RunKeysNew},
    Command{"keys public", "FILE", "print the public part of a JWK or of each key of a JWK set",
            "tinspan keys public shop.jwk.json\n", 1, 1, None, RunKeysPublic},
    Command{"keys link", "TARGET", "sign a link to a path and query",
            "tinspan keys link -f gateway/gateway.json '/scans/estate/book.jpg?page=3'\n", 1, 1,
            DescribeKeysSign, RunKeysLink},
    Command{"keys token", "", "sign a bearer token",
            "tinspan keys token -f gateway/gateway.json --expires 3600\n", 0, 0, DescribeKeysSign,
            RunKeysToken},
    Command{"records ls", "DIR...", "list the lives of instances whose records are in these folders",
            "tinspan records ls gateway/records\n", 1, kMany, None, RunRecordsList},
    Command{"records cat", "DIR...",
            "print records as JSON lines; what cannot be read goes to standard error",
            "tinspan records cat --kind trace --class orders gateway/records\n"
            "tinspan records cat --from 2026-12-01T14:03:00Z --server n1/c gateway/records\n",
            1, kMany, DescribeRecordsCat, RunRecordsCat},
    Command{"records verify", "DIR...", "say what cannot be read, with file and offset; 1 if there is any",
            "tinspan records verify gateway/records\n", 1, kMany, None, RunRecordsVerify},
    Command{"report", "DIR...",
            "retell what happened from the records in these folders, as one page or as data",
            "tinspan report north/records south/records -o report.html\n"
            "tinspan report --around 2026-12-01T14:03:00Z --format json gateway/records\n",
            1, kMany, DescribeReport, RunReport},
    Command{"console", "[DIR...]", "show a fleet live in the terminal, from records or from running gateways",
            "tinspan console gateway/records\n"
            "tinspan console --from http://127.0.0.1:8080 --token-file gateway/operator.token\n"
            "tinspan console --once --at 2026-12-01T14:03:00Z gateway/records\n",
            0, kMany, DescribeConsole, RunConsole},
    Command{"members", "", "show the fleet view of a running doorman, through its operators' door",
            "tinspan members --door 127.0.0.1:9100\ntinspan members --door 127.0.0.1:9100 --raw\n", 0, 0,
            DescribeDoor, RunMembers},
    Command{"leases", "", "show who holds the fleet's duties, as a running doorman sees it",
            "tinspan leases --door 127.0.0.1:9100\ntinspan leases --door 127.0.0.1:9100 --raw\n", 0, 0,
            DescribeDoor, RunLeases},
    Command{"version", "", "print the version", "tinspan version\n", 0, 0, None, Version},
    Command{"help", "[COMMAND]", "explain a command", "tinspan help serve\ntinspan help keys link\n", 0, 2,
            None, Help},
};

std::string Overview() {
  std::string out = "usage: tinspan COMMAND [OPTIONS]\n";
  for (const Command& one : kCommands) {
    std::string name = one.name;
    name.resize(std::max<std::size_t>(name.size(), 14), ' ');
    out.append("  ").append(name).append(one.summary).append("\n");
  }
  return out + "tinspan help COMMAND says more.\n";
}

Options All(const Command& command) {
  Options options("options");
  options.add_options()("help,h", "print this");
  command.describe(options);
  return options;
}

void Explain(const Command& command) {
  std::cout << "usage: tinspan " << command.name << " [OPTIONS]" << (*command.arguments == '\0' ? "" : " ")
            << command.arguments << "\n  " << command.summary << "\n\n"
            << All(command) << "\nexamples:\n";
  std::string_view left = command.examples;
  while (!left.empty()) {
    const std::size_t end = left.find('\n');
    std::cout << "  " << left.substr(0, end) << "\n";
    left.remove_prefix(end + 1);
  }
}

// The command that the words begin with, and how many of them name it.
const Command* Find(const std::vector<std::string>& words, std::size_t& used) {
  for (std::size_t count = std::min<std::size_t>(2, words.size()); count > 0; --count) {
    const std::string name = count == 2 ? words[0] + " " + words[1] : words[0];
    const auto found = std::find_if(kCommands.begin(), kCommands.end(),
                                    [&](const Command& one) { return one.name == name; });
    used = count;
    if (found != kCommands.end()) return &*found;
  }
  return nullptr;
}

[[noreturn]] void Unknown(const std::vector<std::string>& words) {
  std::string names;
  for (const Command& one : kCommands) {
    if (std::string_view(one.name).starts_with(words[0] + " "))
      names.append(" '").append(one.name).append("'");
  }
  if (!names.empty()) throw Usage{"'" + words[0] + "' alone is no command; expected one of" + names};
  throw Usage{"'" + words[0] + "' is no command; 'tinspan help' lists them"};
}

int Help(const Values&, const std::vector<std::string>& arguments) {
  if (arguments.empty()) {
    std::cout << Overview();
    return 0;
  }
  std::size_t used = 0;
  const Command* const command = Find(arguments, used);
  if (command == nullptr) Unknown(arguments);
  if (used < arguments.size()) throw Usage{"stray argument '" + arguments[used] + "'"};
  Explain(*command);
  return 0;
}

int Run(const Command& command, const std::vector<std::string>& words) {
  Options all = All(command), hidden;
  hidden.add_options()("argument", po::value<std::vector<std::string>>());
  Options both;
  both.add(all).add(hidden);
  po::positional_options_description positional;
  positional.add("argument", -1);
  Values values;
  try {
    po::store(po::command_line_parser(words)
                  .options(both)
                  .positional(positional)
                  .style(po::command_line_style::default_style & ~po::command_line_style::allow_guessing)
                  .run(),
              values);
    po::notify(values);
  } catch (const po::error& error) {
    throw Usage{error.what()};
  }
  if (values.count("help") > 0) {
    Explain(command);
    return 0;
  }
  std::vector<std::string> arguments;
  if (values.count("argument") > 0) arguments = values["argument"].as<std::vector<std::string>>();
  if (arguments.size() > command.most_arguments) {
    throw Usage{"stray argument '" + arguments[command.most_arguments] + "'"};
  }
  if (arguments.size() < command.least_arguments) {
    throw Usage{std::string("expected ") + command.arguments};
  }
  return command.run(values, arguments);
}

}  // namespace

void DescribeFile(Options& options) {
  options.add_options()("operator-file,f", po::value<std::string>()->value_name("FILE"),
                        "the gateway's file; without it, the platform's PROXY_NAME, PROXY_LISTEN and "
                        "PROXY_CONFIG");
}

void DescribeLog(Options& options) {
  options.add_options()("log-level", po::value<std::string>()->default_value("info")->value_name("LEVEL"),
                        "trace, debug, info, warn, error or off")(
      "log-format", po::value<std::string>()->default_value("text")->value_name("FORMAT"),
      "text, or json: one object a line (docs/logging.md)");
}

void StartLog(const Values& values) {
  const auto format = values["log-format"].as<std::string>();
  const auto level = values["log-level"].as<std::string>();
  if (format != "text" && format != "json") {
    throw Usage{"option '--log-format': expected text or json, not '" + format + "'"};
  }
  if (!log::Start(format == "json" ? log::Format::kJson : log::Format::kText, level)) {
    throw Usage{"option '--log-level': expected trace, debug, info, warn, error or off, not '" + level + "'"};
  }
}

int Main(int argc, char** argv) {
  std::vector<std::string> words(argv + 1, argv + argc);
  const Command* command = nullptr;
  try {
    if (words.empty()) {
      std::cerr << Overview();
      return 2;
    }
    if (words[0] == "--help" || words[0] == "-h") words[0] = "help";
    if (words[0] == "--version") words[0] = "version";
    std::size_t used = 0;
    command = Find(words, used);
    if (command == nullptr) Unknown(words);
    words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(used));
    return Run(*command, words);
  } catch (const Usage& wrong) {
    std::cerr << "tinspan" << (command == nullptr ? "" : " ") << (command == nullptr ? "" : command->name)
              << ": " << wrong.message << "\n";
    if (command != nullptr) std::cerr << "'tinspan help " << command->name << "' explains it.\n";
    return 2;
  } catch (const std::exception& error) {
    std::cerr << "tinspan " << (command == nullptr ? "" : command->name) << ": " << error.what() << "\n";
    return 1;
  }
}

}  // namespace tinspan::cli
