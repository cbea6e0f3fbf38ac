// The command line of the real program: the commands of the README, how invalid arguments are reported, the
// keys and console commands, and the records of a gateway that was killed.
#include <sys/stat.h>

#include <filesystem>
#include <nlohmann/json.hpp>
#include <sstream>

#include "harness.hpp"

namespace {

namespace fs = std::filesystem;
using Json = nlohmann::json;

// The exit status and the output of a command line.
struct CommandResult {
  int status = 0;
  std::string output;  // stdout and stderr
};

// A temporary folder in which commands run, with the program as `tinspan`; the destructor deletes it.
struct WorkFolder {
  WorkFolder() {
    char name[] = "/tmp/tinspan-cli-XXXXXX";
    CHECK_OR_THROW(::mkdtemp(name) != nullptr);
    folder = name;
    fs::create_symlink(TINSPAN_PROGRAM, folder + "/tinspan");
  }
  ~WorkFolder() { fs::remove_all(folder); }
  // Runs a shell command line in the folder.
  CommandResult Run(const std::string& line) const {
    const std::string command = "cd " + folder + " && PATH=.:$PATH && ( " + line + " ) 2>&1";
    FILE* const pipe = ::popen(command.c_str(), "r");
    CHECK_OR_THROW(pipe != nullptr);
    CommandResult result;
    char block[4096];
    while (const std::size_t size = ::fread(block, 1, sizeof block, pipe)) result.output.append(block, size);
    const int status = ::pclose(pipe);
    result.status = WIFEXITED(status) ? WEXITSTATUS(status) : 128;
    return result;
  }
  // Lets the gateway that `init` wrote use any free ports, as others may be in use on the machine, and sets
  // its record folder.
  void UseFreePorts() const {
    const std::string path = folder + "/gateway/gateway.json";
    std::ifstream input(path);
    Json file = Json::parse(input);
    file["listen"] = "127.0.0.1:0";
    file["ops"] = "127.0.0.1:0";
    file["members"]["listen"] = "127.0.0.1:0";
    file["record"] = {{"folder", "records"}};
    std::ofstream(path) << file.dump(2);
  }
  std::string folder;
};

bool OutputContains(const CommandResult& result, std::string_view text) {
  return result.output.find(text) != std::string::npos;
}

// Every command of the README's section "Try it" works as it is written there.
TEST(CliTest, RunsTheCommandsOfTheReadme) {
  WorkFolder work;
  std::ifstream readme(TINSPAN_README);
  std::string line;
  while (std::getline(readme, line) && line != "## Try it") {
  }
  int commands = 0;
  bool has_served = false;
  while (std::getline(readme, line) && !line.starts_with("## ")) {
    if (!line.starts_with("    tinspan ")) continue;
    ++commands;
    const std::string command = line.substr(4, line.find("  #") - 4);
    if (command.starts_with("tinspan serve")) {
      has_served = true;
      std::istringstream words(command);
      std::vector<std::string> arguments;
      for (std::string word; words >> word;) arguments.push_back(word);
      arguments.erase(arguments.begin());
      for (std::string& argument : arguments) {
        if (argument.starts_with("gateway/")) argument = work.folder + "/" + argument;
      }
      Program program(arguments, {});
      program.Port();
      program.Signal(SIGTERM);
      ASSERT_EQ(program.Wait(), 0);
      continue;
    }
    const CommandResult result = work.Run(command);
    if (result.status != 0) std::fprintf(stderr, "%s\n%s", command.c_str(), result.output.c_str());
    ASSERT_EQ(result.status, 0);
    if (command.starts_with("tinspan init")) work.UseFreePorts();
  }
  ASSERT_GE(commands, 6);
  ASSERT_TRUE(has_served);
}

TEST(CliTest, InitWritesFilesForTheirOwnerOnly) {
  WorkFolder work;
  ASSERT_EQ(work.Run("tinspan init gateway --name south").status, 0);
  for (const char* name : {"gateway.json", "keys.jwks.json", "signing.jwk.json", "operator.token"}) {
    struct stat info {};
    ASSERT_EQ(::stat((work.folder + "/gateway/" + name).c_str(), &info), 0);
    ASSERT_EQ((info.st_mode & 0777), 0600);
  }
  const CommandResult repeated = work.Run("tinspan init gateway");
  ASSERT_EQ(repeated.status, 1);
  ASSERT_TRUE(OutputContains(repeated, "gateway/gateway.json: exists already"));
  // If a later file exists already, the files written before it are removed again.
  ASSERT_EQ(work.Run("mkdir half && touch half/operator.token").status, 0);
  const CommandResult partial = work.Run("tinspan init half");
  ASSERT_EQ(partial.status, 1);
  ASSERT_TRUE(OutputContains(partial, "half/operator.token: exists already"));
  ASSERT_FALSE(fs::exists(work.folder + "/half/gateway.json"));
  const CommandResult wrong = work.Run("tinspan init bad --listen nowhere");
  ASSERT_EQ(wrong.status, 1);
  ASSERT_TRUE(OutputContains(wrong, "listen: expected an address"));
  ASSERT_FALSE(fs::exists(work.folder + "/bad/gateway.json"));
}

TEST(CliTest, NamesTheFaultyArgument) {
  WorkFolder work;
  const auto is_rejected = [&](const std::string& line, std::string_view named) {
    const CommandResult result = work.Run(line);
    return result.status == 2 && OutputContains(result, named);
  };
  ASSERT_TRUE(is_rejected("tinspan", "usage: tinspan COMMAND"));
  ASSERT_TRUE(is_rejected("tinspan serv", "'serv' is no command"));
  ASSERT_TRUE(is_rejected("tinspan keys", "expected one of 'keys new'"));
  ASSERT_TRUE(is_rejected("tinspan serve --colour red", "--colour"));
  ASSERT_TRUE(is_rejected("tinspan serve now", "stray argument 'now'"));
  ASSERT_TRUE(is_rejected("tinspan serve --log-level loud", "not 'loud'"));
  ASSERT_TRUE(is_rejected("tinspan serve --log-format xml", "not 'xml'"));
  ASSERT_TRUE(is_rejected("tinspan records cat --kind colour .", "not 'colour'"));
  ASSERT_TRUE(is_rejected("tinspan records cat --from noon .", "not 'noon'"));
  ASSERT_TRUE(is_rejected("tinspan records ls", "expected DIR"));
  ASSERT_EQ(work.Run("tinspan help keys link").status, 0);
  for (const char* command : {"records ls", "records cat", "records verify"}) {
    const std::string line = "tinspan " + std::string(command);
    ASSERT_EQ(work.Run("mkdir -p empty && echo x > foreign.txt").status, 0);
    CommandResult result = work.Run(line + " nowhere");
    ASSERT_EQ(result.status, 1);
    ASSERT_TRUE(OutputContains(result, "nowhere: there is no such folder"));
    result = work.Run(line + " empty");
    ASSERT_EQ(result.status, 1);
    ASSERT_TRUE(OutputContains(result, "empty: no records are here"));
    result = work.Run(line + " foreign.txt");
    ASSERT_EQ(result.status, 1);
    ASSERT_TRUE(OutputContains(result, "foreign.txt: expected a folder of records"));
  }
}

TEST(CliTest, SignsWithAndShowsKeys) {
  WorkFolder work;
  ASSERT_EQ(work.Run("tinspan keys new --alg ES256 --id pair -o pair.json").status, 0);
  ASSERT_EQ(work.Run("tinspan keys new -o pair.json").status, 1);
  const CommandResult shown = work.Run("tinspan keys public pair.json");
  ASSERT_EQ(shown.status, 0);
  ASSERT_TRUE(OutputContains(shown, "\"kid\":\"pair\""));
  ASSERT_FALSE(OutputContains(shown, "\"d\""));
  ASSERT_EQ(work.Run("tinspan keys new -o shared.json").status, 0);
  ASSERT_TRUE(
      OutputContains(work.Run("tinspan keys public shared.json"), "shared secret has no public part"));
  ASSERT_EQ(work.Run("tinspan keys link --key pair.json --origin https://a.example /scans/a.jpg").status, 0);
  ASSERT_EQ(work.Run("tinspan keys link --key pair.json '/scans/a%2Fb.jpg'").status, 2);
  ASSERT_TRUE(OutputContains(work.Run("tinspan keys token --key pair.json --id other"),
                             "a key that can sign under id 'other'"));
}

// With --log-format json every log line is one JSON object that names its event. After SIGKILL the records
// are complete and readable.
TEST(CliTest, RecordsSurviveSigkill) {
  WorkFolder work;
  ASSERT_EQ(work.Run("tinspan init gateway").status, 0);
  work.UseFreePorts();
  {
    Program program({"serve", "-f", work.folder + "/gateway/gateway.json", "--log-format", "json"}, {});
    const Json line = Json::parse(program.ReadLogThrough("serve.listening"));
    ASSERT_EQ(line["event"], "serve.listening");
    ASSERT_EQ(line["level"], "info");
    ASSERT_EQ(line["name"], "gateway-north");
    ASSERT_TRUE(Json::parse(program.ReadLogThrough("consul.query_failed"))["again_ms"].is_number_integer());
    program.Signal(SIGHUP);
    program.ReadLogThrough("keys.reloaded");
    const std::string cat_command = "tinspan records cat --kind life gateway/records";
    for (const auto end = UnixMs() + kWaitLimitMs; !OutputContains(work.Run(cat_command), "\"reloaded\"");) {
      ASSERT_LT(UnixMs(), end);
    }
    program.Signal(SIGKILL);
    ASSERT_EQ(program.Wait(), 128 + SIGKILL);
  }
  const CommandResult result =
      work.Run("tinspan records verify gateway/records && tinspan records ls gateway/records");
  ASSERT_EQ(result.status, 0);
  ASSERT_TRUE(OutputContains(result, ", 0 troubles"));
  ASSERT_TRUE(OutputContains(result, "no end"));
  const CommandResult life = work.Run("tinspan records cat --kind life gateway/records");
  ASSERT_LT(life.output.find("\"started\""), life.output.find("\"serving\""));
  ASSERT_LT(life.output.find("\"serving\""), life.output.find("\"signalled\""));
}

// The console shows a running gateway over HTTP. A wrong token, a missing one, an unreachable source and a
// server that does not respond are reported as errors.
TEST(CliTest, ConsoleQueriesAGateway) {
  WorkFolder work;
  ASSERT_EQ(work.Run("tinspan init gateway").status, 0);
  work.UseFreePorts();
  Program program({"serve", "-f", work.folder + "/gateway/gateway.json"}, {});
  const std::string url = " --from http://127.0.0.1:" + std::to_string(program.Port());
  const std::string token = " --token-file gateway/operator.token";
  const CommandResult frame = work.Run("tinspan console --once" + url + token);
  ASSERT_EQ(frame.status, 0);
  ASSERT_TRUE(OutputContains(frame, "gateway-north"));
  ASSERT_TRUE(OutputContains(frame, " up "));
  ASSERT_TRUE(OutputContains(frame, "gateway-north serving"));
  const CommandResult wrong =
      work.Run("echo another token of its size > wrong && tinspan console --once --token-file wrong" + url);
  ASSERT_EQ(wrong.status, 1);
  ASSERT_TRUE(OutputContains(wrong, "the operator's token is not accepted"));
  TcpListener silent;
  const CommandResult stalled = work.Run("tinspan console --once --from http://" + silent.Address() + token);
  ASSERT_EQ(stalled.status, 1);
  ASSERT_TRUE(OutputContains(stalled, "no answer from " + silent.Address()));
  ASSERT_EQ(work.Run("tinspan console").status, 2);
  ASSERT_EQ(work.Run("tinspan console --once nowhere").status, 1);
  ASSERT_EQ(work.Run("tinspan console --once" + url).status, 2);  // no token
  ASSERT_EQ(work.Run("mkdir empty && tinspan console --once empty").status, 1);
  const CommandResult live = work.Run("tinspan console gateway/records < /dev/null");
  ASSERT_EQ(live.status, 1);
  ASSERT_TRUE(OutputContains(live, "no terminal is here"));
  for (const char* what : {"report nowhere", "report empty"}) {
    ASSERT_EQ(work.Run("tinspan " + std::string(what)).status, 1);
  }
}

}  // namespace
