#include "members/membership_view.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "members/member_table.hpp"
#include "members/message.hpp"
#include "members/options.hpp"
#include "members/types.hpp"

namespace tinspan::members {
namespace {

// Probe intervals without a tick after which this process must have been stopped or starved.
constexpr int kPauseIntervals = 3;
// What a pause adds to the local health multiplier.
constexpr int kPauseHealthPenalty = 2;
// Members that are told when this one leaves.
constexpr std::size_t kLeaveNotifications = 4;

void CopyReport(Member& member, const MemberUpdate& update) {
  member.report_version = update.report_version;
  member.failing_servers = update.failing_servers;
  member.lease_claims = update.lease_claims;
}

// One handler for each kind of message, chosen by overload.
template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

MembershipView::MembershipView(Options options, const MemberUpdate& self, std::uint64_t seed, Micros now)
    : options_(std::move(options)),
      random_(seed),
      health_(options_),
      table_(self, options_.dead_retention, now),
      dissemination_(options_, table_, stats_),
      outbox_(table_, dissemination_),
      suspicions_(options_, table_),
      detector_({options_, table_, health_, outbox_, random_, stats_}, now),
      anti_entropy_({options_, table_, outbox_, random_, stats_}, now),
      last_tick_(now) {
  Publish(table_.Self());
}

void MembershipView::Receive(Micros now, const Message& message) {
  for (const MemberUpdate& update : message.updates) Merge(now, update);
  const Address from = message.from_address;
  std::visit(Overloaded{
                 [&](const Ping& ping) { detector_.OnPing(now, from, ping); },
                 [&](const PingRequest& request) { detector_.OnPingRequest(now, from, request); },
                 [&](const Ack& ack) { detector_.OnAck(now, ack); },
                 [&](const Nack& nack) { detector_.OnNack(nack); },
                 [&](const Sync& sync) { anti_entropy_.OnSync(now, from, sync); },
                 [&](const SyncReply& reply) { anti_entropy_.OnSyncReply(now, from, reply); },
                 [](const SyncPush&) {},
                 [](const Payload&) {},
             },
             message.body);
}

void MembershipView::Tick(Micros now) {
  if (now - last_tick_ > kPauseIntervals * health_.ProbeInterval()) RecoverFromPause(now);
  last_tick_ = now;
  DeclareExpiredDead(now);
  for (const std::string& name : table_.EraseExpired(now)) dissemination_.Remove(name);
  detector_.CheckRelays(now);
  if (is_leaving_) {
    anti_entropy_.CancelContinuation();
    return;
  }
  if (const auto failed = detector_.CheckProbe(now)) {
    if (Member* const member = table_.Find(*failed)) Suspect(now, *member, table_.SelfName());
  }
  detector_.StartDueProbe(now);
  anti_entropy_.Tick(now);
}

void MembershipView::Seed(Micros now, const MemberUpdate& update) {
  const bool is_known = table_.Find(update.name) != nullptr;
  Merge(now, update);
  if (is_known) return;
  dissemination_.Remove(update.name);
  changes_.clear();
}

void MembershipView::SetFailingServers(std::vector<std::uint64_t> servers) {
  std::sort(servers.begin(), servers.end());
  servers.erase(std::unique(servers.begin(), servers.end()), servers.end());
  if (servers.size() > kMaxFailingServers) servers.resize(kMaxFailingServers);
  if (servers == table_.Self().failing_servers) return;
  table_.Self().failing_servers = std::move(servers);
  PublishOwnReport();
}

void MembershipView::SetLeaseClaims(std::vector<LeaseClaim> claims) {
  std::sort(claims.begin(), claims.end());
  if (claims.size() > kMaxLeaseClaims) claims.resize(kMaxLeaseClaims);
  if (claims == table_.Self().lease_claims) return;
  table_.Self().lease_claims = std::move(claims);
  PublishOwnReport();
}

void MembershipView::Leave(Micros now) {
  if (is_leaving_) return;
  is_leaving_ = true;
  Member& self = table_.Self();
  SetState(now, self, State::kLeft, self.incarnation + 1);
  Publish(self);
  std::vector<const Member*> live;
  for (const auto& [name, member] : table_.Members()) {
    if (!table_.IsSelf(name) && !IsDeparted(member.state)) live.push_back(&member);
  }
  std::shuffle(live.begin(), live.end(), random_);
  live.resize(std::min(live.size(), kLeaveNotifications));
  for (const Member* member : live) outbox_.SendWithGossip(now, member->address, Ping{0, member->name});
}

Micros MembershipView::NextDeadline() const {
  if (anti_entropy_.HasContinuation() && !is_leaving_) return last_tick_;
  Micros deadline = Micros::max();
  if (!is_leaving_) deadline = std::min(anti_entropy_.NextSyncAt(), detector_.NextProbeDeadline());
  deadline = std::min(deadline, suspicions_.NextDeadline());
  deadline = std::min(deadline, detector_.NextRelayDeadline());
  return std::min(deadline, table_.NextExpiry());
}

void MembershipView::Merge(Micros now, const MemberUpdate& update) {
  if (update.name.empty() || update.name.size() > kMaxNameLength) return;
  if (table_.IsSelf(update.name)) return MergeSelf(update);
  Member* const member = table_.Find(update.name);
  if (member == nullptr) return MergeNewMember(now, update);
  if (update.incarnation < member->incarnation) return;
  const bool is_newer = update.incarnation > member->incarnation;
  if (is_newer || Precedence(update.state) > Precedence(member->state)) {
    return MergeNewerState(now, *member, update);
  }
  if (Precedence(update.state) == Precedence(member->state)) MergeSameState(*member, update);
}

// What others say of this member at an incarnation as new as its own is refuted by a higher one: so a member
// that was paused or cut off returns, and a process before a restart under this name is overridden.
void MembershipView::MergeSelf(const MemberUpdate& update) {
  if (is_leaving_) return;
  Member& self = table_.Self();
  const bool is_against = update.state != State::kAlive && update.incarnation >= self.incarnation;
  const bool is_newer = update.state == State::kAlive && update.incarnation > self.incarnation;
  if (!is_against && !is_newer) return;
  self.incarnation = update.incarnation + 1;
  Publish(self);
  ++stats_.refutations;
  if (update.state == State::kSuspect) health_.Adjust(1);
  changes_.push_back({self.name, State::kAlive, State::kAlive, self.incarnation, true});
}

void MembershipView::MergeNewMember(Micros now, const MemberUpdate& update) {
  const bool is_departed = IsDeparted(update.state);
  if (is_departed && update.age >= options_.dead_retention) return;  // erased everywhere by now
  if (table_.Members().size() >= kMaxMembers) return;
  Member& member = table_.Insert(now, update);
  if (is_departed) {
    table_.SetState(now, member, update.state, update.incarnation, update.age);
    changes_.push_back({member.name, std::nullopt, update.state, member.incarnation, false});
  } else {
    changes_.push_back({member.name, std::nullopt, State::kAlive, member.incarnation, false});
  }
  if (update.state == State::kSuspect) {
    SetState(now, member, State::kSuspect, update.incarnation);
    suspicions_.Start(member, update.suspected_by);
  }
  Publish(member);
  ++stats_.updates_merged;
}

// An update of the incarnation and state already known: a further suspector, or a newer report.
void MembershipView::MergeSameState(Member& member, const MemberUpdate& update) {
  const std::string& suspector = update.suspected_by;
  const bool names_other = !suspector.empty() && !table_.IsSelf(suspector);
  const bool can_confirm = update.state == State::kSuspect && names_other;
  bool is_changed = false;
  if (can_confirm && member.suspectors.size() < kMaxSuspectors) {
    is_changed = suspicions_.Confirm(member, suspector);
  }
  if (update.report_version > member.report_version) {
    CopyReport(member, update);
    is_changed = true;
  }
  if (!is_changed) return;
  Publish(member);
  ++stats_.updates_merged;
}

// An update of a higher incarnation, or of a state that takes precedence at the same one.
void MembershipView::MergeNewerState(Micros now, Member& member, const MemberUpdate& update) {
  const bool is_newer = update.incarnation > member.incarnation;
  if (is_newer) {
    member.address = update.address;
    member.zone = update.zone;
  }
  // A new incarnation counts its reports from 0, so its report replaces that of the one before.
  if (is_newer || update.report_version > member.report_version) CopyReport(member, update);
  const Micros age = IsDeparted(update.state) ? update.age : Micros{0};
  SetState(now, member, update.state, update.incarnation, age);
  if (update.state == State::kSuspect) {
    member.state_since = now;  // also where it was suspected at its last incarnation
    suspicions_.Start(member, update.suspected_by);
  }
  Publish(member);
  ++stats_.updates_merged;
}

void MembershipView::Suspect(Micros now, Member& member, const std::string& suspector) {
  if (member.state == State::kSuspect) {
    if (suspicions_.Confirm(member, suspector)) Publish(member);
    return;
  }
  if (member.state != State::kAlive) return;
  SetState(now, member, State::kSuspect, member.incarnation);
  suspicions_.Start(member, suspector);
  Publish(member);
  ++stats_.suspicions;
}

void MembershipView::SetState(Micros now, Member& member, State state, std::uint64_t incarnation,
                              Micros age) {
  const State previous = member.state;
  table_.SetState(now, member, state, incarnation, age);
  if (previous != state) changes_.push_back({member.name, previous, state, incarnation, false});
  if (state != State::kSuspect) suspicions_.ClearSuspicion(member);
}

void MembershipView::Publish(Member& member) {
  dissemination_.Enqueue(member.name);
  table_.UpdateDigest(member);
}

void MembershipView::PublishOwnReport() {
  Member& self = table_.Self();
  ++self.report_version;
  Publish(self);
}

// After a pause, what ran out meanwhile says more of this process than of the other members.
void MembershipView::RecoverFromPause(Micros now) {
  ++stats_.pauses;
  health_.Adjust(kPauseHealthPenalty);
  suspicions_.RestartAll(now);
  detector_.Abandon(now);
}

void MembershipView::DeclareExpiredDead(Micros now) {
  while (const auto name = suspicions_.FirstExpired(now)) {
    Member& member = table_.At(*name);
    SetState(now, member, State::kDead, member.incarnation);
    Publish(member);
    ++stats_.declared_dead;
  }
}

}  // namespace tinspan::members
