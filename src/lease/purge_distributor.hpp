// Distributes operators' purges: one submitted at any member is applied at every member of the fleet. The
// origin hands it over to the holder of the lease kPurgeLease, repeatedly while the purge is retained; the
// holder sends it to every member that is alive in its view until each has applied it. A member applies each
// purge once, and none from a holder whose token is older than one it has seen. Without I/O.
//
// Safe against:
// - a holder that dies half way: the purge is handed over to the next one, which completes it; members that
// have
//   applied it acknowledge and do nothing;
// - a holder that was paused and continues: its token is stale;
// - a member that was partitioned or started late: it is sent the purge as long as that is retained;
// - floods: open purges and messages per round are bounded.
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

/// What became of a submitted purge.
enum class SubmitResult { kAccepted, kTooManyOpen };

class PurgeDistributor {
 public:
  static constexpr std::size_t kMaxOpenPurges = 256;        // as origin, and as holder
  static constexpr std::size_t kMaxAppliedIds = 4'096;      // remembered, so that none is applied twice
  static constexpr std::size_t kMaxMessagesPerRound = 64;   // sent in one round by a holder
  static constexpr std::size_t kMaxVisitsPerRound = 4'096;  // members looked at in one round, over all purges
  static constexpr Micros kRetryInterval{100'000};          // until a message is acknowledged
  static constexpr Micros kRefreshInterval{
      1'000'000};                                 // of what is acknowledged, for new holders and members
  static constexpr Micros kBurstInterval{5'000};  // between rounds that reached their message limit

  /// `self` is this member's name, `incarnation` makes its purge ids differ from those of earlier
  /// incarnations, and `retention` is how long a purge is distributed.
  PurgeDistributor(std::string self, std::uint64_t incarnation, Micros retention);

  /// Takes a purge from an operator; its id is set here. The caller has applied it at this member.
  SubmitResult Submit(Micros now, Purge purge);
  /// Handles a message. `held` is this member's token of kPurgeLease if it holds that.
  void Receive(Micros now, const PurgeMessage& message, std::optional<Token> held);
  /// Records a token seen in use elsewhere: holders with an older one are rejected from now on.
  void ObserveToken(Token token) { fence_.Admit(kPurgeLease, token); }
  /// Hands over and distributes what is due. `holder` is the lease's holder as far as is known, or empty;
  /// `held` is this member's token if it holds the lease; `alive` are the members alive in this member's
  /// view.
  void Tick(Micros now, const std::string& holder, std::optional<Token> held,
            const std::vector<std::string>& alive);
  /// When Tick has to be called next; Micros::max() if never.
  Micros NextDeadline() const;

  /// What is to be sent, and which purges are to be applied at this member, since the last call.
  std::vector<OutboundPurgeMessage> DrainMessages() { return std::exchange(messages_, {}); }
  std::vector<Purge> DrainPurgesToApply() { return std::exchange(purges_to_apply_, {}); }

  /// The highest token seen in use.
  Token HighestToken() const { return fence_.Highest(kPurgeLease); }
  /// A token, reported by a member, that is newer than the one held when it was reported; kNoToken: none.
  Token SupersedingToken() const { return superseding_token_; }
  /// Purges under way here, as origin and as holder.
  std::size_t OpenCount() const { return own_purges_.size() + distributions_.size(); }
  /// Purges of other members that were applied here.
  std::uint64_t AppliedCount() const { return applied_count_; }
  /// Messages rejected because of the holder's stale token.
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
    std::unordered_set<std::string> applied_by;       // members alive in our view, and the origin
    std::unordered_map<std::string, Micros> sent_at;  // the last message to each other member
  };

  /// What a round has used of its limits.
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
  std::optional<Token> distribution_token_;            // the token that `distributions_` belong to
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
