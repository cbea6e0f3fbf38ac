#include "members/anti_entropy.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "members/member_table.hpp"
#include "members/message.hpp"
#include "members/types.hpp"

namespace tinspan::members {
namespace {

// Maximum number of additional rounds of an exchange whose replies were truncated.
constexpr int kMaxRounds = 64;
// In one of this many exchanges the partner is a seed without a live member in the view, if there is one.
constexpr std::uint64_t kSeedPeriod = 4;
// In one of this many exchanges the partner is a departed member, if there is one.
constexpr std::uint64_t kDepartedPeriod = 3;

std::vector<std::size_t> DifferingBuckets(const Digest& ours, const Digest& theirs) {
  std::vector<std::size_t> buckets;
  for (std::size_t index = 0; index < kDigestBuckets; ++index) {
    if (ours[index] != theirs[index]) buckets.push_back(index);
  }
  return buckets;
}

}  // namespace

AntiEntropy::AntiEntropy(const Dependencies& dependencies, Micros now)
    : deps_(dependencies), next_sync_at_(now) {}

void AntiEntropy::OnSync(Micros now, Address from, const Sync& sync) {
  if (!sync.digest) return;
  DifferingEntries differing = CollectDifferingEntries(now, *sync.digest);
  deps_.outbox.Send(from, SyncReply{deps_.table.CurrentDigest(), differing.is_truncated},
                    std::move(differing.updates));
}

void AntiEntropy::OnSyncReply(Micros now, Address from, const SyncReply& reply) {
  bool is_truncated = reply.is_truncated;
  if (reply.digest) {
    DifferingEntries differing = CollectDifferingEntries(now, *reply.digest);
    is_truncated = is_truncated || differing.is_truncated;
    if (!differing.updates.empty()) deps_.outbox.Send(from, SyncPush{}, std::move(differing.updates));
  }
  if (is_truncated) continuation_partner_ = from;
}

void AntiEntropy::Tick(Micros now) {
  if (continuation_partner_) {
    ContinueExchange(*std::exchange(continuation_partner_, std::nullopt));
    return;
  }
  if (now < next_sync_at_) return;
  StartExchange();
  ScheduleNext(now);
}

AntiEntropy::DifferingEntries AntiEntropy::CollectDifferingEntries(Micros now, const Digest& theirs) {
  DifferingEntries entries;
  const std::vector<std::size_t> buckets = DifferingBuckets(deps_.table.CurrentDigest(), theirs);
  if (buckets.empty()) return entries;
  // The first bucket is chosen at random, so that truncated replies cover all buckets over time.
  const std::size_t first = deps_.random() % buckets.size();
  std::size_t bytes = 0;
  for (std::size_t step = 0; step < buckets.size(); ++step) {
    for (const Member* member : deps_.table.Bucket(buckets[(first + step) % buckets.size()])) {
      MemberUpdate update = ToUpdate(*member, now);
      bytes += EstimatedSize(update);
      if (bytes > deps_.options.update_budget_bytes || entries.updates.size() >= kMaxUpdatesPerMessage) {
        entries.is_truncated = true;
        return entries;
      }
      entries.updates.push_back(std::move(update));
    }
  }
  return entries;
}

std::optional<Address> AntiEntropy::ChoosePartner() {
  std::vector<Address> live;
  std::vector<Address> departed;
  for (const auto& [name, member] : deps_.table.Members()) {
    if (deps_.table.IsSelf(name)) continue;
    (IsDeparted(member.state) ? departed : live).push_back(member.address);
  }
  const std::vector<Address> seeds = MissingSeeds();
  const auto pick = [this](const std::vector<Address>& from) { return from[deps_.random() % from.size()]; };
  if (!seeds.empty() && (live.empty() || exchanges_started_ % kSeedPeriod == 0)) return pick(seeds);
  if (!departed.empty() && (live.empty() || exchanges_started_ % kDepartedPeriod == 0)) return pick(departed);
  if (!live.empty()) return pick(live);
  return std::nullopt;
}

std::vector<Address> AntiEntropy::MissingSeeds() const {
  std::set<Address> live;
  for (const auto& [name, member] : deps_.table.Members()) {
    if (deps_.table.IsSelf(name) || !IsDeparted(member.state)) live.insert(member.address);
  }
  std::vector<Address> missing;
  for (const Address& seed : deps_.options.seeds) {
    if (!live.contains(seed)) missing.push_back(seed);
  }
  return missing;
}

void AntiEntropy::StartExchange() {
  ++exchanges_started_;
  rounds_ = 0;
  const std::optional<Address> partner = ChoosePartner();
  if (!partner) return;
  ++deps_.stats.syncs;
  SendSync(*partner);
}

void AntiEntropy::ContinueExchange(Address partner) {
  if (++rounds_ > kMaxRounds) return;
  ++deps_.stats.sync_rounds;
  SendSync(partner);
}

void AntiEntropy::SendSync(Address partner) { deps_.outbox.Send(partner, Sync{deps_.table.CurrentDigest()}); }

// Schedules the next exchange 3/4 to 5/4 of the interval from now, so that the exchanges of different members
// spread over time.
void AntiEntropy::ScheduleNext(Micros now) {
  const auto spread = std::max<std::int64_t>(deps_.options.sync_interval.count() / 2, 1);
  const Micros jitter{static_cast<std::int64_t>(deps_.random() % static_cast<std::uint64_t>(spread))};
  next_sync_at_ = now + (deps_.options.sync_interval * 3 / 4) + jitter;
}

}  // namespace tinspan::members
