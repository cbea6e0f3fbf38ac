// The duty `purge`: an operator's purge at one doorman reaches every doorman of the fleet, without I/O. The
// doorman that took it hands it to the duty's holder, again and again while it matters; the holder sends it
// to every member alive in its view until each has said that it applied it; a member applies each purge once,
// and none from a holder whose token is older than one it has seen.
//
// Guarded against: a holder that dies half way (it is handed to the next, who finishes; who has it already
// says so and does nothing), a holder that was stopped and goes on (its token is older), a member that was
// cut off or started late (it is sent to as long as the purge matters), and floods (bounds on jobs, on what
// goes out a round).
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "lease/history.hpp"
#include "lease/lease_node.hpp"

namespace tinspan::lease {

struct Job {
  std::string id;  // ORIGIN/NUMBER, 1 to kMostJobId bytes
  std::uint64_t group = 0;
  std::optional<std::uint64_t> object;  // none: the whole group
  Micros age{0};                        // on the wire: how long ago it was made
};

enum class FanKind : std::uint8_t {
  kHand,     // origin to holder
  kTaken,    // holder to origin: I see to it
  kApply,    // holder to member, under its token
  kApplied,  // member to holder
  kOlder,    // member to holder: `token` is newer than yours
};
struct FanMessage {
  FanKind kind = FanKind::kHand;
  std::string from;
  Token token = kNoToken;
  Job job;  // taken, applied, older: its id alone
};
struct FanOut {
  std::string to;
  FanMessage message;
};

class Fanout {
 public:
  static constexpr std::size_t kMostJobs = 256;       // open at a time, as origin and as holder
  static constexpr std::size_t kMostApplied = 4'096;  // remembered
  static constexpr std::size_t kMostJobId = 96;
  static constexpr std::size_t kMostRound = 64;      // sent in one round by a holder
  static constexpr std::size_t kMostLooked = 4'096;  // members looked at in one round, over all purges
  static constexpr Micros kRetry{100'000}, kAgain{1'000'000}, kBurst{5'000};

  // `keep`: how long a purge matters. `start` makes ids of this life differ from an earlier one's.
  Fanout(std::string self, std::uint64_t start, Micros keep)
      : self_(std::move(self)), start_(start), keep_(keep) {}

  // Taken here from an operator, and applied here already. False: too many are open.
  bool Begin(Micros now, Job job);
  void Receive(Micros now, const FanMessage& message, std::optional<Token> held);
  // A token seen in use elsewhere (claimed in the fleet view): older holders are refused from now on.
  void Fenced(Token token) { fence_.Admit(kPurge, token); }
  Token Highest() const { return fence_.Highest(kPurge); }
  // `holder`: who holds the duty as far as is known, or empty; `held`: our token, if that is us; `alive`: the
  // members alive in our view.
  void Tick(Micros now, const std::string& holder, std::optional<Token> held,
            const std::vector<std::string>& alive);

  std::vector<FanOut> TakeOut() { return std::exchange(out_, {}); }
  std::vector<Job> TakeApplied() { return std::exchange(apply_, {}); }  // to be applied here now
  Micros NextDue() const;
  std::size_t Open() const { return mine_.size() + work_.size(); }
  std::uint64_t Applied() const { return applied_count_; }
  std::uint64_t Refused() const { return refused_; }  // from holders with an older token
  Token Newer() const { return newer_; }              // a token that made us older; none: 0

 private:
  struct Mine {
    Job job;
    Micros born{0}, due{0};
    bool taken = false;
  };
  struct Work {
    Job job;
    Micros born{0}, next{0};                       // next: when it is looked at again
    std::unordered_set<std::string> done;          // of those alive in our view, and the origin
    std::unordered_map<std::string, Micros> sent;  // not done: when last
  };
  void Send(const std::string& to, FanKind kind, Token token, Job job);
  void TakeOn(Micros now, const Job& job, Micros born);
  void Spread(Micros now, Token held, const std::vector<std::string>& alive);
  bool Remember(const std::string& id);  // false: it was known
  Job Aged(const Job& job, Micros born, Micros now) const;

  std::string self_;
  std::uint64_t start_, last_ = 0;
  Micros keep_;
  std::map<std::string, Mine> mine_;
  std::map<std::string, Work> work_;  // as holder
  std::optional<Token> under_;        // the token that `work_` is done under
  Fence fence_;
  std::unordered_set<std::string> applied_;
  std::deque<std::string> applied_order_;
  std::uint64_t applied_count_ = 0, refused_ = 0;
  Token newer_ = kNoToken;
  std::vector<FanOut> out_;
  std::vector<Job> apply_;
};

}  // namespace tinspan::lease
