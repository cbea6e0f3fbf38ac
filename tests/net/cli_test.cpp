// The command line as people use it: the real program, README's own lines, what is refused and how, and
// records of a gateway that was killed.
#include <sys/stat.h>

#include <filesystem>
#include <nlohmann/json.hpp>
#include <sstream>

#include "harness.hpp"

namespace {

namespace fs = std::filesystem;
using Json = nlohmann::json;

struct Ran {
  int status = 0;
  std::string out;  // both streams
};

struct Place {
  Place() {
    char name[] = "/tmp/tinspan-cli-XXXXXX";
    CHECK_OR_THROW(::mkdtemp(name) != nullptr);
    folder = name;
    fs::create_symlink(TINSPAN_PROGRAM, folder + "/tinspan");
  }
  ~Place() { fs::remove_all(folder); }
  Ran Run(const std::string& line) const {
    const std::string command = "cd " + folder + " && PATH=.:$PATH && ( " + line + " ) 2>&1";
    FILE* const pipe = ::popen(command.c_str(), "r");
    CHECK_OR_THROW(pipe != nullptr);
    Ran ran;
    char block[4096];
    while (const std::size_t n = ::fread(block, 1, sizeof block, pipe)) ran.out.append(block, n);
    const int status = ::pclose(pipe);
    ran.status = WIFEXITED(status) ? WEXITSTATUS(status) : 128;
    return ran;
  }
  // Any free port, so that nothing else on the machine is in the way.
  void FreePort() const {
    const std::string path = folder + "/gateway/gateway.json";
    std::ifstream in(path);
    Json file = Json::parse(in);
    file["listen"] = "127.0.0.1:0";
    file["ops"] = "127.0.0.1:0";
    file["members"]["listen"] = "127.0.0.1:0";
    file["record"] = {{"folder", "records"}};
    std::ofstream(path) << file.dump(2);
  }
  std::string folder;
};

bool Has(const Ran& ran, std::string_view text) { return ran.out.find(text) != std::string::npos; }

// Every line of README's section for newcomers works as it stands there.
TEST(CliTest, RunsTheCommandsOfTheReadme) {
  Place place;
  std::ifstream readme(TINSPAN_README);
  std::string line;
  while (std::getline(readme, line) && line != "## Try it") {
  }
  int commands = 0;
  bool served = false;
  while (std::getline(readme, line) && !line.starts_with("## ")) {
    if (!line.starts_with("    tinspan ")) continue;
    ++commands;
    const std::string command = line.substr(4, line.find("  #") - 4);
    if (command.starts_with("tinspan serve")) {
      served = true;
      std::istringstream words(command);
      std::vector<std::string> arguments;
      for (std::string word; words >> word;) arguments.push_back(word);
      arguments.erase(arguments.begin());
      for (std::string& one : arguments) {
        if (one.starts_with("gateway/")) one = place.folder + "/" + one;
      }
      Program program(arguments, {});
      program.Port();
      program.Signal(SIGTERM);
      ASSERT_EQ(program.Wait(), 0);
      continue;
    }
    const Ran ran = place.Run(command);
    if (ran.status != 0) std::fprintf(stderr, "%s\n%s", command.c_str(), ran.out.c_str());
    ASSERT_EQ(ran.status, 0);
    if (command.starts_with("tinspan init")) place.FreePort();
  }
  ASSERT_GE(commands, 6);
  ASSERT_TRUE(served);
}

TEST(CliTest, InitWritesFilesForTheirOwnerOnly) {
  Place place;
  ASSERT_EQ(place.Run("tinspan init gateway --name south").status, 0);
  for (const char* name : {"gateway.json", "keys.jwks.json", "signing.jwk.json", "operator.token"}) {
    struct stat info {};
    ASSERT_EQ(::stat((place.folder + "/gateway/" + name).c_str(), &info), 0);
    ASSERT_EQ((info.st_mode & 0777), 0600);
  }
  const Ran again = place.Run("tinspan init gateway");
  ASSERT_EQ(again.status, 1);
  ASSERT_TRUE(Has(again, "gateway/gateway.json: exists already"));
  // One that is in the way of a later file: the earlier ones are taken away again.
  ASSERT_EQ(place.Run("mkdir half && touch half/operator.token").status, 0);
  const Ran half = place.Run("tinspan init half");
  ASSERT_EQ(half.status, 1);
  ASSERT_TRUE(Has(half, "half/operator.token: exists already"));
  ASSERT_FALSE(fs::exists(place.folder + "/half/gateway.json"));
  const Ran wrong = place.Run("tinspan init bad --listen nowhere");
  ASSERT_EQ(wrong.status, 1);
  ASSERT_TRUE(Has(wrong, "listen: expected an address"));
  ASSERT_FALSE(fs::exists(place.folder + "/bad/gateway.json"));
}

TEST(CliTest, NamesTheFaultyArgument) {
  Place place;
  const auto refused = [&](const std::string& line, std::string_view named) {
    const Ran ran = place.Run(line);
    return ran.status == 2 && Has(ran, named);
  };
  ASSERT_TRUE(refused("tinspan", "usage: tinspan COMMAND"));
  ASSERT_TRUE(refused("tinspan serv", "'serv' is no command"));
  ASSERT_TRUE(refused("tinspan keys", "expected one of 'keys new'"));
  ASSERT_TRUE(refused("tinspan serve --colour red", "--colour"));
  ASSERT_TRUE(refused("tinspan serve now", "stray argument 'now'"));
  ASSERT_TRUE(refused("tinspan serve --log-level loud", "not 'loud'"));
  ASSERT_TRUE(refused("tinspan serve --log-format xml", "not 'xml'"));
  ASSERT_TRUE(refused("tinspan records cat --kind colour .", "not 'colour'"));
  ASSERT_TRUE(refused("tinspan records cat --from noon .", "not 'noon'"));
  ASSERT_TRUE(refused("tinspan records ls", "expected DIR"));
  ASSERT_EQ(place.Run("tinspan help keys link").status, 0);
  for (const char* command : {"records ls", "records cat", "records verify"}) {
    const std::string line = "tinspan " + std::string(command);
    ASSERT_EQ(place.Run("mkdir -p empty && echo x > foreign.txt").status, 0);
    Ran ran = place.Run(line + " nowhere");
    ASSERT_EQ(ran.status, 1);
    ASSERT_TRUE(Has(ran, "nowhere: there is no such folder"));
    ran = place.Run(line + " empty");
    ASSERT_EQ(ran.status, 1);
    ASSERT_TRUE(Has(ran, "empty: no records are here"));
    ran = place.Run(line + " foreign.txt");
    ASSERT_EQ(ran.status, 1);
    ASSERT_TRUE(Has(ran, "foreign.txt: expected a folder of records"));
  }
}

TEST(CliTest, SignsWithAndShowsKeys) {
  Place place;
  ASSERT_EQ(place.Run("tinspan keys new --alg ES256 --id pair -o pair.json").status, 0);
  ASSERT_EQ(place.Run("tinspan keys new -o pair.json").status, 1);
  const Ran shown = place.Run("tinspan keys public pair.json");
  ASSERT_EQ(shown.status, 0);
  ASSERT_TRUE(Has(shown, "\"kid\":\"pair\""));
  ASSERT_FALSE(Has(shown, "\"d\""));
  ASSERT_EQ(place.Run("tinspan keys new -o shared.json").status, 0);
  ASSERT_TRUE(Has(place.Run("tinspan keys public shared.json"), "shared secret has no public part"));
  ASSERT_EQ(place.Run("tinspan keys link --key pair.json --origin https://a.example /scans/a.jpg").status, 0);
  ASSERT_EQ(place.Run("tinspan keys link --key pair.json '/scans/a%2Fb.jpg'").status, 2);
  ASSERT_TRUE(Has(place.Run("tinspan keys token --key pair.json --id other"),
                  "a key that can sign under id 'other'"));
}

// Each line is one JSON object with its event; after SIGKILL what was recorded is there and reads whole.
TEST(CliTest, RecordsSurviveSigkill) {
  Place place;
  ASSERT_EQ(place.Run("tinspan init gateway").status, 0);
  place.FreePort();
  {
    Program program({"serve", "-f", place.folder + "/gateway/gateway.json", "--log-format", "json"}, {});
    const Json line = Json::parse(program.ReadLogThrough("serve.listening"));
    ASSERT_EQ(line["event"], "serve.listening");
    ASSERT_EQ(line["level"], "info");
    ASSERT_EQ(line["name"], "gateway-north");
    ASSERT_TRUE(Json::parse(program.ReadLogThrough("consul.query_failed"))["again_ms"].is_number_integer());
    program.Signal(SIGHUP);
    program.ReadLogThrough("keys.reloaded");
    const std::string cat = "tinspan records cat --kind life gateway/records";
    for (const auto end = UnixMs() + kWaitLimitMs; !Has(place.Run(cat), "\"reloaded\"");) {
      ASSERT_LT(UnixMs(), end);
    }
    program.Signal(SIGKILL);
    ASSERT_EQ(program.Wait(), 128 + SIGKILL);
  }
  const Ran ran = place.Run("tinspan records verify gateway/records && tinspan records ls gateway/records");
  ASSERT_EQ(ran.status, 0);
  ASSERT_TRUE(Has(ran, ", 0 troubles"));
  ASSERT_TRUE(Has(ran, "no end"));
  const Ran life = place.Run("tinspan records cat --kind life gateway/records");
  ASSERT_LT(life.out.find("\"started\""), life.out.find("\"serving\""));
  ASSERT_LT(life.out.find("\"serving\""), life.out.find("\"signalled\""));
}

// A running gateway shown from afar; what cannot be had is said, and a stream that stalls ends in an error.
TEST(CliTest, ConsoleQueriesAGateway) {
  Place place;
  ASSERT_EQ(place.Run("tinspan init gateway").status, 0);
  place.FreePort();
  Program program({"serve", "-f", place.folder + "/gateway/gateway.json"}, {});
  const std::string url = " --from http://127.0.0.1:" + std::to_string(program.Port());
  const std::string token = " --token-file gateway/operator.token";
  const Ran frame = place.Run("tinspan console --once" + url + token);
  ASSERT_EQ(frame.status, 0);
  ASSERT_TRUE(Has(frame, "gateway-north"));
  ASSERT_TRUE(Has(frame, " up "));
  ASSERT_TRUE(Has(frame, "gateway-north serving"));
  const Ran wrong =
      place.Run("echo another token of its size > wrong && tinspan console --once --token-file wrong" + url);
  ASSERT_EQ(wrong.status, 1);
  ASSERT_TRUE(Has(wrong, "the operator's token is not accepted"));
  TcpListener silent;
  const Ran stalled = place.Run("tinspan console --once --from http://" + silent.Address() + token);
  ASSERT_EQ(stalled.status, 1);
  ASSERT_TRUE(Has(stalled, "no answer from " + silent.Address()));
  ASSERT_EQ(place.Run("tinspan console").status, 2);
  ASSERT_EQ(place.Run("tinspan console --once nowhere").status, 1);
  ASSERT_EQ(place.Run("tinspan console --once" + url).status, 2);  // no token
  ASSERT_EQ(place.Run("mkdir empty && tinspan console --once empty").status, 1);
  const Ran live = place.Run("tinspan console gateway/records < /dev/null");
  ASSERT_EQ(live.status, 1);
  ASSERT_TRUE(Has(live, "no terminal is here"));
  for (const char* what : {"report nowhere", "report empty"}) {
    ASSERT_EQ(place.Run("tinspan " + std::string(what)).status, 1);
  }
}

}  // namespace
