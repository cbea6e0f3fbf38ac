// The basic types of the membership protocol: addresses, member states, updates about a member, and the
// limits on what a member accepts from the network.
#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tinspan::members {

// A time of a monotonic clock, or a duration. The caller passes the current time in.
using Micros = std::chrono::microseconds;

// Maximum length of the name of a member, a zone or a lease, in bytes.
constexpr std::size_t kMaxNameLength = 64;
// Maximum number of servers that a member reports as failing.
constexpr std::size_t kMaxFailingServers = 32;
// Maximum number of leases that a member claims.
constexpr std::size_t kMaxLeaseClaims = 8;
// Maximum size of another module's message in one datagram, in bytes.
constexpr std::size_t kMaxPayloadBytes = 1'000;
// Maximum number of updates in one message.
constexpr std::size_t kMaxUpdatesPerMessage = 64;
// Highest incarnation accepted. Far above any wall-clock time in milliseconds, and low enough that the
// increment of a refutation cannot wrap around to 0.
constexpr std::uint64_t kMaxIncarnation = std::uint64_t{1} << 62;

// Limits on the memory that datagrams can occupy: any host that reaches the port can send names and
// ping-reqs.
constexpr std::size_t kMaxMembers = 16'384;  // in one view
constexpr std::size_t kMaxRelays = 256;      // pings sent on behalf of others that are pending at a time
constexpr std::size_t kMaxSuspectors = 16;   // of one member

// An IPv4 address (host byte order) and a port.
struct Address {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14 on a defaulted <=>.
  auto operator<=>(const Address&) const = default;
};

// The states of SWIM's suspicion subprotocol, plus `left` for a member that shut down gracefully. Within one
// incarnation the order of precedence is alive < suspect < dead = left. The values are used on the wire.
enum class State : std::uint8_t { kAlive = 0, kSuspect = 1, kDead = 2, kLeft = 3 };
constexpr std::size_t kStateCount = 4;

// The state's name in logs and in the output of commands.
const char* Name(State state);
// Whether the state is dead or left.
bool IsDeparted(State state);
// The precedence of a state between updates of the same incarnation: the higher one overrides the lower.
int Precedence(State state);

// Whether `text` is a valid name of a member, a zone or a lease: 1 to kMaxNameLength letters, digits, '-',
// '_' or '.'. Other characters could break an operator command, a log line or a record.
bool IsName(std::string_view text);

// A lease that a member claims to hold, and its fencing token (src/lease). A higher token is newer.
struct LeaseClaim {
  std::string lease;
  std::uint64_t token = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14 on a defaulted <=>.
  auto operator<=>(const LeaseClaim&) const = default;
};

// One member's information about another member or about itself: the unit of dissemination and of
// anti-entropy.
struct MemberUpdate {
  std::string name;  // unique in the fleet
  Address address;   // where it receives datagrams
  std::string zone;
  std::uint64_t incarnation = 0;
  State state = State::kAlive;
  Micros age{0};                     // dead or left: time since the member entered this state
  std::string suspected_by;          // suspect: the name of one member that suspects it
  std::uint64_t report_version = 0;  // of the two lists below; starts at 0 in each incarnation
  std::vector<std::uint64_t> failing_servers;
  std::vector<LeaseClaim> lease_claims;
};

// The approximate size of an update in a datagram, in bytes; used for the budget of piggybacked updates.
std::size_t EstimatedSize(const MemberUpdate& update);

// A change of a member's state in one view; reported in the log.
struct StateChange {
  std::string name;
  std::optional<State> previous;  // none: the member is new to the view
  State current = State::kAlive;
  std::uint64_t incarnation = 0;
  bool is_refutation = false;  // this member raised its own incarnation to override others' updates about it
};

// Counters of one view since it was created.
struct MembershipStats {
  std::uint64_t probes = 0;
  std::uint64_t acks = 0;
  std::uint64_t indirect_probes = 0;
  std::uint64_t nacks = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t declared_dead = 0;
  std::uint64_t refutations = 0;
  std::uint64_t syncs = 0;
  std::uint64_t sync_rounds = 0;  // additional rounds of syncs whose reply did not fit one datagram
  std::uint64_t pauses = 0;       // detected pauses: this process was stopped or got no CPU time
  std::uint64_t updates_sent = 0;
  std::uint64_t updates_merged = 0;
};

}  // namespace tinspan::members
