// A scripted incident with real programs: four gateways with stand-ins for two caches, the origin and Consul.
// One gateway's clock is a second ahead, another's steps back; a cache drains, a wave of purges follows, and
// two gateways are killed within 50 ms and restarted. The report is compared with the script and with what
// the clients counted.
#include <fcntl.h>
#include <sys/mman.h>

#include <array>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <source_location>

#include "front/http/access.hpp"
#include "standin.hpp"

namespace {

namespace fs = std::filesystem;
using Json = nlohmann::json;

constexpr int kInstances = 4;
const std::array<std::string, 3> kClasses{"scans", "pages", "orders"};

std::int64_t UnixUs() {
  using namespace std::chrono;
  return duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
}
void SleepMs(int ms) { ::usleep(static_cast<useconds_t>(ms) * 1000); }

// Shifts the wall clock of a program under test through a control file (fault_shim.cpp).
class ShiftedClock {
 public:
  explicit ShiftedClock(const std::string& path) : path_(path) {
    std::ofstream(path) << std::string(8, '\0');
    const int fd = ::open(path.c_str(), O_RDWR);
    offset_ =
        static_cast<volatile std::int64_t*>(::mmap(nullptr, 8, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0));
    ::close(fd);
    CHECK_OR_THROW(offset_ != MAP_FAILED);
  }
  // Sets the clock's offset from true time, in microseconds.
  void Set(std::int64_t micros) { *offset_ = micros; }
  std::map<std::string, std::string> Environment() const {
    return {{"LD_PRELOAD", TINSPAN_FAULTS},
            {"TINSPAN_TEST_CLOCK", path_},
            {"ASAN_OPTIONS", "verify_asan_link_order=0"}};
  }

 private:
  std::string path_;
  volatile std::int64_t* offset_ = nullptr;
};

// A client's bearer token, valid for 10 minutes.
std::string Token() {
  using namespace tinspan::http;
  const double now = static_cast<double>(UnixMs()) / 1000;
  const std::string key =
      R"({"kty":"oct","kid":"shared-1","alg":"HS256","k":"AyM1SysPpbyDfgZld3umj1qzKObwVMkoqQ-EstJQLr_T-1qS0gZH75aKtMN3Yj0iPS4hcgUuTwjAzZr1Z9CAow"})";
  return SignCompact(Key::FromJwk(key, "key"), R"({"iss":"shop","exp":)" + std::to_string(now + 600) + "}");
}

// What the clients counted; `other` are statuses other than 200 and 503, `lost` requests without a response.
struct ResponseCounts {
  std::map<std::string, std::int64_t> served, refused, other, lost;  // by class
  void Add(const ResponseCounts& more) {
    for (const std::string& name : kClasses) {
      served[name] += more.served.contains(name) ? more.served.at(name) : 0;
      refused[name] += more.refused.contains(name) ? more.refused.at(name) : 0;
      other[name] += more.other.contains(name) ? more.other.at(name) : 0;
      lost[name] += more.lost.contains(name) ? more.lost.at(name) : 0;
    }
  }
};

// A client that repeatedly requests a scan, a page and an order from one gateway and counts the responses.
class LoadClient {
 public:
  LoadClient(int port, int number) : port_(port), number_(number), thread_([this] { Run(); }) {}
  ~LoadClient() { Stop(); }
  // Ends the client and returns its counts.
  const ResponseCounts& Stop() {
    is_stopping_ = true;
    thread_.Join();
    return counts_;
  }

