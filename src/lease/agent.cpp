#include "lease/agent.hpp"

#include <algorithm>
#include <ctime>

#include "lease/candidate_selection.hpp"
#include "lease/health_record.hpp"
#include "log/log.hpp"

namespace tinspan::lease {
namespace {

// The first undecodable message is logged, then one in this many.
constexpr std::uint64_t kRejectedPerLogLine = 1'000;
// Added to each timer's delay so that the timer does not fire just before its deadline.
constexpr Micros kTimerMargin{500};

LeaseOptions WithLeaseNames(const AgentOptions& agent_options) {
  LeaseOptions options = agent_options.lease;
  options.lease_names.clear();
  if (agent_options.health_publication) options.lease_names.emplace_back(kHealthLease);
  if (agent_options.distributes_purges) options.lease_names.emplace_back(kPurgeLease);
  return options;
}

void LogChange(const LeaseChange& change) {
  const std::uint64_t token = ToNumber(change.token);
  switch (change.kind) {
    case LeaseChange::Kind::kGranted:
      log::Info("lease.granted", {{"duty", change.lease}, {"token", token}},
                "leases: lease {} granted to this member, token {}", change.lease, token);
      break;
    case LeaseChange::Kind::kExpired:
      log::Warn("lease.lapsed", {{"duty", change.lease}, {"token", token}},
                "leases: lease {} expired, token {}", change.lease, token);
      break;
    case LeaseChange::Kind::kReleased:
      log::Info("lease.released", {{"duty", change.lease}, {"token", token}},
                "leases: lease {} released, token {}", change.lease, token);
      break;
  }
}

}  // namespace

Micros Agent::Now() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return Micros{static_cast<std::int64_t>(now.tv_sec) * 1'000'000 + now.tv_nsec / 1'000};
}

std::uint64_t Agent::WallMs() {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(net::UnixNow().SinceEpoch().count() / 1000, 1));
}

Agent::Agent(net::EventLoop& loop, members::MembershipNode& members, AgentOptions options)
    : loop_(loop),
      members_(members),
      options_(std::move(options)),
      lease_node_(WithLeaseNames(options_), members_.View().Self().name, options_.seed, Now()),
      purge_distributor_(members_.View().Self().name, WallMs(), options_.purge_retention) {
  if (const auto& publication = options_.health_publication) {
    publisher_.emplace(publication->interval);
    store_.emplace(loop, publication->store, publication->key, kStoreTimeout,
                   [this](const StoreResult& result) { OnStoreResult(result); });
  }
  members_.SetPayloadHandler(
      [this](const std::string& sender, const std::string& bytes) { OnMessage(sender, bytes); });
  const bool is_voter = lease_node_.IsVoter();
  log::Info("lease.started", {{"voter", is_voter}, {"voters", options_.lease.voters.size()}},
            "leases: started; {} of the {} voters runs here", is_voter ? "one" : "none",
            options_.lease.voters.size());
  OnTimer();
}

Agent::~Agent() {
  members_.SetPayloadHandler({});
  if (timer_) loop_.Timers().Cancel(*timer_);
}

void Agent::OnMessage(const std::string& sender, const std::string& bytes) {
  const auto message = Decode(bytes, sender);
  if (!message) {
    OnUndecodable(message.error());
    return;
  }
  const Micros now = Now();
  if (const auto* const purge_message = std::get_if<PurgeMessage>(&*message)) {
    if (options_.distributes_purges) {
      purge_distributor_.Receive(now, *purge_message, lease_node_.HeldToken(kPurgeLease, now));
    }
  } else {
    lease_node_.Receive(now, std::get<Message>(*message));
  }
  Flush();
}

void Agent::OnUndecodable(const DecodeError& error) {
  ++rejected_messages_;
  if (rejected_messages_ != 1 && rejected_messages_ % kRejectedPerLogLine != 0) return;
  log::Warn("lease.message_refused", {{"reason", error.detail}, {"count", rejected_messages_}},
            "leases: message rejected ({}); {} rejected so far", error.detail, rejected_messages_);
}

