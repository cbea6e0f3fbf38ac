// Anti-entropy (Demers et al.: "Epidemic Algorithms for Replicated Database Maintenance", section 1.3): once
// an interval the digest of this view goes to one member, chosen at random; both sides then exchange the
// entries of those buckets that differ. Now and then the partner is a departed member or a seed, so that the
// halves of a healed partition find each other.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "members/member_table.hpp"
#include "members/message.hpp"
#include "members/options.hpp"
#include "members/outbox.hpp"
#include "members/types.hpp"

namespace tinspan::members {

class AntiEntropy {
 public:
  // What it works on; all of it is owned by the view and outlives this object.
  struct Dependencies {
    const Options& options;
    const MemberTable& table;
    Outbox& outbox;
    std::mt19937_64& random;
    MembershipStats& stats;
  };
  // The first sync is due at once: through the seeds it finds the fleet.
  AntiEntropy(const Dependencies& dependencies, Micros now);

  void OnSync(Micros now, Address from, const Sync& sync);
  void OnSyncReply(Micros now, Address from, const SyncReply& reply);

  // Goes on with an exchange that was cut short, or starts one if it is due.
  void Tick(Micros now);
  // Ends an exchange that was cut short.
  void CancelContinuation() { continue_with_.reset(); }
  // Whether Tick has an exchange to go on with.
  bool HasContinuation() const { return continue_with_.has_value(); }
  // When the next exchange starts.
  Micros NextSyncAt() const { return next_sync_at_; }

 private:
  struct DifferingEntries {
    std::vector<MemberUpdate> updates;
    bool is_truncated = false;  // not all of them fitted a datagram
  };
  DifferingEntries Differing(Micros now, const Digest& theirs);
  std::optional<Address> ChoosePartner();
  std::vector<Address> MissingSeeds() const;
  void StartExchange();
  void ContinueExchange(Address partner);
  void SendSync(Address partner);
  void ScheduleNext(Micros now);

  Dependencies view_;
  Micros next_sync_at_;
  std::optional<Address> continue_with_;
  std::uint64_t exchanges_started_ = 0;
  int rounds_ = 0;  // of the present exchange, beyond the first
};

}  // namespace tinspan::members
