// The membership view of real proxy instances: eight processes and more, a UDP relay between them, and faults
// injected by the test. Every live member's view must converge within a limit after each fault, and no live,
// reachable member may be held dead for longer than the limit.
#include "view_fleet.hpp"

namespace {

// A killed member is dead in every view; started again under its name, it is a newer incarnation, alive.
void AKilledMemberIsDetectedAndRejoins() {
  MembershipFleet fleet(8);
  const std::uint64_t before = fleet.View(5)["n5"].incarnation;
  fleet.Kill(5);
  const long long found = fleet.TimeToConverge(kConvergenceLimitMs);
  CHECK(found >= 0);
  ReportDuration("a crash dead in seven views", found);
  fleet.Start(5);
  fleet.WaitUntilReady(5);
  const long long back = fleet.TimeToConverge(kConvergenceLimitMs);
  CHECK(back >= 0);
  ReportDuration("its restart alive in eight", back);
  for (int i = 0; i < 8; ++i) CHECK(fleet.View(i)["n5"].incarnation > before);
  // One that is stopped says that it leaves.
  fleet.instances[6].program->Signal(SIGTERM);
  CHECK(fleet.instances[6].program->Wait() == 0);
  fleet.instances[6].program.reset();
  CHECK(fleet.TimeToConverge(kConvergenceLimitMs) >= 0);
  CHECK(fleet.View(0)["n6"].state == "left");
}

// SIGSTOP for 3 s, long enough to be declared dead; it must refute and not be flapped out for good.
void APausedMemberRefutes() {
  MembershipFleet fleet(8);
  const std::uint64_t before = fleet.View(3)["n3"].incarnation;
  fleet.instances[3].program->Signal(SIGSTOP);
  const long long until = UnixMs() + 3'000;
  bool suspected = false;
  while (UnixMs() < until) {
    suspected = suspected || fleet.View(0)["n3"].state != "alive";
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  fleet.instances[3].program->Signal(SIGCONT);
  CHECK(suspected);
  const long long took = fleet.TimeToConverge(kConvergenceLimitMs);
  CHECK(took >= 0);
  ReportDuration("a 3 s pause refuted everywhere", took);
  CHECK(fleet.View(0)["n3"].incarnation > before);
  CHECK(fleet.LongestWronglyDead(3'000) == 0);  // and stays alive, and suspects nobody
}

// The fleet in two for 10 s: each side agrees on itself; healed, all agree again, also one that was stopped
// meanwhile, with its view from before.
void AHealedPartitionConverges() {
  MembershipFleet fleet(8);
  const long long start = UnixMs();
  fleet.relay.Split(4);
  CHECK(fleet.TimeToConverge(kConvergenceLimitMs, std::set<int>{0, 1, 2, 3}) >= 0);
  CHECK(fleet.TimeToConverge(kConvergenceLimitMs, std::set<int>{4, 5, 6, 7}) >= 0);
  fleet.instances[7].program->Signal(SIGSTOP);
  while (UnixMs() - start < 10'000) std::this_thread::sleep_for(std::chrono::milliseconds(50));
  fleet.relay.Heal();
  fleet.instances[7].program->Signal(SIGCONT);
  const long long took = fleet.TimeToConverge(kConvergenceLimitMs);
  CHECK(took >= 0);
  ReportDuration("a 10 s partition healed", took);
  CHECK(fleet.LongestWronglyDead(2'000) == 0);
}

// A link cut one way, and a tenth of all datagrams lost: nobody alive is held dead for longer than the limit.
void OneWayLinkAndLossCauseNoWrongDeath() {
  MembershipFleet fleet(8);
  fleet.relay.Cut(1, 2);
  const long long one_way = fleet.LongestWronglyDead(8'000);
  ReportDuration("held dead behind a one-way link", one_way);
  CHECK(one_way < 2'000);
  CHECK(fleet.TimeToConverge(kConvergenceLimitMs) >= 0);
  fleet.relay.Heal();
  fleet.relay.Lose(0.1);
  const long long lossy = fleet.LongestWronglyDead(12'000);
  ReportDuration("held dead at a tenth lost", lossy);
  CHECK(fleet.relay.Dropped() > 50);
  CHECK(lossy < 2'000);
  fleet.relay.Lose(0);
  CHECK(fleet.TimeToConverge(kConvergenceLimitMs) >= 0);
}

void ThirtyJoinAtOnce() {
  MembershipFleet fleet(8);
  for (int i = 0; i < 30; ++i) fleet.Add();
  const long long took = fleet.TimeToConverge(2LL * kConvergenceLimitMs);
  CHECK(took >= 0);
  ReportDuration("thirty joins in 38 views", took);
}

// Its clock an hour back at a restart, so that its incarnation is older than what is known of it; and a jump
// by an hour while it runs.
void AClockThatJumps() {
  TempFile offset(std::string(8, '\0'));
  const auto shift = [&](std::int64_t micros) {
    std::fstream out(offset.path, std::ios::in | std::ios::out | std::ios::binary);
    out.write(reinterpret_cast<const char*>(&micros), sizeof micros);
  };
  MembershipFleet fleet(8);
  const std::uint64_t before = fleet.View(2)["n2"].incarnation;
  fleet.Kill(2);
  CHECK(fleet.TimeToConverge(kConvergenceLimitMs) >= 0);
  shift(-3'600'000'000);
  fleet.Start(2, {{"LD_PRELOAD", TINSPAN_CLOCK},
                  {"TINSPAN_TEST_CLOCK", offset.path},
                  {"ASAN_OPTIONS", "verify_asan_link_order=0"}});
  fleet.WaitUntilReady(2);
  const long long back = fleet.TimeToConverge(kConvergenceLimitMs);
  CHECK(back >= 0);
  ReportDuration("a restart an hour back alive everywhere", back);
  CHECK(fleet.View(0)["n2"].incarnation > before);
  shift(3'600'000'000);
  CHECK(fleet.LongestWronglyDead(2'000) == 0);
  CHECK(fleet.TimeToConverge(kConvergenceLimitMs) >= 0);
}

// Datagrams that are bad, foreign, of another version or too large: counted, dropped, nothing else changes.
void BadDatagramsAreCounted() {
  MembershipFleet fleet(8);
  const int fd = ::socket(AF_INET, SOCK_DGRAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(fleet.instances[0].port));
  const std::vector<std::string> bad{"",
                                     "GET / HTTP/1.1\r\n\r\n",
                                     std::string("TSM\x01", 4) + std::string(60, '\xff'),
                                     std::string("TSM\x09", 4) + "later",
                                     std::string(1'401, 'x'),
                                     std::string(60'000, 'x')};
  // One of each at a time, so that the socket's buffer holds them.
  for (std::uint64_t round = 1; round <= 100; ++round) {
    for (const std::string& one : bad) {
      CHECK(::sendto(fd, one.data(), one.size(), 0, reinterpret_cast<sockaddr*>(&address), sizeof address) ==
            static_cast<ssize_t>(one.size()));
    }
    const long long end = UnixMs() + kLimitMs;
    while (fleet.Metric(0, "fleet_datagrams_refused_total") < round * bad.size()) CHECK(UnixMs() < end);
  }
  ::close(fd);
  CHECK(fleet.Metric(0, "fleet_datagrams_refused_total") == 100 * bad.size());
  CHECK(fleet.Metric(0, "fleet_members_alive") == 8);
  CHECK(fleet.TimeToConverge(kConvergenceLimitMs) >= 0);
}

// What one instance sees fail, all know; the command shows it; a second process waits for the port of the
// first.
void SpreadsFailingServers() {
  MembershipFleet fleet(8);
  ProxyInstance& instance = fleet.instances[1];
  const std::string client = instance.program->log.substr(instance.program->log.find("serving at "));
  Peer caller = Peer::Connect(PortOf(client.substr(0, client.find('\n'))));
  caller.Send(Call("1"));
  Peer asked = fleet.cache.Accept();
  asked.Until("\r\n\r\n");
  asked.Reset();
  const long long start = UnixMs();
  for (int i = 0; i < 8;) {
    if (fleet.View(i)["n1"].failing != "failing=") {
      ++i;
      continue;
    }
    CHECK(UnixMs() - start < kConvergenceLimitMs);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  ReportDuration("a failing edge cache known to eight", UnixMs() - start);
  Program shown({"members", "--door", "127.0.0.1:" + std::to_string(fleet.instances[0].ops_port)}, {});
  CHECK(shown.Wait() == 0);
  for (int i = 0; i < 8; ++i) CHECK(shown.log.find("n" + std::to_string(i) + " ") != std::string::npos);
  Program none({"members", "--door", "127.0.0.1:1"}, {});
  CHECK(none.Wait() == 1 && none.log.find("no operators' door at 127.0.0.1:1") != std::string::npos);
}

// Off where the file names no members, as on the platform; an upgrade's second process waits for the port.
void IsOffByDefaultAndWaitsForItsPort() {
  World off(0, true, "1024", "192", kSettings, {{"PROXY_OPS", "127.0.0.1:0"}});
  Peer caller = Peer::Connect(PortOf(off.program->Line("operators' door at ")));
  caller.Send("members\n");
  CHECK(caller.Until("\n") == "error members are off here");
  CHECK(off.program->log.find("members") == std::string::npos);
  MembershipFleet fleet(8);
  std::string text;
  std::ifstream file(fleet.instances[4].file->path);
  std::getline(file, text, '\0');
  const std::string any = R"("members":{"fleet":"shop","listen":"127.0.0.1:0")";
  CHECK(text.find(any) != std::string::npos);
  text.replace(
      text.find(any), any.size(),
      R"("members":{"fleet":"shop","listen":"127.0.0.1:)" + std::to_string(fleet.instances[4].port) + "\"");
  const TempFile fixed(text);
  Program next({"serve"}, {{"PROXY_NAME", "n4"},
                           {"PROXY_LISTEN", "127.0.0.1:0"},
                           {"PROXY_CONFIG", fixed.path},
                           {"PROXY_OPS", "127.0.0.1:0"}});
  next.Line("is in use");
  const int door = PortOf(next.Line("operators' door at "));
  Peer status = Peer::Connect(door);
  status.Send("status\n");
  CHECK(status.Until("\n") == "done serving");
  const std::uint64_t before = fleet.View(4)["n4"].incarnation;
  fleet.instances[4].program->Signal(SIGTERM);
  CHECK(fleet.instances[4].program->Wait() == 0);
  next.Line("members at ");
  fleet.instances[4].ops_port = door;
  CHECK(fleet.TimeToConverge(kConvergenceLimitMs) >= 0);
  CHECK(fleet.View(0)["n4"].incarnation > before);
}

}  // namespace

int main(int argc, char** argv) {
  const Cases cases{
      {"a_killed_member_is_detected_and_rejoins", AKilledMemberIsDetectedAndRejoins},
      {"a_paused_member_refutes", APausedMemberRefutes},
      {"a_healed_partition_converges", AHealedPartitionConverges},
      {"one_way_link_and_loss_cause_no_wrong_death", OneWayLinkAndLossCauseNoWrongDeath},
      {"thirty_join_at_once", ThirtyJoinAtOnce},
      {"a_clock_that_jumps", AClockThatJumps},
      {"bad_datagrams_are_counted", BadDatagramsAreCounted},
      {"spreads_failing_servers", SpreadsFailingServers},
      {"is_off_by_default_and_waits_for_its_port", IsOffByDefaultAndWaitsForItsPort},
  };
  return RunCases(cases, argc, argv);
}
