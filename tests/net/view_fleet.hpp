// Real doormans with a fleet view, a relay of ours between them, and what their doors say of the fleet.
#pragma once

#include <optional>
#include <set>
#include <sstream>

#include "platform_world.hpp"
#include "relay.hpp"

constexpr int kBoundMs = 12'000;  // to agree after a fault, at periods of 200 ms, sanitizers included

inline int PortOf(const std::string& line) { return std::stoi(line.substr(line.rfind(':') + 1)); }

struct Doorman {
  std::string name;
  std::unique_ptr<TempFile> file;
  std::unique_ptr<Program> program;  // none: down
  int seat = 0, ops = 0, port = 0;   // its port in the relay, its door, its own datagrams
};

struct Entry {
  std::string state;
  std::uint64_t incarnation = 0;
  std::string failing;
};
using Seen = std::map<std::string, Entry>;

class ViewFleet {
 public:
  // `more`: further keys of every doorman's file, each followed by a comma.
  explicit ViewFleet(int count, std::string more = "") : more_(std::move(more)) {
    for (int i = 0; i < count; ++i) Add();
    CHECK_OR_THROW(Settled(kBoundMs) >= 0);
  }
  int Add() {
    const int member = static_cast<int>(all.size());
    all.emplace_back();
    all[member].name = "n" + std::to_string(member);
    all[member].seat = relay.Add();
    std::string seeds;
    for (int i = 0; i < std::min(member, 3); ++i) {
      seeds += (i > 0 ? "," : "") + std::string("\"127.0.0.1:") + std::to_string(all[i].seat) + "\"";
    }
    all[member].file = std::make_unique<TempFile>(
        R"({"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,)"
        R"("sockets":256},"changelog":")" +
        changelog.Address() + R"(","known":{"seq":1,"results":[)" +
        ::Fleet(1, true, ::Member("s-a", cache.Address())) +
        R"(]},"members":{"fleet":"shop","listen":"127.0.0.1:0","zone":"edge","advertise":"127.0.0.1:)" +
        std::to_string(all[member].seat) + R"(","seeds":[)" + seeds +
        R"(],"probe_ms":200,"probe_timeout_ms":100,"sync_ms":1000,"dead_keep_ms":30000},)" + more_ +
        R"("settings":)" + kSettings + "}");
    Begin(member);
    Ready(member);
    return member;
  }
  void Begin(int member, std::map<std::string, std::string> environment = {}) {
    Doorman& one = all[member];
    environment.insert({{"PROXY_NAME", one.name},
                        {"PROXY_LISTEN", "127.0.0.1:0"},
                        {"PROXY_CONFIG", one.file->path},
                        {"PROXY_OPS", "127.0.0.1:0"}});
    one.program = std::make_unique<Program>(std::vector<std::string>{"serve"}, std::move(environment));
  }
  void Ready(int member) {
    Doorman& one = all[member];
    const std::string line = one.program->Line("members at ");
    one.port = PortOf(line.substr(0, line.find(" advertised")));
    relay.Seated(member, one.port);
    one.ops = PortOf(one.program->Line("operators' door at "));
  }
  void Kill(int member) { all[member].program.reset(); }  // SIGKILL

  Seen View(int member) const {
    Peer caller = Peer::Connect(all[member].ops);
    caller.Send("members\n");
    std::istringstream in(caller.ToEnd());
    std::string line;
    CHECK_OR_THROW(std::getline(in, line) && line == "done");
    Seen seen;
    while (std::getline(in, line) && line != "end") {
      std::istringstream words(line);
      std::string name, address, zone, age;
      Entry entry;
      CHECK_OR_THROW(words >> name >> address >> zone >> entry.incarnation >> entry.state >> age >>
                     entry.failing);
      seen[name] = entry;
    }
    CHECK_OR_THROW(seen.size() <= all.size());
    return seen;
  }
  // What is so: which of them live (and, with `side`, are on that side), as `member` should see it.
  bool Agrees(int member, const std::set<int>& live) const {
    const Seen seen = View(member);
    for (int other = 0; other < static_cast<int>(all.size()); ++other) {
      const auto found = seen.find(all[other].name);
      const bool alive = found != seen.end() && found->second.state == "alive";
      const bool gone = found == seen.end() || found->second.state == "dead" || found->second.state == "left";
      if (live.contains(other) ? !alive : !gone) return false;
    }
    return true;
  }
  std::set<int> Live() const {
    std::set<int> live;
    for (int i = 0; i < static_cast<int>(all.size()); ++i) {
      if (all[i].program) live.insert(i);
    }
    return live;
  }
  // Milliseconds until every view of `live` agrees that they alone are alive; -1: not within `most`.
  long long Settled(long long most, std::optional<std::set<int>> of = std::nullopt) const {
    const std::set<int> live = of ? *of : Live();
    const long long start = UnixMs();
    for (;;) {
      bool agreed = true;
      for (const int member : live) agreed = agreed && Agrees(member, live);
      if (agreed) return UnixMs() - start;
      if (UnixMs() - start > most) return -1;
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  }
  // Watches for so long; the longest time that some live member was held dead by some view, in milliseconds.
  long long LongestWronglyDead(long long watch) const {
    std::map<std::pair<int, int>, long long> since;
    long long longest = 0;
    for (const long long start = UnixMs(); UnixMs() - start < watch;) {
      for (const int member : Live()) {
        const Seen seen = View(member);
        for (const int other : Live()) {
          const auto found = seen.find(all[other].name);
          const std::pair<int, int> key{member, other};
          if (found != seen.end() && found->second.state == "dead") {
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
  std::uint64_t Figure(int member, const std::string& name) const {
    Peer caller = Peer::Connect(all[member].ops);
    caller.Send("stats\n");
    const std::string answer = caller.ToEnd();
    const std::size_t at = answer.find("\nproxy_" + name + " ");
    CHECK_OR_THROW(at != std::string::npos);
    return std::stoull(answer.substr(at + name.size() + 8));
  }

  Server cache, changelog;
  Relay relay;
  std::vector<Doorman> all;

 private:
  std::string more_;
};

inline void Report(const char* what, long long ms) { std::printf("%s: %lld ms\n", what, ms); }
