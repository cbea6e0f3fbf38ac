// Distributes operators' purges: a purge submitted at any member is applied at every member of the fleet. The
// submitter hands it over to the holder of the lease kPurgeLease, repeatedly while the purge is retained. The
// holder sends it to every member that is alive in its view until each has applied it. A member applies each
// purge once, and rejects a holder whose token is older than one that it has seen. Does no I/O.
//
// Handles these faults:
// - the holder dies during a distribution: the submitter hands the purge over to the next holder, which
//   completes it; members that have already applied the purge only acknowledge it;
// - the holder continues after a pause: its token is stale;
// - a member was partitioned or started late: it is sent the purge as long as the purge is retained;
// - too many purges: the number of open purges and of messages per round is limited. A purge of what an open
//   purge names takes its place. A submitter rejects what exceeds its limit, so that the operator knows; a
//   holder at its limit ends distributions that every member has applied, and else lets the submitter wait.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "lease/fence.hpp"
#include "lease/options.hpp"
#include "lease/purge_messages.hpp"

namespace tinspan::lease {

/// Whether a submitted purge was accepted for distribution.
enum class SubmitResult { kAccepted, kTooManyOpen };

/// A member's part in the distribution, as submitter, holder and receiver. Not thread-safe.
class PurgeDistributor {
 public:
  static constexpr std::size_t kMaxOwnPurges = 1'024;       // open as submitter
  static constexpr std::size_t kMaxDistributions = 4'096;   // open as holder
  static constexpr std::size_t kMaxAppliedIds = 4'096;      // remembered to avoid applying a purge twice
  static constexpr std::size_t kMaxMessagesPerRound = 64;   // sent by a holder
  static constexpr std::size_t kMaxVisitsPerRound = 4'096;  // members checked by a holder, over all purges
  static constexpr Micros kRetryInterval{100'000};          // between sends of an unacknowledged message
  /// Between rounds or hand-overs of an acknowledged purge, which reach new members and a new holder.
  static constexpr Micros kRefreshInterval{1'000'000};
  static constexpr Micros kBurstInterval{5'000};  // between rounds that reached the message limit

  /// `self` is this member's name. `incarnation` is part of its purge ids, so that they differ from those of
  /// earlier incarnations. A purge is distributed for `retention` after it was submitted.
  PurgeDistributor(std::string self, std::uint64_t incarnation, Micros retention);

  /// Accepts a purge from an operator and sets its id. The caller applies it at this member.
  SubmitResult Submit(Micros now, Purge purge);
  /// When Submit can accept a purge again that it rejects at `now`.
  Micros RetrySubmitAt(Micros now) const;
  /// Handles a message. `held` is this member's token of kPurgeLease; nullopt if it does not hold that lease.
  void Receive(Micros now, const PurgeMessage& message, std::optional<Token> held);
  /// Records a token seen in use at another member. Holders with an older token are rejected from then on.
  void ObserveToken(Token token) { fence_.Admit(kPurgeLease, token); }
  /// Hands over and distributes the purges that are due. `holder` is the known holder of the lease, or empty;
  /// `held` is this member's token if it holds the lease; `alive` lists the members that are alive in this
  /// member's view.
  void Tick(Micros now, const std::string& holder, std::optional<Token> held,
            const std::vector<std::string>& alive);
  /// When Tick must be called next; Micros::max() if no call is needed.
  Micros NextDeadline() const;

  /// Return the messages to send, and the purges to apply at this member, since the last call.
  std::vector<OutboundPurgeMessage> DrainMessages() { return std::exchange(messages_, {}); }
  std::vector<Purge> DrainPurgesToApply() { return std::exchange(purges_to_apply_, {}); }

  /// The highest token seen in use; kNoToken if there is none.
  Token HighestToken() const { return fence_.Highest(kPurgeLease); }
  /// The highest token reported by a member that was newer than the token held at that time; kNoToken if none
  /// was reported.
  Token SupersedingToken() const { return superseding_token_; }
  /// The number of purges retained at this member, as submitter and as holder.
  std::size_t OpenCount() const { return own_purges_.size() + distributions_.size(); }
  /// The number of purges from other members that were applied at this member.
  std::uint64_t AppliedCount() const { return applied_count_; }
  /// The number of messages rejected because the holder's token was stale.
  std::uint64_t RejectedCount() const { return rejected_count_; }

 private:
  /// A purge submitted at this member.
  struct OwnPurge {
    Purge purge;
    Micros submitted_at{0};
    Micros next_hand_over_at{0};
    bool is_hand_over_accepted = false;
  };

  /// A purge that this member distributes as the holder.
  struct Distribution {
    Purge purge;
    Micros submitted_at{0};
    Micros next_round_at{0};
    bool is_complete = false;                         // at the last round every living member had applied it
    std::vector<bool> applied_by;                     // by member number
    std::unordered_map<std::string, Micros> sent_at;  // of the unacknowledged message to each member

    bool WasAppliedBy(std::size_t member) const { return member < applied_by.size() && applied_by[member]; }
    void MarkApplied(std::size_t member) {
      if (member >= applied_by.size()) applied_by.resize(member + 1);
      applied_by[member] = true;
    }
  };

  /// The part of its limits that a round has used.
  struct RoundUsage {
    std::size_t messages = 0;
    std::size_t visits = 0;
    bool HasMessagesLeft() const { return messages < kMaxMessagesPerRound; }
    bool IsExhausted() const { return !HasMessagesLeft() || visits >= kMaxVisitsPerRound; }
  };

  void Handle(Micros now, const std::string& sender, std::optional<Token> held, const HandOverPurge& request);
  void Handle(Micros now, const std::string& sender, std::optional<Token> held,
              const HandOverAccepted& reply);
  void Handle(Micros now, const std::string& sender, std::optional<Token> held, const ApplyPurge& request);
  void Handle(Micros now, const std::string& sender, std::optional<Token> held, const PurgeApplied& reply);
  void Handle(Micros now, const std::string& sender, std::optional<Token> held, const TokenSuperseded& reply);

  std::size_t NumberOf(const std::string& member);
  bool MakeRoomForDistribution();
  void Send(const std::string& recipient, PurgeMessageBody body);
  void StartDistribution(Micros now, const Purge& purge, Micros submitted_at);
  void ProcessOwnPurges(Micros now, const std::string& holder, std::optional<Token> held);
  void DistributeOwn(Micros now, OwnPurge& own);
  void HandOver(Micros now, const std::string& holder, OwnPurge& own);
  void RunRound(Micros now, Token held, const std::vector<std::string>& alive);
  void Distribute(Micros now, Token held, const std::vector<std::string>& alive, Distribution& distribution,
                  RoundUsage& usage);
  bool SendToMember(Micros now, Token held, const std::string& member, Distribution& distribution);
  void ApplyOnce(Purge purge);
  bool RememberApplied(const std::string& purge_id);

  std::string self_;
  std::uint64_t incarnation_;
  Micros retention_;
  std::uint64_t last_number_ = 0;
  std::map<std::string, OwnPurge> own_purges_;         // by id
  std::map<std::string, Distribution> distributions_;  // by id
  // The numbers of the members that are alive or were during an open distribution.
  std::unordered_map<std::string, std::size_t> member_numbers_;
  std::optional<Token> distribution_token_;  // the token under which `distributions_` started
  Fence fence_;
  std::unordered_set<std::string> applied_ids_;
  std::deque<std::string> applied_ids_by_age_;
  std::uint64_t applied_count_ = 0;
  std::uint64_t rejected_count_ = 0;
  Token superseding_token_ = kNoToken;
  std::vector<OutboundPurgeMessage> messages_;
  std::vector<Purge> purges_to_apply_;
};

}  // namespace tinspan::lease
