// Real proxy instances with a membership view, a UDP relay between them, and what their operators' interfaces
// show.
#pragma once

#include <optional>
#include <set>
#include <sstream>

#include "platform_world.hpp"
#include "relay.hpp"

// To converge after a fault, at probe intervals of 200 ms, sanitizers included.
constexpr int kConvergenceLimitMs = 12'000;

inline int PortOf(const std::string& line) { return std::stoi(line.substr(line.rfind(':') + 1)); }

struct ProxyInstance {
  std::string name;
  std::unique_ptr<TemporaryFile> file;
  std::unique_ptr<Program> program;            // null: not running
  int relay_port = 0, ops_port = 0, port = 0;  // in the relay, of its operators' interface, of its datagrams
};

struct MemberEntry {
  std::string state;
  std::uint64_t incarnation = 0;
  std::string failing;
};
using MemberTable = std::map<std::string, MemberEntry>;

class MembershipFleet {
 public:
  // `extra_settings`: further keys of every instance's file, each followed by a comma.
  explicit MembershipFleet(int count, std::string extra_settings = "")
      : extra_settings_(std::move(extra_settings)) {
    for (int i = 0; i < count; ++i) Add();
    CHECK_OR_THROW(TimeToConverge(kConvergenceLimitMs) >= 0);
  }
  int Add() {
    const int member = static_cast<int>(instances.size());
    instances.emplace_back();
    instances[member].name = "n" + std::to_string(member);
    instances[member].relay_port = relay.Add();
    std::string seeds;
    for (int i = 0; i < std::min(member, 3); ++i) {
      seeds +=
          (i > 0 ? "," : "") + std::string("\"127.0.0.1:") + std::to_string(instances[i].relay_port) + "\"";
    }
    instances[member].file = std::make_unique<TemporaryFile>(
        R"({"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,)"
        R"("sockets":256},"changelog":")" +
        changelog.Address() + R"(","known":{"seq":1,"results":[)" +
        ::Fleet(1, true, ::Member("s-a", cache.Address())) +
        R"(]},"members":{"fleet":"shop","listen":"127.0.0.1:0","zone":"edge","advertise":"127.0.0.1:)" +
        std::to_string(instances[member].relay_port) + R"(","seeds":[)" + seeds +
        R"(],"probe_ms":200,"probe_timeout_ms":100,"sync_ms":1000,"dead_keep_ms":30000},)" + extra_settings_ +
        R"("settings":)" + kSettings + "}");
    Start(member);
    WaitUntilReady(member);
    return member;
  }
  void Start(int member, std::map<std::string, std::string> environment = {}) {
    ProxyInstance& instance = instances[member];
    environment.insert({{"PROXY_NAME", instance.name},
                        {"PROXY_LISTEN", "127.0.0.1:0"},
                        {"PROXY_CONFIG", instance.file->path},
                        {"PROXY_OPS", "127.0.0.1:0"}});
    instance.program = std::make_unique<Program>(std::vector<std::string>{"serve"}, std::move(environment));
  }
  void WaitUntilReady(int member) {
    ProxyInstance& instance = instances[member];
    const std::string line = instance.program->ReadLogThrough("members at ");
    instance.port = PortOf(line.substr(0, line.find(" advertised")));
    relay.Seated(member, instance.port);
    instance.ops_port = PortOf(instance.program->ReadLogThrough("operators' door at "));
  }
  void Kill(int member) { instances[member].program.reset(); }  // SIGKILL

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
  // Whether `member` sees exactly the members of `live` alive, and the others dead, left or not at all.
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
  // Milliseconds until every member of `subset` (all running ones by default) sees just these alive; -1: not
  // within `limit_ms`.
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
  // Watches for `watch` milliseconds; the longest time for which some view held a live member dead.
  long long LongestWronglyDead(long long watch) const {
    std::map<std::pair<int, int>, long long> since;
    long long longest = 0;
    for (const long long start = UnixMs(); UnixMs() - start < watch;) {
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

inline void ReportDuration(const char* what, long long millis) { std::printf("%s: %lld ms\n", what, millis); }
