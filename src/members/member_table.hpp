// All members that one view knows, with their count by state, the digest over them, and the expiry of those
// that died or left. Every change keeps the digest up to date: a walk over the whole table for each sync was
// most of the cost of a healed partition at 2,000 members.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "members/message.hpp"
#include "members/types.hpp"

namespace tinspan::members {

// A member as this view knows it. MemberTable owns all of them.
struct Member {
  std::string name;
  Address address;
  std::string zone;
  std::uint64_t incarnation = 0;
  State state = State::kAlive;
  Micros state_since{0};
  std::uint64_t report_version = 0;  // of the two lists below
  std::vector<std::uint64_t> failing_servers;
  std::vector<LeaseClaim> lease_claims;

  std::set<std::string> suspectors;  // suspect: those known to suspect it
  std::string latest_suspector;      // of these, the last one heard of: named in updates
  Micros suspicion_deadline{0};      // suspect: when it is declared dead

  std::uint64_t name_hash = 0;     // chooses its bucket in the digest
  std::uint64_t digest_entry = 0;  // its part of the digest by now; 0: none yet
};

// What a message says of `member`.
MemberUpdate ToUpdate(const Member& member, Micros now);

class MemberTable {
 public:
  // A table that holds its own member alone, alive. Of `self` counts the name, address, zone and incarnation.
  // Departed members are erased `dead_retention` after their end.
  MemberTable(const MemberUpdate& self, Micros dead_retention, Micros now);
  ~MemberTable() = default;
  MemberTable(const MemberTable&) = delete;  // the buckets point into the members
  MemberTable& operator=(const MemberTable&) = delete;
  MemberTable(MemberTable&&) = delete;
  MemberTable& operator=(MemberTable&&) = delete;

  const std::map<std::string, Member>& Members() const { return members_; }
  const std::string& SelfName() const { return self_name_; }
  const Member& Self() const { return members_.at(self_name_); }
  Member& Self() { return members_.at(self_name_); }
  bool IsSelf(const std::string& name) const { return name == self_name_; }
  // The member of that name, or null.
  Member* Find(const std::string& name);
  // The member of that name. Throws std::out_of_range where there is none.
  Member& At(const std::string& name) { return members_.at(name); }

  std::size_t Count(State state) const { return counts_[static_cast<std::size_t>(state)]; }
  // Alive and suspect members, this one included.
  std::size_t LiveCount() const { return Count(State::kAlive) + Count(State::kSuspect); }

  // Adds the update's member as alive at its incarnation. It enters the digest with UpdateDigest.
  Member& Insert(Micros now, const MemberUpdate& update);
  // Sets state and incarnation; where the state changes, it counts since `age` before now.
  void SetState(Micros now, Member& member, State state, std::uint64_t incarnation, Micros age);

  const Digest& CurrentDigest() const { return digest_; }
  // To be called after each change of a member.
  void UpdateDigest(Member& member);
  const std::vector<const Member*>& Bucket(std::size_t index) const { return buckets_[index]; }

  // Erases members that departed at least `dead_retention` ago; returns their names.
  std::vector<std::string> EraseExpired(Micros now);
  // No later than the next expiry; Micros::max() where none is due.
  Micros NextExpiry() const { return next_expiry_; }

 private:
  std::string self_name_;
  Micros dead_retention_;
  std::map<std::string, Member> members_;
  std::array<std::size_t, kStateCount> counts_{};
  Digest digest_{};
  std::array<std::vector<const Member*>, kDigestBuckets> buckets_;
  std::set<std::string> departed_;  // to be erased
  Micros next_expiry_ = Micros::max();
};

}  // namespace tinspan::members
