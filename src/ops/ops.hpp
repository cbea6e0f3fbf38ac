// The admin protocol, without I/O: parsing of calls, the service state of the instance, and the responses. It
// does not affect routing; it only controls whether the instance accepts clients.
//
// A call is one line of at most kMaxLineBytes bytes, terminated by LF (a CR before it is dropped): the name
// of the call, then optional name=value words, which are accepted and ignored (`who=` names the caller).
// Every response begins with `done` or `error`. `stats`, `members` and `leases` respond with further lines
// and a final line `end`: `stats` in the Prometheus text format, the others with one line per member or duty.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tinspan::ops {

constexpr std::size_t kMaxLineBytes = 1024;  // without LF

/// The calls of the protocol.
enum class Call { kStatus, kStats, kStandby, kActive, kMembers, kLeases };

/// The result of ParseCall.
struct ParsedCall {
  std::optional<Call> call;
  std::string error;  // the reason if there is no call; it does not contain the line
};
/// Parses a line without its LF.
ParsedCall ParseCall(std::string_view line);

/// The service state of the process.
enum class ServiceState {
  kStarting,  // not serving yet
  kServing,
  kStandby,   // clients are drained
  kStopping,  // after SIGTERM; final
};
/// The state's name in responses.
std::string_view Name(ServiceState state);

/// The service state and its transitions. Not thread-safe.
class Service {
 public:
  /// `can_stand_by`: whether the calls `standby` and `active` are supported. The gateway does not support
  /// them.
  explicit Service(bool can_stand_by = true) : can_stand_by_(can_stand_by) {}
  bool CanStandBy() const { return can_stand_by_; }
  /// Leaves the state starting; no effect in any other state.
  void MarkServing() {
    if (state_ == ServiceState::kStarting) state_ = ServiceState::kServing;
  }
  /// Enters or leaves standby. Returns false if the state did not change: it was in standby already (or was
  /// not, for LeaveStandby), or it is stopping.
  bool EnterStandby();
  bool LeaveStandby();
  void MarkStopping() { state_ = ServiceState::kStopping; }
  ServiceState State() const { return state_; }
  bool IsReady() const { return state_ == ServiceState::kServing; }

 private:
  bool can_stand_by_;
  ServiceState state_ = ServiceState::kStarting;
};

/// The statistics of the `stats` call; totals count from the start of the process.
struct Statistics {
  std::uint64_t completed = 0;  // served
  std::uint64_t rejected = 0;   // with a retry-after time
  std::uint64_t failed = 0;
  std::uint64_t upstream = 0;  // attempts sent to servers
  std::uint64_t pending = 0;   // open requests
  std::uint64_t members = 0;   // servers in the endpoint list
  std::uint64_t members_unavailable = 0;
  std::uint64_t config_reloads = 0;
  std::uint64_t config_reload_errors = 0;
  /// A statistic of an optional component.
  struct ExtraStatistic {
    std::string name;  // without the prefix
    std::string type;  // "counter" or "gauge"
    std::uint64_t value;
  };
  std::vector<ExtraStatistic> more;
};

/// Providers of the `members` and `leases` responses: one line per entry, evaluated only when called. Empty
/// if the component is disabled.
struct AdminViews {
  std::function<std::string()> members;
  std::function<std::string()> leases;
};
/// Formats the statistics in the Prometheus text format. Names get the prefix `prefix`_; each line ends with
/// LF.
std::string FormatPrometheus(const Statistics& figures, std::string_view prefix);

/// Executes the call in `line` on `service` and returns the complete response.
std::string HandleCall(std::string_view line, Service& service, const Statistics& figures,
                       const AdminViews& views = {});

}  // namespace tinspan::ops
