// All members that one view knows, with their number in each state, their digest, and the expiry of dead and
// left members. The digest is updated with each change: recomputing it over the whole table for each sync was
// most of the cost of healing a partition at 2,000 members.
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

// One view's entry for a member. Owned by MemberTable.
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

  std::set<std::string> suspectors;  // suspect: the members known to suspect it
  std::string latest_suspector;      // the suspector added last, named in updates
  Micros suspicion_deadline{0};      // suspect: when it is declared dead

  std::uint64_t name_hash = 0;     // selects its bucket in the digest
  std::uint64_t digest_entry = 0;  // its current contribution to the digest; 0: not in the digest yet
};

// The update that describes `member` in a message.
MemberUpdate ToUpdate(const Member& member, Micros now);

class MemberTable {
 public:
  // Creates a table that contains only this member, alive. Uses only the name, address, zone and incarnation
  // of `self`. Departed members are erased `dead_retention` after their death or leave.
  MemberTable(const MemberUpdate& self, Micros dead_retention, Micros now);
  ~MemberTable() = default;
  MemberTable(const MemberTable&) = delete;  // the buckets contain pointers to the members
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

  // Adds the update's member as alive at the update's incarnation. UpdateDigest adds it to the digest.
  Member& Insert(Micros now, const MemberUpdate& update);
  // Sets the state and the incarnation. Where the state changes, `state_since` becomes `now` - `age`.
  void SetState(Micros now, Member& member, State state, std::uint64_t incarnation, Micros age);

  const Digest& CurrentDigest() const { return digest_; }
  // Must be called after each change of a member.
  void UpdateDigest(Member& member);
  // The members in one bucket of the digest.
  const std::vector<const Member*>& Bucket(std::size_t index) const { return buckets_[index]; }

  // Erases members that departed at least `dead_retention` ago; returns their names.
  std::vector<std::string> EraseExpired(Micros now);
  // A time no later than the next expiry; Micros::max() where there is none.
  Micros NextExpiry() const { return next_expiry_; }

 private:
  std::string self_name_;
  Micros dead_retention_;
  std::map<std::string, Member> members_;
  std::array<std::size_t, kStateCount> counts_{};
  Digest digest_{};
  std::array<std::vector<const Member*>, kDigestBuckets> buckets_;
  std::set<std::string> departed_;  // dead and left members, to be erased
  Micros next_expiry_ = Micros::max();
};

}  // namespace tinspan::members
