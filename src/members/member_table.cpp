#include "members/member_table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "members/message.hpp"
#include "members/types.hpp"

namespace tinspan::members {
namespace {

// Hashes two words with the finalizer of splitmix64 (Steele, Lea, Flood: "Fast Splittable Pseudorandom Number
// Generators"). All members of a fleet must use the same function, or their digests always differ.
std::uint64_t Mix(std::uint64_t first, std::uint64_t second) {
  std::uint64_t mixed = (first * 0x9e3779b97f4a7c15ULL) + second + 0x632be59bd9b4e019ULL;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

std::uint64_t HashName(const std::string& name) { return XXH3_64bits(name.data(), name.size()); }

std::size_t BucketIndex(const Member& member) {
  return static_cast<std::size_t>(member.name_hash % kDigestBuckets);
}

// The member's contribution to the digest. Never 0, which marks a member that is not in the digest yet.
std::uint64_t DigestEntry(const Member& member) {
  const std::uint64_t version = (member.incarnation * 4) + static_cast<std::uint64_t>(member.state);
  return Mix(Mix(member.name_hash, version), member.report_version) | 1;
}

}  // namespace

MemberUpdate ToUpdate(const Member& member, Micros now) {
  MemberUpdate update;
  update.name = member.name;
  update.address = member.address;
  update.zone = member.zone;
  update.incarnation = member.incarnation;
  update.state = member.state;
  update.age = IsDeparted(member.state) ? now - member.state_since : Micros{0};
  // The suspector added last, so that each suspector is disseminated and counts as a confirmation elsewhere.
  if (member.state == State::kSuspect) update.suspected_by = member.latest_suspector;
  update.report_version = member.report_version;
  update.failing_servers = member.failing_servers;
  update.lease_claims = member.lease_claims;
  return update;
}

MemberTable::MemberTable(const MemberUpdate& self, Micros dead_retention, Micros now)
    : self_name_(self.name), dead_retention_(dead_retention) {
  MemberUpdate initial;
  initial.name = self.name;
  initial.address = self.address;
  initial.zone = self.zone;
  initial.incarnation = self.incarnation;
  Insert(now, initial);
}

Member* MemberTable::Find(const std::string& name) {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

Member& MemberTable::Insert(Micros now, const MemberUpdate& update) {
  Member& member = members_[update.name];
  member.name = update.name;
  member.address = update.address;
  member.zone = update.zone;
  member.incarnation = update.incarnation;
  member.state = State::kAlive;
  member.state_since = now;
  member.report_version = update.report_version;
  member.failing_servers = update.failing_servers;
  member.lease_claims = update.lease_claims;
  member.name_hash = HashName(update.name);
  ++counts_[static_cast<std::size_t>(State::kAlive)];
  return member;
}

void MemberTable::SetState(Micros now, Member& member, State state, std::uint64_t incarnation, Micros age) {
  member.incarnation = incarnation;
  if (member.state != state) {
    --counts_[static_cast<std::size_t>(member.state)];
    ++counts_[static_cast<std::size_t>(state)];
    member.state = state;
    member.state_since = now - age;
  }
  if (IsDeparted(state)) {
    departed_.insert(member.name);
    next_expiry_ = std::min(next_expiry_, member.state_since + dead_retention_);
  } else {
    departed_.erase(member.name);
  }
}

void MemberTable::UpdateDigest(Member& member) {
  const std::size_t bucket = BucketIndex(member);
  if (member.digest_entry == 0) buckets_[bucket].push_back(&member);
  const std::uint64_t entry = DigestEntry(member);
  digest_[bucket] ^= member.digest_entry ^ entry;
  member.digest_entry = entry;
}

std::vector<std::string> MemberTable::EraseExpired(Micros now) {
  std::vector<std::string> erased;
  if (now < next_expiry_) return erased;
  next_expiry_ = Micros::max();
  for (auto departed = departed_.begin(); departed != departed_.end();) {
    if (IsSelf(*departed)) {  // a leaving member stays in its own view
      ++departed;
      continue;
    }
    const auto found = members_.find(*departed);
    const Member& member = found->second;
    const Micros expires_at = member.state_since + dead_retention_;
    if (now < expires_at) {
      next_expiry_ = std::min(next_expiry_, expires_at);
      ++departed;
      continue;
    }
    --counts_[static_cast<std::size_t>(member.state)];
    digest_[BucketIndex(member)] ^= member.digest_entry;
    std::erase(buckets_[BucketIndex(member)], &member);
    erased.push_back(*departed);
    members_.erase(found);
    departed = departed_.erase(departed);
  }
  return erased;
}

}  // namespace tinspan::members
