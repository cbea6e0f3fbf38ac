#include "cli/cli.hpp"

#include <algorithm>
#include <array>
#include <iostream>

#include "cli/admin_client.hpp"
#include "cli/command.hpp"
#include "cli/console.hpp"
#include "cli/init.hpp"
#include "cli/keys.hpp"
#include "cli/records.hpp"
#include "cli/report.hpp"
#include "cli/serve.hpp"
#include "log/log.hpp"

namespace tinspan::cli {
namespace {

namespace po = boost::program_options;

constexpr std::size_t kMaxArguments = 4096;

void AddNoOptions(Options&) {}

int RunVersion(const Values&, const std::vector<std::string>&) {
  std::cout << "tinspan " << TINSPAN_VERSION << "\n";
  return 0;
}

int RunHelp(const Values& values, const std::vector<std::string>& arguments);

const std::array kCommands{
    Command{"serve", "", "run an instance until SIGTERM", "tinspan serve -f gateway/gateway.json\n", 0, 0,
            AddServeOptions, RunServe},
    Command{"check-config", "", "validate the configuration and report errors",
            "tinspan check-config -f gateway/gateway.json\n", 0, 0, AddFileOptions, RunCheckConfig},
    Command{"init", "DIR", "write a gateway's file with fresh keys and an operator's token into DIR",
            "tinspan init gateway\ntinspan init north --name north --listen 127.0.0.1:8081\n", 1, 1,
            AddInitOptions, RunInit},
    Command{"keys new", "", "create a key, as a JWK",
            "tinspan keys new --alg ES256 --id shop-2 -o shop.jwk.json\n", 0, 0, AddKeysNewOptions,
            RunKeysNew},
    Command{"keys public", "FILE", "print the public part of a JWK or of each key in a JWK set",
            "tinspan keys public shop.jwk.json\n", 1, 1, AddNoOptions, RunKeysPublic},
    Command{"keys link", "TARGET", "sign a link to a path and query",
            "tinspan keys link -f gateway/gateway.json '/scans/estate/book.jpg?page=3'\n", 1, 1,
            AddKeysSignOptions, RunKeysLink},
    Command{"keys token", "", "sign a bearer token",
            "tinspan keys token -f gateway/gateway.json --expires 3600\n", 0, 0, AddKeysSignOptions,
            RunKeysToken},
    Command{"records ls", "DIR...", "list the instance runs recorded in these folders",
            "tinspan records ls gateway/records\n", 1, kMaxArguments, AddNoOptions, RunRecordsList},
    Command{"records cat", "DIR...",
            "print records as JSON lines; unreadable parts are reported on standard error",
            "tinspan records cat --kind trace --class orders gateway/records\n"
            "tinspan records cat --from 2026-12-01T14:03:00Z --server n1/c gateway/records\n",
            1, kMaxArguments, AddRecordsCatOptions, RunRecordsCat},
    Command{"records verify", "DIR...",
            "report unreadable parts with file and offset; exits with 1 if there are any",
            "tinspan records verify gateway/records\n", 1, kMaxArguments, AddNoOptions, RunRecordsVerify},
    Command{"report", "DIR...",
            "report what happened from the records in these folders, as an HTML page or as JSON",
            "tinspan report north/records south/records -o report.html\n"
            "tinspan report --around 2026-12-01T14:03:00Z --format json gateway/records\n",
            1, kMaxArguments, AddReportOptions, RunReport},
    Command{"console", "[DIR...]", "show a fleet live in the terminal, from records or from running gateways",
            "tinspan console gateway/records\n"
            "tinspan console --from http://127.0.0.1:8080 --token-file gateway/operator.token\n"
            "tinspan console --once --at 2026-12-01T14:03:00Z gateway/records\n",
            0, kMaxArguments, AddConsoleOptions, RunConsole},
    Command{"members", "", "show the fleet view of a running instance, through its admin listener",
            "tinspan members --door 127.0.0.1:9100\ntinspan members --door 127.0.0.1:9100 --raw\n", 0, 0,
            AddAdminOptions, RunMembers},
    Command{"leases", "", "show the lease holder of each duty, as a running instance sees it",
            "tinspan leases --door 127.0.0.1:9100\ntinspan leases --door 127.0.0.1:9100 --raw\n", 0, 0,
            AddAdminOptions, RunLeases},
    Command{"version", "", "print the version", "tinspan version\n", 0, 0, AddNoOptions, RunVersion},
    Command{"help", "[COMMAND]", "explain a command", "tinspan help serve\ntinspan help keys link\n", 0, 2,
            AddNoOptions, RunHelp},
};

std::string UsageOverview() {
  std::string text = "usage: tinspan COMMAND [OPTIONS]\n";
  for (const Command& candidate : kCommands) {
    std::string name = candidate.name;
    name.resize(std::max<std::size_t>(name.size(), 14), ' ');
    text.append("  ").append(name).append(candidate.summary).append("\n");
  }
  return text + "Run 'tinspan help COMMAND' for details.\n";
}

Options AllOptions(const Command& command) {
  Options options("options");
  options.add_options()("help,h", "print this");
  command.add_options(options);
  return options;
}

void PrintHelp(const Command& command) {
  std::cout << "usage: tinspan " << command.name << " [OPTIONS]" << (*command.arguments == '\0' ? "" : " ")
            << command.arguments << "\n  " << command.summary << "\n\n"
            << AllOptions(command) << "\nexamples:\n";
  std::string_view remaining = command.examples;
  while (!remaining.empty()) {
    const std::size_t end = remaining.find('\n');
    std::cout << "  " << remaining.substr(0, end) << "\n";
    remaining.remove_prefix(end + 1);
  }
}

// Returns the command that the words begin with, and sets `used` to the number of words that name it. Returns
// null if there is none.
const Command* FindCommand(const std::vector<std::string>& words, std::size_t& used) {
  for (std::size_t count = std::min<std::size_t>(2, words.size()); count > 0; --count) {
    const std::string name = count == 2 ? words[0] + " " + words[1] : words[0];
    const auto found = std::find_if(kCommands.begin(), kCommands.end(),
                                    [&](const Command& candidate) { return candidate.name == name; });
    used = count;
    if (found != kCommands.end()) return &*found;
  }
  return nullptr;
}

[[noreturn]] void ThrowUnknownCommand(const std::vector<std::string>& words) {
  std::string names;
  for (const Command& candidate : kCommands) {
    if (std::string_view(candidate.name).starts_with(words[0] + " "))
      names.append(" '").append(candidate.name).append("'");
  }
  if (!names.empty()) throw UsageError{"'" + words[0] + "' alone is no command; expected one of" + names};
  throw UsageError{"'" + words[0] + "' is no command; 'tinspan help' lists them"};
}

int RunHelp(const Values&, const std::vector<std::string>& arguments) {
  if (arguments.empty()) {
    std::cout << UsageOverview();
    return 0;
  }
  std::size_t used = 0;
  const Command* const command = FindCommand(arguments, used);
  if (command == nullptr) ThrowUnknownCommand(arguments);
  if (used < arguments.size()) throw UsageError{"stray argument '" + arguments[used] + "'"};
  PrintHelp(*command);
  return 0;
}

int Run(const Command& command, const std::vector<std::string>& words) {
  Options visible = AllOptions(command), hidden;
  hidden.add_options()("argument", po::value<std::vector<std::string>>());
  Options accepted;
  accepted.add(visible).add(hidden);
  po::positional_options_description positional;
  positional.add("argument", -1);
  Values values;
  try {
    po::store(po::command_line_parser(words)
                  .options(accepted)
                  .positional(positional)
                  .style(po::command_line_style::default_style & ~po::command_line_style::allow_guessing)
                  .run(),
              values);
    po::notify(values);
  } catch (const po::error& error) {
    throw UsageError{error.what()};
  }
  if (values.count("help") > 0) {
    PrintHelp(command);
    return 0;
  }
  std::vector<std::string> arguments;
  if (values.count("argument") > 0) arguments = values["argument"].as<std::vector<std::string>>();
  if (arguments.size() > command.max_arguments) {
    throw UsageError{"stray argument '" + arguments[command.max_arguments] + "'"};
  }
  if (arguments.size() < command.min_arguments) {
    throw UsageError{std::string("expected ") + command.arguments};
  }
  return command.run(values, arguments);
}

}  // namespace

void AddFileOptions(Options& options) {
  options.add_options()("operator-file,f", po::value<std::string>()->value_name("FILE"),
                        "the gateway's file; without it, the platform's PROXY_NAME, PROXY_LISTEN and "
                        "PROXY_CONFIG");
}

void AddLogOptions(Options& options) {
  options.add_options()("log-level", po::value<std::string>()->default_value("info")->value_name("LEVEL"),
                        "trace, debug, info, warn, error or off")(
      "log-format", po::value<std::string>()->default_value("text")->value_name("FORMAT"),
      "text, or json: one object a line (docs/logging.md)");
}

void StartLog(const Values& values) {
  const auto format = values["log-format"].as<std::string>();
  const auto level = values["log-level"].as<std::string>();
  if (format != "text" && format != "json") {
    throw UsageError{"option '--log-format': expected text or json, not '" + format + "'"};
  }
  if (!log::Start(format == "json" ? log::Format::kJson : log::Format::kText, level)) {
    throw UsageError{"option '--log-level': expected trace, debug, info, warn, error or off, not '" + level +
                     "'"};
  }
}

int Main(int argc, char** argv) {
  std::vector<std::string> words(argv + 1, argv + argc);
  const Command* command = nullptr;
  try {
    if (words.empty()) {
      std::cerr << UsageOverview();
      return 2;
    }
    if (words[0] == "--help" || words[0] == "-h") words[0] = "help";
    if (words[0] == "--version") words[0] = "version";
    std::size_t used = 0;
    command = FindCommand(words, used);
    if (command == nullptr) ThrowUnknownCommand(words);
    words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(used));
    return Run(*command, words);
  } catch (const UsageError& error) {
    std::cerr << "tinspan" << (command == nullptr ? "" : " ") << (command == nullptr ? "" : command->name)
              << ": " << error.message << "\n";
    if (command != nullptr) std::cerr << "Run 'tinspan help " << command->name << "' for details.\n";
    return 2;
  } catch (const std::exception& error) {
    std::cerr << "tinspan " << (command == nullptr ? "" : command->name) << ": " << error.what() << "\n";
    return 1;
  }
}

}  // namespace tinspan::cli
