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
    CHECK(::mkdtemp(name) != nullptr);
    folder = name;
    fs::create_symlink(TINSPAN_PROGRAM, folder + "/tinspan");
  }
  ~Place() { fs::remove_all(folder); }
  Ran Run(const std::string& line) const {
    const std::string command = "cd " + folder + " && PATH=.:$PATH && ( " + line + " ) 2>&1";
    FILE* const pipe = ::popen(command.c_str(), "r");
    CHECK(pipe != nullptr);
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
void ReadmeLines() {
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
      CHECK(program.Wait() == 0);
      continue;
    }
    const Ran ran = place.Run(command);
    if (ran.status != 0) std::fprintf(stderr, "%s\n%s", command.c_str(), ran.out.c_str());
    CHECK(ran.status == 0);
    if (command.starts_with("tinspan init")) place.FreePort();
  }
  CHECK(commands >= 6 && served);
}

void InitWritesForItsOwnerAlone() {
  Place place;
  CHECK(place.Run("tinspan init gateway --name south").status == 0);
  for (const char* name : {"gateway.json", "keys.jwks.json", "signing.jwk.json", "operator.token"}) {
    struct stat info {};
    CHECK(::stat((place.folder + "/gateway/" + name).c_str(), &info) == 0 && (info.st_mode & 0777) == 0600);
  }
  const Ran again = place.Run("tinspan init gateway");
  CHECK(again.status == 1 && Has(again, "gateway/gateway.json: exists already"));
  // One that is in the way of a later file: the earlier ones are taken away again.
  CHECK(place.Run("mkdir half && touch half/operator.token").status == 0);
  const Ran half = place.Run("tinspan init half");
  CHECK(half.status == 1 && Has(half, "half/operator.token: exists already"));
  CHECK(!fs::exists(place.folder + "/half/gateway.json"));
  const Ran wrong = place.Run("tinspan init bad --listen nowhere");
  CHECK(wrong.status == 1 && Has(wrong, "listen: expected an address") &&
        !fs::exists(place.folder + "/bad/gateway.json"));
}

void NamesWhatIsWrong() {
  Place place;
  const auto refused = [&](const std::string& line, std::string_view named) {
    const Ran ran = place.Run(line);
    return ran.status == 2 && Has(ran, named);
  };
  CHECK(refused("tinspan", "usage: tinspan COMMAND"));
  CHECK(refused("tinspan serv", "'serv' is no command"));
  CHECK(refused("tinspan keys", "expected one of 'keys new'"));
  CHECK(refused("tinspan serve --colour red", "--colour"));
  CHECK(refused("tinspan serve now", "stray argument 'now'"));
  CHECK(refused("tinspan serve --log-level loud", "not 'loud'"));
  CHECK(refused("tinspan serve --log-format xml", "not 'xml'"));
  CHECK(refused("tinspan records cat --kind colour .", "not 'colour'"));
  CHECK(refused("tinspan records cat --from noon .", "not 'noon'"));
  CHECK(refused("tinspan records ls", "expected DIR"));
  CHECK(place.Run("tinspan help keys link").status == 0);
  for (const char* command : {"records ls", "records cat", "records verify"}) {
    const std::string line = "tinspan " + std::string(command);
    CHECK(place.Run("mkdir -p empty && echo x > foreign.txt").status == 0);
    Ran ran = place.Run(line + " nowhere");
    CHECK(ran.status == 1 && Has(ran, "nowhere: there is no such folder"));
    ran = place.Run(line + " empty");
    CHECK(ran.status == 1 && Has(ran, "empty: no records are here"));
    ran = place.Run(line + " foreign.txt");
    CHECK(ran.status == 1 && Has(ran, "foreign.txt: expected a folder of records"));
  }
}

