// One member's view of the fleet, without I/O: SWIM's failure detector, suspicion and dissemination,
// Lifeguard's local health, and anti-entropy by digest. The caller passes the time and the random seed in;
// messages arrive through Receive and leave through DrainMessages. The design, its limits and the
// alternatives: docs/design/members.md.
//
// Faults it withstands: a member that is slow or was paused suspects nobody for it (local health, detection
// of pauses); a member suspected wrongly returns (refutation with a higher incarnation); the halves of a
// healed partition find each other (syncs with departed members and with seeds); the bytes of a message do
// not grow with the fleet (a digest of fixed size, updates sent a bounded number of times); and a process
// started again under its old name is newer than the one before (incarnations).
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
  // A view that knows this member alone. Of `self` counts the name, address, zone and first incarnation.
  MembershipView(Options options, const MemberUpdate& self, std::uint64_t seed, Micros now);
  ~MembershipView() = default;
  MembershipView(const MembershipView&) = delete;  // its parts refer to each other
  MembershipView& operator=(const MembershipView&) = delete;
  MembershipView(MembershipView&&) = delete;
  MembershipView& operator=(MembershipView&&) = delete;

  // Merges the message's updates and answers it.
  void Receive(Micros now, const Message& message);
  // Does all that is due; to be called at NextDeadline, and harmless before.
  void Tick(Micros now);
  // Takes a member as known without spreading it: for simulations that start from a view already agreed on.
  void Seed(Micros now, const MemberUpdate& update);

  // Sets the servers this member sees fail now, kMaxFailingServers at most; a change is spread.
  void SetFailingServers(std::vector<std::uint64_t> servers);
  // Sets the leases this member holds now, kMaxLeaseClaims at most; a change is spread.
  void SetLeaseClaims(std::vector<LeaseClaim> claims);
  // Tells some members that this one leaves. The view goes on answering, but probes and syncs no more.
  void Leave(Micros now);

  // Takes the messages to be sent, in order.
  std::vector<Datagram> DrainMessages() { return outbox_.Drain(); }
  // Takes the changes of state since the last call, in order.
  std::vector<StateChange> DrainChanges() { return std::exchange(changes_, {}); }
  // When Tick has work next; Micros::max() where it has none.
  Micros NextDeadline() const;

  // All members known, this one and departed ones included, by name.
  const std::map<std::string, Member>& Members() const { return table_.Members(); }
  const Member& Self() const { return std::as_const(table_).Self(); }
  std::size_t Count(State state) const { return table_.Count(state); }
  // Lifeguard's local health multiplier: 0 is healthy.
  int LocalHealthMultiplier() const { return health_.Multiplier(); }
  const MembershipStats& Stats() const { return stats_; }
  const Digest& CurrentDigest() const { return table_.CurrentDigest(); }
  // How long a suspicion lasts after so many confirmations.
  Micros SuspicionTimeout(std::size_t confirmations) const { return suspicions_.Timeout(confirmations); }

 private:
  void Merge(Micros now, const MemberUpdate& update);
  void MergeSelf(const MemberUpdate& update);
  void MergeNewMember(Micros now, const MemberUpdate& update);
  void MergeSameState(Member& member, const MemberUpdate& update);
  void MergeNewerState(Micros now, Member& member, const MemberUpdate& update);

  void Suspect(Micros now, Member& member, const std::string& suspector);
  // Sets the state, logs the change and ends a suspicion that no longer stands.
  void SetState(Micros now, Member& member, State state, std::uint64_t incarnation, Micros age = Micros{0});
  // Spreads a member's new state, and brings the digest up to date.
  void Publish(Member& member);
  void PublishOwnReport();
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
