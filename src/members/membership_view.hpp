// The fleet view of one doorman, without I/O: SWIM's probes and suspicion with incarnations, Lifeguard's
// local health, changes spread on every message, and anti-entropy by a digest. Time and seed are told;
// messages go out through TakeOut and come in through Receive. Design and ways not taken:
// docs/design/members.md.
//
// Guarded against: a member that is slow or was paused accusing others (local health, pause detection), a
// member flapped out for good (refutation with a newer incarnation), a healed partition that never meets
// again (syncs now and then with the dead and with seeds), bytes that grow with the fleet (a digest of fixed
// size; changes sent a bounded number of times), and a restart under an old name (incarnations).
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tinspan::members {

using Micros = std::chrono::microseconds;  // of a clock that never steps back, told by the caller

struct Address {  // IPv4 address (host order) and port
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
};

// Alive < suspect < dead = left at the same incarnation.
enum class State : std::uint8_t { kAlive = 0, kSuspect = 1, kDead = 2, kLeft = 3 };
const char* Name(State state);

// A duty that a member says it holds, and its fencing token (src/lease): of two words the higher token is
// newer.
struct Claim {
  std::string duty;
  std::uint64_t token = 0;
  auto operator<=>(const Claim&) const = default;
};

// What is said of one member: on the wire, and in the view.
struct Update {
  std::string name;  // 1 to kMostName bytes, the member's own, unique in the fleet
  Address address;   // where it takes datagrams
  std::string zone;
  std::uint64_t incarnation = 0;
  State state = State::kAlive;
  Micros age{0};                       // dead or left: for how long by now
  std::string by;                      // suspect: who suspects it
  std::uint64_t report = 0;            // rises with each new list of servers or duties, from 0 at each start
  std::vector<std::uint64_t> failing;  // servers it has seen fail, at most kMostFailing
  std::vector<Claim> duties;           // duties it holds, at most kMostDuties
};

enum class Kind : std::uint8_t { kPing, kPingReq, kAck, kNack, kSync, kSyncReply, kSyncPush, kCarried };
constexpr std::size_t kBuckets = 64;
using Digest = std::array<std::uint64_t, kBuckets>;
constexpr std::size_t kMostName = 64;
// What names a member, a zone or a duty: 1 to kMostName letters, digits, '-', '_' or '.'. Anything else would
// not stand in a door's line, a log line or a record.
bool IsName(std::string_view text);
constexpr std::size_t kMostFailing = 32;
constexpr std::size_t kMostDuties = 8;
constexpr std::size_t kMostCarried = 1'000;  // bytes of another part's message in a datagram
constexpr std::size_t kMostUpdates = 64;
constexpr std::uint64_t kMostIncarnation = std::uint64_t{1} << 62;
// Bounds on what datagrams can make a view hold: anyone who reaches the port can send names and ping-reqs.
constexpr std::size_t kMostMembers = 16'384;
constexpr std::size_t kMostRelays = 256;
constexpr std::size_t kMostAccusers = 16;

struct Message {
  Kind kind = Kind::kPing;
  std::string from;  // the sender's name
  Address from_address;
  std::uint64_t seq = 0;  // of a probe
  std::string target;     // ping, ping-req: who is to answer
  Address target_address;
  std::vector<Update> updates;
  std::optional<Digest> digest;  // sync, sync-reply
  bool more = false;             // sync-reply: not all that differs fitted
  std::string carried;           // carried: a message of a part that stands on the view (leases)
};
struct Datagram {
  Address to;
  Message message;
};

struct Options {
  Micros interval{1'000'000};  // of probes, at full health
  Micros timeout{500'000};     // for a direct ack, at full health
  int indirect = 3;            // members asked to probe for us
  double alpha = 4;            // least suspicion: alpha * log10(n) periods
  double beta = 6;             // most suspicion: beta times the least
  int retransmit = 4;          // a change goes out retransmit * ceil(log10(n + 1)) times
  Micros sync{10'000'000};     // anti-entropy
  Micros dead_keep{60'000'000};
  int most_health = 8;         // local health multiplier, 0 (healthy) to this
  std::size_t budget = 1'100;  // bytes of updates in one datagram
  std::vector<Address> seeds;  // to join by; a seed not alive in the view is synced with now and then
};

// A member as this view holds it.
struct Member {
  std::uint64_t key = 0;     // the hash of the name: its bucket in the digest
  std::uint64_t hashed = 0;  // what the digest holds of it now
  std::string name;
  Address address;
  std::string zone;
  std::uint64_t incarnation = 0;
  State state = State::kAlive;
  Micros since{0};  // of the state
  std::uint64_t report = 0;
  std::vector<std::uint64_t> failing;
  std::vector<Claim> duties;
  std::set<std::string> accusers;  // suspect: who suspect it, for Lifeguard's confirmations
  std::string latest;              // of them, the one heard last: the word that is spread on
  Micros deadline{0};              // suspect: when it is declared dead
};

// A change of a member's state in this view, for the log.
struct Change {
  std::string name;
  std::optional<State> was;  // none: new to the view
  State now;
  std::uint64_t incarnation;
  bool refuted = false;  // our own: we took a new incarnation against what was said of us
};

struct Figures {
  std::uint64_t probes = 0, acks = 0, indirect = 0, nacks = 0, suspected = 0, declared_dead = 0, refuted = 0;
  std::uint64_t syncs = 0, sync_rounds = 0, pauses = 0, updates_sent = 0, updates_merged = 0;
};

class View {
 public:
  // `self`: name, address, zone and first incarnation (state and the rest are ignored).
  View(Options options, const Update& self, std::uint64_t seed, Micros now);
  View(const View&) = delete;  // the buckets point into the members
  View(View&&) = default;
  View& operator=(View&&) = default;

  void Receive(Micros now, const Message& message);
  // Takes a member as known without spreading it: for a view that starts from what others agreed (tests and
  // simulations at size).
  void Know(Micros now, const Update& update);
  void Tick(Micros now);
  // The servers this member now sees fail; spread when they change.
  void Report(std::vector<std::uint64_t> failing);
  // The duties this member holds now; spread when they change.
  void Claims(std::vector<Claim> duties);
  // Says `left` to some members; the view goes on answering until the process ends.
  void Leave(Micros now);

  std::vector<Datagram> TakeOut() { return std::exchange(out_, {}); }
  std::vector<Change> TakeChanges() { return std::exchange(changes_, {}); }
  Micros NextDue() const;

  const std::map<std::string, Member>& Members() const { return members_; }
  const Member& Self() const { return members_.at(self_); }
  std::size_t Count(State state) const { return counts_[static_cast<std::size_t>(state)]; }
  int Health() const { return health_; }
  const Figures& Counted() const { return figures_; }
  const Digest& DigestNow() const { return digest_; }
  Micros Suspicion(std::size_t confirmations) const;  // the time-out of a suspicion so confirmed

 private:
  struct Probe {
    std::string target;
    std::uint64_t seq = 0;
    Micros indirect_at{0}, end{0};
    bool indirect_sent = false;
    int nacks_due = 0, nacks = 0;
  };
  struct Relay {  // a ping sent for another's ping-req
    Address requester;
    std::uint64_t seq = 0;  // the requester's
    Micros nack_at{0}, end{0};
  };

  Micros Period() const { return options_.interval * (health_ + 1); }
  Micros Timeout() const { return options_.timeout * (health_ + 1); }
  void Heal(int by);
  std::size_t Live() const;  // alive and suspect, with us
  void Merge(Micros now, const Update& update);
  void MergeSelf(Micros now, const Update& update);
  void SetState(Micros now, Member& member, State state, std::uint64_t incarnation, Micros age = Micros{0});
  void Suspect(Micros now, Member& member, const std::string& by);
  void Refresh(Member& member);                                  // its deadline, from its accusers
  void Acquit(const std::string& name);                          // no longer suspect: it has no deadline
  void Sent(const std::string& name, std::optional<int> times);  // none: it is spread no more
  // After each change of a member: it is spread, and the digest follows.
  void Queue(const std::string& name);
  Update Said(const Member& member, Micros now) const;
  std::vector<Update> Piggyback(Micros now);
  void Send(Address to, Message message, Micros now, bool gossip);
  void StartProbe(Micros now);
  std::optional<std::string> NextTarget();
  void StartSync(Micros now, std::optional<Address> with = std::nullopt);
  std::vector<Update> Differing(Micros now, const Digest& theirs, bool& more);
  std::uint64_t Hash(const Member& member) const;
  void Reap(Micros now);
  void Count(State was, State now);

  Options options_;
  std::string self_;
  std::mt19937_64 random_;
  std::map<std::string, Member> members_;
  Digest digest_{};  // of members_, kept with each change: a walk over 2,000 a sync was most of a heal's cost
  std::array<std::vector<const Member*>, kBuckets> buckets_;
  std::map<std::string, int> gossip_;             // name: times its latest state went out
  std::set<std::pair<int, std::string>> fewest_;  // the same, those sent fewest times first
  std::vector<std::string> round_;                // probe order
  std::size_t next_ = 0;
  std::optional<Probe> probe_;
  std::map<std::uint64_t, Relay> relays_;  // by our seq
  std::uint64_t seq_ = 0;
  int health_ = 0;
  Micros last_tick_{0};
  Micros next_probe_{0};
  Micros next_sync_{0};
  std::optional<Address> sync_again_;
  std::uint64_t syncs_started_ = 0;
  int sync_rounds_ = 0;
  std::map<std::string, Micros> suspects_;              // name: deadline
  std::set<std::pair<Micros, std::string>> deadlines_;  // the same, by deadline
  std::set<std::string> dead_;                          // dead or left, to be reaped
  Micros next_reap_ = Micros::max();                    // no later than the first of them is due
  std::array<std::size_t, 4> counts_{};                 // by state, with us
  bool leaving_ = false;
  std::vector<Datagram> out_;
  std::vector<Change> changes_;
  Figures figures_;
};

// The bytes an update takes on the wire, about: for the budget of a datagram.
std::size_t Weight(const Update& update);

}  // namespace tinspan::members