 private:
  void Run() {
    const std::string token = Token();
    TcpPeer client = TcpPeer::Connect(port_);
    for (int i = 0; !is_stopping_; ++i) {
      const std::string& name = kClasses[static_cast<std::size_t>(i) % 3];
      const std::string object = std::to_string(number_) + "-" + std::to_string(i % 30);
      const std::string common =
          " HTTP/1.1\r\nHost: scans.example.is\r\nAuthorization: Bearer " + token + "\r\n";
      client.Send(name == "orders"
                      ? "POST /orders" + common + "Idempotency-Key: " + object + "-" + std::to_string(i) +
                            "\r\nContent-Length: 4\r\n\r\nbook"
                      : "GET /" + name + "/g" + std::to_string(i % 12) + "/" + object + common + "\r\n");
      const std::string head = client.ReadUntil("\r\n\r\n") + "\r\n";
      const std::size_t at = head.find("Content-Length: ");
      if (at != std::string::npos) client.ReadExactly(std::stoul(head.substr(at + 16)));
      const int status = std::stoi(head.substr(9));
      ++(status == 200 ? counts_.served : status == 503 ? counts_.refused : counts_.other)[name];
      SleepMs(8);
    }
  }
  int port_, number_;
  std::atomic<bool> is_stopping_ = false;
  ResponseCounts counts_;
  TestThread thread_;
};

// The stand-ins and the folder with the gateways' files. While `is_overloaded` the servers answer 429; while
// `is_holding` they do not answer requests for /held/.
struct World {
  World()
      : cache_a([this](auto& head, auto&) { return Serve(head); }),
        cache_b([this](auto& head, auto&) { return Serve(head); }),
        origin([this](auto& head, auto&) { return Serve(head); }) {
    char name[] = "/tmp/tinspan-incident-XXXXXX";
    CHECK_OR_THROW(::mkdtemp(name) != nullptr);
    folder = std::string(name) + "/";
    consul.Set("shop-cache", "n1", {cache_a.Port()});
    consul.Set("shop-cache", "n2", {cache_b.Port()});
    consul.Set("main-stock", "stock", {origin.Port()});
  }
  ~World() {
    is_holding = false;
    fs::remove_all(folder);
  }
  std::string Serve(const std::string& head) {
    while (is_holding && head.find("/held/") != std::string::npos) SleepMs(5);
    if (is_overloaded) return HttpStandIn::Reply("429 Too Many Requests", "");
    return HttpStandIn::Reply("200 OK", "a page", "Cache-Status: c; hit\r\n");
  }
  void Write(const std::string& name, const std::string& text) { std::ofstream(folder + name) << text; }
  // Writes the configuration of the gateway north-`number` and starts it.
  std::unique_ptr<Program> Start(int number, std::map<std::string, std::string> environment);

