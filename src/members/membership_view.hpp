// One member's view of the fleet, without I/O: SWIM's failure detector, suspicion and dissemination,
// Lifeguard's local health, and anti-entropy by digest. The caller provides the time and the random seed,
// passes received messages to Receive and sends the messages that DrainMessages returns. Not thread-safe. The
// design, its limits and the alternatives: docs/design/members.md.
//
// Faults that it tolerates:
// - A member that is slow or was paused does not suspect others because of it (local health, detection of
//   pauses).
// - A member that was wrongly suspected or declared dead returns (refutation with a higher incarnation).
// - Both sides of a healed partition merge again (syncs with departed members and with seeds).
// - The size of a message does not grow with the fleet (a digest of fixed size, updates that are sent a
//   bounded number of times).
// - A process that is restarted under the same name overrides the previous process (incarnations).
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "members/anti_entropy.hpp"
#include "members/dissemination.hpp"
#include "members/failure_detector.hpp"
#include "members/local_health.hpp"
#include "members/member_table.hpp"
#include "members/message.hpp"
#include "members/options.hpp"
#include "members/outbox.hpp"
#include "members/suspicion.hpp"
#include "members/types.hpp"

namespace tinspan::members {

class MembershipView {
 public:
  // Creates a view that knows only this member. Uses only the name, address, zone and first incarnation of
  // `self`. `seed` initializes the random number generator.
  MembershipView(Options options, const MemberUpdate& self, std::uint64_t seed, Micros now);
  ~MembershipView() = default;
  MembershipView(const MembershipView&) = delete;  // the parts hold references to each other
  MembershipView& operator=(const MembershipView&) = delete;
  MembershipView(MembershipView&&) = delete;
  MembershipView& operator=(MembershipView&&) = delete;

  // Merges the message's updates and queues the response, if there is one.
  void Receive(Micros now, const Message& message);
  // Performs all work that is due. To be called at NextDeadline; an earlier call is harmless.
  void Tick(Micros now);
  // Adds a member without disseminating it or reporting a change. For simulations of a fleet whose views
  // already agree at the start.
  void AddKnownMember(Micros now, const MemberUpdate& update);

  // Sets the servers that this member currently reports as failing; those beyond kMaxFailingServers are
  // dropped. A change is disseminated.
  void SetFailingServers(std::vector<std::uint64_t> servers);
  // Sets the leases that this member currently holds; those beyond kMaxLeaseClaims are dropped. A change is
  // disseminated.
  void SetLeaseClaims(std::vector<LeaseClaim> claims);
  // Notifies a few members that this one leaves. The view still responds to messages, but starts no more
  // probes and syncs.
  void Leave(Micros now);

  // Removes and returns the messages to send, in order.
  std::vector<Datagram> DrainMessages() { return outbox_.Drain(); }
  // Removes and returns the state changes since the last call, in order.
  std::vector<StateChange> DrainChanges() { return std::exchange(changes_, {}); }
  // When Tick has work next; Micros::max() where there is none.
  Micros NextDeadline() const;

  // All known members by name, including this one and departed ones.
  const std::map<std::string, Member>& Members() const { return table_.Members(); }
  const Member& Self() const { return std::as_const(table_).Self(); }
  std::size_t Count(State state) const { return table_.Count(state); }
  // Lifeguard's local health multiplier: 0 is healthy.
  int LocalHealthMultiplier() const { return health_.Multiplier(); }
  const MembershipStats& Stats() const { return stats_; }
  const Digest& CurrentDigest() const { return table_.CurrentDigest(); }
  // The suspicion timeout after that many confirmations.
  Micros SuspicionTimeout(std::size_t confirmations) const { return suspicions_.Timeout(confirmations); }

 private:
  void Merge(Micros now, const MemberUpdate& update);
  void MergeSelf(const MemberUpdate& update);
  void MergeNewMember(Micros now, const MemberUpdate& update);
  void MergeSameState(Member& member, const MemberUpdate& update);
  void MergeNewerState(Micros now, Member& member, const MemberUpdate& update);

  void Suspect(Micros now, Member& member, const std::string& suspector);
  // Sets the state, records the change and ends the suspicion of a member that is no longer suspect.
  void SetState(Micros now, Member& member, State state, std::uint64_t incarnation, Micros age = Micros{0});
  // Queues a changed member for dissemination and updates the digest.
  void Publish(Member& member);
  // Raises the version of this member's report and publishes it.
  void PublishOwnReport();
  // Restarts all suspicions, drops the pending probe and the relays, and raises the local health multiplier.
  void RecoverFromPause(Micros now);
  void DeclareExpiredDead(Micros now);

  Options options_;
  std::mt19937_64 random_;
  MembershipStats stats_;
  LocalHealth health_;
  MemberTable table_;
  DisseminationQueue dissemination_;
  Outbox outbox_;
  SuspicionTracker suspicions_;
  FailureDetector detector_;
  AntiEntropy anti_entropy_;
  std::vector<StateChange> changes_;
  Micros last_tick_;
  bool is_leaving_ = false;
};

}  // namespace tinspan::members
