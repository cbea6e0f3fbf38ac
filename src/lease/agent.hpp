// Does the I/O for the lease module: sends and receives lease messages in the fleet view's datagrams, runs
// the timer, logs changes, publishes the fleet's health to the operators' store and distributes purges. The
// decisions are made by LeaseNode, Publisher and PurgeDistributor, which do no I/O.
//
// Handles these faults:
// - the machine was suspended: the clock is CLOCK_BOOTTIME, which includes suspended time;
// - the process was stopped: the lease is checked immediately before each request is sent;
// - invalid messages: they are counted and dropped;
// - the store is down: the lease stays held, and the status and log report the failure;
// - an upgrade: while the previous process has the port bound, it still votes under the same name. The node,
//   and with it a voter's silent period, therefore starts only once this process has bound the port.
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

/// The settings of an Agent.
struct AgentOptions {
  /// Where and how often the holder of kHealthLease publishes the fleet's health.
  struct HealthPublication {
    net::Endpoint store;
    std::string key;
    Micros interval{5'000'000};
  };

  LeaseOptions lease;                                   // the agent sets `lease_names`
  std::size_t candidate_count = 3;                      // members that are candidates for a lease at a time
  std::optional<HealthPublication> health_publication;  // if unset, kHealthLease is off
  bool distributes_purges = false;                      // whether kPurgeLease is enabled
  Micros purge_retention{60'000'000};                   // how long a purge is distributed
  std::uint64_t seed = 0;                               // of the lease node's random generator
};

/// Runs this member's lease node on an event loop. Not thread-safe: use it from the loop's thread only.
class Agent {
 public:
  static constexpr Micros kViewRefreshInterval{250'000};  // between two reads of the fleet view
  static constexpr Micros kStoreTimeout{1'000'000};       // for each request to the store
  using PurgeHandler = std::function<void(const Purge&)>;

  /// `loop` and `members` must outlive the agent.
  Agent(net::EventLoop& loop, members::MembershipNode& members, AgentOptions options);
  ~Agent();
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;
  Agent(Agent&&) = delete;
  Agent& operator=(Agent&&) = delete;

  /// Releases all leases and ends this member's candidacies permanently.
  void Leave();
  /// Sets the function that applies a purge from another member at this member.
  void SetPurgeHandler(PurgeHandler handler) { purge_handler_ = std::move(handler); }
  bool DistributesPurges() const { return options_.distributes_purges; }
  /// Distributes an operator's purge to the fleet; the caller applies it at this member. Returns nullopt if
  /// the purge was accepted, and otherwise after which time it can be.
  std::optional<Micros> SubmitPurge(Purge purge);

  const LeaseNode& Leases() const { return lease_node_; }
  const std::optional<Publisher>& HealthPublisher() const { return publisher_; }
  const PurgeDistributor& Purges() const { return purge_distributor_; }
  /// The number of messages that could not be decoded.
  std::uint64_t RejectedMessages() const { return rejected_messages_; }
  /// One line per lease: NAME HOLDER TOKEN LEFT_MS ROLE, followed by number=N store=well|failing for health,
  /// or open=N applied=N refused=N for purge. Unknown values are printed as - or 0.
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
  members::MembershipNode& members_;
  AgentOptions options_;
  bool is_started_ = false;  // this process has bound the port
  LeaseNode lease_node_;
  std::optional<Publisher> publisher_;
  std::optional<KvStore> store_;
  PurgeDistributor purge_distributor_;
  PurgeHandler purge_handler_;
  std::vector<std::string> alive_members_;  // as of the last read of the fleet view
  std::string last_store_failure_;
  Micros next_view_refresh_at_{0};
  bool is_leaving_ = false;
  std::uint64_t rejected_messages_ = 0;
  std::optional<net::TimerQueue::Id> timer_;
};

}  // namespace tinspan::lease
