// A fleet of real proxy instances that run the membership protocol through a UDP relay, and queries to their
// admin listeners.
#pragma once

#include <optional>
#include <set>
#include <sstream>

#include "platform_world.hpp"
#include "relay.hpp"

// The longest time to converge after a fault, with probe intervals of 200 ms; also holds for sanitizer
// builds.
constexpr int kConvergenceLimitMs = 12'000;

// The port at the end of a log line.
inline int ParsePort(const std::string& line) { return std::stoi(line.substr(line.rfind(':') + 1)); }

struct ProxyInstance {
  std::string name;
  std::unique_ptr<TemporaryFile> file;
  std::unique_ptr<Program> program;  // null: not running
  int relay_port = 0;                // the port that it advertises, at the relay
  int ops_port = 0;                  // its admin listener
  int port = 0;                      // where it receives datagrams
};

// One row of the `members` response.
struct MemberEntry {
  std::string state;
  std::uint64_t incarnation = 0;
  std::string failing;  // `failing=` and the servers that the member sees failing
};
using MemberTable = std::map<std::string, MemberEntry>;

// Instances n0, n1, ... that can be killed, restarted and queried.
class MembershipFleet {
 public:
  // Starts `count` instances and waits until they have converged. `extra_settings` are further keys of every
  // instance's configuration file, each followed by a comma.
  explicit MembershipFleet(int count, std::string extra_settings = "")
      : extra_settings_(std::move(extra_settings)) {
    for (int i = 0; i < count; ++i) Add();
    CHECK_OR_THROW(TimeToConverge(kConvergenceLimitMs) >= 0);
  }
  // Starts one more instance, waits until it is ready and returns its index.
  int Add() {
    const int member = static_cast<int>(instances.size());
    instances.emplace_back();
    instances[member].name = "n" + std::to_string(member);
    instances[member].relay_port = relay.AddMember();
    std::string seeds;
    for (int i = 0; i < std::min(member, 3); ++i) {
      seeds +=
          (i > 0 ? "," : "") + std::string("\"127.0.0.1:") + std::to_string(instances[i].relay_port) + "\"";
    }
    instances[member].file = std::make_unique<TemporaryFile>(
        R"({"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,)"
        R"("sockets":256},"changelog":")" +
        changelog.Address() + R"(","known":{"seq":1,"results":[)" +
        ::FleetEventJson(1, true, ::EndpointJson("s-a", cache.Address())) +
        R"(]},"members":{"fleet":"shop","listen":"127.0.0.1:0","zone":"edge","advertise":"127.0.0.1:)" +
        std::to_string(instances[member].relay_port) + R"(","seeds":[)" + seeds +
        R"(],"probe_ms":200,"probe_timeout_ms":100,"sync_ms":1000,"dead_keep_ms":30000},)" + extra_settings_ +
        R"("settings":)" + kSettings + "}");
    Start(member);
    WaitUntilReady(member);
    return member;
  }
  // Starts the process of a member; WaitUntilReady() has to follow.
  void Start(int member, std::map<std::string, std::string> environment = {}) {
    ProxyInstance& instance = instances[member];
    environment.insert({{"PROXY_NAME", instance.name},
                        {"PROXY_LISTEN", "127.0.0.1:0"},
                        {"PROXY_CONFIG", instance.file->path},
                        {"PROXY_OPS", "127.0.0.1:0"}});
    instance.program = std::make_unique<Program>(std::vector<std::string>{"serve"}, std::move(environment));
  }
  // Waits for the log lines that name the member's ports and tells the relay.
  void WaitUntilReady(int member) {
    ProxyInstance& instance = instances[member];
    const std::string line = instance.program->ReadLogThrough("members at ");
    instance.port = ParsePort(line.substr(0, line.find(" advertised")));
    relay.SetMemberPort(member, instance.port);
    instance.ops_port = ParsePort(instance.program->ReadLogThrough("operators' door at "));
  }
  void Kill(int member) { instances[member].program.reset(); }  // SIGKILL

  // The membership view of a member, by name, from its admin listener.
  MemberTable View(int member) const {
    TcpPeer caller = TcpPeer::Connect(instances[member].ops_port);
    caller.Send("members\n");
    std::istringstream reply(caller.ReadToEnd());
    std::string line;
    CHECK_OR_THROW(std::getline(reply, line) && line == "done");
    MemberTable members;
    while (std::getline(reply, line) && line != "end") {
      std::istringstream words(line);
      std::string name;
      std::string address;
      std::string zone;
      std::string age;
      MemberEntry entry;
      CHECK_OR_THROW(words >> name >> address >> zone >> entry.incarnation >> entry.state >> age >>
                     entry.failing);
      members[name] = entry;
    }
    CHECK_OR_THROW(members.size() <= instances.size());
    return members;
  }
  // Whether `member` sees exactly the members of `live` as alive, and the others as dead, left or unknown.
  bool HasConverged(int member, const std::set<int>& live) const {
    const MemberTable members = View(member);
    for (int other = 0; other < static_cast<int>(instances.size()); ++other) {
      const auto found = members.find(instances[other].name);
      const bool alive = found != members.end() && found->second.state == "alive";
      const bool gone =
          found == members.end() || found->second.state == "dead" || found->second.state == "left";
      if (live.contains(other) ? !alive : !gone) return false;
    }
    return true;
  }
  std::set<int> LiveMembers() const {
    std::set<int> live;
    for (int i = 0; i < static_cast<int>(instances.size()); ++i) {
      if (instances[i].program) live.insert(i);
    }
    return live;
  }
  // Milliseconds until every member of `subset` (by default all running members) sees exactly these as alive;
  // -1 if that takes longer than `limit_ms`.
  long long TimeToConverge(long long limit_ms, std::optional<std::set<int>> subset = std::nullopt) const {
    const std::set<int> live = subset ? *subset : LiveMembers();
    const long long start = UnixMs();
    for (;;) {
      bool agreed = true;
      for (const int member : live) agreed = agreed && HasConverged(member, live);
      if (agreed) return UnixMs() - start;
      if (UnixMs() - start > limit_ms) return -1;
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  }
  // Polls all views for `duration_ms`. Returns the longest time in ms for which a view showed a running
  // member as dead.
  long long LongestFalseDeath(long long duration_ms) const {
    std::map<std::pair<int, int>, long long> since;
    long long longest = 0;
    for (const long long start = UnixMs(); UnixMs() - start < duration_ms;) {
      for (const int member : LiveMembers()) {
        const MemberTable members = View(member);
        for (const int other : LiveMembers()) {
          const auto found = members.find(instances[other].name);
          const std::pair<int, int> key{member, other};
          if (found != members.end() && found->second.state == "dead") {
            longest = std::max(longest, UnixMs() - since.emplace(key, UnixMs()).first->second);
          } else {
            since.erase(key);
          }
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return longest;
  }
  // The value of the counter or gauge proxy_NAME of a member.
  std::uint64_t Metric(int member, const std::string& name) const {
    TcpPeer caller = TcpPeer::Connect(instances[member].ops_port);
    caller.Send("stats\n");
    const std::string answer = caller.ReadToEnd();
    const std::size_t position = answer.find("\nproxy_" + name + " ");
    CHECK_OR_THROW(position != std::string::npos);
    return std::stoull(answer.substr(position + name.size() + 8));
  }

  TcpListener cache, changelog;
  Relay relay;
  std::vector<ProxyInstance> instances;

 private:
  std::string extra_settings_;
};

// Prints a measured duration to the test's output.
inline void ReportDuration(const char* what, long long millis) { std::printf("%s: %lld ms\n", what, millis); }
