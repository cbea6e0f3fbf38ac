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

// After this many probe intervals without a tick, this process must have been stopped or got no CPU time.
constexpr int kPauseIntervals = 3;
// Added to the local health multiplier after a pause.
constexpr int kPauseHealthPenalty = 2;
// Number of members that are notified when this one leaves.
constexpr std::size_t kLeaveNotifications = 4;

void CopyReport(Member& member, const MemberUpdate& update) {
  member.report_version = update.report_version;
  member.failing_servers = update.failing_servers;
  member.lease_claims = update.lease_claims;
}

// Combines one lambda per kind of message into an overload set for std::visit.
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

void MembershipView::AddKnownMember(Micros now, const MemberUpdate& update) {
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

// Refutes, with a higher incarnation, an update that declares this member suspect, dead or left at its own
// incarnation or above, and any update of a higher incarnation. Thus a member that was paused or disconnected
// returns, and updates about a previous process of this name are overridden.
void MembershipView::MergeSelf(const MemberUpdate& update) {
  if (is_leaving_) return;
  Member& self = table_.Self();
  const bool is_contradiction = update.state != State::kAlive && update.incarnation >= self.incarnation;
  const bool is_newer = update.state == State::kAlive && update.incarnation > self.incarnation;
  if (!is_contradiction && !is_newer) return;
  self.incarnation = update.incarnation + 1;
  Publish(self);
  ++stats_.refutations;
  if (update.state == State::kSuspect) health_.Adjust(1);
  changes_.push_back({self.name, State::kAlive, State::kAlive, self.incarnation, true});
}

void MembershipView::MergeNewMember(Micros now, const MemberUpdate& update) {
  const bool is_departed = IsDeparted(update.state);
  if (is_departed && update.age >= options_.dead_retention) return;  // already expired in every view
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

// Merges an update whose incarnation and state are already known: it may add a suspector or a newer report.
void MembershipView::MergeSameState(Member& member, const MemberUpdate& update) {
  const std::string& suspector = update.suspected_by;
  const bool has_other_suspector = !suspector.empty() && !table_.IsSelf(suspector);
  const bool can_confirm = update.state == State::kSuspect && has_other_suspector;
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

// Merges an update of a higher incarnation, or of a state with a higher precedence at the same incarnation.
void MembershipView::MergeNewerState(Micros now, Member& member, const MemberUpdate& update) {
  const bool is_newer = update.incarnation > member.incarnation;
  if (is_newer) {
    member.address = update.address;
    member.zone = update.zone;
  }
  // Report versions start at 0 in each incarnation, so the report of a new incarnation always replaces the
  // old.
  if (is_newer || update.report_version > member.report_version) CopyReport(member, update);
  const Micros age = IsDeparted(update.state) ? update.age : Micros{0};
  SetState(now, member, update.state, update.incarnation, age);
  if (update.state == State::kSuspect) {
    member.state_since = now;  // also for a member that was already suspect at its previous incarnation
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

// A timeout that passed during a pause of this process does not indicate a failure of another member.
void MembershipView::RecoverFromPause(Micros now) {
  ++stats_.pauses;
  health_.Adjust(kPauseHealthPenalty);
  suspicions_.RestartAll(now);
  detector_.CancelProbeAndRelays(now);
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
