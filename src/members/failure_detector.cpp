#include "members/failure_detector.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "members/member_table.hpp"
#include "members/message.hpp"
#include "members/types.hpp"

namespace tinspan::members {
namespace {

// A Nack is sent after this fraction of the probe timeout, so that it arrives before the requester's probe
// ends.
constexpr int kNackTimeoutNumerator = 8;
constexpr int kNackTimeoutDenominator = 10;
// NextTarget searches the rest of the current round, then one new round.
constexpr int kTargetPasses = 2;

}  // namespace

FailureDetector::FailureDetector(const Dependencies& dependencies, Micros now)
    : deps_(dependencies), next_probe_at_(now) {
  const auto interval = std::max<std::int64_t>(deps_.options.probe_interval.count(), 1);
  next_probe_at_ += Micros{static_cast<std::int64_t>(deps_.random() % interval)};
}

void FailureDetector::OnPing(Micros now, Address from, const Ping& ping) {
  if (!deps_.table.IsSelf(ping.target)) return;
  deps_.outbox.SendWithGossip(now, from, Ack{ping.sequence});
}

void FailureDetector::OnPingRequest(Micros now, Address from, const PingRequest& request) {
  if (deps_.table.IsSelf(request.target)) {
    deps_.outbox.SendWithGossip(now, from, Ack{request.sequence});
    return;
  }
  if (relays_.size() >= kMaxRelays) return;  // the requester handles it as a lost datagram
  const std::uint64_t sequence = ++last_sequence_;
  Relay& relay = relays_[sequence];
  relay.requester = from;
  relay.requester_sequence = request.sequence;
  relay.nack_at = now + deps_.health.ProbeTimeout() * kNackTimeoutNumerator / kNackTimeoutDenominator;
  relay.ends_at = now + deps_.health.ProbeInterval();
  deps_.outbox.SendWithGossip(now, request.target_address, Ping{sequence, request.target});
}

void FailureDetector::OnAck(Micros now, const Ack& ack) {
  if (const auto found = relays_.find(ack.sequence); found != relays_.end()) {
    const Relay& relay = found->second;
    deps_.outbox.SendWithGossip(now, relay.requester, Ack{relay.requester_sequence});
    relays_.erase(found);
    return;
  }
  if (!probe_ || ack.sequence != probe_->sequence) return;
  ++deps_.stats.acks;
  deps_.health.Adjust(-1);
  probe_.reset();
}

void FailureDetector::OnNack(const Nack& nack) {
  if (probe_ && nack.sequence == probe_->sequence) ++probe_->nacks_received;
}

void FailureDetector::CheckRelays(Micros now) {
  for (auto entry = relays_.begin(); entry != relays_.end();) {
    Relay& relay = entry->second;
    if (!relay.has_sent_nack && relay.nack_at <= now) {
      relay.has_sent_nack = true;
      deps_.outbox.Send(relay.requester, Nack{relay.requester_sequence});
    }
    entry = relay.ends_at <= now ? relays_.erase(entry) : std::next(entry);
  }
}

std::optional<std::string> FailureDetector::CheckProbe(Micros now) {
  if (!probe_) return std::nullopt;
  if (!probe_->has_sent_indirect && now >= probe_->indirect_at) SendIndirectProbes(now, *probe_);
  if (now < probe_->ends_at) return std::nullopt;
  return FailProbe();
}

void FailureDetector::StartDueProbe(Micros now) {
  if (probe_ || now < next_probe_at_) return;
  StartProbe(now);
  next_probe_at_ = now + deps_.health.ProbeInterval();
}

void FailureDetector::CancelProbeAndRelays(Micros now) {
  probe_.reset();
  relays_.clear();
  next_probe_at_ = now + deps_.health.ProbeInterval();
}

Micros FailureDetector::NextProbeDeadline() const {
  if (!probe_) return next_probe_at_;
  return probe_->has_sent_indirect ? probe_->ends_at : probe_->indirect_at;
}

Micros FailureDetector::NextRelayDeadline() const {
  Micros deadline = Micros::max();
  for (const auto& [sequence, relay] : relays_) {
    deadline = std::min(deadline, relay.has_sent_nack ? relay.ends_at : relay.nack_at);
  }
  return deadline;
}

std::optional<std::string> FailureDetector::NextTarget() {
  for (int pass = 0; pass < kTargetPasses; ++pass) {
    if (auto target = TakeNextOfRound()) return target;
    StartNewRound();
  }
  return std::nullopt;
}

std::optional<std::string> FailureDetector::TakeNextOfRound() {
  while (next_in_round_ < round_.size()) {
    const std::string& name = round_[next_in_round_++];
    const Member* const member = deps_.table.Find(name);
    if (member != nullptr && !IsDeparted(member->state)) return name;
  }
  return std::nullopt;
}

void FailureDetector::StartNewRound() {
  round_.clear();
  for (const auto& [name, member] : deps_.table.Members()) {
    if (!deps_.table.IsSelf(name) && !IsDeparted(member.state)) round_.push_back(name);
  }
  std::shuffle(round_.begin(), round_.end(), deps_.random);
  next_in_round_ = 0;
}

void FailureDetector::StartProbe(Micros now) {
  const auto target = NextTarget();
  if (!target) return;
  Probe probe;
  probe.target = *target;
  probe.sequence = ++last_sequence_;
  probe.indirect_at = now + deps_.health.ProbeTimeout();
  probe.ends_at = now + deps_.health.ProbeInterval();
  deps_.outbox.SendWithGossip(now, deps_.table.At(*target).address, Ping{probe.sequence, *target});
  probe_ = std::move(probe);
  ++deps_.stats.probes;
}

void FailureDetector::SendIndirectProbes(Micros now, Probe& probe) {
  probe.has_sent_indirect = true;
  std::vector<const Member*> helpers;
  for (const auto& [name, member] : deps_.table.Members()) {
    const bool is_helper = !deps_.table.IsSelf(name) && name != probe.target;
    if (is_helper && member.state == State::kAlive) helpers.push_back(&member);
  }
  std::shuffle(helpers.begin(), helpers.end(), deps_.random);
  const auto wanted = static_cast<std::size_t>(deps_.options.indirect_probes);
  helpers.resize(std::min(helpers.size(), wanted));
  const Member& target = deps_.table.At(probe.target);
  for (const Member* helper : helpers) {
    deps_.outbox.SendWithGossip(now, helper->address,
                                PingRequest{probe.sequence, target.name, target.address});
  }
  probe.nacks_expected = static_cast<int>(helpers.size());
  deps_.stats.indirect_probes += helpers.size();
}

std::string FailureDetector::FailProbe() {
  deps_.health.Adjust(1);
  // Some helpers did not respond either: the fault may be on this member's side.
  if (probe_->nacks_received < probe_->nacks_expected) deps_.health.Adjust(1);
  deps_.stats.nacks += static_cast<std::uint64_t>(probe_->nacks_received);
  std::string target = std::move(probe_->target);
  probe_.reset();
  return target;
}

}  // namespace tinspan::members
