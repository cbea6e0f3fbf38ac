// The membership views of eight and more real proxy instances with a UDP relay between them and faults
// injected by the test. After each fault the views of all running members must converge within a limit, and
// no view may show a running, reachable member as dead for longer than the limit.
#include "view_fleet.hpp"

namespace {

// A killed member becomes dead in every view. Restarted under its name, it is alive with a newer incarnation.
TEST(FleetViewTest, DetectsAKilledMemberAndItsRejoin) {
  MembershipFleet fleet(8);
  const std::uint64_t before = fleet.View(5)["n5"].incarnation;
  fleet.Kill(5);
  const long long detected_ms = fleet.TimeToConverge(kConvergenceLimitMs);
  ASSERT_GE(detected_ms, 0);
  ReportDuration("crash detected by seven members", detected_ms);
  fleet.Start(5);
  fleet.WaitUntilReady(5);
  const long long back = fleet.TimeToConverge(kConvergenceLimitMs);
  ASSERT_GE(back, 0);
  ReportDuration("restart seen alive by eight members", back);
  for (int i = 0; i < 8; ++i) {
    ASSERT_GT(fleet.View(i)["n5"].incarnation, before);
  }
  // A member that is shut down announces that it leaves.
  fleet.instances[6].program->Signal(SIGTERM);
  ASSERT_EQ(fleet.instances[6].program->Wait(), 0);
  fleet.instances[6].program.reset();
  ASSERT_GE(fleet.TimeToConverge(kConvergenceLimitMs), 0);
  ASSERT_EQ(fleet.View(0)["n6"].state, "left");
}

// A member is stopped (SIGSTOP) for 3 s, long enough to be declared dead. When it continues it must refute
// that and must not be declared dead again.
TEST(FleetViewTest, APausedMemberRefutesItsSuspicion) {
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
  ASSERT_TRUE(suspected);
  const long long took = fleet.TimeToConverge(kConvergenceLimitMs);
  ASSERT_GE(took, 0);
  ReportDuration("3 s pause refuted in all views", took);
  ASSERT_GT(fleet.View(0)["n3"].incarnation, before);
  ASSERT_EQ(fleet.LongestFalseDeath(3'000), 0);  // it stays alive and declares nobody dead
}

// The fleet is partitioned into halves for 10 s: each half converges on its own members. After the partition
// has healed all members converge, including one that was stopped meanwhile and still has its old view.
TEST(FleetViewTest, ConvergesAfterAHealedPartition) {
  MembershipFleet fleet(8);
  const long long start = UnixMs();
  fleet.relay.Partition(4);
  ASSERT_GE(fleet.TimeToConverge(kConvergenceLimitMs, std::set<int>{0, 1, 2, 3}), 0);
  ASSERT_GE(fleet.TimeToConverge(kConvergenceLimitMs, std::set<int>{4, 5, 6, 7}), 0);
  fleet.instances[7].program->Signal(SIGSTOP);
  while (UnixMs() - start < 10'000) std::this_thread::sleep_for(std::chrono::milliseconds(50));
  fleet.relay.Heal();
  fleet.instances[7].program->Signal(SIGCONT);
  const long long took = fleet.TimeToConverge(kConvergenceLimitMs);
  ASSERT_GE(took, 0);
  ReportDuration("converged after a 10 s partition", took);
  ASSERT_EQ(fleet.LongestFalseDeath(2'000), 0);
}

// One link drops datagrams in one direction; then a tenth of all datagrams is lost. No view may show a
// running member as dead for longer than the limit.
TEST(FleetViewTest, OneWayLinkAndLossCauseNoWrongDeath) {
  MembershipFleet fleet(8);
  fleet.relay.CutLink(1, 2);
  const long long one_way = fleet.LongestFalseDeath(8'000);
  ReportDuration("longest false death with a one-way link", one_way);
  ASSERT_LT(one_way, 2'000);
  ASSERT_GE(fleet.TimeToConverge(kConvergenceLimitMs), 0);
  fleet.relay.Heal();
  fleet.relay.SetLossRate(0.1);
  const long long lossy = fleet.LongestFalseDeath(12'000);
  ReportDuration("longest false death with a tenth of the datagrams lost", lossy);
  ASSERT_GT(fleet.relay.Dropped(), 50);
  ASSERT_LT(lossy, 2'000);
  fleet.relay.SetLossRate(0);
  ASSERT_GE(fleet.TimeToConverge(kConvergenceLimitMs), 0);
}

TEST(FleetViewTest, ThirtyMembersJoinAtOnce) {
  MembershipFleet fleet(8);
  for (int i = 0; i < 30; ++i) fleet.Add();
  const long long took = fleet.TimeToConverge(2LL * kConvergenceLimitMs);
  ASSERT_GE(took, 0);
  ReportDuration("thirty joins known to 38 members", took);
}

// A member restarts with its clock set back by an hour, so that its incarnation starts below the one that the
// others know. Then its clock jumps while it runs.
TEST(FleetViewTest, ToleratesAClockThatJumps) {
  TemporaryFile offset(std::string(8, '\0'));
  const auto set_clock_offset = [&](std::int64_t micros) {
    std::fstream out(offset.path, std::ios::in | std::ios::out | std::ios::binary);
    out.write(reinterpret_cast<const char*>(&micros), sizeof micros);
  };
  MembershipFleet fleet(8);
  const std::uint64_t before = fleet.View(2)["n2"].incarnation;
  fleet.Kill(2);
  ASSERT_GE(fleet.TimeToConverge(kConvergenceLimitMs), 0);
  set_clock_offset(-3'600'000'000);
  fleet.Start(2, {{"LD_PRELOAD", TINSPAN_FAULTS},
                  {"TINSPAN_TEST_CLOCK", offset.path},
                  {"ASAN_OPTIONS", "verify_asan_link_order=0"}});
  fleet.WaitUntilReady(2);
  const long long back = fleet.TimeToConverge(kConvergenceLimitMs);
  ASSERT_GE(back, 0);
  ReportDuration("restart with a clock an hour back alive in all views", back);
  ASSERT_GT(fleet.View(0)["n2"].incarnation, before);
  set_clock_offset(3'600'000'000);
  ASSERT_EQ(fleet.LongestFalseDeath(2'000), 0);
  ASSERT_GE(fleet.TimeToConverge(kConvergenceLimitMs), 0);
}

// Datagrams that are malformed, not of this protocol, of another version or too large are counted and
// dropped; nothing else changes.
TEST(FleetViewTest, CountsMalformedDatagrams) {
  MembershipFleet fleet(8);
  const int fd = ::socket(AF_INET, SOCK_DGRAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(fleet.instances[0].port));
  const std::vector<std::string> malformed{"",
                                           "GET / HTTP/1.1\r\n\r\n",
                                           std::string("TSM\x01", 4) + std::string(60, '\xff'),
                                           std::string("TSM\x09", 4) + "later",
                                           std::string(1'401, 'x'),
                                           std::string(60'000, 'x')};
  // One datagram of each kind per round, so that the socket's buffer does not overflow.
  for (std::uint64_t round = 1; round <= 100; ++round) {
    for (const std::string& datagram : malformed) {
      ASSERT_EQ(::sendto(fd, datagram.data(), datagram.size(), 0, reinterpret_cast<sockaddr*>(&address),
                         sizeof address),
                static_cast<ssize_t>(datagram.size()));
    }
    const long long end = UnixMs() + kWaitLimitMs;
    while (fleet.Metric(0, "fleet_datagrams_refused_total") < round * malformed.size()) {
      ASSERT_LT(UnixMs(), end);
    }
  }
  ::close(fd);
  ASSERT_EQ(fleet.Metric(0, "fleet_datagrams_refused_total"), 100 * malformed.size());
  ASSERT_EQ(fleet.Metric(0, "fleet_members_alive"), 8);
  ASSERT_GE(fleet.TimeToConverge(kConvergenceLimitMs), 0);
}

// A server that one instance sees failing becomes known to all instances; the `members` command lists them
// all, and fails where no admin listener answers.
TEST(FleetViewTest, SpreadsFailingServers) {
  MembershipFleet fleet(8);
  ProxyInstance& instance = fleet.instances[1];
  const std::string client = instance.program->log.substr(instance.program->log.find("serving at "));
  TcpPeer caller = TcpPeer::Connect(ParsePort(client.substr(0, client.find('\n'))));
  caller.Send(EncodeCall("1"));
  TcpPeer cache_connection = fleet.cache.Accept();
  cache_connection.ReadUntil("\r\n\r\n");
  cache_connection.Reset();
  const long long start = UnixMs();
  for (int i = 0; i < 8;) {
    if (fleet.View(i)["n1"].failing != "failing=") {
      ++i;
      continue;
    }
    ASSERT_LT(UnixMs() - start, kConvergenceLimitMs);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  ReportDuration("failing edge cache known to eight members", UnixMs() - start);
  Program members_command({"members", "--door", "127.0.0.1:" + std::to_string(fleet.instances[0].ops_port)},
                          {});
  ASSERT_EQ(members_command.Wait(), 0);
  for (int i = 0; i < 8; ++i) {
    ASSERT_NE(members_command.log.find("n" + std::to_string(i) + " "), std::string::npos);
  }
  Program unreachable({"members", "--door", "127.0.0.1:1"}, {});
  ASSERT_EQ(unreachable.Wait(), 1);
  ASSERT_NE(unreachable.log.find("no operators' door at 127.0.0.1:1"), std::string::npos);
}

// Membership is off if the configuration has no `members`, as on the platform. During an upgrade the second
// process waits for the datagram port of the first.
TEST(FleetViewTest, IsOffByDefaultAndWaitsForItsPort) {
  World world(0, true, "1024", "192", kSettings, {{"PROXY_OPS", "127.0.0.1:0"}});
  TcpPeer caller = TcpPeer::Connect(ParsePort(world.program->ReadLogThrough("operators' door at ")));
  caller.Send("members\n");
  ASSERT_EQ(caller.ReadUntil("\n"), "error members are off here");
  ASSERT_EQ(world.program->log.find("members"), std::string::npos);
  MembershipFleet fleet(8);
  std::string text;
  std::ifstream file(fleet.instances[4].file->path);
  std::getline(file, text, '\0');
  const std::string any_port = R"("members":{"fleet":"shop","listen":"127.0.0.1:0")";
  ASSERT_NE(text.find(any_port), std::string::npos);
  text.replace(
      text.find(any_port), any_port.size(),
      R"("members":{"fleet":"shop","listen":"127.0.0.1:)" + std::to_string(fleet.instances[4].port) + "\"");
  const TemporaryFile fixed_port_file(text);
  Program next({"serve"}, {{"PROXY_NAME", "n4"},
                           {"PROXY_LISTEN", "127.0.0.1:0"},
                           {"PROXY_CONFIG", fixed_port_file.path},
                           {"PROXY_OPS", "127.0.0.1:0"}});
  next.ReadLogThrough("is in use");
  const int ops_port = ParsePort(next.ReadLogThrough("operators' door at "));
  TcpPeer status = TcpPeer::Connect(ops_port);
  status.Send("status\n");
  ASSERT_EQ(status.ReadUntil("\n"), "done serving");
  const std::uint64_t before = fleet.View(4)["n4"].incarnation;
  fleet.instances[4].program->Signal(SIGTERM);
  ASSERT_EQ(fleet.instances[4].program->Wait(), 0);
  next.ReadLogThrough("members at ");
  fleet.instances[4].ops_port = ops_port;
  ASSERT_GE(fleet.TimeToConverge(kConvergenceLimitMs), 0);
  ASSERT_GT(fleet.View(0)["n4"].incarnation, before);
}

}  // namespace
