#include "record/tracker.hpp"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <cmath>
#include <utility>

namespace tinspan::record {
namespace {

constexpr std::uint32_t kBuckets = 256;
constexpr double kFirstEdge = 64;  // microseconds
constexpr Micros kKeepGone{60'000'000};
constexpr Micros kDrainWatch{3'000'000};  // after which what still went to a server is written down

const auto& LatencyAxis() {
  namespace axis = boost::histogram::axis;
  static const axis::regular<double, axis::transform::log> kAxis(
      kBuckets - 1, kFirstEdge, kFirstEdge * std::exp2((kBuckets - 1) / 8.0));
  return kAxis;
}

std::uint32_t Clip32(std::int64_t value) {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value, 0, 0xffffffff));
}

}  // namespace

const char* Name(Ending ending) {
  constexpr std::array kNames{"in_time", "stale",  "late",    "late_stale", "broken",
                              "refused", "failed", "overdue", "left"};
  static_assert(kNames.size() == kEndings);
  const auto place = static_cast<std::size_t>(ending);
  return place < kNames.size() ? kNames[place] : "unknown";
}

const char* Name(Outcome outcome) {
  constexpr std::array kNames{"served", "error",     "full",     "timed_out", "connect_failed",
                              "reset",  "cancelled", "not_sent", "miss"};
  const auto place = static_cast<std::size_t>(outcome);
  return place < kNames.size() ? kNames[place] : "unknown";
}

const char* Name(Availability availability) {
  constexpr std::array kNames{"up", "draining", "gone"};
  const auto place = static_cast<std::size_t>(availability);
  return place < kNames.size() ? kNames[place] : "unknown";
}

double Earned(Ending ending, const wire::Class& of) {
  switch (ending) {
    case Ending::kInTime:
      return 1;
    case Ending::kStale:
      return of.stale_worth();
    case Ending::kLate:
      return of.late_worth();
    case Ending::kLateStale:
      return of.late_worth() * of.stale_worth();
    default:
      return 0;
  }
}

std::uint32_t LatencyBucket(Micros latency) {
  const double value = std::max(static_cast<double>(latency.count()), kFirstEdge);
  return static_cast<std::uint32_t>(
      std::clamp<int>(LatencyAxis().index(value), 0, static_cast<int>(kBuckets) - 1));
}

Micros LatencyOf(std::uint32_t bucket) {
  const int place = static_cast<int>(std::min(bucket, kBuckets - 1));
  return place == 0 ? Micros{0} : Micros{std::llround(LatencyAxis().value(place))};
}

Tracker::Tracker(const Settings& settings, TrackerRules rules, std::uint64_t seed)
    : settings_(settings), rules_(rules), random_(seed) {}

void Tracker::Round(UnixTime wall, Micros mono, std::span<const core::Event> events,
                    const core::Commands& commands, std::size_t open, std::vector<wire::Record>& out) {
  wall_ = wall;
  now_ = mono;
  out_ = &out;
  if (counted_ && now_ - window_from_ >= rules_.window) CloseWindow();
  for (const core::Event& event : events) std::visit([this](const auto& one) { On(one); }, event);
  for (const core::Command& command : commands) std::visit([this](const auto& one) { On(one); }, command);
  for (const RequestId id : touched_) Settle(id);
  touched_.clear();
  if (now_ >= next_second_) Second(open);
  out_ = nullptr;
}

void Tracker::Flush(Micros mono, std::vector<wire::Record>& out) {
  now_ = mono;
  out_ = &out;
  second_over_ = true;
  if (counted_ || !latency_.empty()) CloseWindow();
  out_ = nullptr;
}

Micros Tracker::NextDue() const {
  return counted_ ? std::min(next_second_, window_from_ + rules_.window) : next_second_;
}

// ---- Events. ----

void Tracker::On(const core::RequestReceived& event) {
  const auto [place, added] = requests_.try_emplace(event.id);
  if (!added) return;
  place->second.came = event;
  place->second.at = now_;
  ++came_[static_cast<std::uint32_t>(event.class_id)];
  if (event.is_retry) ++repeats_[static_cast<std::uint32_t>(event.class_id)];
  Count();
}

void Tracker::On(const core::ClientDisconnected& event) {
  Request* const request = Find(event.id);
  if (request != nullptr && !request->ending) End(*request, Ending::kLeft, 0);
}

void Tracker::On(const core::ResponseStarted& event) {
  Request* const request = Find(event.id);
  Attempt* const attempt = request == nullptr ? nullptr : Find(*request, event.attempt);
  if (attempt == nullptr || attempt->ended) return;
  attempt->begun = now_;
  attempt->issued_at = event.issued_at;
}

