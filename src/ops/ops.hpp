// The operators' door, without I/O: what a call line says, what the doorman's service state is, and the
// one-line answer to each call. It decides nothing of routing; it only tells whether clients are taken.
//
// A call is one line of at most kMostLine bytes, ended by LF (a CR before it is dropped): the call's name,
// then words of the form name=value that are accepted and not used (`who=` names the caller). Every answer
// begins with `done` or `error`; `stats`, `members` and `leases` answer with more lines (the first in
// the Prometheus text form, the others a line a member or duty) and end them with a line `end`.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tinspan::ops {

constexpr std::size_t kMostLine = 1024;

enum class Call { kStatus, kStats, kStandby, kActive, kMembers, kLeases };

struct Parsed {
  std::optional<Call> call;
  std::string error;  // where there is no call: why, without the line itself
};
// `line` without its LF.
Parsed ParseCall(std::string_view line);

// Where the process stands. Starting: not yet serving; serving; standby: clients are sent away; stopping:
// SIGTERM came, nothing brings it back.
enum class Life { kStarting, kServing, kStandby, kStopping };
std::string_view Name(Life state);

class Service {
 public:
  // The gateway takes no standby: there its calls answer `error`.
  explicit Service(bool can_stand_by = true) : can_stand_by_(can_stand_by) {}
  bool CanStandBy() const { return can_stand_by_; }
  void Serving() {
    if (life_ == Life::kStarting) life_ = Life::kServing;
  }
  // False where nothing changed (stopping cannot be left, a second standby is no new one).
  bool Standby();
  bool Active();
  void Stopping() { life_ = Life::kStopping; }
  Life Now() const { return life_; }
  bool Ready() const { return life_ == Life::kServing; }

 private:
  bool can_stand_by_;
  Life life_ = Life::kStarting;
};

// The figures of `stats`, as counted since the start.
struct Figures {
  std::uint64_t completed = 0;  // served
  std::uint64_t rejected = 0;   // refused, with a time to come back
  std::uint64_t failed = 0;
  std::uint64_t upstream = 0;  // attempts sent to servers
  std::uint64_t pending = 0;   // requests open now
  std::uint64_t members = 0;   // servers on the list
  std::uint64_t members_unavailable = 0;
  std::uint64_t config_reloads = 0;
  std::uint64_t config_reload_errors = 0;
  struct More {  // of parts that are on: name under the prefix, "counter" or "gauge", value
    std::string name;
    std::string type;
    std::uint64_t value;
  };
  std::vector<More> more;
};

// Views of the fleet, asked for only when called: a line an entry. Empty: that part is off here.
struct Views {
  std::function<std::string()> members;
  std::function<std::string()> leases;
};
// Prometheus' text form, names under `prefix`_, each line ended by LF.
std::string Prom(const Figures& figures, std::string_view prefix);

// The whole answer to one line, and what it did to `service`.
std::string Answer(std::string_view line, Service& service, const Figures& figures, const Views& views = {});

}  // namespace tinspan::ops