  std::string folder;
  std::atomic<bool> is_overloaded = false, is_holding = true;
  HttpStandIn cache_a, cache_b, origin;
  ConsulStandIn consul;
};

std::unique_ptr<Program> World::Start(int number, std::map<std::string, std::string> environment) {
  const std::string name = "north-" + std::to_string(number);
  const auto class_settings = [](const std::string& name_of_class, const char* effect) {
    return Json{{"name", name_of_class},
                {"effect", effect},
                {"keyScope", "all"},
                {"promiseMs", 5000},
                {"giveUpMs", 6000},
                {"lateShare", 0.2},
                {"credit", name_of_class == "orders" ? 3.0 : 1.0},
                {"windowMs", 12000}};
  };
  const Json settings{{"areas", {"core", "edge"}},
                      {"kinds", {"box", "store"}},
                      {"zone", "edge"},
                      {"instances", kInstances},
                      {"me", number},
                      {"tickMs", 2.0},
                      {"lanes",
                       {class_settings("scans", "repeatable"), class_settings("pages", "repeatable"),
                        class_settings("orders", "by_key")}},
                      {"familyInfo",
                       {{"midKind", -1},
                        {"sourceKind", 1},
                        {"siblings", "location"},
                        {"detail", "hit"},
                        {"passThroughOk", true},
                        {"canJoin", true},
                        {"classWrite", {false, false, true}},
                        {"maxAgeMs", {0.0, 12000.0, 0.0}},
                        {"instancesByZone", {0, kInstances}},
                        {"purgeSlackMs", 1000.0},
                        {"goneEverywhereMs", 2000.0}}},
                      {"limits",
                       {{"maxAttempts", 2},
                        {"cancel", true},
                        {"connectTimeoutMs", 400.0},
                        {"retryAfter", true},
                        {"maxRetryAfterMs", 2000.0},
                        {"idleCloseMs", 30000.0}}},
                      {"rules",
                       {{"coldShare", 0.2},
                        {"warmAfterMs", 16000.0},
                        {"fallMultiple", 2.5},
                        {"tipAfterMs", 3000.0},
                        {"drainGraceMs", 500.0},
                        {"graceToAnswerMs", 8.0}}},
                      {"weights", "off"}};
  const Json file{
      {"name", name},
      {"listen", "127.0.0.1:0"},
      {"origin", "https://scans.example.is"},
      {"audience", "north"},
      {"keys_file", "keys.json"},
      {"signing_key_file", "own.json"},
      {"operator_token_file", "operator.token"},
      {"routes",
       {{{"class", "scans"}, {"path", "/scans/"}, {"access", "token"}},
        {{"class", "pages"}, {"path", "/pages/"}, {"access", "token"}},
        {{"class", "orders"}, {"path", "/orders"}, {"access", "token"}}}},
      {"consul",
       {{"address", consul.Address()},
        {"zone", "edge"},
        {"services",
         {{{"name", "shop-cache"}, {"kind", "box"}}, {{"name", "main-stock"}, {"kind", "store"}}}}}},
      {"record", {{"folder", "records"}}},
      {"settings", settings}};
  Write(
      "keys.json",
      R"({"keys":[{"kty":"oct","kid":"shared-1","alg":"HS256","k":"AyM1SysPpbyDfgZld3umj1qzKObwVMkoqQ-EstJQLr_T-1qS0gZH75aKtMN3Yj0iPS4hcgUuTwjAzZr1Z9CAow"}]})");
  Write(
      "own.json",
      R"({"kty":"oct","kid":"gateway-1","alg":"HS256","k":"dGhlIGdhdGV3YXkncyBvd24gc2VjcmV0IG9mIG1hbnkgYnl0ZXM"})");
  Write("operator.token", "an operator's long token\n");
  Write(name + ".json", file.dump());
  auto program = std::make_unique<Program>(
      std::vector<std::string>{"serve", "-f", folder + name + ".json", "--log-level", "debug"},
      std::move(environment));
  return program;
}

// Waits until the gateway at `port` has received the nodes of every service.
void WaitUntilReady(int port) {
  for (const auto end = UnixMs() + kWaitLimitMs;;) {
    TcpPeer client = TcpPeer::Connect(port);
    client.Send("GET /-/healthy HTTP/1.1\r\nHost: x\r\n\r\n");
    if (client.ReadUntil("\r\n\r\n").starts_with("HTTP/1.1 200")) return;
    CHECK_OR_THROW(UnixMs() < end);
    SleepMs(5);
  }
}

// Purges a group at one gateway; returns the status.
int PurgeGroup(int port, const std::string& group) {
  TcpPeer client = TcpPeer::Connect(port);
  const std::string body = R"({"group":")" + group + "\"}";
  client.Send(
      "POST /-/purge HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer an operator's long "
      "token\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body);
  return std::stoi(client.ReadUntil("\r\n\r\n").substr(9));
}

// Microseconds since the Unix epoch of a time in the report.
std::int64_t ParseUnixUs(const Json& time) {
  const std::string text = time;
  std::tm utc{};
  CHECK_OR_THROW(::strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &utc) != nullptr);
  return std::int64_t{::timegm(&utc)} * 1'000'000 + std::stol(text.substr(20, 6));
}

// Runs `tinspan report` and returns its JSON.
Json Report(const std::string& folder, const std::string& arguments) {
  const std::string path = folder + "report.json";
  const std::string command =
      std::string(TINSPAN_PROGRAM) + " report " + arguments + " --format json -o " + path + " > /dev/null";
  CHECK_OR_THROW(std::system(command.c_str()) == 0);
  std::ifstream in(path);
  return Json::parse(in);
}

// The report as text, one line per sentence and item, for the message of a failure.
std::string Describe(const Json& report) {
  std::string text;
  for (const Json& sentence : report["sentences"]) text += "  " + sentence.get<std::string>() + "\n";
  for (const char* const list : {"events", "classes", "incidents", "instances"}) {
    for (const Json& item : report[list]) text += "  " + item.dump() + "\n";
  }
  return text;
}

