// The vocabulary of the membership protocol: addresses, member states, updates about a member, and the limits
// on what a member accepts from the network.
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

// A point of a clock that never steps back, or a span of it. The caller passes the time in.
using Micros = std::chrono::microseconds;

// Longest name of a member, a zone or a lease, in bytes.
constexpr std::size_t kMaxNameLength = 64;
// Servers that a member reports as failing, at most.
constexpr std::size_t kMaxFailingServers = 32;
// Leases that a member claims, at most.
constexpr std::size_t kMaxLeaseClaims = 8;
// Bytes of another module's message in one datagram, at most.
constexpr std::size_t kMaxPayloadBytes = 1'000;
// Updates in one message, at most.
constexpr std::size_t kMaxUpdatesPerMessage = 64;
// Far above any clock's milliseconds, so that a refutation's increment cannot wrap around to 0.
constexpr std::uint64_t kMaxIncarnation = std::uint64_t{1} << 62;

// Limits on the memory that datagrams can claim: anyone who reaches the port can send names and ping-reqs.
constexpr std::size_t kMaxMembers = 16'384;
constexpr std::size_t kMaxRelays = 256;
constexpr std::size_t kMaxSuspectors = 16;

// An IPv4 address (host byte order) and a port.
struct Address {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): a false finding of clang-tidy 14 on a defaulted <=>.
  auto operator<=>(const Address&) const = default;
};

// The states of SWIM's suspicion subprotocol, and `left` for a member that shut down gracefully. At one
// incarnation alive < suspect < dead = left. The values are those of the datagrams.
enum class State : std::uint8_t { kAlive = 0, kSuspect = 1, kDead = 2, kLeft = 3 };
constexpr std::size_t kStateCount = 4;

// The state's word in logs and commands.
const char* Name(State state);
// Whether a member in this state is dead or left.
bool IsDeparted(State state);
// The order by which updates of one incarnation override each other: the higher one wins.
int Precedence(State state);

// Whether `text` may name a member, a zone or a lease: 1 to kMaxNameLength letters, digits, '-', '_' or '.'.
// Anything else would not fit an operators' command, a log line or a record.
bool IsName(std::string_view text);

// A lease that a member says it holds, and its fencing token (src/lease): the higher token is the newer.
struct LeaseClaim {
  std::string lease;
  std::uint64_t token = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): a false finding of clang-tidy 14 on a defaulted <=>.
  auto operator<=>(const LeaseClaim&) const = default;
};

// What one member says of another (or of itself): the unit of dissemination and of anti-entropy.
struct MemberUpdate {
  std::string name;  // unique in the fleet
  Address address;   // where it takes datagrams
  std::string zone;
  std::uint64_t incarnation = 0;
  State state = State::kAlive;
  Micros age{0};                     // dead or left: for how long by now
  std::string suspected_by;          // suspect: the name of one of those that suspect it
  std::uint64_t report_version = 0;  // of the two lists below; counts from 0 in each incarnation
  std::vector<std::uint64_t> failing_servers;
  std::vector<LeaseClaim> lease_claims;
};

// About how many bytes an update takes in a datagram; used for the budget of piggybacked updates.
std::size_t EstimatedSize(const MemberUpdate& update);

// A change of a member's state in one view, for the log.
struct StateChange {
  std::string name;
  std::optional<State> previous;  // none: new to the view
  State current = State::kAlive;
  std::uint64_t incarnation = 0;
  bool is_refutation = false;  // this member took a new incarnation against what others said of it
};

// Counters of one view since its start.
struct MembershipStats {
  std::uint64_t probes = 0;
  std::uint64_t acks = 0;
  std::uint64_t indirect_probes = 0;
  std::uint64_t nacks = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t declared_dead = 0;
  std::uint64_t refutations = 0;
  std::uint64_t syncs = 0;
  std::uint64_t sync_rounds = 0;  // further rounds of a sync whose reply did not fit one datagram
  std::uint64_t pauses = 0;       // times that this process was found to have been stopped or starved
  std::uint64_t updates_sent = 0;
  std::uint64_t updates_merged = 0;
};

}  // namespace tinspan::members
