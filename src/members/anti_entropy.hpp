// Anti-entropy (Demers et al.: "Epidemic Algorithms for Replicated Database Maintenance", section 1.3): once
// per interval this view sends its digest to one member, chosen at random; both sides then exchange their
// entries of the buckets that differ. Periodically the partner is a departed member or a seed, so that the
// two sides of a partition merge again once it has healed.
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
  // The parts of the view that this class uses. The view owns them; they must outlive this object.
  struct Dependencies {
    const Options& options;
    const MemberTable& table;
    Outbox& outbox;
    std::mt19937_64& random;
    MembershipStats& stats;
  };
  // The first exchange is due immediately: it joins the fleet through a seed.
  AntiEntropy(const Dependencies& dependencies, Micros now);

  // Sends a SyncReply to `from`.
  void OnSync(Micros now, Address from, const Sync& sync);
  // Sends a SyncPush to `from` where entries differ. Where either side's entries were truncated, Tick
  // continues the exchange.
  void OnSyncReply(Micros now, Address from, const SyncReply& reply);

  // Continues a truncated exchange, or starts a new one if it is due.
  void Tick(Micros now);
  // Drops the continuation of a truncated exchange.
  void CancelContinuation() { continuation_partner_.reset(); }
  // Whether a truncated exchange is to be continued by Tick.
  bool HasContinuation() const { return continuation_partner_.has_value(); }
  // When the next new exchange is due.
  Micros NextSyncAt() const { return next_sync_at_; }

 private:
  struct DifferingEntries {
    std::vector<MemberUpdate> updates;
    bool is_truncated = false;  // not all of them fit in one datagram
  };
  // This view's entries of the buckets in which the two digests differ.
  DifferingEntries CollectDifferingEntries(Micros now, const Digest& theirs);
  // The partner of the next exchange; none where no other member and no seed is known.
  std::optional<Address> ChoosePartner();
  // The seeds at whose address the view has no live member.
  std::vector<Address> MissingSeeds() const;
  void StartExchange();
  void ContinueExchange(Address partner);
  void SendSync(Address partner);
  void ScheduleNext(Micros now);

  Dependencies deps_;
  Micros next_sync_at_;
  std::optional<Address> continuation_partner_;
  std::uint64_t exchanges_started_ = 0;
  int rounds_ = 0;  // of the current exchange, beyond the first
};

}  // namespace tinspan::members