void Tracker::On(const core::AttemptCompleted& event) {
  Request* const request = Find(event.id);
  Attempt* const attempt = request == nullptr ? nullptr : Find(*request, event.attempt);
  if (attempt == nullptr || attempt->ended) return;  // given up before
  attempt->note = event.note;
  attempt->fill_wait = event.fill_wait.value_or(Micros{0});
  if (event.issued_at) attempt->issued_at = event.issued_at;
  if (event.outcome == Outcome::kServed) {
    attempt->served = true;  // unless the core finds it older than a purge
  } else {
    EndAttempt(*request, *attempt, event.outcome);
  }
}

void Tracker::On(const core::EndpointsUpdated& event) {
  const bool whole = event.kind == EndpointsEvent::Kind::kFull || event.kind == EndpointsEvent::Kind::kStale;
  wire::Members told;
  told.set_source(event.source);
  told.set_version(event.version);
  told.set_kind(event.kind == EndpointsEvent::Kind::kDelta   ? 0
                : event.kind == EndpointsEvent::Kind::kFull  ? 1
                : event.kind == EndpointsEvent::Kind::kStale ? 2
                                                             : 3);
  std::vector<std::uint32_t> named;  // numbers in the list
  const auto put = [&](Known& known, const EndpointInfo& member) {
    wire::Member& out = *told.add_members();
    out.set_server(known.number);
    out.set_state(static_cast<std::uint32_t>(member.availability));
    out.set_weight(member.weight);
    out.set_started_us(member.started_at.count());
    Leave(known, member.availability);
  };
  for (std::size_t i = 0; i < event.endpoints.size(); ++i) {
    const EndpointInfo& member = event.endpoints[i];
    bool fresh = false;
    Known& known = Number(member.id, fresh);
    const core::EndpointsUpdated::EndpointName none;
    const core::EndpointsUpdated::EndpointName& named_as = i < event.names.size() ? event.names[i] : none;
    const bool renamed = (!named_as.name.empty() && known.name != named_as.name) ||
                         (!named_as.address.empty() && known.address != named_as.address);
    if (fresh || renamed) {
      if (!named_as.name.empty()) known.name = named_as.name;
      if (!named_as.address.empty()) known.address = named_as.address;
      known.zone = static_cast<std::uint32_t>(member.zone);
      known.kind = static_cast<std::uint32_t>(member.kind);
      WriteServer(known, *Put().mutable_server());
    }
    named.push_back(known.number);
    if (fresh || known.state != member.availability || !whole) put(known, member);
  }
  if (whole) {
    std::sort(named.begin(), named.end());
    std::map<std::uint32_t, ServerId> missing;  // in the order of their numbers
    for (const auto& [id, known] : servers_) {
      if (known.state != Availability::kRemoved &&
          !std::binary_search(named.begin(), named.end(), known.number))
        missing.emplace(known.number, id);
    }
    for (const auto& [number, id] : missing) {
      put(servers_.at(id), EndpointInfo{.id = id, .availability = Availability::kRemoved});
    }
  }
  *Put().mutable_members() = std::move(told);
}

void Tracker::On(const core::PurgeReceived& event) {
  wire::Purge& out = *Put().mutable_purge();
  out.set_made_us(event.purged_at.count());
  out.set_group(static_cast<std::uint64_t>(event.group));
  out.set_object(event.object ? static_cast<std::uint64_t>(*event.object) : 0);
  const PurgeKey key = event.object ? PurgeKey{0, static_cast<std::uint64_t>(*event.object)}
                                    : PurgeKey{static_cast<std::uint64_t>(event.group), 0};
  Purge& purge = purges_[key];
  if (event.purged_at >= purge.made) purge = {.made = event.purged_at, .told = now_};
}

// Draining, then gone: the time runs from the first word.
void Tracker::Leave(Known& known, Availability state) {
  if (known.state == Availability::kUp && state != Availability::kUp) {
    if (!std::exchange(known.leaving, true)) ++leaving_;
    known.told = now_;
    known.sent = 0;
    known.last_sent = Micros{0};
  }
  // Back again: what goes there from now on is as it should be.
  if (known.leaving && state == Availability::kUp) WriteDrain(known);
  known.state = state;
  known.changed = now_;
}

void Tracker::WriteDrain(Known& known) {
  known.leaving = false;
  --leaving_;
  wire::Drain& drain = *Put().mutable_drain();
  drain.set_server(known.number);
  drain.set_told_us(Clip32((now_ - known.told).count()));
  drain.set_sent(known.sent);
  drain.set_last_us(known.sent == 0 ? 0 : Clip32((known.last_sent - known.told).count()));
}

