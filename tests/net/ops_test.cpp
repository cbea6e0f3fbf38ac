// The operators' door and what it does to the doorman: the real program, callers played here.
#include "platform_world.hpp"

namespace {

// One call, one answer line; each must come within the second the operators allow.
std::string Ask(int port, const std::string& call) {
  Peer caller = Peer::Connect(port);
  const long long asked = UnixMs();
  caller.Send(call + "\n");
  std::string answer = caller.Until("\n");
  CHECK(UnixMs() - asked < 1000);
  return answer;
}
int OpsPort(Program& program) {
  const std::string line = program.Line("operators' door at ");
  return std::stoi(line.substr(line.rfind(':') + 1));
}

// A doorman with its door at a free port, named in $PROXY_OPS as the platform names it.
struct OpsWorld : World {
  explicit OpsWorld(const std::string& settings = kSettings)
      : World(0, true, "1024", "192", settings, {{"PROXY_OPS", "127.0.0.1:0"}}), ops(OpsPort(*program)) {}
  std::string Ask(const std::string& call) { return ::Ask(ops, call); }
  int ops = 0;
};

void AnswersEachCall() {
  OpsWorld world;
  CHECK(world.Ask("status") == "done serving");
  CHECK(world.Ask("status who=night-shift") == "done serving");
  CHECK(world.Ask("status\r") == "done serving");
  CHECK(world.Ask("reboot").starts_with("error unknown call reboot"));
  CHECK(world.Ask("status now please").starts_with("error "));
  CHECK(world.Ask("").starts_with("error "));
  // Figures under the prefix, one after another, closed by `end`.
  Peer caller = Peer::Connect(world.ops);
  caller.Send("stats\n");
  CHECK(caller.Until("\n") == "done");
  const std::string figures = caller.Until("end\n");
  for (const char* name : {"proxy_completed_total 0", "proxy_rejected_total 0", "proxy_failed_total 0",
                           "proxy_upstream_requests_total 0", "proxy_pending 0", "proxy_members 4",
                           "proxy_members_unavailable 0", "proxy_config_reloads_total 0",
                           "proxy_config_reload_errors_total 0"}) {
    CHECK(figures.find(std::string("\n") + name + "\n") != std::string::npos);
  }
  CHECK(caller.ToEnd().empty());  // one call a connection
  // An over-long line is answered at once, not waited on.
  Peer long_one = Peer::Connect(world.ops);
  long_one.Send(std::string(2000, 'x'));
  CHECK(long_one.Until("\n").starts_with("error line longer"));
}

// Callers that send nothing or half a line, more than the door holds, while clients are served: every
// whole call is still answered within the second.
void OutlastsSilentCallers() {
  OpsWorld world;
  std::vector<Peer> silent;
  for (int i = 0; i < 100; ++i) {
    silent.push_back(Peer::Connect(world.ops));
    if (i % 2 == 0) silent.back().Send("sta");
  }
  Peer client = world.Client();
  client.Send(Call("1"));
  Peer cache = Chosen(world);
  cache.Until("\r\n\r\n");
  for (int i = 0; i < 20; ++i) CHECK(world.Ask("status") == "done serving");
  cache.Send(Ok("abc"));
  CHECK(Answer(client)[3] == "abc");
  Peer caller = Peer::Connect(world.ops);
  caller.Send("stats\n");
  caller.Until("done\n");
  CHECK(caller.Until("end\n").find("\nproxy_completed_total 1\n") != std::string::npos);
  // A half call that is finished late is answered as whole.
  Peer late = Peer::Connect(world.ops);
  late.Send("stat");
  CHECK(late.Silent(200));
  late.Send("us\n");
  CHECK(late.Until("\n") == "done serving");
}

// Standby: no becomes the answer at once; what is open is finished; every kept connection is closed once
// nothing is open on it; newcomers are still served. Active: yes again, and connections are kept.
void StandsByAndComesBack() {
  OpsWorld world;
  Peer kept = world.Client();
  kept.Send(Call("1"));
  Peer cache = Chosen(world);
  cache.Until("\r\n\r\n");
  Peer idle = world.Client();
  idle.Send(Bulk({"RPC.HEALTH", "1", ""}));
  CHECK(Answer(idle)[1] == "healthy");
  CHECK(world.Ask("standby") == "done standby");
  CHECK(world.Ask("status") == "error standby");
  CHECK(idle.ToEnd().empty());  // held idle: let go at once
  cache.Send(Ok("abc"));
  CHECK(Answer(kept)[3] == "abc");
  CHECK(kept.ToEnd().empty());  // its last request answered: let go
  // One that comes now is served, then let go too.
  Peer newcomer = world.Client();
  newcomer.Send(Bulk({"RPC.HEALTH", "2", ""}));
  CHECK(Answer(newcomer)[1] == "closing");
  CHECK(newcomer.ToEnd().empty());
  CHECK(world.Ask("standby") == "done standby");  // twice is once
  CHECK(world.Ask("active") == "done active");
  CHECK(world.Ask("status") == "done serving");
  Peer again = world.Client();
  again.Send(Bulk({"RPC.HEALTH", "3", ""}));
  CHECK(Answer(again)[1] == "healthy");
  CHECK(again.Silent(300));  // kept
  // Standby then active at once: nothing is lost on the kept connection.
  CHECK(world.Ask("standby") == "done standby");
  CHECK(world.Ask("active") == "done active");
  CHECK(world.Ask("status") == "done serving");
  world.program->Signal(SIGTERM);
  world.program->Line("stopping");
  CHECK(world.Ask("status") == "error stopping");
  CHECK(world.Ask("active").starts_with("error stopping"));
}

// A zero-downtime upgrade: a second process at the same address (SO_REUSEPORT) says yes, the first gets
// SIGTERM while a client goes on using its kept connection with a request that allows 10 s and a class
// that allows 6 s. SIGKILL may come 3.7 s after SIGTERM: the answer must be there before, and new
// connections are served by the second.
void UpgradesWithoutALoss() {
  std::string settings = kSettings;
  settings.replace(settings.find(R"("giveUpMs":2500.0)"), 17, R"("giveUpMs":6000.0)");
  OpsWorld old(settings);
  Peer kept = old.Client();
  Program next({"serve"}, {{"PROXY_NAME", "n0"},
                           {"PROXY_LISTEN", "127.0.0.1:" + std::to_string(old.port)},
                           {"PROXY_CONFIG", old.file->path},
                           {"PROXY_OPS", "127.0.0.1:0"}});
  CHECK(next.Port() == old.port);
  const int next_ops = OpsPort(next);
  Peer next_log = old.changelog.Accept();
  CHECK(next_log.Until("\n") == "since 1");
  CHECK(Ask(next_ops, "status") == "done serving");
  old.program->Signal(SIGTERM);
  const long long signalled = UnixMs();
  old.program->Line("stopping");
  kept.Send(Call("1", "", 10'000));
  Peer cache = Chosen(old);
  cache.Until("\r\n\r\n");  // and never answered
  CHECK(Answer(kept)[1] != "done");
  CHECK(UnixMs() - signalled < 3'700);
  CHECK(kept.ToEnd().empty());
  CHECK(old.program->Wait() == 0);
  Peer fresh = old.Client();
  fresh.Send(Bulk({"RPC.HEALTH", "1", ""}));
  CHECK(Answer(fresh)[1] == "healthy");
}

}  // namespace

int main(int argc, char** argv) {
  const Cases cases{
      {"answers_each_call", AnswersEachCall},
      {"outlasts_silent_callers", OutlastsSilentCallers},
      {"stands_by_and_comes_back", StandsByAndComesBack},
      {"upgrades_without_a_loss", UpgradesWithoutALoss},
  };
  return RunCases(cases, argc, argv);
}