void KeysSignAndShow() {
  Place place;
  CHECK(place.Run("tinspan keys new --alg ES256 --id pair -o pair.json").status == 0);
  CHECK(place.Run("tinspan keys new -o pair.json").status == 1);
  const Ran shown = place.Run("tinspan keys public pair.json");
  CHECK(shown.status == 0 && Has(shown, "\"kid\":\"pair\"") && !Has(shown, "\"d\""));
  CHECK(place.Run("tinspan keys new -o shared.json").status == 0);
  CHECK(Has(place.Run("tinspan keys public shared.json"), "shared secret has no public part"));
  CHECK(place.Run("tinspan keys link --key pair.json --origin https://a.example /scans/a.jpg").status == 0);
  CHECK(place.Run("tinspan keys link --key pair.json '/scans/a%2Fb.jpg'").status == 2);
  CHECK(Has(place.Run("tinspan keys token --key pair.json --id other"),
            "a key that can sign under id 'other'"));
}

// Each line is one JSON object with its event; after SIGKILL what was recorded is there and reads whole.
void RecordsOutliveSigkill() {
  Place place;
  CHECK(place.Run("tinspan init gateway").status == 0);
  place.FreePort();
  {
    Program program({"serve", "-f", place.folder + "/gateway/gateway.json", "--log-format", "json"}, {});
    const Json line = Json::parse(program.Line("serve.listening"));
    CHECK(line["event"] == "serve.listening" && line["level"] == "info" && line["name"] == "gateway-north");
    CHECK(Json::parse(program.Line("consul.query_failed"))["again_ms"].is_number_integer());
    program.Signal(SIGHUP);
    program.Line("keys.reloaded");
    const std::string cat = "tinspan records cat --kind life gateway/records";
    for (const auto end = UnixMs() + kLimitMs; !Has(place.Run(cat), "\"reloaded\"");) CHECK(UnixMs() < end);
    program.Signal(SIGKILL);
    CHECK(program.Wait() == 128 + SIGKILL);
  }
  const Ran ran = place.Run("tinspan records verify gateway/records && tinspan records ls gateway/records");
  CHECK(ran.status == 0 && Has(ran, ", 0 troubles") && Has(ran, "no end"));
  const Ran life = place.Run("tinspan records cat --kind life gateway/records");
  CHECK(life.out.find("\"started\"") < life.out.find("\"serving\"") &&
        life.out.find("\"serving\"") < life.out.find("\"signalled\""));
}

// A running gateway shown from afar; what cannot be had is said, and a stream that stalls ends in an error.
void ConsoleAsksAGateway() {
  Place place;
  CHECK(place.Run("tinspan init gateway").status == 0);
  place.FreePort();
  Program program({"serve", "-f", place.folder + "/gateway/gateway.json"}, {});
  const std::string url = " --from http://127.0.0.1:" + std::to_string(program.Port());
  const std::string token = " --token-file gateway/operator.token";
  const Ran frame = place.Run("tinspan console --once" + url + token);
  CHECK(frame.status == 0 && Has(frame, "gateway-north") && Has(frame, " up ") &&
        Has(frame, "gateway-north serving"));
  const Ran wrong =
      place.Run("echo another token of its size > wrong && tinspan console --once --token-file wrong" + url);
  CHECK(wrong.status == 1 && Has(wrong, "the operator's token is not accepted"));
  Server silent;
  const Ran stalled = place.Run("tinspan console --once --from http://" + silent.Address() + token);
  CHECK(stalled.status == 1 && Has(stalled, "no answer from " + silent.Address()));
  CHECK(place.Run("tinspan console").status == 2 && place.Run("tinspan console --once nowhere").status == 1);
  CHECK(place.Run("tinspan console --once" + url).status == 2);  // no token
  CHECK(place.Run("mkdir empty && tinspan console --once empty").status == 1);
  const Ran live = place.Run("tinspan console gateway/records < /dev/null");
  CHECK(live.status == 1 && Has(live, "no terminal is here"));
  for (const char* what : {"report nowhere", "report empty"})
    CHECK(place.Run("tinspan " + std::string(what)).status == 1);
}

}  // namespace

int main(int argc, char** argv) {
  return RunCases({{"readme_lines", ReadmeLines},
                   {"init_writes_for_its_owner_alone", InitWritesForItsOwnerAlone},
                   {"names_what_is_wrong", NamesWhatIsWrong},
                   {"keys_sign_and_show", KeysSignAndShow},
                   {"records_outlive_sigkill", RecordsOutliveSigkill},
                   {"console_asks_a_gateway", ConsoleAsksAGateway}},
                  argc, argv);
}