void Tracker::On(const core::AttemptSent& event) {
  Request* const request = Find(event.id);
  Attempt* const attempt = request == nullptr ? nullptr : Find(*request, event.attempt);
  if (attempt != nullptr && !attempt->ended) Went(*attempt);
}

// An attempt has gone out now: to a server, or with one as its source, that is no longer up?
void Tracker::Went(const Attempt& attempt) {
  if (leaving_ == 0) return;
  const auto count = [&](ServerId id) {
    const auto found = servers_.find(id);
    if (found == servers_.end() || !found->second.leaving) return;
    Known& known = found->second;
    // One that had to wait for its connection comes a second time.
    if (attempt.sent == now_ || attempt.sent < known.told) ++known.sent;
    known.last_sent = now_;
  };
  count(attempt.id);
  if (attempt.source != 0) count(attempt.source_id);
}

// An answer that was passed on: by a copy from before a purge?
void Tracker::Old(const Request& request, const Attempt& attempt) {
  if (!attempt.issued_at) return;
  for (const PurgeKey& key : {PurgeKey{static_cast<std::uint64_t>(request.came.group), 0},
                              PurgeKey{0, static_cast<std::uint64_t>(request.came.object)}}) {
    const auto purge = purges_.find(key);
    if (purge == purges_.end() || *attempt.issued_at >= purge->second.made) continue;
    ++purge->second.served;
    purge->second.last_sent = std::max(purge->second.last_sent, attempt.sent);
    purge->second.last_served = now_;
  }
}

void Tracker::On(const core::ConnectionLost& event) {
  Losses& losses = lost_[Server(event.server).number];
  ++losses.connections;
  losses.open += static_cast<std::uint32_t>(event.open_requests);
}

// ---- Commands. ----

void Tracker::On(const core::StartAttempt& command) {
  Request* const request = Find(command.action.id);
  if (request == nullptr) return;
  Known& server = Server(command.action.server);
  ++server.out;
  const bool fill = command.action.source != command.action.server;
  const SendAttempt& order = command.action;
  request->attempts.push_back({.number = command.attempt,
                               .id = order.server,
                               .server = server.number,
                               .source_id = order.source,
                               .source = fill ? Server(order.source).number : 0,
                               .sent = now_,
                               .expires_at = order.expires_at,
                               .issued_at = std::nullopt,
                               .ended = std::nullopt,
                               .begun = std::nullopt,
                               .keep = order.cache_rank,
                               .how = (order.join_fill ? 1u : 0u) | (order.source_cached_only ? 2u : 0u) |
                                      (order.bypass_parent ? 4u : 0u) | (order.revalidate ? 8u : 0u)});
  Went(request->attempts.back());
}

void Tracker::On(const core::AbortAttempt& command) {
  Request* const request = Find(command.id);
  Attempt* const attempt = request == nullptr ? nullptr : Find(*request, command.attempt);
  if (attempt == nullptr || attempt->ended) return;
  const bool due = now_ >= attempt->expires_at;
  // An answer that had begun and was never passed on was older than a purge.
  const bool purged = attempt->begun && *attempt->begun == now_ && !request->ending;
  EndAttempt(*request, *attempt, purged ? Outcome::kError : due ? Outcome::kTimedOut : Outcome::kCancelled);
}

void Tracker::On(const core::CompleteRequest& command) {
  Request* const request = Find(command.id);
  if (request == nullptr || request->ending) return;
  request->overdue = command.deadline_exceeded;
  request->retry_after_ms = Clip32(command.retry_after.count() / 1000);
  using core::CompletionStatus;
  Attempt* const attempt = Find(*request, command.attempt);
  const bool answered =
      command.status == CompletionStatus::kServed || command.status == CompletionStatus::kTruncated;
  const std::uint32_t server = answered && attempt != nullptr ? attempt->server : 0;
  if (command.status == CompletionStatus::kServed) {
    const auto place = static_cast<std::size_t>(request->came.class_id);
    Micros aim = Micros::max();
    if (place < settings_.classes.size() && settings_.classes[place].latency_objective > Micros{0}) {
      const ClassSettings& of = settings_.classes[place];
      const double sending = settings_.transfer_rate_kb_per_s > 0
                                 ? request->came.size_kb / settings_.transfer_rate_kb_per_s * 1e6
                                 : 0;
      aim = of.latency_objective + Micros{std::llround(of.latency_objective_stretch * sending)};
    }
    const bool late = now_ - request->at > aim;
    const bool stale = attempt != nullptr && attempt->note == FillNote::kStaleHit;
    if (attempt != nullptr) Old(*request, *attempt);
    if (attempt != nullptr && !attempt->ended) EndAttempt(*request, *attempt, Outcome::kServed);
    ++latency_[static_cast<std::uint32_t>(request->came.class_id) * kBuckets +
               LatencyBucket(now_ - request->at)];
    End(*request,
        late ? (stale ? Ending::kLateStale : Ending::kLate) : (stale ? Ending::kStale : Ending::kInTime),
        server);
  } else if (command.status == CompletionStatus::kTruncated) {
    End(*request, Ending::kBroken, server);
  } else {
    End(*request,
        command.deadline_exceeded                       ? Ending::kOverdue
        : command.status == CompletionStatus::kRejected ? Ending::kRefused
                                                        : Ending::kFailed,
        server);
  }
}