TEST(IncidentTest, ReportsAScriptedIncident) {
  World world;
  ShiftedClock ahead_clock(world.folder + "ahead"), stepping_clock(world.folder + "stepping");
  ahead_clock.Set(1'000'000);
  struct Instance {
    std::unique_ptr<Program> program;
    int port = 0;
  };
  std::vector<Instance> instances(kInstances);
  std::vector<std::pair<std::int64_t, std::string>>
      script;  // time and text of each step, as the report should have it
  const auto add_step = [&](const std::string& text) { script.emplace_back(UnixUs(), text); };
  const auto start = [&](int i) {
    add_step("north-" + std::to_string(i) + " started");
    instances[static_cast<std::size_t>(i)].program =
        world.Start(i, i == 1   ? ahead_clock.Environment()
                       : i == 2 ? stepping_clock.Environment()
                                : std::map<std::string, std::string>{});
    instances[static_cast<std::size_t>(i)].port = instances[static_cast<std::size_t>(i)].program->Port();
    WaitUntilReady(instances[static_cast<std::size_t>(i)].port);
  };
  for (int i = 0; i < kInstances; ++i) start(i);

  ResponseCounts counts;
  std::vector<std::unique_ptr<LoadClient>> load(kInstances);
  const auto run = [&](int i) {
    load[static_cast<std::size_t>(i)] =
        std::make_unique<LoadClient>(instances[static_cast<std::size_t>(i)].port, i);
  };
  const auto stop = [&](int i) {
    counts.Add(load[static_cast<std::size_t>(i)]->Stop());
    load[static_cast<std::size_t>(i)].reset();
  };
  for (int i = 0; i < kInstances; ++i) run(i);
  SleepMs(1500);
  add_step("n1/c was told to be draining");
  world.consul.Set("shop-cache", "n1", {world.cache_a.Port(), "critical", "_node_maintenance"});
  SleepMs(1200);
  add_step("n1/c was told to be up again");
  world.consul.Set("shop-cache", "n1", {world.cache_a.Port()});
  SleepMs(600);
  stepping_clock.Set(-1'000'000);
  add_step("the clock of north-2 moved by -1.00 s");
  SleepMs(1200);
  add_step("a wave of 10 purges began");
  for (int g = 0; g < 10; ++g) {
    for (const Instance& one : instances) {
      ASSERT_EQ(PurgeGroup(one.port, "g" + std::to_string(g)), 204);
    }
  }
  SleepMs(1500);

  // Two gateways are killed, each with one request in flight. Requests answered 0.4 s before are on disk by
  // then.
  std::vector<TcpPeer> held_clients;
  for (const int i : {2, 3}) stop(i);
  for (const int i : {2, 3}) {
    held_clients.push_back(TcpPeer::Connect(instances[static_cast<std::size_t>(i)].port));
    held_clients.back().Send(
        "GET /pages/held/x HTTP/1.1\r\nHost: scans.example.is\r\nAuthorization: Bearer " + Token() +
        "\r\n\r\n");
    ++counts.lost["pages"];
  }
  SleepMs(400);
  for (const int i : {2, 3}) {
    add_step("north-" + std::to_string(i) + " died");
    instances[static_cast<std::size_t>(i)].program->Signal(SIGKILL);
  }
  world.is_overloaded = true;  // the servers reject all requests
  SleepMs(2200);
  world.is_overloaded = false;
  world.is_holding = false;
  for (const int i : {2, 3}) {
    ASSERT_EQ(instances[static_cast<std::size_t>(i)].program->Wait(), 128 + SIGKILL);
  }
  for (const int i : {2, 3}) start(i);
  for (const int i : {2, 3}) run(i);
  SleepMs(500);
  add_step("n2/c was told to be gone");
  world.consul.Set("shop-cache", "n2", {world.cache_b.Port(), "critical"});
  SleepMs(3500);
  for (int i = 0; i < kInstances; ++i) stop(i);
  for (int i = 0; i < kInstances; ++i) {
    add_step("north-" + std::to_string(i) + " stopped");
    instances[static_cast<std::size_t>(i)].program->Signal(SIGTERM);
    ASSERT_EQ(instances[static_cast<std::size_t>(i)].program->Wait(), 0);
  }

  // Keeps the records for a manual look at the report.
  if (const char* const keep_folder = std::getenv("TINSPAN_TEST_KEEP")) {
    fs::copy(world.folder + "records", keep_folder, fs::copy_options::recursive);
  }
  const Json report = Report(world.folder, world.folder + "records");
  const auto fail = [&](const std::string& what,
                        const std::source_location& where = std::source_location::current()) {
    throw CheckFailure(where.file_name(), static_cast<int>(where.line()), what + "\n" + Describe(report));
  };
  // Every event of the script is in the report, at its time within the uncertainty that the report states
  // plus the time that an event takes to reach the gateways. 1.5 s is enough for that on a busy machine.
  std::size_t next = 0;
  for (const auto& [at, text] : script) {
    bool found = false;
    for (std::size_t i = 0; i < report["events"].size() && !found; ++i) {
      const Json& event = report["events"][i];
      if (!event["text"].get<std::string>().starts_with(text)) continue;
      const auto uncertain = static_cast<std::int64_t>(event["uncertain_ms"].get<double>() * 1000);
      if (std::abs(ParseUnixUs(event["at"]) - at) > uncertain + 1'500'000) continue;
      found = true;
      if (event["kind"] == "draining" && event["heard"].size() != kInstances)
        fail("not received by all instances: " + text);
      next = std::max(next, i);
    }
    if (!found) fail("missing from the report, or at another time: " + text);
  }
  std::vector<std::string> kinds;  // only events that are further apart than the uncertainty of their times
  for (const Json& event : report["events"]) {
    const std::string kind = event["kind"];
    if (kind == "draining" || kind == "up" || kind == "purge_wave" || kind == "died" || kind == "gone")
      kinds.push_back(kind);
  }
  if (kinds != std::vector<std::string>{"draining", "up", "purge_wave", "died", "died", "gone"})
    fail("events in another order");
  // The report states the offset of the clock that is a second ahead.
  for (const Json& one : report["instances"]) {
    if (one["name"] != "north-1") continue;
    if (one["offset_ms"].is_null() || one["offset_ms"]["least"] > 1000 || one["offset_ms"]["most"] < 1000)
      fail("the clock offset is not reported");
  }
  // Outcomes and worth per class match what the clients counted.
  for (const Json& one : report["classes"]) {
    const std::string name = one["name"];
    const double worth = name == "orders" ? 3 : 1;
    const auto ended = [&](const char* what) { return one["ended"].value(what, 0); };
    const auto other = ended("failed") + ended("overdue") + ended("broken");
    if (ended("in_time") + ended("stale") != counts.served[name] || ended("late") != 0 ||
        ended("refused") != counts.refused[name] || other != counts.other[name] ||
        one["lost"] != counts.lost[name]) {
      fail(name + ": clients counted " + std::to_string(counts.served[name]) + " served, " +
           std::to_string(counts.refused[name]) + " refused, " + std::to_string(counts.other[name]) +
           " other, " + std::to_string(counts.lost[name]) + " lost");
    }
    if (std::abs(one["earned"].get<double>() - worth * static_cast<double>(counts.served[name])) > 1e-6)
      fail("worth of " + name);
  }
  ASSERT_GT(counts.served["pages"], 100);
  ASSERT_GT(counts.refused["pages"], 0);
  // The incident is found, with both killed instances among its causes.
  if (report["incidents"].empty()) fail("no incident");
  int death_count = 0;
  for (const Json& cause : report["incidents"][0]["causes"])
    death_count += cause["what"] == "instance died" ? 1 : 0;
  if (death_count != 2) fail("the killed instances are not named as causes");
  // According to the records, drains and purges kept their limits.
  for (const char* what : {"drains", "purges"}) {
    if (report[what].empty()) fail(std::string("no ") + what);
    for (const Json& one : report[what]) {
      if (!one["kept"].get<bool>()) fail(one.dump());
    }
  }
  ASSERT_LE(report["troubles"].size(), 2);  // each kill may leave one incomplete record at the end
}

}  // namespace
