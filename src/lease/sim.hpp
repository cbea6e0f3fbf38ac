// Simulates a fleet of lease nodes and the store that they write to; does no I/O. Messages are delayed, lost,
// duplicated and reordered, links are cut in one or both directions, members are paused, killed and restarted
// without their state, clocks run at different rates, and wall clocks are wrong. Time is simulated, and the
// seed determines the whole run. Records the holds and the writes that the store accepted in a History.
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

/// The quality of the links between members and to the store.
struct LinkQuality {
  double loss = 0;         // share of messages lost
  double duplication = 0;  // share of messages that arrive twice
  Micros min_delay{100};   // delays are uniformly distributed, so that messages are reordered
  Micros max_delay{2'000};
};

/// A simulated fleet. Members are identified by the index that Add returns. Not thread-safe.
class Fleet {
 public:
  /// The only lease in the simulation.
  static constexpr const char* kLease = kHealthLease;

  /// A fleet without members. Members are named m0, m1, ... in the order in which they are added; the first
  /// `voter_count` of them are voters. The holder publishes every `publish_interval`.
  Fleet(LeaseOptions options, std::size_t voter_count, Micros publish_interval, std::uint64_t seed);
  ~Fleet() = default;
  Fleet(const Fleet&) = delete;  // its events refer to it
  Fleet& operator=(const Fleet&) = delete;
  Fleet(Fleet&&) = delete;
  Fleet& operator=(Fleet&&) = delete;

  /// Adds a member whose clock runs at `clock_rate` times true time and whose wall clock is off by
  /// `wall_clock_offset`. Returns its index.
  int Add(double clock_rate = 1, Micros wall_clock_offset = Micros{0});
  void SetCandidacy(int member, bool is_candidate);
  void Kill(int member);
  /// Starts a killed member again without its earlier state.
  void Restart(int member);
  /// Pauses the member until `until`. It handles the messages received during the pause afterwards.
  void Pause(int member, Micros until);
  /// Ends the member's candidacy and releases its lease. The member continues to run.
  void Leave(int member);

  /// Link and store faults, which last until Heal. CutLink cuts one direction only.
  void CutLink(int from, int recipient) { cut_links_.insert({from, recipient}); }
  void CutStore(int member, bool is_cut) { members_[member].is_store_cut = is_cut; }
  /// Delays each of the member's requests to the store by an additional time of up to `max_delay`.
  void DelayStore(int member, Micros max_delay) { members_[member].max_store_delay = max_delay; }
  /// Cuts all links between the members of `side` and the others.
  void Partition(const std::vector<int>& side);
  void Heal();
  void SetLinkQuality(const LinkQuality& quality) { link_ = quality; }

  /// Runs the simulation for `span` of true time.
  void RunFor(Micros span);
  /// The current true time.
  Micros Now() const { return now_; }
  bool IsRunning(int member) const { return members_[member].is_running; }
  const LeaseNode& NodeOf(int member) const { return *members_[member].node; }
  std::string NameOf(int member) const { return members_[member].name; }
  /// The first running member that holds the lease by its own clock; nullopt if there is none.
  std::optional<int> Holder() const;
  const History& RecordedHistory() const { return history_; }
  std::uint64_t MessageCount() const { return message_count_; }
  std::uint64_t StoreRequestCount() const { return store_request_count_; }
  /// The record in the store.
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
    std::uint64_t latest_tick_id = 0;             // earlier scheduled ticks are ignored
    std::uint64_t incarnation = 0;                // events of earlier incarnations are ignored
    std::uint64_t latest_store_request_id = 0;    // responses to earlier requests are ignored
    std::vector<std::function<void()>> deferred;  // events that occurred during a pause
  };

  struct Event {
    Micros at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator>(const Event& other) const;
  };

  /// A request to the store, its sender, and whether its response will be lost.
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
  /// Runs `run` as `member`, after its pause if it is paused. Does nothing if that incarnation has ended.
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
