// Who holds a duty of the fleet: leases granted by a majority of fixed voters, without I/O. Time, the wall
// clock and a seed are told; messages go out through TakeOut and come in through Receive. Design, what
// was weighed and the proof's outline: docs/design/leases.md.
//
// Guarded against: two holders at once (a majority, and spans that allow for clocks that run apart), a holder
// that was paused or cut off and goes on acting (its own clock ends the lease; each grant has a higher
// fencing token, which whoever is written to holds against it), a voter that forgot what it promised (it is
// silent until all it could have granted has run out, then asks the others), candidates that outbid each
// other for ever (they wait apart), and a fleet that asks in its hundreds (only those told to want a duty
// do).
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tinspan::lease {

// Of a clock that never steps back; it may run up to `drift` faster or slower than true time.
using Micros = std::chrono::microseconds;

// Of a grant: every later grant of the same duty has a higher one. 0: none.
enum class Token : std::uint64_t {};
constexpr Token kNoToken{0};
constexpr std::uint64_t Number(Token token) { return static_cast<std::uint64_t>(token); }
// Far above any clock's milliseconds: one more of it must not run over.
constexpr Token kMostToken{std::uint64_t{1} << 62};

constexpr const char* kHealth = "health";  // the duty that publishes the fleet's health
constexpr const char* kPurge = "purge";    // the duty that spreads operators' purges

constexpr std::size_t kMostName = 64;  // bytes of a member's or a duty's name
constexpr std::size_t kMostVoters = 9;
constexpr std::size_t kMostDuties = 8;
constexpr std::size_t kMostRefused = 8;  // candidates a voter remembers to tell when the duty is free

enum class Kind : std::uint8_t {
  kPrepare,  // candidate: may I have `ballot`?
  kPromise,  // voter: yes; nothing lower from now on
  kPropose,  // candidate or holder: grant or renew `ballot`
  kAccept,   // voter: granted for the length, from now on its clock
  kRefuse,   // voter: no; `ballot` is the highest it knows, `holder` and `left` who has it
  kRelease,  // holder: I let it go
  kFreed,    // voter, to those it refused: it is free
  kAsk,      // a voter that starts: what did you grant?
  kMark,     // voter: `ballot` to `holder`, last; `serving` when it has that from before
};

struct Message {
  Kind kind = Kind::kPrepare;
  std::string duty;
  std::string from;
  Token ballot = kNoToken;
  std::uint64_t seq = 0;  // of a proposal or question; its answer names the same
  std::string holder;
  Micros left{0};  // refuse: how long the holder's lease lasts at that voter; at most a length
  bool serving = false;
};
struct Out {
  std::string to;  // a member's name
  Message message;
};

struct Options {
  std::vector<std::string> voters;  // 3, 5, 7 or 9 names, the same everywhere
  std::vector<std::string> duties;  // at most kMostDuties
  Micros length{10'000'000};        // of a lease, by a voter's clock; the same everywhere
  double drift = 0.1;               // clocks run between 1 - drift and 1 + drift of true time; under 0.5
  Micros attempt{
      1'000'000};  // after which a candidate drops a ballot; at most half a length; the same everywhere

  // Whether a voter that forgot, and cannot ask a majority of the others, votes after one more length all the
  // same: the order of tokens then hangs on wall clocks (two holders at once are impossible either way).
  bool start_alone = true;

  std::size_t Majority() const { return voters.size() / 2 + 1; }
  // How long a holder counts on a lease by its own clock, from before it asked: a voter's clock may be the
  // fastest and the holder's the slowest that `drift` allows.
  Micros Valid() const {
    return Micros{static_cast<std::int64_t>(static_cast<double>(length.count()) * (1 - drift) / (1 + drift))};
  }
  // How long a voter keeps a promise by its own clock: until the candidate has dropped the ballot by its.
  Micros Promised() const {
    return Micros{
        static_cast<std::int64_t>(static_cast<double>(attempt.count()) * (1 + drift) / (1 - drift)) + 1};
  }
};

// What changed with us, for logs and for who acts on it.
struct Change {
  enum class What { kGranted, kLapsed, kReleased } what;
  std::string duty;
  Token token;
};

struct Figures {
  std::uint64_t sent = 0, received = 0, ballots = 0, granted = 0, renewed = 0, lapsed = 0, refused = 0;
};

// What a member says that it holds, as the fleet view passes it on.
struct Claimed {
  std::string duty;
  std::string member;
  Token token = kNoToken;
};

// What is known of a duty here, for operators.
struct Known {
  std::string holder;  // empty: not known
  Token token = kNoToken;
  Micros left{0};  // as far as known here; ours: by our own clock
  bool ours = false;
};

class Peer {
 public:
  Peer(Options options, std::string self, std::uint64_t seed, Micros now);

  // Wanting a duty makes us a candidate; no longer wanting it lets it go.
  void Want(const std::string& duty, bool wanted, Micros now);
  void Receive(Micros now, const Message& message);
  void Tick(Micros now, std::uint64_t wall_ms);
  // A token that was seen in use (by whoever is written to): the next ballot is above it.
  void Heard(const std::string& duty, Token token);
  // All that members claim now. An older grant's word is not believed, and no ballot goes below what is
  // claimed; a duty that is not ours to know is passed over.
  void Claims(const std::vector<Claimed>& claims);
  // Refused by a receiver that holds a newer token: the lease is given up without a word more.
  void Drop(const std::string& duty, Micros now);
  void ReleaseAll(Micros now);

  // The token to act under at `now`, or none. Asked anew before each act: a process may have been stopped
  // since the last look.
  std::optional<Token> Holds(const std::string& duty, Micros now) const;
  // As we hold, granted or were told; where that names nobody, as claimed.
  Known KnownOf(const std::string& duty, Micros now) const;
  Token HighestClaimed(const std::string& duty) const;

  std::vector<Out> TakeOut() { return std::exchange(out_, {}); }
  std::vector<Change> TakeChanges() { return std::exchange(changes_, {}); }
  Micros NextDue() const;
  bool IsVoter() const { return voter_; }
  bool Serving(const std::string& duty) const;  // a voter that answers
  const Options& Told() const { return options_; }
  const Figures& Counted() const { return figures_; }

 private:
  struct Vote {  // as a voter, of one duty
    bool serving = false;
    Token promised = kNoToken;  // the highest ballot ever prepared here
    std::string owner;
    Micros promise_until{0};
    Token granted = kNoToken;  // the highest ever granted here; never lower
    std::string holder;
    Micros until{0};
    std::vector<std::string> refused;  // to be told when it is free
    // While starting:
    Micros silent_until{0}, alone_at{0}, next_ask{0};
    std::uint64_t ask = 0;
    std::map<std::string, bool> marks;  // who answered, and whether it serves
  };
  enum class Phase { kIdle, kPreparing, kProposing, kHolding };
  struct Bid {  // as a candidate or holder, of one duty
    bool wanted = false;
    Phase phase = Phase::kIdle;
    Token ballot = kNoToken;
    Micros began{0};
    std::uint64_t seq = 0;
    Micros asked{0};  // when the proposal `seq` went out
    std::set<std::string> yes, no;
    Micros until{0};  // holding: by our clock
    Micros renew{0};
    Micros next_try{0};
    int failed = 0;       // ballots in a row
    Micros told_free{0};  // when the voters' words say that it may be free
  };

  void Send(const std::string& to, Message message);
  void ToVoters(const Message& message);
  void Handle(Micros now, const Message& message);
  void Drain(Micros now);
  void AsVoter(Micros now, Vote& vote, const Message& message);
  void AsBidder(Micros now, Bid& bid, const Message& message);
  void StartVote(Micros now, Vote& vote);
  void TickVote(Micros now, std::uint64_t wall_ms, const std::string& duty, Vote& vote);
  void TickBid(Micros now, std::uint64_t wall_ms, const std::string& duty, Bid& bid);
  void Propose(Micros now, const std::string& duty, Bid& bid);
  void AskVoters(Kind kind, const std::string& duty, Bid& bid);
  void Fail(Micros now, Bid& bid);
  void EndHold(Micros now, const std::string& duty, Bid& bid, Change::What what);
  Micros Between(Micros least, Micros most);
  bool Counts(const std::string& name) const;  // a voter

  Options options_;
  std::string self_;
  bool voter_ = false;
  std::mt19937_64 random_;
  std::map<std::string, Vote> votes_;
  std::map<std::string, Bid> bids_;
  std::map<std::string, Token> highest_;                           // heard of, by duty
  std::map<std::string, std::pair<std::string, Micros>> holders_;  // as refusals told: who, and until when
  std::map<std::string, std::pair<Token, std::string>>
      claims_;  // the highest ever claimed; by whom now, or empty
  std::uint64_t seq_ = 0;
  std::vector<Message> local_;  // to ourselves
  std::vector<Out> out_;
  std::vector<Change> changes_;
  Figures figures_;
};

// Those who try for a duty: the `count` of `alive` with the highest hash of duty and name, so that every
// member knows them from its view and no two duties load the same ones. In that order.
std::vector<std::string> Candidates(const std::string& duty, const std::vector<std::string>& alive,
                                    std::size_t count);

}  // namespace tinspan::lease
