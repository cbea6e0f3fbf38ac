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

// Rounds of one exchange that goes on because replies did not fit.
constexpr int kMaxRounds = 64;
// Every so many exchanges the partner is a seed that is not alive in the view, or a departed member.
constexpr std::uint64_t kSeedPeriod = 4;
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
    : view_(dependencies), next_sync_at_(now) {}

void AntiEntropy::OnSync(Micros now, Address from, const Sync& sync) {
  if (!sync.digest) return;
  DifferingEntries differing = Differing(now, *sync.digest);
  view_.outbox.Send(from, SyncReply{view_.table.CurrentDigest(), differing.is_truncated},
                    std::move(differing.updates));
}

void AntiEntropy::OnSyncReply(Micros now, Address from, const SyncReply& reply) {
  bool is_truncated = reply.is_truncated;
  if (reply.digest) {
    DifferingEntries differing = Differing(now, *reply.digest);
    is_truncated = is_truncated || differing.is_truncated;
    if (!differing.updates.empty()) view_.outbox.Send(from, SyncPush{}, std::move(differing.updates));
  }
  if (is_truncated) continue_with_ = from;
}

void AntiEntropy::Tick(Micros now) {
  if (continue_with_) {
    ContinueExchange(*std::exchange(continue_with_, std::nullopt));
    return;
  }
  if (now < next_sync_at_) return;
  StartExchange();
  ScheduleNext(now);
}

AntiEntropy::DifferingEntries AntiEntropy::Differing(Micros now, const Digest& theirs) {
  DifferingEntries entries;
  const std::vector<std::size_t> buckets = DifferingBuckets(view_.table.CurrentDigest(), theirs);
  if (buckets.empty()) return entries;
  // From a bucket chosen at random, so that replies cut short cover all of them in turn.
  const std::size_t first = view_.random() % buckets.size();
  std::size_t bytes = 0;
  for (std::size_t step = 0; step < buckets.size(); ++step) {
    for (const Member* member : view_.table.Bucket(buckets[(first + step) % buckets.size()])) {
      MemberUpdate update = ToUpdate(*member, now);
      bytes += EstimatedSize(update);
      if (bytes > view_.options.update_budget_bytes || entries.updates.size() >= kMaxUpdatesPerMessage) {
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
  for (const auto& [name, member] : view_.table.Members()) {
    if (view_.table.IsSelf(name)) continue;
    (IsDeparted(member.state) ? departed : live).push_back(member.address);
  }
  const std::vector<Address> seeds = MissingSeeds();
  const auto pick = [this](const std::vector<Address>& from) { return from[view_.random() % from.size()]; };
  if (!seeds.empty() && (live.empty() || exchanges_started_ % kSeedPeriod == 0)) return pick(seeds);
  if (!departed.empty() && (live.empty() || exchanges_started_ % kDepartedPeriod == 0)) return pick(departed);
  if (!live.empty()) return pick(live);
  return std::nullopt;
}

// The seeds at whose address no other live member is known.
std::vector<Address> AntiEntropy::MissingSeeds() const {
  std::set<Address> live;
  for (const auto& [name, member] : view_.table.Members()) {
    if (view_.table.IsSelf(name) || !IsDeparted(member.state)) live.insert(member.address);
  }
  std::vector<Address> missing;
  for (const Address& seed : view_.options.seeds) {
    if (!live.contains(seed)) missing.push_back(seed);
  }
  return missing;
}

void AntiEntropy::StartExchange() {
  ++exchanges_started_;
  rounds_ = 0;
  const std::optional<Address> partner = ChoosePartner();
  if (!partner) return;
  ++view_.stats.syncs;
  SendSync(*partner);
}

void AntiEntropy::ContinueExchange(Address partner) {
  if (++rounds_ > kMaxRounds) return;
  ++view_.stats.sync_rounds;
  SendSync(partner);
}

void AntiEntropy::SendSync(Address partner) { view_.outbox.Send(partner, Sync{view_.table.CurrentDigest()}); }

// Three quarters to five quarters of the interval from now, so that the fleet's exchanges spread over time.
void AntiEntropy::ScheduleNext(Micros now) {
  const auto spread = std::max<std::int64_t>(view_.options.sync_interval.count() / 2, 1);
  const Micros jitter{static_cast<std::int64_t>(view_.random() % static_cast<std::uint64_t>(spread))};
  next_sync_at_ = now + (view_.options.sync_interval * 3 / 4) + jitter;
}

}  // namespace tinspan::members