std::optional<Micros> Agent::SubmitPurge(Purge purge) {
  const Micros now = Now();
  if (purge_distributor_.Submit(now, std::move(purge)) == SubmitResult::kTooManyOpen)
    return purge_distributor_.RetrySubmitAt(now) - now;
  Flush();
  return std::nullopt;
}

// Reads from the fleet view which members are alive and which claim to hold a lease, then updates the known
// claims and this member's candidacies.
void Agent::RefreshFromView(Micros now) {
  next_view_refresh_at_ = now + kViewRefreshInterval;
  alive_members_.clear();
  std::vector<LeaseClaim> claims;
  for (const auto& [name, member] : members_.View().Members()) {
    if (member.state == members::State::kDead || member.state == members::State::kLeft) continue;
    if (member.state == members::State::kAlive) alive_members_.push_back(name);
    for (const members::LeaseClaim& claim : member.lease_claims)
      claims.push_back({claim.lease, name, Token{claim.token}});
  }
  lease_node_.ObserveClaims(claims);
  const std::string& self = members_.View().Self().name;
  for (const std::string& lease : lease_node_.Options().lease_names) {
    const auto selected = SelectCandidates(lease, alive_members_, options_.candidate_count);
    const bool is_selected = std::find(selected.begin(), selected.end(), self) != selected.end();
    lease_node_.SetCandidacy(lease, is_selected && !is_leaving_, now);
  }
}

// Returns whether the node is running. Constructs the node anew once this process has bound the port, because
// a voter's silent period starts at that time.
bool Agent::StartOnceBound(Micros now) {
  if (is_started_) return true;
  if (!members_.IsStarted()) return false;
  is_started_ = true;
  lease_node_ = LeaseNode(WithLeaseNames(options_), members_.View().Self().name, options_.seed, now);
  return true;
}

void Agent::OnTimer() {
  const Micros now = Now();
  if (!StartOnceBound(now)) {
    ScheduleTimer();
    return;
  }
  if (now >= next_view_refresh_at_) RefreshFromView(now);
  lease_node_.Tick(now, WallMs());
  Flush();
}

void Agent::Flush() {
  for (const OutboundMessage& outbound : lease_node_.DrainMessages()) {
    members_.SendPayload(outbound.recipient, Encode(outbound.message));
  }
  const std::vector<LeaseChange> changes = lease_node_.DrainChanges();
  for (const LeaseChange& change : changes) LogChange(change);
  if (!changes.empty()) PublishClaims();
  PublishHealth();
  if (options_.distributes_purges) RunPurgeDistribution();
  ScheduleTimer();
}

// Publishes the leases that this member holds as claims in the fleet view.
void Agent::PublishClaims() {
  std::vector<members::LeaseClaim> claims;
  for (const std::string& lease : lease_node_.Options().lease_names) {
    if (const auto token = lease_node_.HeldToken(lease, Now())) claims.push_back({lease, ToNumber(*token)});
  }
  members_.SetLeaseClaims(std::move(claims));
}

void Agent::RunPurgeDistribution() {
  const Micros now = Now();
  purge_distributor_.ObserveToken(lease_node_.HighestClaimedToken(kPurgeLease));
  purge_distributor_.Tick(now, lease_node_.StatusOf(kPurgeLease, now).holder,
                          lease_node_.HeldToken(kPurgeLease, now), alive_members_);
  for (const OutboundPurgeMessage& outbound : purge_distributor_.DrainMessages()) {
    members_.SendPayload(outbound.recipient, Encode(outbound.message));
  }
  ApplyPurges();
  AbandonIfSuperseded(now);
}

void Agent::ApplyPurges() {
  for (const Purge& purge : purge_distributor_.DrainPurgesToApply()) {
    const std::uint64_t token = ToNumber(purge_distributor_.HighestToken());
    log::Info("purge.passed_on", {{"job", purge.id}, {"token", token}},
              "purge {} from another member applied, token {}", purge.id, token);
    if (purge_handler_) purge_handler_(purge);
  }
}

void Agent::AbandonIfSuperseded(Micros now) {
  const auto held = lease_node_.HeldToken(kPurgeLease, now);
  const Token newer_token = purge_distributor_.SupersedingToken();
  if (held && newer_token > *held) AbandonLease(kPurgeLease, newer_token, now);
}

