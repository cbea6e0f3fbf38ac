// The operators' door and what it does to the doorman: the real program, callers played here.
#include <fstream>

#include "platform_world.hpp"

namespace {

// One call, one answer line; each must come within the second the operators allow.
std::string Ask(int port, const std::string& call) {
  TcpPeer caller = TcpPeer::Connect(port);
  const long long asked = UnixMs();
  caller.Send(call + "\n");
  std::string answer = caller.ReadUntil("\n");
  CHECK_OR_THROW(UnixMs() - asked < 1000);
  return answer;
}
int OpsPort(Program& program) {
  const std::string line = program.ReadLogThrough("operators' door at ");
  return std::stoi(line.substr(line.rfind(':') + 1));
}

// A doorman with its door at a free port, named in $PROXY_OPS as the platform names it.
struct OpsWorld : World {
  explicit OpsWorld(const std::string& settings = kSettings)
      : World(0, true, "1024", "192", settings, {{"PROXY_OPS", "127.0.0.1:0"}}), ops(OpsPort(*program)) {}
  std::string Ask(const std::string& call) { return ::Ask(ops, call); }
  int ops = 0;
};

TEST(OpsTest, AnswersEachCommand) {
  OpsWorld world;
  ASSERT_EQ(world.Ask("status"), "done serving");
  ASSERT_EQ(world.Ask("status who=night-shift"), "done serving");
  ASSERT_EQ(world.Ask("status\r"), "done serving");
  ASSERT_TRUE(world.Ask("reboot").starts_with("error unknown call reboot"));
  ASSERT_TRUE(world.Ask("status now please").starts_with("error "));
  ASSERT_TRUE(world.Ask("").starts_with("error "));
  // Figures under the prefix, one after another, closed by `end`.
  TcpPeer caller = TcpPeer::Connect(world.ops);
  caller.Send("stats\n");
  ASSERT_EQ(caller.ReadUntil("\n"), "done");
  const std::string figures = caller.ReadUntil("end\n");
  for (const char* name : {"proxy_completed_total 0", "proxy_rejected_total 0", "proxy_failed_total 0",
                           "proxy_upstream_requests_total 0", "proxy_pending 0", "proxy_members 4",
                           "proxy_members_unavailable 0", "proxy_config_reloads_total 0",
                           "proxy_config_reload_errors_total 0"}) {
    ASSERT_NE(figures.find(std::string("\n") + name + "\n"), std::string::npos);
  }
  ASSERT_TRUE(caller.ReadToEnd().empty());  // one call a connection
  // An over-long line is answered at once, not waited on.
  TcpPeer long_one = TcpPeer::Connect(world.ops);
  long_one.Send(std::string(2000, 'x'));
  ASSERT_TRUE(long_one.ReadUntil("\n").starts_with("error line longer"));
}

// Callers that send nothing or half a line, more than the door holds, while clients are served: every
// whole call is still answered within the second.
TEST(OpsTest, ClosesSilentCallers) {
  OpsWorld world;
  std::vector<TcpPeer> silent;
  for (int i = 0; i < 100; ++i) {
    silent.push_back(TcpPeer::Connect(world.ops));
    if (i % 2 == 0) silent.back().Send("sta");
  }
  TcpPeer client = world.Client();
  client.Send(Call("1"));
  TcpPeer cache = Chosen(world);
  cache.ReadUntil("\r\n\r\n");
  for (int i = 0; i < 20; ++i) {
    ASSERT_EQ(world.Ask("status"), "done serving");
  }
  cache.Send(Ok("abc"));
  ASSERT_EQ(Answer(client)[3], "abc");
  TcpPeer caller = TcpPeer::Connect(world.ops);
  caller.Send("stats\n");
  caller.ReadUntil("done\n");
  ASSERT_NE(caller.ReadUntil("end\n").find("\nproxy_completed_total 1\n"), std::string::npos);
  // A half call that is finished late is answered as whole.
  TcpPeer late = TcpPeer::Connect(world.ops);
  late.Send("stat");
  ASSERT_TRUE(late.IsSilentFor(200));
  late.Send("us\n");
  ASSERT_EQ(late.ReadUntil("\n"), "done serving");
}

// Standby: no becomes the answer at once; what is open is finished; every kept connection is closed once
// nothing is open on it; newcomers are still served. Active: yes again, and connections are kept.
TEST(OpsTest, EntersStandbyAndResumes) {
  OpsWorld world;
  TcpPeer kept = world.Client();
  kept.Send(Call("1"));
  TcpPeer cache = Chosen(world);
  cache.ReadUntil("\r\n\r\n");
  TcpPeer idle = world.Client();
  idle.Send(EncodeCommand({"RPC.HEALTH", "1", ""}));
  ASSERT_EQ(Answer(idle)[1], "healthy");
  ASSERT_EQ(world.Ask("standby"), "done standby");
  ASSERT_EQ(world.Ask("status"), "error standby");
  ASSERT_TRUE(idle.ReadToEnd().empty());  // held idle: let go at once
  cache.Send(Ok("abc"));
  ASSERT_EQ(Answer(kept)[3], "abc");
  ASSERT_TRUE(kept.ReadToEnd().empty());  // its last request answered: let go
  // One that comes now is served, then let go too.
  TcpPeer newcomer = world.Client();
  newcomer.Send(EncodeCommand({"RPC.HEALTH", "2", ""}));
  ASSERT_EQ(Answer(newcomer)[1], "closing");
  ASSERT_TRUE(newcomer.ReadToEnd().empty());
  ASSERT_EQ(world.Ask("standby"), "done standby");  // twice is once
  ASSERT_EQ(world.Ask("active"), "done active");
  ASSERT_EQ(world.Ask("status"), "done serving");
  TcpPeer again = world.Client();
  again.Send(EncodeCommand({"RPC.HEALTH", "3", ""}));
  ASSERT_EQ(Answer(again)[1], "healthy");
  ASSERT_TRUE(again.IsSilentFor(300));  // kept
  // Standby then active at once: nothing is lost on the kept connection.
  ASSERT_EQ(world.Ask("standby"), "done standby");
  ASSERT_EQ(world.Ask("active"), "done active");
  ASSERT_EQ(world.Ask("status"), "done serving");
  world.program->Signal(SIGTERM);
  world.program->ReadLogThrough("stopping");
  ASSERT_EQ(world.Ask("status"), "error stopping");
  ASSERT_TRUE(world.Ask("active").starts_with("error stopping"));
}

// A zero-downtime upgrade: a second process at the same address (SO_REUSEPORT) says yes, the first gets
// SIGTERM while a client goes on using its kept connection with a request that allows 10 s and a class
// that allows 6 s. SIGKILL may come 3.7 s after SIGTERM: the answer must be there before, and new
// connections are served by the second.
TEST(OpsTest, UpgradesWithoutLosingRequests) {
  std::string settings = kSettings;
  settings.replace(settings.find(R"("giveUpMs":2500.0)"), 17, R"("giveUpMs":6000.0)");
  OpsWorld old(settings);
  TcpPeer kept = old.Client();
  Program next({"serve"}, {{"PROXY_NAME", "n0"},
                           {"PROXY_LISTEN", "127.0.0.1:" + std::to_string(old.port)},
                           {"PROXY_CONFIG", old.file->path},
                           {"PROXY_OPS", "127.0.0.1:0"}});
  ASSERT_EQ(next.Port(), old.port);
  const int next_ops = OpsPort(next);
  TcpPeer next_log = old.changelog.Accept();
  ASSERT_EQ(next_log.ReadUntil("\n"), "since 1");
  ASSERT_EQ(Ask(next_ops, "status"), "done serving");
  old.program->Signal(SIGTERM);
  const long long signalled = UnixMs();
  old.program->ReadLogThrough("stopping");
  kept.Send(Call("1", "", 10'000));
  TcpPeer cache = Chosen(old);
  cache.ReadUntil("\r\n\r\n");  // and never answered
  ASSERT_NE(Answer(kept)[1], "done");
  ASSERT_LT(UnixMs() - signalled, 3'700);
  ASSERT_TRUE(kept.ReadToEnd().empty());
  ASSERT_EQ(old.program->Wait(), 0);
  TcpPeer fresh = old.Client();
  fresh.Send(EncodeCommand({"RPC.HEALTH", "1", ""}));
  ASSERT_EQ(Answer(fresh)[1], "healthy");
}

// An upgrade whose new process cannot start (its door's address is taken, as by the old one's): it says why
// and ends with 1, and the old one goes on serving, on its kept connections and on new ones, and says yes.
TEST(OpsTest, KeepsServingAfterAFailedUpgrade) {
  OpsWorld old;
  TcpPeer kept = old.Client();
  Program next({"serve"}, {{"PROXY_NAME", "n0"},
                           {"PROXY_LISTEN", "127.0.0.1:" + std::to_string(old.port)},
                           {"PROXY_CONFIG", old.file->path},
                           {"PROXY_OPS", "127.0.0.1:" + std::to_string(old.ops)}});
  ASSERT_EQ(next.Wait(), 1);
  ASSERT_TRUE(next.log.find("address") != std::string::npos || next.log.find("in use") != std::string::npos);
  ASSERT_EQ(old.Ask("status"), "done serving");
  kept.Send(Call("1"));
  TcpPeer cache = Chosen(old);
  ASSERT_TRUE(cache.ReadUntil("\r\n\r\n").starts_with(std::string("REQ ") + kRef));
  cache.Send(Ok("abc"));
  ASSERT_EQ(Answer(kept), (std::vector<std::string>{"1", "done", "", "abc"}));
  TcpPeer fresh = old.Client();
  fresh.Send(EncodeCommand({"RPC.HEALTH", "1", ""}));
  ASSERT_EQ(Answer(fresh)[1], "healthy");
}

// SIGHUP with files that must be turned down whole (the old one holds, the error names the key, the
// figures count it), then a good one that renames a class and allows one attempt: the new name is served
// under it, while a request open from before keeps its eight attempts and moves on after a BUSY.
TEST(OpsTest, ReloadsSettingsOnSighup) {
  OpsWorld world;
  TcpPeer client = world.Client();
  client.Send(Call("1"));
  bool first = false;
  TcpPeer cache = Chosen(world, &first);
  cache.ReadUntil("\r\n\r\n");
  const auto reload = [&](const std::string& text) {
    std::ofstream(world.file->path) << text;
    world.program->Signal(SIGHUP);
  };
  const auto with = [&](const std::string& from, const std::string& to) {
    std::string text = world.config;
    return text.replace(text.find(from), from.size(), to);
  };
  const std::vector<std::pair<std::string, std::string>> bad{
      {"", "configuration"},
      {world.config.substr(0, world.config.size() / 2), "JSON"},
      {with(R"("settings":)", R"("unused":)"), "settings"},
      {with(R"("giveUpMs":2500.0)", R"("giveUpMs":0)"), "settings.lanes.0.giveUpMs"},
      {with(R"("maxAttempts":8)", R"("maxAttempts":-1)"), "settings.limits.maxAttempts"}};
  for (const auto& [text, key] : bad) {
    reload(text);
    ASSERT_NE(world.program->ReadLogThrough("old one holds").find(key), std::string::npos);
  }
  TcpPeer caller = TcpPeer::Connect(world.ops);
  caller.Send("stats\n");
  const std::string figures = caller.ReadToEnd();
  ASSERT_NE(figures.find("\nproxy_config_reload_errors_total 5\n"), std::string::npos);
  ASSERT_NE(figures.find("\nproxy_config_reloads_total 0\n"), std::string::npos);
  reload(with(R"("maxAttempts":8)", R"("maxAttempts":1)")
             .replace(world.config.find(R"("name":"pages")"), 14, R"("name":"fresh")"));
  ASSERT_NE(world.program->ReadLogThrough("configuration read anew").find("added or changed fresh"),
            std::string::npos);
  // The open one came under eight attempts: after BUSY it goes to the other cache.
  cache.Send(std::string(kRef) + " BUSY - 0\r\n\r\n");
  TcpPeer next = (first ? world.cache_b : world.cache_a).Accept();
  ASSERT_TRUE(next.ReadUntil("\r\n\r\n").starts_with(std::string("REQ ") + kRef));
  next.Send(Ok("abc"));
  ASSERT_EQ(Answer(client)[3], "abc");
  // The new class is served, under its one attempt: after BUSY the client is answered, not another cache.
  client.Send(EncodeCommand(
      {"RPC.CALL", "2", "fresh",
       std::string("ref=") + kOther + ",allow=2500,lookup=7f3a9c21e0b4d655,block=3,family=17", ""}));
  TcpPeer& again = first ? cache : next;  // the hash chooses as before
  TcpPeer& other = first ? next : cache;
  std::string line;
  TcpPeer* asked = nullptr;
  for (const auto end = UnixMs() + kWaitLimitMs; line.empty() && UnixMs() < end;) {
    for (TcpPeer* one : {&again, &other}) {
      if (line.empty() && !one->IsSilentFor(5)) {
        line = one->ReadUntil("\r\n\r\n");
        asked = one;
      }
    }
  }
  ASSERT_NE(asked, nullptr);
  ASSERT_TRUE(line.starts_with(std::string("REQ ") + kOther + " queue=fresh,"));
  const long long busy = UnixMs();
  asked->Send(std::string(kOther) + " BUSY - 0\r\n\r\n");
  const std::vector<std::string> answer = Answer(client);
  ASSERT_EQ(answer[0], "2");
  ASSERT_NE(answer[1], "done");
  ASSERT_LT(UnixMs() - busy, 1000);  // at once, not at the deadline: no second attempt was allowed
}

// A signal that comes as the program says that it serves, before its loop runs, is heeded like any other:
// SIGHUP does not end it, SIGTERM ends it with 0. The full log holds the program at that very word.
TEST(OpsTest, HandlesSignalsFromItsFirstLogLine) {
  TcpListener cache, changelog;
  const TemporaryFile file(
      R"({"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,)"
      R"("sockets":1024},"changelog":")" +
      changelog.Address() + R"(","known":{"seq":1,"results":[)" +
      Fleet(1, true, Member("s-a", cache.Address())) + R"(]},"settings":)" + kSettings + "}");
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