void Tracker::On(const core::LogMessage& command) { Put().set_router_line(command.text); }

// ---- Requests. ----

Tracker::Request* Tracker::Find(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return nullptr;
  touched_.push_back(id);
  return &found->second;
}

Tracker::Attempt* Tracker::Find(Request& request, std::uint32_t number) {
  const auto found = std::find_if(request.attempts.begin(), request.attempts.end(),
                                  [number](const Attempt& one) { return one.number == number; });
  return found == request.attempts.end() ? nullptr : &*found;
}

void Tracker::EndAttempt(Request& request, Attempt& attempt, Outcome outcome) {
  attempt.ended = now_;
  attempt.outcome = outcome;
  attempt.served = false;
  ++attempts_[Key(attempt.server, request.came.class_id, static_cast<std::uint32_t>(outcome))];
  Count();
  const auto server = servers_.find(attempt.id);
  if (server != servers_.end() && server->second.out > 0) --server->second.out;
}

void Tracker::End(Request& request, Ending ending, std::uint32_t server) {
  request.ending = ending;
  request.answered = now_;
  ++ended_[Key(server, request.came.class_id, static_cast<std::uint32_t>(ending))];
  Count();
}

// At the end of a round: what the core did not pass on was too old; what is over is written and forgotten.
void Tracker::Settle(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  Request& request = found->second;
  bool out = false;
  for (Attempt& attempt : request.attempts) {
    if (attempt.served && !attempt.ended) EndAttempt(request, attempt, Outcome::kError);
    out = out || !attempt.ended;
  }
  if (!request.ending || out) return;
  const bool fine = *request.ending == Ending::kInTime || *request.ending == Ending::kStale ||
                    *request.ending == Ending::kLeft;
  const bool drawn = random_() % 1'000'000 < rules_.sample_ppm;
  if (!fine || drawn) Trace(id, request, fine);
  requests_.erase(found);
}

void Tracker::Trace(RequestId id, const Request& request, bool sampled) {
  wire::Record& record = Put();
  record.set_at_us(request.answered.count());
  wire::Trace& out = *record.mutable_trace();
  out.set_request(static_cast<std::uint64_t>(id));
  out.set_class_id(static_cast<std::uint32_t>(request.came.class_id));
  out.set_object(static_cast<std::uint64_t>(request.came.object));
  out.set_group(static_cast<std::uint64_t>(request.came.group));
  out.set_part(request.came.part);
  out.set_size_kb(static_cast<float>(request.came.size_kb));
  out.set_repeat(request.came.is_retry);
  out.set_took_us(Clip32((request.answered - request.at).count()));
  out.set_verdict(static_cast<std::uint32_t>(*request.ending));
  out.set_retry_after_ms(request.retry_after_ms);
  out.set_overdue(request.overdue);
  out.set_sampled(sampled);
  out.set_allow_ms(Clip32(request.came.time_left.count() / 1000));
  for (const Attempt& one : request.attempts) {
    wire::Attempt& attempt = *out.add_attempts();
    attempt.set_number(one.number);
    attempt.set_server(one.server);
    attempt.set_source(one.source);
    attempt.set_sent_us(Clip32((one.sent - request.at).count()));
    attempt.set_took_us(Clip32((*one.ended - one.sent).count()));
    attempt.set_outcome(static_cast<std::uint32_t>(one.outcome));
    attempt.set_note(static_cast<std::uint32_t>(one.note));
    attempt.set_fill_wait_us(Clip32(one.fill_wait.count()));
    attempt.set_begun_us(one.begun ? Clip32((*one.begun - one.sent).count()) : 0);
    attempt.set_keep(one.keep);
    attempt.set_how(one.how);
  }
}

