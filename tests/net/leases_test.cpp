// Leases among real processes: five voters with a UDP relay between them, a stand-in for the key-value store
// that the holder writes to, and faults injected by the test. At no time do two members hold the lease, the
// writes that the store accepts are in order, and a lost lease is taken over within a bound that depends on
// its length.
#include <filesystem>
#include <nlohmann/json.hpp>

#include "kv_standin.hpp"
#include "view_fleet.hpp"

namespace {

using tinspan::lease::History;
using tinspan::lease::Micros;
using tinspan::lease::Token;

constexpr int kLengthMs = 1'500;
// The longest takeover: the lease expires, then one or two ballots follow; also holds for sanitizer builds.
constexpr int kMaxTakeoverMs = 2 * kLengthMs + 3'000;

Micros SteadyNow() {
  return std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now().time_since_epoch());
}

// What a member reports about a lease; `left` is its remaining time in ms.
struct LeaseReport {
  std::string holder, role;
  std::uint64_t token = 0;
  long long left = 0;
};

// A fleet whose voters n0 to n4 grant the `health` lease; its holder publishes to `store`. `history` collects
// what the members report about holding it.
class LeaseFleet {
 public:
  explicit LeaseFleet(int count = 5)
      : fleet(count, R"("leases":{"voters":["n0","n1","n2","n3","n4"],"length_ms":)" +
                         std::to_string(kLengthMs) + R"(,"publish":{"store":")" + store.Address() +
                         R"(","every_ms":100}},)") {}

  // Asks a member's admin listener for the `health` lease and records in the history if the member holds it.
  LeaseReport QueryLease(int member) {
    const Micros before = SteadyNow();
    ::TcpPeer caller = ::TcpPeer::Connect(fleet.instances[member].ops_port);
    caller.Send("leases\n");
    std::istringstream in(caller.ReadToEnd());
    std::string line, lease, left;
    CHECK_OR_THROW(std::getline(in, line) && line == "done" && std::getline(in, line));
    std::istringstream words(line);
    LeaseReport held;
    CHECK_OR_THROW(words >> lease >> held.holder >> held.token >> held.left >> held.role &&
                   lease == "health");
    // The member held the lease at some time between `before` and now, and will hold it for `left` from that
    // time: that covers at least now to before + left, less 10 % because its clock may be slow relative to
    // true time.
    if (held.role == "holder") {
      const Micros from = SteadyNow(), to = before + Micros{held.left * 900};
      if (from < to) history.RecordHold(Token{held.token}, fleet.instances[member].name, from, to);
    }
    return held;
  }
  // The member that reports to hold the lease; -1: none. Members in `unasked` (stopped ones, which cannot
  // answer) are not asked.
  int Holder(const std::set<int>& unasked = {}) {
    int holder = -1;
    for (int i = 0; i < static_cast<int>(fleet.instances.size()); ++i) {
      if (!fleet.instances[i].program || unasked.contains(i)) continue;
      if (QueryLease(i).role == "holder") holder = i;
    }
    return holder;
  }
  // Waits until a member that is not in `excluded` holds the lease; returns the milliseconds. Members in
  // `unasked` are not asked.
  long long WaitForHolder(int& holder, const std::set<int>& excluded = {},
                          const std::set<int>& unasked = {}) {
    const long long start = UnixMs();
    for (;;) {
      holder = Holder(unasked);
      if (holder >= 0 && !excluded.contains(holder)) return UnixMs() - start;
      CHECK_OR_THROW(UnixMs() - start < kConvergenceLimitMs);
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }
  // Waits until the store has accepted `count` further records written with a fencing token above `token`.
  void WaitForWrites(std::uint64_t token, std::uint64_t count) {
    const long long start = UnixMs();
    std::uint64_t first = 0;
    for (;;) {
      const auto stored = store.Stored();
      if (stored.flags > token && first == 0) first = stored.number;
      if (stored.flags > token && stored.number >= first + count) return;
      Holder();
      CHECK_OR_THROW(UnixMs() - start < kConvergenceLimitMs);
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }
  // Checks that neither the holds nor the accepted writes violate the guarantees of the lease.
  void ExpectNoViolation() {
    for (const auto& violation : {history.FindViolation(), store.WriteViolation()}) {
      if (violation) std::fprintf(stderr, "history: %s\n", violation->c_str());
      CHECK_OR_THROW(!violation);
    }
  }
  std::uint64_t TokenOf(int member) { return QueryLease(member).token; }

  KvStandIn store;
  MembershipFleet fleet;
  History history;
};

// All members request the lease at once. One gets it and keeps it, and every admin listener and the `leases`
// command name that holder.
TEST(LeasesTest, OneHolderPublishes) {
  LeaseFleet five(6);  // the sixth is no voter
  int holder = -1;
  five.WaitForHolder(holder);
  const std::uint64_t token = five.TokenOf(holder);
  five.WaitForWrites(0, 20);
  ASSERT_EQ(five.Holder(), holder);
  ASSERT_EQ(five.TokenOf(holder), token);
  const auto stored = five.store.Stored();
  ASSERT_EQ(stored.flags, token);
  ASSERT_NE(stored.text.find("\"holder\":\"" + five.fleet.instances[holder].name + "\""), std::string::npos);
  ASSERT_NE(stored.text.find("\"alive\":6"), std::string::npos);
  for (int i = 0; i < 6; ++i) {
    for (const long long end = UnixMs() + kConvergenceLimitMs;;) {
      const LeaseReport held = five.QueryLease(i);
      if (held.holder == five.fleet.instances[holder].name && held.token == token) break;
      ASSERT_LT(UnixMs(), end);
    }
  }
  Program leases_command(
      {"leases", "--door", "127.0.0.1:" + std::to_string(five.fleet.instances[0].ops_port)}, {});
  ASSERT_EQ(leases_command.Wait(), 0);
  ASSERT_NE(leases_command.log.find("health"), std::string::npos);
  ASSERT_NE(leases_command.log.find(std::to_string(token)), std::string::npos);
  // A write that was applied but whose response was lost is not applied twice, and a failure of the store
  // does not end the lease.
  five.store.DropNextResponse();
  five.WaitForWrites(token - 1, 10);
  ASSERT_GE(five.fleet.Metric(holder, "lease_store_failures_total"), 1);
  ASSERT_EQ(five.Holder(), holder);
  five.ExpectNoViolation();
}

// The holder is stopped (SIGSTOP) until its lease has expired, and resumed. Meanwhile another member holds
// the lease, and the store must accept nothing with the old fencing token. A write of the old holder is under
// way when it is stopped and arrives after the new holder's first write.
TEST(LeasesTest, FencesAStoppedHolder) {
  LeaseFleet five;
  int first = -1, second = -1;
  five.WaitForHolder(first);
  const std::uint64_t old = five.TokenOf(first);
  five.WaitForWrites(old - 1, 3);
  five.store.HoldNextWrite();
  for (const long long end = UnixMs() + kWaitLimitMs; !five.store.IsHoldingWrite();) {
    ASSERT_LT(UnixMs(), end);
  }
  five.fleet.instances[first].program->Signal(SIGSTOP);
  const long long took_ms = five.WaitForHolder(second, {first}, {first});
  ReportDuration("lease of a stopped holder taken over", took_ms);
  ASSERT_LT(took_ms, kMaxTakeoverMs);
  const std::uint64_t next = five.TokenOf(second);
  ASSERT_GT(next, old);
  for (const long long end = UnixMs() + kWaitLimitMs; five.store.Stored().flags < next;) {
    ASSERT_LT(UnixMs(), end);
  }
  five.store.ReleaseWrite();  // the old holder's write arrives
  five.fleet.instances[first].program->Signal(SIGCONT);
  five.WaitForWrites(old, 10);
  ASSERT_GE(five.store.RejectedWrites(), 1);
  ASSERT_NE(five.QueryLease(first).role, "holder");
  ASSERT_EQ(five.fleet.Metric(first, "lease_lapsed_total"), 1);
  ASSERT_EQ(five.Holder(), second);
  five.ExpectNoViolation();
}

// The holder loses its links to all other members but not to the store: it must stop, and another member
// continues from its record number.
TEST(LeasesTest, AnIsolatedHolderStops) {
  LeaseFleet five;
  int first = -1, second = -1;
  five.WaitForHolder(first);
  const std::uint64_t old = five.TokenOf(first);
  five.WaitForWrites(old - 1, 3);
  for (int other = 0; other < 5; ++other) {
    if (other == first) continue;
    five.fleet.relay.CutLink(first, other);
    five.fleet.relay.CutLink(other, first);
  }
  const long long took_ms = five.WaitForHolder(second, {first});
  ReportDuration("lease of an isolated holder taken over", took_ms);
  ASSERT_LT(took_ms, kMaxTakeoverMs);
  five.WaitForWrites(old, 5);
  ASSERT_NE(five.QueryLease(first).role, "holder");
  five.fleet.relay.Heal();
  ASSERT_GE(five.fleet.TimeToConverge(kConvergenceLimitMs), 0);
  five.WaitForWrites(old, 5);
  ASSERT_EQ(five.Holder(), second);
  five.ExpectNoViolation();
}

// The holder is killed in the middle of its lease: the next holder continues from the stored record, without
// gaps or duplicates. The restarted member has lost its promises and must stay silent at first.
TEST(LeasesTest, ReplacesAKilledHolder) {
  LeaseFleet five;
  int first = -1, second = -1;
  five.WaitForHolder(first);
  const std::uint64_t old = five.TokenOf(first);
  five.WaitForWrites(old - 1, 3);
  five.history.RecordEnd(Token{old}, SteadyNow());
  five.fleet.Kill(first);
  const std::uint64_t record_number = five.store.Stored().number;
  const long long took_ms = five.WaitForHolder(second);
  ReportDuration("lease of a killed holder taken over", took_ms);
  ASSERT_LT(took_ms, kMaxTakeoverMs);
  five.WaitForWrites(old, 3);
  ASSERT_GT(five.store.Stored().number, record_number);
  five.fleet.Start(first);
  five.fleet.WaitUntilReady(first);
  ASSERT_EQ(five.QueryLease(first).role, "voter-silent");
  for (const long long end = UnixMs() + kConvergenceLimitMs; five.QueryLease(first).role != "voter";) {
    ASSERT_LT(UnixMs(), end);
  }
  five.WaitForWrites(old, 3);
  ASSERT_EQ(five.Holder(), second);
  five.ExpectNoViolation();
}

// The fleet is partitioned into two and three members, with the holder on the side of two: that side must not
// hold the lease any longer.
TEST(LeasesTest, AMinorityHoldsNoLease) {
  LeaseFleet five;
  int first = -1, second = -1;
  five.WaitForHolder(first);
  const std::uint64_t old = five.TokenOf(first);
  const int companion = first == 0 ? 1 : 0;
  for (int a = 0; a < 5; ++a) {
    for (int b = 0; b < 5; ++b) {
      if ((a == first || a == companion) != (b == first || b == companion)) five.fleet.relay.CutLink(a, b);
    }
  }
  const long long took_ms = five.WaitForHolder(second, {first});
  ReportDuration("lease taken over by the majority", took_ms);
  ASSERT_LT(took_ms, kMaxTakeoverMs);
  ASSERT_NE(second, companion);
  five.WaitForWrites(old, 3);
  for (const long long end = UnixMs() + 2 * kLengthMs; UnixMs() < end;) {
    ASSERT_NE(five.QueryLease(first).role, "holder");
    ASSERT_NE(five.QueryLease(companion).role, "holder");
    ASSERT_EQ(five.Holder(), second);
  }
  five.fleet.relay.Heal();
  ASSERT_GE(five.fleet.TimeToConverge(kConvergenceLimitMs), 0);
  five.ExpectNoViolation();
}

// One member's clock runs 10 % fast and the holder is stopped repeatedly: there are never two holders at
// once.
TEST(LeasesTest, AFastClockHoldsNoSecondLease) {
  LeaseFleet five;
  five.fleet.Kill(2);
  five.fleet.Start(2, {{"LD_PRELOAD", TINSPAN_FAULTS},
                       {"TINSPAN_TEST_RATE", "1.1"},
                       {"ASAN_OPTIONS", "verify_asan_link_order=0"}});
  five.fleet.WaitUntilReady(2);
  int holder = -1;
  std::uint64_t last = 0;
  for (int round = 0; round < 4; ++round) {
    five.WaitForHolder(holder);
    five.WaitForWrites(last, 3);
    last = five.store.Stored().flags;
    five.fleet.instances[holder].program->Signal(SIGSTOP);
    int next = -1;
    ASSERT_LT(five.WaitForHolder(next, {holder}, {holder}), kMaxTakeoverMs);
    five.fleet.instances[holder].program->Signal(SIGCONT);
    five.ExpectNoViolation();
  }
  five.WaitForWrites(last, 3);
  five.ExpectNoViolation();
}

// A holder that shuts down releases the lease: another member takes it over without waiting until it expires.
TEST(LeasesTest, AStoppingHolderHandsOver) {
  LeaseFleet five;
  int first = -1, second = -1;
  five.WaitForHolder(first);
  const std::uint64_t old = five.TokenOf(first);
  // By then the other candidates have asked and were rejected, so that the voters know whom to notify.
  std::this_thread::sleep_for(std::chrono::milliseconds(kLengthMs));
  five.WaitForWrites(old - 1, 3);
  five.fleet.instances[first].program->Signal(SIGTERM);
  five.history.RecordEnd(Token{old}, SteadyNow());
  ASSERT_EQ(five.fleet.instances[first].program->Wait(), 0);
  ASSERT_NE(five.fleet.instances[first].program->log.find("health released, token"), std::string::npos);
  five.fleet.instances[first].program.reset();
  const long long took_ms = five.WaitForHolder(second);
  ReportDuration("lease of a stopping holder handed over", took_ms);
  ASSERT_NE(second, first);
  five.WaitForWrites(old, 3);
  five.ExpectNoViolation();
}

// Five gateways whose configurations were written by `tinspan init`, with leases enabled.
struct GatewayFleet {
  struct Gateway {
    std::unique_ptr<Program> program;
    std::string file, token;
    int http = 0, ops = 0;
  };
  GatewayFleet() {
    char name[] = "/tmp/tinspan-test-XXXXXX";
    CHECK_OR_THROW(::mkdtemp(name) != nullptr);
    folder = name;
    for (int i = 0; i < 5; ++i) relay.AddMember();
    for (int i = 0; i < 5; ++i) {
      const std::string at = folder + "/g" + std::to_string(i);
      Program init({"init", at}, {});
      CHECK_OR_THROW(init.Wait() == 0);
      Gateway& one = gateways.emplace_back();
      one.file = at + "/gateway.json";
      std::ifstream token(at + "/operator.token");
      CHECK_OR_THROW(std::getline(token, one.token));
      std::ifstream in(one.file);
      nlohmann::json config = nlohmann::json::parse(in);
      config["name"] = "n" + std::to_string(i);
      config["listen"] = config["ops"] = "127.0.0.1:0";
      config["consul"]["address"] = "127.0.0.1:1";
      config["members"] = {{"fleet", "shop"},
                           {"listen", "127.0.0.1:0"},
                           {"advertise", "127.0.0.1:" + std::to_string(relay.AdvertisedPort(i))},
                           {"seeds",
                            {"127.0.0.1:" + std::to_string(relay.AdvertisedPort(0)),
                             "127.0.0.1:" + std::to_string(relay.AdvertisedPort(1))}},
                           {"probe_ms", 200},
                           {"probe_timeout_ms", 100},
                           {"sync_ms", 1000},
                           {"dead_keep_ms", 30000}};
      config["leases"] = {
          {"voters", {"n0", "n1", "n2", "n3", "n4"}}, {"length_ms", kLengthMs}, {"purge", true}};
      std::ofstream(one.file) << config.dump();
      Start(i);
    }
  }
  ~GatewayFleet() { std::filesystem::remove_all(folder); }
  void Start(int i) {
    Gateway& one = gateways[i];
    one.program = std::make_unique<Program>(std::vector<std::string>{"serve", "-f", one.file},
                                            std::map<std::string, std::string>{});
    const std::string line = one.program->ReadLogThrough("members at ");
    relay.SetMemberPort(i, ParsePort(line.substr(0, line.find(" advertised"))));
    one.http = one.program->Port();
    one.ops = ParsePort(one.program->ReadLogThrough("operators' door at "));
  }
  // A field of the `purge` lease as a gateway's admin listener reports it; "role" is the role.
  std::string StatusField(int i, const std::string& name) {
    ::TcpPeer caller = ::TcpPeer::Connect(gateways[i].ops);
    caller.Send("leases\n");
    std::istringstream in(caller.ReadToEnd());
    std::string line, lease, holder, token, left, role, word;
    CHECK_OR_THROW(std::getline(in, line) && line == "done" && std::getline(in, line));
    std::istringstream words(line);
    CHECK_OR_THROW(words >> lease >> holder >> token >> left >> role && lease == "purge");
    if (name == "role") return role;
    while (words >> word) {
      if (word.starts_with(name + "=")) return word.substr(name.size() + 1);
    }
    CHECK_OR_THROW(false);
    return {};
  }
  // Waits until a gateway holds the `purge` lease and returns its index.
  int Holder() {
    for (const long long end = UnixMs() + kConvergenceLimitMs;;) {
      for (int i = 0; i < 5; ++i) {
        if (gateways[i].program && StatusField(i, "role") == "holder") return i;
      }
      CHECK_OR_THROW(UnixMs() < end);
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }
  void Purge(int at, const std::string& path) {
    const std::string body = R"({"object":")" + path + R"("})";
    ::TcpPeer caller = ::TcpPeer::Connect(gateways[at].http);
    caller.Send("POST /-/purge HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + gateways[at].token +
                "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    CHECK_OR_THROW(caller.ReadUntil("\r\n").starts_with("HTTP/1.1 204"));
  }
  // Waits until each gateway in `members` has applied that number of purges from other gateways; returns the
  // milliseconds.
  long long WaitForApplied(const std::map<int, int>& members) {
    const long long start = UnixMs();
    for (const auto& [i, count] : members) {
      while (StatusField(i, "applied") != std::to_string(count)) {
        CHECK_OR_THROW(UnixMs() - start < kConvergenceLimitMs);
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
    }
    return UnixMs() - start;
  }
  Relay relay;
  std::string folder;
  std::vector<Gateway> gateways;
};

// An operator's purge at one gateway is applied by every other. Then the holder is killed when it has
// distributed another purge only in part: the next holder completes it, and every gateway applies it exactly
// once.
TEST(LeasesTest, APurgeReachesTheFleet) {
  GatewayFleet five;
  const int holder = five.Holder();
  const int origin = (holder + 1) % 5;
  std::map<int, int> once;
  for (int i = 0; i < 5; ++i) once[i] = i == origin ? 0 : 1;
  five.Purge(origin, "/scans/estate/book.jpg?page=3");
  const long long took_ms = five.WaitForApplied(once);
  ReportDuration("purge applied by the fleet", took_ms);
  ASSERT_LT(took_ms, 1'000);
  // The holder can reach only the gateway that got the purge, and is then killed.
  for (int i = 0; i < 5; ++i) {
    if (i != origin && i != holder) five.relay.CutLink(holder, i);
  }
  five.Purge(origin, "/scans/estate/other.jpg");
  once[holder] = 2;
  five.WaitForApplied({{holder, 2}});
  for (int i = 0; i < 5; ++i) {
    if (i != holder) {
      ASSERT_EQ(five.StatusField(i, "applied"), (i == origin ? "0" : "1"));
    }
  }
  five.gateways[holder].program.reset();
  five.relay.Heal();
  for (int i = 0; i < 5; ++i) once[i] = i == origin ? 0 : 2;
  once.erase(holder);
  const long long finished_ms = five.WaitForApplied(once);
  ReportDuration("purge of a killed holder completed", finished_ms);
  ASSERT_LT(finished_ms, kMaxTakeoverMs);
  ASSERT_NE(five.Holder(), holder);
  five.Purge((origin + 1) % 5 == holder ? (origin + 2) % 5 : (origin + 1) % 5, "/pages/third");
  five.WaitForApplied({{origin, 1}});
}

// Guards against purges that were answered 204 and never left the gateway, because too many were open: each
// that is answered 204 is applied by every gateway, and what cannot be distributed is rejected whole.
TEST(LeasesTest, RejectsAPurgeThatItCannotDistribute) {
  GatewayFleet five;
  const int holder = five.Holder();
  const int origin = (holder + 1) % 5;
  constexpr int kPurges = 1'100;
  ::TcpPeer operator_peer = ::TcpPeer::Connect(five.gateways[origin].http);
  int accepted = 0;
  bool has_rejected = false;
  for (int i = 0; i < kPurges; ++i) {
    const std::string body = R"({"group":"estate-)" + std::to_string(i) + R"("})";
    operator_peer.Send("POST /-/purge HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " +
                       five.gateways[origin].token + "\r\nContent-Length: " + std::to_string(body.size()) +
                       "\r\n\r\n" + body);
    const std::string head = operator_peer.ReadUntil("\r\n\r\n") + "\r\n";
    const bool is_accepted = head.starts_with("HTTP/1.1 204");
    ASSERT_FALSE(is_accepted && has_rejected);
    if (!is_accepted) {
      ASSERT_TRUE(head.starts_with("HTTP/1.1 503") && head.find("\r\nRetry-After: ") != std::string::npos)
          << head;
    }
    has_rejected = !is_accepted;
    if (!is_accepted) continue;
    ++accepted;
    // Each gateway logs the purge; a full log would block it.
    five.gateways[origin].program->ReadLogThrough("operator purged group estate-" + std::to_string(i));
    for (int gateway = 0; gateway < 5; ++gateway) {
      if (gateway != origin) five.gateways[gateway].program->ReadLogThrough("from another member applied");
    }
  }
  EXPECT_GE(accepted, 1'000);
  EXPECT_LT(accepted, kPurges);
  std::map<int, int> applied;
  for (int i = 0; i < 5; ++i) applied[i] = i == origin ? 0 : accepted;
  five.WaitForApplied(applied);
}

// An upgrade: the second process of a voter waits for the port for longer than the silence after a start,
// while the first process goes on granting leases under the same name. The silence must begin only when the
// second process has the port; otherwise it could grant a lease twice.
TEST(LeasesTest, AnUpgradedVoterStaysSilentUntilItsPromisesExpire) {
  LeaseFleet five;
  int holder = -1;
  five.WaitForHolder(holder);
  const int voter = holder == 4 ? 3 : 4;
  ProxyInstance& one = five.fleet.instances[voter];
  std::string text;
  std::ifstream in(one.file->path);
  std::getline(in, text, '\0');
  const std::string any_port = R"("members":{"fleet":"shop","listen":"127.0.0.1:0")";
  ASSERT_NE(text.find(any_port), std::string::npos);
  text.replace(text.find(any_port), any_port.size(),
               R"("members":{"fleet":"shop","listen":"127.0.0.1:)" + std::to_string(one.port) + "\"");
  one.file = std::make_unique<TemporaryFile>(text);
  const std::unique_ptr<Program> old = std::move(one.program);
  five.fleet.Start(voter);
  one.program->ReadLogThrough("is in use");
  const int ops_port = ParsePort(one.program->ReadLogThrough("operators' door at "));
  // Twice as long as a voter's silence and its wait when it is alone, before the port becomes free.
  for (const long long end = UnixMs() + 4 * kLengthMs; UnixMs() < end;) {
    ::TcpPeer caller = ::TcpPeer::Connect(ops_port);
    caller.Send("leases\n");
    ASSERT_NE(caller.ReadToEnd().find("voter-silent"), std::string::npos);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  old->Signal(SIGTERM);
  ASSERT_EQ(old->Wait(), 0);
  one.program->ReadLogThrough("members at ");
  one.ops_port = ops_port;
  const long long began = UnixMs();
  while (five.QueryLease(voter).role == "voter-silent") {
    ASSERT_LT(UnixMs() - began, kConvergenceLimitMs);
  }
  const long long silent = UnixMs() - began;
  ReportDuration("silence of an upgraded voter", silent);
  ASSERT_GT(silent, kLengthMs);
  ASSERT_EQ(five.Holder(), holder);
  five.ExpectNoViolation();
}

// Leases are off if the configuration has none. A configuration that could grant a lease twice is rejected
// with an error that names the key.
TEST(LeasesTest, IsOffWithoutLeases) {
  MembershipFleet fleet(1);
  ::TcpPeer caller = ::TcpPeer::Connect(fleet.instances[0].ops_port);
  caller.Send("leases\n");
  ASSERT_EQ(caller.ReadUntil("\n"), "error leases are off here");
  std::string text;
  std::ifstream in(fleet.instances[0].file->path);
  std::getline(in, text, '\0');
  const std::string valid_leases =
      R"("leases":{"voters":["a","b","c"],"publish":{"store":"127.0.0.1:8500"}},"settings")";
  const auto check_with = [&](const std::string& from, const std::string& to) {
    std::string leases = valid_leases, file = text;
    leases.replace(leases.find(from), from.size(), to);
    file.replace(file.find("\"settings\""), 10, leases);
    const TemporaryFile written(file);
    Program check({"check-config"},
                  {{"PROXY_NAME", "n0"}, {"PROXY_LISTEN", "127.0.0.1:0"}, {"PROXY_CONFIG", written.path}});
    const int status = check.Wait();
    return std::pair{status, check.log};
  };
  ASSERT_EQ(check_with("a", "a").first, 0);
  for (const auto& [from, to, key] : std::vector<std::tuple<std::string, std::string, std::string>>{
           {R"("a","b","c")", R"("a","b")", "leases.voters"},
           {R"("a","b","c")", R"("a","b","a")", "leases.voters.2"},
           {R"("publish")", R"("length_ms":100,"publish")", "leases.length_ms"},
           {R"(,"publish":{"store":"127.0.0.1:8500"})", "", "leases"},
           {R"("publish")", R"("purge":1,"publish")", "leases.purge"},
           {R"("publish")", R"("drift":0.9,"publish")", "leases.drift"},
           {R"("store":"127.0.0.1:8500")", R"("store":"nowhere")", "leases.publish.store"},
           {R"("store":"127.0.0.1:8500")", R"("store":"127.0.0.1:8500","key":"a b")",
            "leases.publish.key"}}) {
    const auto [status, log] = check_with(from, to);
    ASSERT_NE(status, 0);
    ASSERT_TRUE(log.find(": " + key + " (line ") != std::string::npos ||
                log.find(": " + key + ": ") != std::string::npos);
  }
}

}  // namespace