void Agent::AbandonLease(const char* lease, Token newer_token, Micros now) {
  const std::uint64_t token = ToNumber(newer_token);
  log::Warn("lease.fenced", {{"duty", lease}, {"token", token}},
            "leases: lease {} was granted to another member under the newer token {}", lease, token);
  lease_node_.ObserveToken(lease, newer_token);
  lease_node_.Abandon(lease, now);
}

void Agent::PublishHealth() {
  if (!publisher_) return;
  const Micros now = Now();
  const auto request = publisher_->NextRequest(now, lease_node_.HeldToken(kHealthLease, now));
  if (!request) return;
  if (const auto* const write = std::get_if<WriteRequest>(&*request)) {
    store_->Write(*write, BuildHealthRecord(members_.View(), *write, WallMs()));
  } else {
    store_->Read();
  }
}

// Called from within a callback of the store's connection, so the timer sends the next request.
void Agent::OnStoreResult(const StoreResult& result) {
  if (!result) {
    OnStoreFailed(result.error());
  } else {
    last_store_failure_.clear();
    if (const auto* const stored = std::get_if<StoredRecord>(&*result)) {
      OnRecordRead(*stored);
    } else {
      publisher_->OnWritten();
    }
  }
  ScheduleTimer();
}

// Repeated failures with the same detail are logged once, until a different failure or a success occurs.
void Agent::OnStoreFailed(const StoreError& error) {
  publisher_->OnFailed(Now());
  if (error.detail != last_store_failure_) {
    log::Warn("lease.store_failed", {{"reason", error.detail}},
              "leases: request to the store failed: {}; retrying", error.detail);
  }
  last_store_failure_ = error.detail;
}

void Agent::OnRecordRead(const StoredRecord& stored) {
  const Micros now = Now();
  if (publisher_->OnRead(now, stored) == RecordCheck::kSuperseded) {
    AbandonLease(kHealthLease, stored.token, now);
  }
}

void Agent::ScheduleTimer() {
  if (timer_) loop_.Timers().Cancel(*timer_);
  const Micros now = Now();
  Micros deadline = is_started_ ? std::min(lease_node_.NextDeadline(), next_view_refresh_at_) : Micros::max();
  if (publisher_ && lease_node_.HeldToken(kHealthLease, now)) {
    deadline = std::min(deadline, publisher_->NextDeadline());
  }
  if (options_.distributes_purges) deadline = std::min(deadline, purge_distributor_.NextDeadline());
  const Micros delay = std::clamp(deadline - now, Micros{0}, kViewRefreshInterval);
  timer_ = loop_.Timers().Set(net::Now() + delay + kTimerMargin, [this](Micros) {
    timer_.reset();
    OnTimer();
  });
}

void Agent::Leave() {
  is_leaving_ = true;
  if (!is_started_) return;
  lease_node_.ReleaseAll(Now());
  Flush();
}

std::string Agent::RoleIn(const std::string& lease, const LeaseStatus& status) const {
  if (status.is_held_here) return "holder";
  if (!lease_node_.IsVoter()) return "member";
  return lease_node_.IsServing(lease) ? "voter" : "voter-silent";
}

std::string Agent::StatusLine(const std::string& lease) const {
  const LeaseStatus status = lease_node_.StatusOf(lease, Now());
  const std::string line = lease + " " + (status.holder.empty() ? "-" : status.holder) + " " +
                           std::to_string(ToNumber(status.token)) + " " +
                           std::to_string(status.remaining.count() / 1000) + " " + RoleIn(lease, status);
  if (lease == kHealthLease) {
    return line + " number=" + std::to_string(publisher_->LastNumber()) +
           " store=" + (last_store_failure_.empty() ? "well" : "failing");
  }
  return line + " open=" + std::to_string(purge_distributor_.OpenCount()) +
         " applied=" + std::to_string(purge_distributor_.AppliedCount()) +
         " refused=" + std::to_string(purge_distributor_.RejectedCount());
}

std::string Agent::StatusLines() const {
  std::string lines;
  for (const std::string& lease : lease_node_.Options().lease_names) lines += StatusLine(lease) + "\n";
  return lines;
}

}  // namespace tinspan::lease
