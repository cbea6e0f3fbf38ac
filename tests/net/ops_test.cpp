// The admin listener and the effect of its commands on the instance: the real program, with the test as
// caller.
#include <fstream>

#include "platform_world.hpp"

namespace {

// Sends one command and returns the first line of the response, which must come within the operators' limit
// of 1 s.
std::string SendCommand(int port, const std::string& command) {
  TcpPeer caller = TcpPeer::Connect(port);
  const long long sent_at = UnixMs();
  caller.Send(command + "\n");
  std::string response = caller.ReadUntil("\n");
  CHECK_OR_THROW(UnixMs() - sent_at < 1000);
  return response;
}
// Waits for the log line that names the admin listener and returns its port.
int AdminPort(Program& program) {
  const std::string line = program.ReadLogThrough("operators' door at ");
  return std::stoi(line.substr(line.rfind(':') + 1));
}

// A World whose instance has an admin listener at a free port, set by $PROXY_OPS as on the platform.
struct AdminWorld : World {
  explicit AdminWorld(const std::string& settings = kSettings)
      : World(0, true, "1024", "192", settings, {{"PROXY_OPS", "127.0.0.1:0"}}),
        admin_port(AdminPort(*program)) {}
  std::string SendCommand(const std::string& command) { return ::SendCommand(admin_port, command); }
  int admin_port = 0;
};

TEST(OpsTest, AnswersEachCommand) {
  AdminWorld world;
  ASSERT_EQ(world.SendCommand("status"), "done serving");
  ASSERT_EQ(world.SendCommand("status who=night-shift"), "done serving");
  ASSERT_EQ(world.SendCommand("status\r"), "done serving");
  ASSERT_TRUE(world.SendCommand("reboot").starts_with("error unknown call reboot"));
  ASSERT_TRUE(world.SendCommand("status now please").starts_with("error "));
  ASSERT_TRUE(world.SendCommand("").starts_with("error "));
  // One metric per line with the prefix, ended by `end`.
  TcpPeer caller = TcpPeer::Connect(world.admin_port);
  caller.Send("stats\n");
  ASSERT_EQ(caller.ReadUntil("\n"), "done");
  const std::string metrics = caller.ReadUntil("end\n");
  for (const char* name : {"proxy_completed_total 0", "proxy_rejected_total 0", "proxy_failed_total 0",
                           "proxy_upstream_requests_total 0", "proxy_pending 0", "proxy_members 4",
                           "proxy_members_unavailable 0", "proxy_config_reloads_total 0",
                           "proxy_config_reload_errors_total 0"}) {
    ASSERT_NE(metrics.find(std::string("\n") + name + "\n"), std::string::npos);
  }
  ASSERT_TRUE(caller.ReadToEnd().empty());  // one command per connection
  // A line that is too long is answered at once, without waiting for its end.
  TcpPeer long_line_caller = TcpPeer::Connect(world.admin_port);
  long_line_caller.Send(std::string(2000, 'x'));
  ASSERT_TRUE(long_line_caller.ReadUntil("\n").starts_with("error line longer"));
}

// More callers than the admin listener holds send nothing or half a line while clients are served: every
// complete command is still answered within 1 s.
TEST(OpsTest, ClosesSilentCallers) {
  AdminWorld world;
  std::vector<TcpPeer> silent;
  for (int i = 0; i < 100; ++i) {
    silent.push_back(TcpPeer::Connect(world.admin_port));
    if (i % 2 == 0) silent.back().Send("sta");
  }
  TcpPeer client = world.Client();
  client.Send(EncodeCall("1"));
  TcpPeer cache = AcceptAtChosenCache(world);
  cache.ReadUntil("\r\n\r\n");
  for (int i = 0; i < 20; ++i) {
    ASSERT_EQ(world.SendCommand("status"), "done serving");
  }
  cache.Send(OkResponse("abc"));
  ASSERT_EQ(ReadResponse(client)[3], "abc");
  TcpPeer caller = TcpPeer::Connect(world.admin_port);
  caller.Send("stats\n");
  caller.ReadUntil("done\n");
  ASSERT_NE(caller.ReadUntil("end\n").find("\nproxy_completed_total 1\n"), std::string::npos);
  // A command whose second half comes late is answered like any other.
  TcpPeer late = TcpPeer::Connect(world.admin_port);
  late.Send("stat");
  ASSERT_TRUE(late.IsSilentFor(200));
  late.Send("us\n");
  ASSERT_EQ(late.ReadUntil("\n"), "done serving");
}

// Standby: `status` fails at once, requests in flight are finished, every client connection is closed when it
// has no request in flight, and new clients are still served. Active: `status` succeeds and connections stay
// open again.
TEST(OpsTest, EntersStandbyAndResumes) {
  AdminWorld world;
  TcpPeer open_connection = world.Client();
  open_connection.Send(EncodeCall("1"));
  TcpPeer cache = AcceptAtChosenCache(world);
  cache.ReadUntil("\r\n\r\n");
  TcpPeer idle = world.Client();
  idle.Send(EncodeCommand({"RPC.HEALTH", "1", ""}));
  ASSERT_EQ(ReadResponse(idle)[1], "healthy");
  ASSERT_EQ(world.SendCommand("standby"), "done standby");
  ASSERT_EQ(world.SendCommand("status"), "error standby");
  ASSERT_TRUE(idle.ReadToEnd().empty());  // an idle connection is closed at once
  cache.Send(OkResponse("abc"));
  ASSERT_EQ(ReadResponse(open_connection)[3], "abc");
  ASSERT_TRUE(open_connection.ReadToEnd().empty());  // closed after its last request was answered
  // A new client is served, and then its connection is closed as well.
  TcpPeer newcomer = world.Client();
  newcomer.Send(EncodeCommand({"RPC.HEALTH", "2", ""}));
  ASSERT_EQ(ReadResponse(newcomer)[1], "closing");
  ASSERT_TRUE(newcomer.ReadToEnd().empty());
  ASSERT_EQ(world.SendCommand("standby"), "done standby");  // repeating it has no further effect
  ASSERT_EQ(world.SendCommand("active"), "done active");
  ASSERT_EQ(world.SendCommand("status"), "done serving");
  TcpPeer chosen_connection = world.Client();
  chosen_connection.Send(EncodeCommand({"RPC.HEALTH", "3", ""}));
  ASSERT_EQ(ReadResponse(chosen_connection)[1], "healthy");
  ASSERT_TRUE(chosen_connection.IsSilentFor(300));  // stays open
  // Standby followed at once by active: the instance serves as before.
  ASSERT_EQ(world.SendCommand("standby"), "done standby");
  ASSERT_EQ(world.SendCommand("active"), "done active");
  ASSERT_EQ(world.SendCommand("status"), "done serving");
  world.program->Signal(SIGTERM);
  world.program->ReadLogThrough("stopping");
  ASSERT_EQ(world.SendCommand("status"), "error stopping");
  ASSERT_TRUE(world.SendCommand("active").starts_with("error stopping"));
}

// A zero-downtime upgrade: a second process listens at the same address (SO_REUSEPORT) and reports that it
// serves. The first gets SIGTERM while a client sends on its open connection a request with a timeout of 10
// s, of a class with a deadline of 6 s. SIGKILL may come 3.7 s after SIGTERM: the request must be answered
// before, and new connections are served by the second process.
TEST(OpsTest, UpgradesWithoutLosingRequests) {
  std::string settings = kSettings;
  settings.replace(settings.find(R"("giveUpMs":2500.0)"), 17, R"("giveUpMs":6000.0)");
  AdminWorld old(settings);
  TcpPeer open_connection = old.Client();
  Program next({"serve"}, {{"PROXY_NAME", "n0"},
                           {"PROXY_LISTEN", "127.0.0.1:" + std::to_string(old.port)},
                           {"PROXY_CONFIG", old.file->path},
                           {"PROXY_OPS", "127.0.0.1:0"}});
  ASSERT_EQ(next.Port(), old.port);
  const int next_admin_port = AdminPort(next);
  TcpPeer next_watch = old.changelog.Accept();
  ASSERT_EQ(next_watch.ReadUntil("\n"), "since 1");
  ASSERT_EQ(SendCommand(next_admin_port, "status"), "done serving");
  old.program->Signal(SIGTERM);
  const long long signalled = UnixMs();
  old.program->ReadLogThrough("stopping");
  open_connection.Send(EncodeCall("1", "", 10'000));
  TcpPeer cache = AcceptAtChosenCache(old);
  cache.ReadUntil("\r\n\r\n");  // the cache never responds
  ASSERT_NE(ReadResponse(open_connection)[1], "done");
  ASSERT_LT(UnixMs() - signalled, 3'700);
  ASSERT_TRUE(open_connection.ReadToEnd().empty());
  ASSERT_EQ(old.program->Wait(), 0);
  TcpPeer fresh = old.Client();
  fresh.Send(EncodeCommand({"RPC.HEALTH", "1", ""}));
  ASSERT_EQ(ReadResponse(fresh)[1], "healthy");
}

// An upgrade whose new process cannot start because the address of its admin listener is taken by the old
// process: it logs the reason and exits with 1. The old process keeps serving on open and new connections.
TEST(OpsTest, KeepsServingAfterAFailedUpgrade) {
  AdminWorld old;
  TcpPeer open_connection = old.Client();
  Program next({"serve"}, {{"PROXY_NAME", "n0"},
                           {"PROXY_LISTEN", "127.0.0.1:" + std::to_string(old.port)},
                           {"PROXY_CONFIG", old.file->path},
                           {"PROXY_OPS", "127.0.0.1:" + std::to_string(old.admin_port)}});
  ASSERT_EQ(next.Wait(), 1);
  ASSERT_TRUE(next.log.find("address") != std::string::npos || next.log.find("in use") != std::string::npos);
  ASSERT_EQ(old.SendCommand("status"), "done serving");
  open_connection.Send(EncodeCall("1"));
  TcpPeer cache = AcceptAtChosenCache(old);
  ASSERT_TRUE(cache.ReadUntil("\r\n\r\n").starts_with(std::string("REQ ") + kRequestId));
  cache.Send(OkResponse("abc"));
  ASSERT_EQ(ReadResponse(open_connection), (std::vector<std::string>{"1", "done", "", "abc"}));
  TcpPeer fresh = old.Client();
  fresh.Send(EncodeCommand({"RPC.HEALTH", "1", ""}));
  ASSERT_EQ(ReadResponse(fresh)[1], "healthy");
}

// Guards against a reload that the decision module rejects ending the process: the old configuration stays in
// force and the error names the key (docs/incidents/2026-12-04-reload-ended-the-process.md).
TEST(OpsTest, KeepsItsSettingsWhenAReloadHasNegativeTimes) {
  AdminWorld world;
  const std::vector<std::pair<std::string, std::string>> replacements{
      {R"("windowMs":5000.0)", "settings.lanes.0.windowMs"},
      {R"("promiseMs":2000.0)", "settings.lanes.0.promiseMs"},
      {R"("maxAgeMs":[12000.0)", "settings.familyInfo.maxAgeMs"},
      {R"("classGraceMs":[0.0)", "settings.familyInfo.classGraceMs"},
      {R"("tickMs":2.0)", "settings.tickMs"},
      {R"("warmAfterMs":16000.0)", "settings.rules.warmAfterMs"},
      {R"("goneEverywhereMs":6000.0)", "settings.familyInfo.goneEverywhereMs"}};
  for (const auto& [entry, key] : replacements) {
    std::string text = world.config;
    const std::size_t number_at = text.find(entry) + entry.find_first_of("0123456789");
    ASSERT_LT(number_at, text.size());
    const bool is_zero = text[number_at] == '0';
    std::ofstream(world.file->path) << text.replace(number_at, is_zero ? 1 : 0, is_zero ? "-1" : "-");
    world.program->Signal(SIGHUP);
    EXPECT_NE(world.program->ReadLogThrough("old one holds").find(key), std::string::npos) << key;
  }
  TcpPeer client = world.Client();
  client.Send(EncodeCommand({"RPC.HEALTH", "1", ""}));
  EXPECT_EQ(ReadResponse(client)[1], "healthy");
}

// Returns the text without the first entry "KEY":VALUE of the key; values of this file have no braces.
std::string WithoutEntry(std::string text, const std::string& key) {
  const std::size_t begin = text.find('"' + key + "\":");
  const std::size_t list = text.find('[', begin);
  const std::size_t comma = text.find(',', begin);
  const std::size_t end = list < comma ? text.find(']', list) + 1 : text.find_first_of(",}", begin);
  const bool is_last = text[end] != ',';
  return text.erase(is_last ? text.rfind(',', begin) : begin,
                    is_last ? end - text.rfind(',', begin) : end + 1 - begin);
}

// Guards against a process that hangs or sends orders like reads: a file without one of its keys was taken at
// SIGHUP, and what was missing was read as 0 or false. Of the keys of a class each class is tried.
TEST(OpsTest, KeepsItsSettingsWhenAReloadMissesAKey) {
  AdminWorld world;
  const std::vector<std::string> keys{
      "promiseMs",       "giveUpMs",     "windowMs",         "keyScope",     "credit",      "lateShare",
      "streaming",       "classWrite",   "maxAgeMs",         "classGraceMs", "midKind",     "sourceKind",
      "siblings",        "detail",       "paceKbPerS",       "tickMs",       "instances",   "cancel",
      "retryAfter",      "purgeSlackMs", "goneEverywhereMs", "coldShare",    "warmAfterMs", "drainGraceMs",
      "graceToAnswerMs", "weights",      "registryMode",     "memory_mb",    "sockets",     "seed",
      "changelog"};
  for (const std::string& key : keys) {
    const std::string text = WithoutEntry(world.config, key);
    ASSERT_LT(text.size(), world.config.size()) << key;
    std::ofstream(world.file->path) << text;
    world.program->Signal(SIGHUP);
    EXPECT_NE(world.program->ReadLogThrough("configuration ").find(key), std::string::npos) << key;
  }
  std::string of_orders = world.config;
  const std::size_t orders = of_orders.find(R"("name":"orders")");
  of_orders = of_orders.substr(0, orders) + WithoutEntry(of_orders.substr(orders), "promiseMs");
  std::ofstream(world.file->path) << of_orders;
  world.program->Signal(SIGHUP);
  EXPECT_NE(world.program->ReadLogThrough("old one holds").find("settings.lanes.1.promiseMs"),
            std::string::npos);
  TcpPeer caller = TcpPeer::Connect(world.admin_port);
  caller.Send("stats\n");
  const std::string metrics = caller.ReadToEnd();
  EXPECT_NE(metrics.find("\nproxy_config_reloads_total 0\n"), std::string::npos);
  // A class key that the pages call optional may go.
  std::ofstream(world.file->path) << WithoutEntry(world.config, "aimStretch");
  world.program->Signal(SIGHUP);
  world.program->ReadLogThrough("configuration read anew");
}

// SIGHUP with configurations that must be rejected as a whole: the old one stays in force, the error names
// the key, and a counter counts it. Then a valid one that renames a class and allows one attempt: requests of
// the new class get one attempt, while a request from before keeps its eight attempts and is retried after
// BUSY.
TEST(OpsTest, ReloadsSettingsOnSighup) {
  AdminWorld world;
  TcpPeer client = world.Client();
  client.Send(EncodeCall("1"));
  bool first = false;
  TcpPeer cache = AcceptAtChosenCache(world, &first);
  cache.ReadUntil("\r\n\r\n");
  const auto reload = [&](const std::string& text) {
    std::ofstream(world.file->path) << text;
    world.program->Signal(SIGHUP);
  };
  const auto with = [&](const std::string& from, const std::string& to) {
    std::string text = world.config;
    return text.replace(text.find(from), from.size(), to);
  };
  const std::vector<std::pair<std::string, std::string>> invalid_configs{
      {"", "configuration"},
      {world.config.substr(0, world.config.size() / 2), "JSON"},
      {with(R"("settings":)", R"("unused":)"), "settings"},
      {with(R"("giveUpMs":2500.0)", R"("giveUpMs":0)"), "settings.lanes.0.giveUpMs"},
      {with(R"("maxAttempts":8)", R"("maxAttempts":-1)"), "settings.limits.maxAttempts"}};
  for (const auto& [text, key] : invalid_configs) {
    reload(text);
    ASSERT_NE(world.program->ReadLogThrough("old one holds").find(key), std::string::npos);
  }
  TcpPeer caller = TcpPeer::Connect(world.admin_port);
  caller.Send("stats\n");
  const std::string metrics = caller.ReadToEnd();
  ASSERT_NE(metrics.find("\nproxy_config_reload_errors_total 5\n"), std::string::npos);
  ASSERT_NE(metrics.find("\nproxy_config_reloads_total 0\n"), std::string::npos);
  reload(with(R"("maxAttempts":8)", R"("maxAttempts":1)")
             .replace(world.config.find(R"("name":"pages")"), 14, R"("name":"fresh")"));
  ASSERT_NE(world.program->ReadLogThrough("configuration read anew").find("added or changed fresh"),
            std::string::npos);
  // The request in flight started with eight attempts: after BUSY it goes to the other cache.
  cache.Send(std::string(kRequestId) + " BUSY - 0\r\n\r\n");
  TcpPeer next = (first ? world.cache_b : world.cache_a).Accept();
  ASSERT_TRUE(next.ReadUntil("\r\n\r\n").starts_with(std::string("REQ ") + kRequestId));
  next.Send(OkResponse("abc"));
  ASSERT_EQ(ReadResponse(client)[3], "abc");
  // The new class has one attempt: after BUSY the client is answered and no other cache is tried.
  client.Send(EncodeCommand(
      {"RPC.CALL", "2", "fresh",
       std::string("ref=") + kOtherRequestId + ",allow=2500,lookup=7f3a9c21e0b4d655,block=3,family=17", ""}));
  TcpPeer& chosen_connection = first ? cache : next;  // the rendezvous hash chooses as before
  TcpPeer& other_connection = first ? next : cache;
  std::string line;
  TcpPeer* asked_connection = nullptr;
  for (const auto end = UnixMs() + kWaitLimitMs; line.empty() && UnixMs() < end;) {
    for (TcpPeer* connection : {&chosen_connection, &other_connection}) {
      if (line.empty() && !connection->IsSilentFor(5)) {
        line = connection->ReadUntil("\r\n\r\n");
        asked_connection = connection;
      }
    }
  }
  ASSERT_NE(asked_connection, nullptr);
  ASSERT_TRUE(line.starts_with(std::string("REQ ") + kOtherRequestId + " queue=fresh,"));
  const long long busy_sent_at = UnixMs();
  asked_connection->Send(std::string(kOtherRequestId) + " BUSY - 0\r\n\r\n");
  const std::vector<std::string> response = ReadResponse(client);
  ASSERT_EQ(response[0], "2");
  ASSERT_NE(response[1], "done");
  ASSERT_LT(UnixMs() - busy_sent_at, 1000);  // at once, not at the deadline, as no second attempt is allowed
}

// Signals that arrive while the program logs that it serves, before its event loop runs, are handled like
// later ones: SIGHUP does not end it, and SIGTERM ends it with exit status 0. The full log pipe blocks the
// program in that log line.
TEST(OpsTest, HandlesSignalsFromItsFirstLogLine) {
  TcpListener cache, changelog;
  const TemporaryFile file(
      R"({"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,)"
      R"("sockets":1024},"changelog":")" +
      changelog.Address() + R"(","known":{"seq":1,"results":[)" +
      FleetEventJson(1, true, EndpointJson("s-a", cache.Address())) + R"(]},"settings":)" + kSettings + "}");
  Program program({"serve"},
                  {{"PROXY_NAME", "n0"}, {"PROXY_LISTEN", "127.0.0.1:0"}, {"PROXY_CONFIG", file.path}}, 0,
                  true);
  program.WaitUntilAsleep();
  program.Signal(SIGHUP);
  program.Signal(SIGTERM);
  ASSERT_EQ(program.Wait(), 0);
  ASSERT_NE(program.log.find("serving at "), std::string::npos);
  ASSERT_NE(program.log.find("stopped, all that was taken is answered"), std::string::npos);
}

}  // namespace