// ---- Servers. ----

Tracker::Known& Tracker::Number(ServerId id, bool& fresh) {
  const auto [place, added] = servers_.try_emplace(id);
  fresh = added;
  if (added) {
    place->second.number = ++last_number_;
    place->second.id = id;
  }
  return place->second;
}

Tracker::Known& Tracker::Server(ServerId id) {
  bool fresh = false;
  Known& known = Number(id, fresh);
  if (fresh) WriteServer(known, *Put().mutable_server());
  return known;
}

void Tracker::WriteServer(const Known& known, wire::Server& out) const {
  out.set_number(known.number);
  out.set_id(static_cast<std::uint64_t>(known.id));
  out.set_name(known.name);
  out.set_address(known.address);
  out.set_zone(known.zone);
  out.set_kind(known.kind);
  out.set_state(static_cast<std::uint32_t>(known.state));
}

void Tracker::Restate(std::vector<wire::Record>& out) const {
  std::map<std::uint32_t, const Known*> ordered;
  for (const auto& [id, known] : servers_) ordered.emplace(known.number, &known);
  for (const auto& [number, known] : ordered) {
    WriteServer(*known, *out.emplace_back().mutable_server());
  }
}

// ---- Writing. ----

wire::Record& Tracker::Put() {
  wire::Record& record = out_->emplace_back();
  record.set_at_us(now_.count());
  return record;
}

std::uint64_t Tracker::Key(std::uint32_t server, ClassId of, std::uint32_t what) const {
  return (std::uint64_t{server} * settings_.classes.size() + static_cast<std::uint32_t>(of)) * 16 + what;
}

void Tracker::Count() {
  if (std::exchange(counted_, true)) return;
  window_from_ = now_;
}

void Tracker::CloseWindow() {
  wire::Window& out = *Put().mutable_window();
  out.set_length_us(counted_ ? Clip32((now_ - window_from_).count()) : 0);
  const auto put = [](const auto& counts, auto* target) {
    for (const auto& [key, count] : counts) {
      target->Add(key);
      target->Add(count);
    }
  };
  put(came_, out.mutable_came());
  put(repeats_, out.mutable_repeats());
  put(ended_, out.mutable_ended());
  put(attempts_, out.mutable_attempts());
  came_.clear();
  repeats_.clear();
  ended_.clear();
  attempts_.clear();
  counted_ = false;
  if (!std::exchange(second_over_, false)) return;
  put(latency_, out.mutable_latency());
  latency_.clear();
}

void Tracker::Second(std::size_t open) {
  next_second_ = now_ + rules_.second;
  second_over_ = true;
  for (const auto& [number, losses] : lost_) {
    wire::Lost& out = *Put().mutable_lost();
    out.set_server(number);
    out.set_connections(losses.connections);
    out.set_open(losses.open);
  }
  lost_.clear();
  wire::Heartbeat& beat = *Put().mutable_heartbeat();
  beat.set_wall_us(wall_.SinceEpoch().count());
  beat.set_mono_us(now_.count());
  beat.set_open(static_cast<std::uint32_t>(open));
  std::map<std::uint32_t, std::uint32_t> out;
  for (const auto& [id, known] : servers_) {
    if (known.out > 0) out.emplace(known.number, known.out);
  }
  for (const auto& [number, count] : out) {
    beat.add_out(number);
    beat.add_out(count);
  }
  for (auto& [id, known] : servers_) {
    if (leaving_ == 0) break;
    if (known.leaving && now_ - known.told >= kDrainWatch) WriteDrain(known);
  }
  std::erase_if(purges_, [this](const auto& entry) {
    const auto& [key, purge] = entry;
    if (now_ - purge.told < settings_.purge_retention) return false;
    wire::PurgeHeld& held = *Put().mutable_purge_held();
    held.set_group(key.first);
    held.set_object(key.second);
    held.set_told_us(Clip32((now_ - purge.told).count()));
    held.set_served(purge.served);
    if (purge.served > 0) {
      held.set_last_sent_us(Clip32((purge.last_sent - purge.told).count()));
      held.set_last_served_us(Clip32((purge.last_served - purge.told).count()));
    }
    return true;
  });
  // Over a long day many come and go.
  std::erase_if(servers_, [this](const auto& entry) {
    const Known& known = entry.second;
    return known.state == Availability::kRemoved && known.out == 0 && !known.leaving &&
           now_ - known.changed > kKeepGone;
  });
}

}  // namespace tinspan::record
