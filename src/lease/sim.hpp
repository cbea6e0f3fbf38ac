// A simulated fleet of lease nodes and a store that they write to, without I/O: messages are delayed, lost,
// duplicated and reordered, links are cut one way or both, members are paused, killed and restarted without
// their state, clocks run at rates of their own and wall clocks are wrong. Time is simulated and one seed
// determines everything. Records the History of what was held and what the store accepted.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lease/history.hpp"
#include "lease/lease_node.hpp"
#include "lease/publisher.hpp"

namespace tinspan::lease::sim {

/// How links between members, and to the store, behave.
struct LinkQuality {
  double loss = 0;         // share of messages lost
  double duplication = 0;  // share of messages that arrive twice
  Micros min_delay{100};   // delays are uniform, so messages overtake one another
  Micros max_delay{2'000};
};

class Fleet {
 public:
  /// The one lease of the simulation.
  static constexpr const char* kLease = kHealthLease;

  /// A fleet of no members yet. They will be named m0, m1, ...; the first `voter_count` of them vote. A
  /// holder publishes each `publish_interval`.
  Fleet(LeaseOptions options, std::size_t voter_count, Micros publish_interval, std::uint64_t seed);
  ~Fleet() = default;
  Fleet(const Fleet&) = delete;  // its events refer to it
  Fleet& operator=(const Fleet&) = delete;
  Fleet(Fleet&&) = delete;
  Fleet& operator=(Fleet&&) = delete;

  /// Adds a member whose clock runs at `clock_rate` of true time and whose wall clock is wrong by
  /// `wall_clock_offset`. Returns its index, by which the functions below name it.
  int Add(double clock_rate = 1, Micros wall_clock_offset = Micros{0});
  void SetCandidacy(int member, bool is_candidate);
  void Kill(int member);
  /// Starts a killed member again; all of its state is lost.
  void Restart(int member);
  /// The member does nothing until then; what it receives meanwhile it handles afterwards.
  void Pause(int member, Micros until);
  /// Ends the member's candidacy and releases what it holds; it continues to run.
  void Leave(int member);

  /// Faults of links; Heal ends all of them.
  void CutLink(int from, int recipient) { cut_links_.insert({from, recipient}); }
  void CutStore(int member, bool is_cut) { members_[member].is_store_cut = is_cut; }
  /// The member's requests to the store take up to `max_delay` longer.
  void DelayStore(int member, Micros max_delay) { members_[member].max_store_delay = max_delay; }
  /// Cuts all links between the members of `side` and the others.
  void Partition(const std::vector<int>& side);
  void Heal();
  void SetLinkQuality(const LinkQuality& quality) { link_ = quality; }

  void RunFor(Micros span);
  /// True time.
  Micros Now() const { return now_; }
  bool IsRunning(int member) const { return members_[member].is_running; }
  const LeaseNode& NodeOf(int member) const { return *members_[member].node; }
  std::string NameOf(int member) const { return members_[member].name; }
  /// The first running member that holds the lease by its own clock.
  std::optional<int> Holder() const;
  const History& RecordedHistory() const { return history_; }
  std::uint64_t MessageCount() const { return message_count_; }
  std::uint64_t StoreRequestCount() const { return store_request_count_; }
  /// What the store holds.
  const StoredRecord& Stored() const { return stored_; }

 private:
  struct Member {
    std::string name;
    std::unique_ptr<LeaseNode> node;
    std::unique_ptr<Publisher> publisher;
    double clock_rate = 1;
    Micros wall_clock_offset{0};
    Micros max_store_delay{0};
    bool is_running = true;
    bool is_candidate = false;
    bool is_store_cut = false;
    Micros paused_until{0};
    std::uint64_t schedule = 0;                   // the latest scheduled tick; earlier ones are void
    std::uint64_t incarnation = 0;                // events of an earlier one are void
    std::uint64_t store_request = 0;              // the latest; responses to earlier ones are void
    std::vector<std::function<void()>> deferred;  // received while paused
  };

  struct Event {
    Micros at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator>(const Event& other) const;
  };

  /// A request to the store, and how it is to be handled.
  struct StoreCall {
    int member;
    std::uint64_t incarnation;
    std::uint64_t id;
    StoreRequest request;
    bool is_response_lost;
  };

  Micros LocalTime(const Member& member) const;
  static Micros TrueTime(const Member& member, Micros local);
  std::uint64_t WallMs(const Member& member) const;
  Micros RandomDelay();
  bool RandomChance(double probability);
  bool IsStoreMessageLost(int member);

  void Schedule(Micros run_at, std::function<void()> run);
  void ScheduleTick(int member);
  void RunTick(int member);
  /// Runs as `member`, after its pause if it is paused; not at all if that incarnation has ended.
  void RunAs(int member, std::uint64_t incarnation, std::function<void()> run);
  void Start(int member);
  void Flush(int member);
  void RecordHold(const Member& member);
  void SendMessage(int sender, const OutboundMessage& outbound);
  void CallStore(int member, const StoreRequest& request);
  void ReachStore(const StoreCall& call);
  void Respond(const StoreCall& call, std::function<void(Member&)> handle);
  void OnRecordRead(Member& member, const StoredRecord& stored);

  LeaseOptions options_;
  Micros publish_interval_;
  std::mt19937_64 random_;
  LinkQuality link_;
  Micros now_{1'000'000'000'000};
  std::vector<Member> members_;
  std::set<std::pair<int, int>> cut_links_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t event_count_ = 0;
  std::uint64_t message_count_ = 0;
  std::uint64_t store_request_count_ = 0;
  StoredRecord stored_;
  History history_;
};

}  // namespace tinspan::lease::sim
