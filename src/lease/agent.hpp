// Runs a member's lease node in the program: its messages over the fleet view's datagrams, its timer and log
// lines, the publication of the fleet's health to the operators' store, and the distribution of purges. What
// is decided comes from LeaseNode, Publisher and PurgeDistributor; this part does their I/O.
//
// Safe against: a machine that was suspended (the clock is CLOCK_BOOTTIME, which counts that time), a process
// that was stopped (the lease is checked right before each request goes out), invalid messages (counted and
// dropped), a store that is down (the lease is kept, the figures report it), and an upgrade: while the
// process before this one has the port it still votes under the same name, so the node, and with it a voter's
// silence, starts when the port is bound here.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "lease/codec.hpp"
#include "lease/kv_store.hpp"
#include "lease/lease_node.hpp"
#include "lease/publisher.hpp"
#include "lease/purge_distributor.hpp"
#include "members/node.hpp"

namespace tinspan::lease {

struct AgentOptions {
  /// Where the holder of kHealthLease publishes.
  struct HealthPublication {
    net::Endpoint store;
    std::string key;
    Micros interval{5'000'000};
  };

  LeaseOptions lease;                                   // `lease_names` is set by the agent
  std::size_t candidate_count = 3;                      // members that try for a lease at a time
  std::optional<HealthPublication> health_publication;  // none: kHealthLease is off
  bool distributes_purges = false;                      // whether kPurgeLease is on
  Micros purge_retention{60'000'000};                   // how long a purge is distributed
  std::uint64_t seed = 0;
};

class Agent {
 public:
  static constexpr Micros kViewInterval{250'000};  // between looks at the fleet view
  static constexpr Micros kStoreTimeout{1'000'000};
  using PurgeHandler = std::function<void(const Purge&)>;

  /// `loop` and `members` must outlive the agent.
  Agent(net::EventLoop& loop, members::Node& members, AgentOptions options);
  ~Agent();
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;
  Agent(Agent&&) = delete;
  Agent& operator=(Agent&&) = delete;

  /// Releases all leases; this member is no candidate from here on.
  void Leave();
  /// `handler` is called for each purge of another member, to apply it here.
  void SetPurgeHandler(PurgeHandler handler) { purge_handler_ = std::move(handler); }
  bool DistributesPurges() const { return options_.distributes_purges; }
  /// Distributes an operator's purge that was applied here.
  SubmitResult SubmitPurge(Purge purge);

  const LeaseNode& Leases() const { return lease_node_; }
  const std::optional<Publisher>& HealthPublisher() const { return publisher_; }
  const PurgeDistributor& Purges() const { return purge_distributor_; }
  /// Messages that could not be decoded.
  std::uint64_t RejectedMessages() const { return rejected_messages_; }
  /// A line a lease: NAME HOLDER TOKEN LEFT_MS ROLE, then for health number=N store=well or failing, for
  /// purge open=N applied=N refused=N; unknown parts are - or 0.
  std::string StatusLines() const;

 private:
  static Micros Now();
  static std::uint64_t WallMs();

  void OnMessage(const std::string& sender, const std::string& bytes);
  void OnUndecodable(const DecodeError& error);
  void OnTimer();
  void ScheduleTimer();
  bool StartOnceBound(Micros now);
  void RefreshFromView(Micros now);
  void Flush();
  void PublishClaims();
  void PublishHealth();
  void OnStoreResult(const StoreResult& result);
  void OnStoreFailed(const StoreError& error);
  void OnRecordRead(const StoredRecord& stored);
  void RunPurgeDistribution();
  void ApplyPurges();
  void AbandonIfSuperseded(Micros now);
  void AbandonLease(const char* lease, Token newer_token, Micros now);
  std::string StatusLine(const std::string& lease) const;
  std::string RoleIn(const std::string& lease, const LeaseStatus& status) const;

  net::EventLoop& loop_;
  members::Node& members_;
  AgentOptions options_;
  bool is_started_ = false;  // the port is bound here
  LeaseNode lease_node_;
  std::optional<Publisher> publisher_;
  std::optional<KvStore> store_;
  PurgeDistributor purge_distributor_;
  PurgeHandler purge_handler_;
  std::vector<std::string> alive_members_;  // at the last look at the view
  std::string last_store_failure_;
  Micros next_view_at_{0};
  bool is_leaving_ = false;
  std::uint64_t rejected_messages_ = 0;
  std::optional<net::TimerQueue::Id> timer_;
};

}  // namespace tinspan::lease
