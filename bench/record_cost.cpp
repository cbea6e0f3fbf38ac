// Measures what recording costs a gateway.
//
// pair: gateways with and without recording get the same load in turn, round by round. CPU time is the run
// time of all their threads according to the kernel.
//
// churn: whether memory stays flat while servers are added and removed.
//
//   record_cost pair [PAIRS=60] [SECONDS=0.3] [RATE=0, as fast as they are answered]
//   record_cost churn [REQUESTS=600000] [CHANGES=3600]
#include <algorithm>
#include <cmath>
#include <filesystem>
#include <nlohmann/json.hpp>

#include "front/http/access.hpp"
#include "standin.hpp"

namespace {

namespace fs = std::filesystem;
using Json = nlohmann::json;

constexpr const char* kKey =
    R"({"kty":"oct","kid":"shared-1","alg":"HS256","k":"AyM1SysPpbyDfgZld3umj1qzKObwVMkoqQ-EstJQLr_T-1qS0gZH75aKtMN3Yj0iPS4hcgUuTwjAzZr1Z9CAow"})";

struct Environment {
  Environment()
      : cache([](auto&, auto&) {
          return HttpStandIn::Reply("200 OK", std::string(2000, 'x'), "Cache-Status: c; hit\r\n");
        }) {
    char name[] = "/tmp/tinspan-cost-XXXXXX";
    CHECK_OR_THROW(::mkdtemp(name) != nullptr);
    folder = std::string(name) + "/";
    for (int i = 0; i < 4; ++i) consul.Set("shop-cache", "n" + std::to_string(i), {cache.Port()});
    consul.Set("main-stock", "stock", {cache.Port()});
    Write("keys.json", std::string(R"({"keys":[)") + kKey + "]}");
    Write(
        "own.json",
        R"({"kty":"oct","kid":"gateway-1","alg":"HS256","k":"dGhlIGdhdGV3YXkncyBvd24gc2VjcmV0IG9mIG1hbnkgYnl0ZXM"})");
    token = tinspan::http::SignCompact(
        tinspan::http::Key::FromJwk(kKey, "key"),
        R"({"iss":"shop","exp":)" + std::to_string(UnixMs() / 1000 + 36'000) + "}");
  }
  ~Environment() { fs::remove_all(folder); }
  void Write(const std::string& name, const std::string& text) { std::ofstream(folder + name) << text; }
  std::unique_ptr<Program> Start(const std::string& name, bool record) {
    std::ifstream in(std::string(TINSPAN_EXAMPLE));
    Json file = Json::parse(in);
    file["name"] = name;
    file["listen"] = "127.0.0.1:0";
    file.erase("ops");  // measured without the admin listener and the membership
    file.erase("members");
    file["keys_file"] = "keys.json";
    file["signing_key_file"] = "own.json";
    file.erase("operator_token_file");
    file["consul"]["address"] = consul.Address();
    file["consul"]["services"] = {{{"name", "shop-cache"}, {"kind", "small-box"}},
                                  {{"name", "main-stock"}, {"kind", "origin"}}};
    if (record) file["record"] = {{"folder", "records"}};
    Write(name + ".json", file.dump());
    return std::make_unique<Program>(
        std::vector<std::string>{"serve", "-f", folder + name + ".json", "--log-level", "info"},
        std::map<std::string, std::string>{});
  }
  HttpStandIn cache;
  ConsulStandIn consul;
  std::string folder, token;
};

// Returns the CPU time of all threads of a process, in nanoseconds.
std::uint64_t CpuTimeNs(pid_t pid) {
  std::uint64_t sum = 0;
  for (const auto& task : fs::directory_iterator("/proc/" + std::to_string(pid) + "/task")) {
    std::uint64_t thread_ns = 0;
    std::ifstream(task.path() / "schedstat") >> thread_ns;
    sum += thread_ns;
  }
  return sum;
}
std::uint64_t ResidentKb(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("VmRSS:")) return std::stoull(line.substr(6));
  }
  return 0;
}

// Sends `count` requests one after the other, `rate` per second (0: as fast as they are answered). Returns
// how many were served.
int SendRequests(const Environment& environment, int port, int count, double rate) {
  TcpPeer client = TcpPeer::Connect(port);
  const auto start = std::chrono::steady_clock::now();
  int served = 0;
  for (int i = 0; i < count; ++i) {
    if (rate > 0) std::this_thread::sleep_until(start + std::chrono::duration<double>(i / rate));
    client.Send("GET /" + std::string(i % 2 == 0 ? "scans" : "pages") + "/g" + std::to_string(i % 16) + "/o" +
                std::to_string(i % 500) + " HTTP/1.1\r\nHost: scans.example.is\r\nAuthorization: Bearer " +
                environment.token + "\r\n\r\n");
    const std::string head = client.ReadUntil("\r\n\r\n") + "\r\n";
    const std::size_t field = head.find("Content-Length: ");
    if (field != std::string::npos) client.ReadExactly(std::stoul(head.substr(field + 16)));
    served += head.starts_with("HTTP/1.1 200") ? 1 : 0;
  }
  return served;
}

// Waits until the gateway is healthy and returns its port.
int AwaitReady(Program& program) {
  const int port = program.Port();
  for (const auto end = UnixMs() + kWaitLimitMs;; ::usleep(10'000)) {
    CHECK_OR_THROW(UnixMs() < end);
    TcpPeer client = TcpPeer::Connect(port);
    client.Send("GET /-/healthy HTTP/1.1\r\nHost: x\r\n\r\n");
    if (client.ReadUntil("\r\n\r\n").starts_with("HTTP/1.1 200")) return port;
  }
}

std::uint64_t FolderBytes(const std::string& folder) {
  std::uint64_t sum = 0;
  for (const auto& entry : fs::directory_iterator(folder)) sum += entry.file_size();
  return sum;
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

// Like the plain gateway, the control does not record: its difference from the plain one shows the noise of
// the measurement.
int MeasurePairs(int rounds, double seconds, double rate) {
  Environment environment;
  const std::unique_ptr<Program> programs[] = {environment.Start("plain", false),
                                               environment.Start("recording", true),
                                               environment.Start("control", false)};
  int ports[3];
  for (int i = 0; i < 3; ++i) ports[i] = AwaitReady(*programs[i]);
  const int count = std::max(1, static_cast<int>(seconds * (rate > 0 ? rate : 5000)));
  for (const int port : ports) CHECK_OR_THROW(SendRequests(environment, port, 500, 0) > 490);
  const std::uint64_t bytes = FolderBytes(environment.folder + "records");
  std::vector<double> recording, control;
  double sums[3] = {0, 0, 0};
  for (int round = 0; round < rounds; ++round) {
    double micros[3];
    for (int i = 0; i < 3; ++i) {
      const int which = (round + i) % 3;  // each is first equally often
      const std::uint64_t before = CpuTimeNs(programs[which]->Pid());
      SendRequests(environment, ports[which], count, rate);
      micros[which] = static_cast<double>(CpuTimeNs(programs[which]->Pid()) - before) / 1000 / count;
      sums[which] += micros[which];
    }
    recording.push_back(micros[1] / micros[0]);
    control.push_back(micros[2] / micros[0]);
  }
  std::printf("%d rounds of %d requests, CPU a request: %.1f us plain, %.1f us recording, %.1f us control\n",
              rounds, count, sums[0] / rounds, sums[1] / rounds, sums[2] / rounds);
  std::printf("recording against plain: median %+.2f%%; control against plain: median %+.2f%%\n",
              100 * (Median(recording) - 1), 100 * (Median(control) - 1));
  std::printf("%.1f bytes on disk a request\n",
              static_cast<double>(FolderBytes(environment.folder + "records") - bytes) /
                  (static_cast<double>(rounds) * count));
  return 0;
}

int MeasureChurn(int requests, int changes) {
  Environment environment;
  const auto recording = environment.Start("recording", true);
  const int port = AwaitReady(*recording);
  std::vector<std::uint64_t> resident;
  constexpr int kParts = 12;
  int served = 0;
  for (int part = 0; part < kParts; ++part) {
    for (int i = 0; i < changes / kParts; i += 10) {
      served += SendRequests(environment, port, requests / kParts / (changes / kParts / 10), 0);
      for (int change = 0; change < 10; change += 2) {  // always new names; each one is removed again
        const std::string name = "churn-" + std::to_string((part * changes + i + change) / 2);
        environment.consul.Set("shop-cache", name, {environment.cache.Port()});
        environment.consul.Set("shop-cache", name, {environment.cache.Port(), "critical"});
        environment.consul.Remove("shop-cache", name);
      }
    }
    resident.push_back(ResidentKb(recording->Pid()));
    std::printf("after %d of %d: %d served, %llu KB resident, %llu bytes of records\n",
                (part + 1) * requests / kParts, requests, served,
                static_cast<unsigned long long>(resident.back()),
                static_cast<unsigned long long>(FolderBytes(environment.folder + "records")));
    std::fflush(stdout);
  }
  std::printf("second half: %+lld KB\n",
              static_cast<long long>(resident.back()) - static_cast<long long>(resident[kParts / 2 - 1]));
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string mode = argc > 1 ? argv[1] : "";
  const auto number = [&](int index, double fallback) {
    return argc > index ? std::atof(argv[index]) : fallback;
  };
  try {
    if (mode == "pair") return MeasurePairs(static_cast<int>(number(2, 60)), number(3, 0.3), number(4, 0));
    if (mode == "churn")
      return MeasureChurn(static_cast<int>(number(2, 600'000)), static_cast<int>(number(3, 3600)));
  } catch (const CheckFailure& failure) {
    std::fprintf(stderr, "%s\n", failure.what());
    return 1;
  }
  std::fprintf(stderr,
               "usage: record_cost pair [PAIRS] [SECONDS] [RATE] | record_cost churn [REQUESTS] [CHANGES]\n");
  return 2;
}
