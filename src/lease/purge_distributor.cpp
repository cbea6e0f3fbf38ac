#include "lease/purge_distributor.hpp"

#include <algorithm>

namespace tinspan::lease {
namespace {

Purge WithAge(const Purge& purge, Micros submitted_at, Micros now) {
  Purge aged = purge;
  aged.age = now - submitted_at;
  return aged;
}

// Whether two purges name the same group or the same object.
bool HaveSameTarget(const Purge& left, const Purge& right) {
  return left.group == right.group && left.object == right.object;
}

bool IsSubmitter(const std::string& member, const std::string& purge_id) {
  return purge_id.starts_with(member + "/");
}

}  // namespace

PurgeDistributor::PurgeDistributor(std::string self, std::uint64_t incarnation, Micros retention)
    : self_(std::move(self)), incarnation_(incarnation), retention_(retention) {}

void PurgeDistributor::Send(const std::string& recipient, PurgeMessageBody body) {
  messages_.push_back({recipient, {self_, std::move(body)}});
}

// Returns whether the id was new. Beyond kMaxAppliedIds the oldest id is forgotten.
bool PurgeDistributor::RememberApplied(const std::string& purge_id) {
  if (!applied_ids_.insert(purge_id).second) return false;
  applied_ids_by_age_.push_back(purge_id);
  if (applied_ids_by_age_.size() > kMaxAppliedIds) {
    applied_ids_.erase(applied_ids_by_age_.front());
    applied_ids_by_age_.pop_front();
  }
  return true;
}

void PurgeDistributor::ApplyOnce(Purge purge) {
  if (!RememberApplied(purge.id)) return;
  ++applied_count_;
  purges_to_apply_.push_back(std::move(purge));
}

SubmitResult PurgeDistributor::Submit(Micros now, Purge purge) {
  // The later purge of the same target covers the earlier one.
  std::erase_if(own_purges_, [&](const auto& entry) { return HaveSameTarget(entry.second.purge, purge); });
  if (own_purges_.size() >= kMaxOwnPurges) return SubmitResult::kTooManyOpen;
  purge.id = self_ + "/" + std::to_string(incarnation_) + "." + std::to_string(++last_number_);
  RememberApplied(purge.id);
  OwnPurge& own = own_purges_[purge.id];
  own.purge = std::move(purge);
  own.submitted_at = now;
  own.next_hand_over_at = now;
  return SubmitResult::kAccepted;
}

Micros PurgeDistributor::RetrySubmitAt(Micros now) const {
  if (own_purges_.size() < kMaxOwnPurges) return now;
  Micros oldest = Micros::max();
  for (const auto& [id, own] : own_purges_) oldest = std::min(oldest, own.submitted_at);
  return std::max(now, oldest + retention_);
}

std::size_t PurgeDistributor::NumberOf(const std::string& member) {
  return member_numbers_.try_emplace(member, member_numbers_.size()).first->second;
}

// At the limit, ends a distribution that every living member has applied. Its submitter hands it over again
// for members that come later.
bool PurgeDistributor::MakeRoomForDistribution() {
  if (distributions_.size() < kMaxDistributions) return true;
  const auto complete = std::find_if(distributions_.begin(), distributions_.end(),
                                     [](const auto& entry) { return entry.second.is_complete; });
  if (complete == distributions_.end()) return false;
  distributions_.erase(complete);
  return true;
}

void PurgeDistributor::StartDistribution(Micros now, const Purge& purge, Micros submitted_at) {
  if (distributions_.contains(purge.id) || !MakeRoomForDistribution()) return;
  Distribution& distribution = distributions_[purge.id];
  distribution.purge = purge;
  distribution.submitted_at = submitted_at;
  distribution.next_round_at = now;
}

void PurgeDistributor::Receive(Micros now, const PurgeMessage& message, std::optional<Token> held) {
  std::visit([&](const auto& body) { this->Handle(now, message.sender, held, body); }, message.body);
}

// Sends no reply if this member does not hold the lease or has too many open purges; the submitter then hands
// the purge over again later.
void PurgeDistributor::Handle(Micros now, const std::string& sender, std::optional<Token> held,
                              const HandOverPurge& request) {
  const Purge& purge = request.purge;
  const Micros age = std::clamp(purge.age, Micros{0}, retention_);
  if (!held || age >= retention_) return;
  StartDistribution(now, purge, now - age);
  const auto distribution = distributions_.find(purge.id);
  if (distribution == distributions_.end()) return;
  if (IsSubmitter(sender, purge.id) && member_numbers_.contains(sender))
    distribution->second.MarkApplied(NumberOf(sender));
  Send(sender, HandOverAccepted{*held, purge.id});
}

void PurgeDistributor::Handle(Micros, const std::string&, std::optional<Token>,
                              const HandOverAccepted& reply) {
  const auto own = own_purges_.find(reply.purge_id);
  if (own != own_purges_.end()) own->second.is_hand_over_accepted = true;
}

void PurgeDistributor::Handle(Micros, const std::string& sender, std::optional<Token>,
                              const ApplyPurge& request) {
  if (!fence_.Admit(kPurgeLease, request.token)) {
    ++rejected_count_;
    Send(sender, TokenSuperseded{HighestToken(), request.purge.id});
    return;
  }
  ApplyOnce(request.purge);
  Send(sender, PurgeApplied{request.token, request.purge.id});
}

// Only acknowledgements from members that were sent the purge count, so that forged sender names cannot
// exhaust the memory.
void PurgeDistributor::Handle(Micros, const std::string& sender, std::optional<Token> held,
                              const PurgeApplied& reply) {
  const auto found = distributions_.find(reply.purge_id);
  if (!held || found == distributions_.end()) return;
  Distribution& distribution = found->second;
  if (distribution.sent_at.erase(sender) > 0) distribution.MarkApplied(NumberOf(sender));
}

void PurgeDistributor::Handle(Micros, const std::string&, std::optional<Token> held,
                              const TokenSuperseded& reply) {
  if (!held || reply.newer_token <= *held) return;
  superseding_token_ = std::max(superseding_token_, reply.newer_token);
}

// Distributions under an earlier token are dropped. They start again when the submitters hand their purges
// over again.
void PurgeDistributor::Tick(Micros now, const std::string& holder, std::optional<Token> held,
                            const std::vector<std::string>& alive) {
  if (held != distribution_token_) {
    distributions_.clear();
    distribution_token_ = held;
  }
  if (held) {
    for (const std::string& member : alive) NumberOf(member);
  }
  ProcessOwnPurges(now, holder, held);
  if (held) RunRound(now, *held, alive);
}

void PurgeDistributor::ProcessOwnPurges(Micros now, const std::string& holder, std::optional<Token> held) {
  std::erase_if(own_purges_,
                [&](const auto& entry) { return now - entry.second.submitted_at >= retention_; });
  for (auto& [id, own] : own_purges_) {
    if (held) {
      DistributeOwn(now, own);
    } else if (now >= own.next_hand_over_at) {
      HandOver(now, holder, own);
    }
  }
}

void PurgeDistributor::DistributeOwn(Micros now, OwnPurge& own) {
  StartDistribution(now, own.purge, own.submitted_at);
  own.is_hand_over_accepted = true;
  own.next_hand_over_at = now + kRefreshInterval;
  const auto distribution = distributions_.find(own.purge.id);
  if (distribution != distributions_.end()) distribution->second.MarkApplied(NumberOf(self_));
}

// An accepted purge is handed over again, but less often, in case another member has become the holder.
void PurgeDistributor::HandOver(Micros now, const std::string& holder, OwnPurge& own) {
  own.next_hand_over_at = now + kRetryInterval;
  if (holder.empty() || holder == self_) return;
  Send(holder, HandOverPurge{WithAge(own.purge, own.submitted_at, now)});
  if (own.is_hand_over_accepted) own.next_hand_over_at = now + kRefreshInterval;
}

void PurgeDistributor::RunRound(Micros now, Token held, const std::vector<std::string>& alive) {
  std::erase_if(distributions_,
                [&](const auto& entry) { return now - entry.second.submitted_at >= retention_; });
  if (distributions_.empty()) member_numbers_.clear();
  RoundUsage usage;
  for (auto& [id, distribution] : distributions_) {
    if (now < distribution.next_round_at) continue;
    if (usage.IsExhausted()) break;
    Distribute(now, held, alive, distribution, usage);
  }
}

void PurgeDistributor::Distribute(Micros now, Token held, const std::vector<std::string>& alive,
                                  Distribution& distribution, RoundUsage& usage) {
  bool is_complete = true;
  for (const std::string& member : alive) {
    ++usage.visits;
    const std::size_t number = NumberOf(member);
    if (distribution.WasAppliedBy(number)) continue;
    if (member == self_) {
      distribution.MarkApplied(number);
      ApplyOnce(WithAge(distribution.purge, distribution.submitted_at, now));
      continue;
    }
    is_complete = false;
    if (SendToMember(now, held, member, distribution)) ++usage.messages;
    if (!usage.HasMessagesLeft()) break;
  }
  distribution.is_complete = is_complete;
  const Micros retry_interval = usage.HasMessagesLeft() ? kRetryInterval : kBurstInterval;
  distribution.next_round_at = now + (is_complete ? kRefreshInterval : retry_interval);
}

// Returns whether a message was sent. None is sent within kRetryInterval of the last unacknowledged one.
bool PurgeDistributor::SendToMember(Micros now, Token held, const std::string& member,
                                    Distribution& distribution) {
  const auto [last_sent, is_first] = distribution.sent_at.try_emplace(member, now);
  if (!is_first && now - last_sent->second < kRetryInterval) return false;
  last_sent->second = now;
  Send(member, ApplyPurge{held, WithAge(distribution.purge, distribution.submitted_at, now)});
  return true;
}

Micros PurgeDistributor::NextDeadline() const {
  Micros deadline = Micros::max();
  for (const auto& [id, own] : own_purges_) deadline = std::min(deadline, own.next_hand_over_at);
  for (const auto& [id, distribution] : distributions_) {
    deadline = std::min(deadline, distribution.next_round_at);
  }
  return deadline;
}

}  // namespace tinspan::lease
