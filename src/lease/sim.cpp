#include "lease/sim.hpp"

#include <algorithm>
#include <tuple>

namespace tinspan::lease::sim {
namespace {

// The minimum delay of a scheduled tick. Without it, a deadline that has passed but causes no action (that of
// a candidate with nothing to publish) would keep simulated time from advancing.
constexpr Micros kMinTickDelay{1'000};
// A member's request to the store fails after this time; its write may still be accepted later.
constexpr Micros kStoreTimeout{500'000};

}  // namespace

bool Fleet::Event::operator>(const Event& other) const {
  return std::tie(at, order) > std::tie(other.at, other.order);
}

Fleet::Fleet(LeaseOptions options, std::size_t voter_count, Micros publish_interval, std::uint64_t seed)
    : options_(std::move(options)), publish_interval_(publish_interval), random_(seed) {
  options_.lease_names = {kLease};
  options_.voters.clear();
  for (std::size_t i = 0; i < voter_count; ++i) options_.voters.push_back("m" + std::to_string(i));
}

// A member's clock differs from true time only in its rate, because its zero point has no significance.
Micros Fleet::LocalTime(const Member& member) const {
  return Micros{static_cast<std::int64_t>(static_cast<double>(now_.count()) * member.clock_rate)};
}

Micros Fleet::TrueTime(const Member& member, Micros local) {
  return Micros{static_cast<std::int64_t>(static_cast<double>(local.count()) / member.clock_rate)};
}

std::uint64_t Fleet::WallMs(const Member& member) const {
  const std::int64_t wall_ms = (now_ + member.wall_clock_offset).count() / 1000;
  return static_cast<std::uint64_t>(std::max<std::int64_t>(wall_ms, 1));
}

Micros Fleet::RandomDelay() {
  std::uniform_int_distribution<std::int64_t> delays(link_.min_delay.count(), link_.max_delay.count());
  return Micros{delays(random_)};
}

bool Fleet::RandomChance(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

int Fleet::Add(double clock_rate, Micros wall_clock_offset) {
  const int index = static_cast<int>(members_.size());
  Member& member = members_.emplace_back();
  member.name = "m" + std::to_string(index);
  member.clock_rate = clock_rate;
  member.wall_clock_offset = wall_clock_offset;
  Start(index);
  return index;
}

void Fleet::Start(int member) {
  Member& started = members_[member];
  started.node = std::make_unique<LeaseNode>(options_, started.name, random_(), LocalTime(started));
  started.publisher = std::make_unique<Publisher>(publish_interval_);
  started.is_running = true;
  started.paused_until = Micros{0};
  started.deferred.clear();
  ++started.incarnation;
  started.node->SetCandidacy(kLease, started.is_candidate, LocalTime(started));
  ScheduleTick(member);
}

void Fleet::SetCandidacy(int member, bool is_candidate) {
  Member& changed = members_[member];
  changed.is_candidate = is_candidate;
  if (!changed.is_running) return;
  changed.node->SetCandidacy(kLease, is_candidate, LocalTime(changed));
  ScheduleTick(member);
}

void Fleet::Kill(int member) {
  Member& killed = members_[member];
  if (const auto held = killed.node->HeldToken(kLease, LocalTime(killed))) history_.RecordEnd(*held, now_);
  killed.is_running = false;
  ++killed.incarnation;
}

void Fleet::Restart(int member) { Start(member); }

void Fleet::Pause(int member, Micros until) { members_[member].paused_until = until; }

void Fleet::Leave(int member) {
  Member& leaving = members_[member];
  leaving.is_candidate = false;
  if (!leaving.is_running) return;
  leaving.node->ReleaseAll(LocalTime(leaving));
  Flush(member);
}

void Fleet::Partition(const std::vector<int>& side) {
  const std::set<int> inside(side.begin(), side.end());
  const int count = static_cast<int>(members_.size());
  for (int from = 0; from < count; ++from) {
    for (int recipient = 0; recipient < count; ++recipient) {
      if (inside.contains(from) != inside.contains(recipient)) CutLink(from, recipient);
    }
  }
}

void Fleet::Heal() {
  cut_links_.clear();
  for (Member& member : members_) {
    member.is_store_cut = false;
    member.max_store_delay = Micros{0};
  }
}

std::optional<int> Fleet::Holder() const {
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const Member& member = members_[i];
    if (member.is_running && member.node->HeldToken(kLease, LocalTime(member))) return static_cast<int>(i);
  }
  return std::nullopt;
}

void Fleet::Schedule(Micros run_at, std::function<void()> run) {
  events_.push(Event{run_at, ++event_count_, std::move(run)});
}

void Fleet::RunAs(int member, std::uint64_t incarnation, std::function<void()> run) {
  Member& runner = members_[member];
  if (!runner.is_running || runner.incarnation != incarnation) return;
  if (runner.paused_until > now_) {
    runner.deferred.push_back(std::move(run));
    return;
  }
  run();
  Flush(member);
}

void Fleet::ScheduleTick(int member) {
  Member& scheduled = members_[member];
  Micros deadline = scheduled.node->NextDeadline();
  if (scheduled.node->HeldToken(kLease, LocalTime(scheduled))) {
    deadline = std::min(deadline, scheduled.publisher->NextDeadline());
  }
  const bool has_deadline = deadline != Micros::max();
  const Micros due =
      has_deadline ? TrueTime(scheduled, deadline) + Micros{1} : now_ + options_.lease_duration;
  const std::uint64_t tick_id = ++scheduled.latest_tick_id;
  const std::uint64_t incarnation = scheduled.incarnation;
  Schedule(std::max({due, scheduled.paused_until, now_ + kMinTickDelay}),
           [this, member, tick_id, incarnation] {
             const Member& ticking = members_[member];
             const bool is_outdated = ticking.incarnation != incarnation || ticking.latest_tick_id != tick_id;
             if (ticking.is_running && !is_outdated) RunTick(member);
           });
}

// Handles the events deferred during a pause before the tick, as a real process reads its messages first.
void Fleet::RunTick(int member) {
  Member& ticking = members_[member];
  if (ticking.paused_until > now_) {
    ScheduleTick(member);
    return;
  }
  for (const auto& handle : std::exchange(ticking.deferred, {})) handle();
  ticking.node->Tick(LocalTime(ticking), WallMs(ticking));
  Flush(member);
}

void Fleet::RecordHold(const Member& member) {
  const Micros local_now = LocalTime(member);
  const LeaseStatus status = member.node->StatusOf(kLease, local_now);
  history_.RecordHold(status.token, member.name, now_, TrueTime(member, status.remaining + local_now));
}

void Fleet::Flush(int member) {
  Member& flushed = members_[member];
  const Micros local_now = LocalTime(flushed);
  const auto held = flushed.node->HeldToken(kLease, local_now);
  for (const LeaseChange& change : flushed.node->DrainChanges()) {
    if (change.kind == LeaseChange::Kind::kReleased) history_.RecordEnd(change.token, now_);
  }
  if (held) RecordHold(flushed);
  if (const auto request = flushed.publisher->NextRequest(local_now, held)) CallStore(member, *request);
  for (const OutboundMessage& outbound : flushed.node->DrainMessages()) SendMessage(member, outbound);
  ScheduleTick(member);
}

void Fleet::SendMessage(int sender, const OutboundMessage& outbound) {
  ++message_count_;
  const int recipient = std::stoi(outbound.recipient.substr(1));
  const bool is_known = recipient < static_cast<int>(members_.size());
  if (!is_known || cut_links_.contains({sender, recipient})) return;
  const int copies = RandomChance(link_.duplication) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (RandomChance(link_.loss)) continue;
    Schedule(now_ + RandomDelay(), [this, recipient, message = outbound.message] {
      RunAs(recipient, members_[recipient].incarnation, [this, recipient, message] {
        const Member& receiver = members_[recipient];
        receiver.node->Receive(LocalTime(receiver), message);
      });
    });
  }
}

void Fleet::RunFor(Micros span) {
  const Micros end = now_ + span;
  while (!events_.empty() && events_.top().at <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
  }
  now_ = end;
}

bool Fleet::IsStoreMessageLost(int member) {
  return members_[member].is_store_cut || RandomChance(link_.loss);
}

// The request or the response may be lost; the store itself does not fail.
void Fleet::CallStore(int member, const StoreRequest& request) {
  ++store_request_count_;
  Member& caller = members_[member];
  const bool is_request_lost = IsStoreMessageLost(member);
  const bool is_response_lost = IsStoreMessageLost(member);
  const StoreCall call{member, caller.incarnation, ++caller.latest_store_request_id, request,
                       is_response_lost};
  Schedule(now_ + kStoreTimeout, [this, call] {
    Respond(call, [this](Member& waiting) { waiting.publisher->OnFailed(LocalTime(waiting)); });
  });
  if (is_request_lost) return;
  std::uniform_int_distribution<std::int64_t> delays(0, caller.max_store_delay.count());
  const Micros extra_delay{delays(random_)};
  Schedule(now_ + RandomDelay() + extra_delay, [this, call] { ReachStore(call); });
}

void Fleet::ReachStore(const StoreCall& call) {
  const auto* const write = std::get_if<WriteRequest>(&call.request);
  if (write != nullptr && write->expected_index == stored_.index) {
    history_.RecordAcceptedWrite(write->token, write->number);
    stored_ = {stored_.index + 1, write->token, write->number};
  } else if (write != nullptr) {
    history_.RecordRejectedWrite();
  }
  if (call.is_response_lost) return;
  Schedule(now_ + RandomDelay(), [this, call, is_write = write != nullptr, stored = stored_] {
    Respond(call, [this, is_write, stored](Member& waiting) {
      if (is_write) {
        waiting.publisher->OnWritten();
      } else {
        OnRecordRead(waiting, stored);
      }
    });
  });
}

// Runs `handle` as the caller if that is still waiting for the response to this request.
void Fleet::Respond(const StoreCall& call, std::function<void(Member&)> handle) {
  RunAs(call.member, call.incarnation, [this, call, handle = std::move(handle)] {
    Member& caller = members_[call.member];
    if (caller.latest_store_request_id == call.id && caller.publisher->IsPending()) handle(caller);
  });
}

void Fleet::OnRecordRead(Member& member, const StoredRecord& stored) {
  const Micros local_now = LocalTime(member);
  if (member.publisher->OnRead(local_now, stored) == RecordCheck::kCurrent) return;
  member.node->ObserveToken(kLease, stored.token);
  if (const auto held = member.node->HeldToken(kLease, local_now)) history_.RecordEnd(*held, now_);
  member.node->Abandon(kLease, local_now);
}

}  // namespace tinspan::lease::sim
