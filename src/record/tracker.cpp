#include "record/tracker.hpp"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <cmath>
#include <utility>

namespace tinspan::record {
namespace {

constexpr std::uint32_t kBuckets = 256;
constexpr double kFirstEdgeUs = 64;
constexpr Micros kRemovedServerRetention{60'000'000};
constexpr Micros kDrainObservation{3'000'000};  // sends to a draining server are counted for this long

const auto& LatencyAxis() {
  namespace axis = boost::histogram::axis;
  static const axis::regular<double, axis::transform::log> kAxis(
      kBuckets - 1, kFirstEdgeUs, kFirstEdgeUs * std::exp2((kBuckets - 1) / 8.0));
  return kAxis;
}

std::uint32_t ClampTo32Bits(std::int64_t value) {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value, 0, 0xffffffff));
}

}  // namespace

const char* Name(RequestOutcome ending) {
  constexpr std::array kNames{"in_time", "stale",  "late",    "late_stale", "broken",
                              "refused", "failed", "overdue", "left"};
  static_assert(kNames.size() == kRequestOutcomeCount);
  const auto index = static_cast<std::size_t>(ending);
  return index < kNames.size() ? kNames[index] : "unknown";
}

const char* Name(Outcome outcome) {
  constexpr std::array kNames{"served", "error",     "full",     "timed_out", "connect_failed",
                              "reset",  "cancelled", "not_sent", "miss"};
  const auto index = static_cast<std::size_t>(outcome);
  return index < kNames.size() ? kNames[index] : "unknown";
}

const char* Name(Availability availability) {
  constexpr std::array kNames{"up", "draining", "gone"};
  const auto index = static_cast<std::size_t>(availability);
  return index < kNames.size() ? kNames[index] : "unknown";
}

double EarnedShare(RequestOutcome ending, const wire::Class& of) {
  switch (ending) {
    case RequestOutcome::kInTime:
      return 1;
    case RequestOutcome::kStale:
      return of.stale_worth();
    case RequestOutcome::kLate:
      return of.late_worth();
    case RequestOutcome::kLateStale:
      return of.late_worth() * of.stale_worth();
    default:
      return 0;
  }
}

std::uint32_t LatencyBucket(Micros latency) {
  const double value = std::max(static_cast<double>(latency.count()), kFirstEdgeUs);
  return static_cast<std::uint32_t>(
      std::clamp<int>(LatencyAxis().index(value), 0, static_cast<int>(kBuckets) - 1));
}

Micros LatencyBucketLowerEdge(std::uint32_t bucket) {
  const int index = static_cast<int>(std::min(bucket, kBuckets - 1));
  return index == 0 ? Micros{0} : Micros{std::llround(LatencyAxis().value(index))};
}

Tracker::Tracker(const Settings& settings, TrackerRules rules, std::uint64_t seed)
    : settings_(settings), rules_(rules), random_(seed) {}

void Tracker::RecordRound(UnixTime wall, Micros mono, std::span<const core::Event> events,
                          const core::Commands& commands, std::size_t open_requests,
                          std::vector<wire::Record>& out) {
  wall_ = wall;
  now_ = mono;
  output_ = &out;
  if (is_window_open_ && now_ - window_started_at_ >= rules_.window_length) CloseWindow();
  for (const core::Event& event : events) std::visit([this](const auto& one) { On(one); }, event);
  for (const core::Command& command : commands) std::visit([this](const auto& one) { On(one); }, command);
  for (const RequestId id : touched_requests_) FinishRequest(id);
  touched_requests_.clear();
  if (now_ >= next_second_at_) RecordSecond(open_requests);
  output_ = nullptr;
}

void Tracker::Flush(Micros mono, std::vector<wire::Record>& out) {
  now_ = mono;
  output_ = &out;
  is_latency_due_ = true;
  if (is_window_open_ || !latency_counts_.empty()) CloseWindow();
  output_ = nullptr;
}

Micros Tracker::NextDueAt() const {
  return is_window_open_ ? std::min(next_second_at_, window_started_at_ + rules_.window_length)
                         : next_second_at_;
}

// ---- Events. ----

void Tracker::On(const core::RequestReceived& event) {
  const auto [entry, is_added] = requests_.try_emplace(event.id);
  if (!is_added) return;
  entry->second.received = event;
  entry->second.received_at = now_;
  ++received_counts_[static_cast<std::uint32_t>(event.class_id)];
  if (event.is_retry) ++repeat_counts_[static_cast<std::uint32_t>(event.class_id)];
  StartWindow();
}

void Tracker::On(const core::ClientDisconnected& event) {
  Request* const request = FindRequest(event.id);
  if (request != nullptr && !request->ending) EndRequest(*request, RequestOutcome::kClientDisconnected, 0);
}

void Tracker::On(const core::ResponseStarted& event) {
  Request* const request = FindRequest(event.id);
  Attempt* const attempt = request == nullptr ? nullptr : FindAttempt(*request, event.attempt);
  if (attempt == nullptr || attempt->ended_at) return;
  attempt->response_started_at = now_;
  attempt->issued_at = event.issued_at;
}

void Tracker::On(const core::AttemptCompleted& event) {
  Request* const request = FindRequest(event.id);
  Attempt* const attempt = request == nullptr ? nullptr : FindAttempt(*request, event.attempt);
  if (attempt == nullptr || attempt->ended_at) return;  // aborted before
  attempt->note = event.note;
  attempt->fill_wait = event.fill_wait.value_or(Micros{0});
  if (event.issued_at) attempt->issued_at = event.issued_at;
  if (event.outcome == Outcome::kServed) {
    attempt->is_response_unconfirmed = true;  // the core may still discard a copy older than a purge
  } else {
    EndAttempt(*request, *attempt, event.outcome);
  }
}

void Tracker::On(const core::EndpointsUpdated& event) {
  const bool is_full_list =
      event.kind == EndpointsEvent::Kind::kFull || event.kind == EndpointsEvent::Kind::kStale;
  wire::Members members;
  members.set_source(event.source);
  members.set_version(event.version);
  members.set_kind(event.kind == EndpointsEvent::Kind::kDelta   ? 0
                   : event.kind == EndpointsEvent::Kind::kFull  ? 1
                   : event.kind == EndpointsEvent::Kind::kStale ? 2
                                                                : 3);
  std::vector<std::uint32_t> listed_numbers;
  const auto append_member = [&](TrackedServer& server, const EndpointInfo& member) {
    wire::Member& out = *members.add_members();
    out.set_server(server.number);
    out.set_state(static_cast<std::uint32_t>(member.availability));
    out.set_weight(member.weight);
    out.set_started_us(member.started_at.count());
    UpdateAvailability(server, member.availability);
  };
  for (std::size_t i = 0; i < event.endpoints.size(); ++i) {
    const EndpointInfo& member = event.endpoints[i];
    bool is_new = false;
    TrackedServer& server = FindOrAddServer(member.id, is_new);
    const core::EndpointsUpdated::EndpointName no_name;
    const core::EndpointsUpdated::EndpointName& endpoint = i < event.names.size() ? event.names[i] : no_name;
    const bool is_renamed = (!endpoint.name.empty() && server.name != endpoint.name) ||
                            (!endpoint.address.empty() && server.address != endpoint.address);
    if (is_new || is_renamed) {
      if (!endpoint.name.empty()) server.name = endpoint.name;
      if (!endpoint.address.empty()) server.address = endpoint.address;
      server.zone = static_cast<std::uint32_t>(member.zone);
      server.kind = static_cast<std::uint32_t>(member.kind);
      EncodeServer(server, *AppendRecord().mutable_server());
    }
    listed_numbers.push_back(server.number);
    if (is_new || server.availability != member.availability || !is_full_list) append_member(server, member);
  }
  if (is_full_list) {
    std::sort(listed_numbers.begin(), listed_numbers.end());
    std::map<std::uint32_t, ServerId> missing;  // in the order of their numbers
    for (const auto& [id, server] : servers_) {
      if (server.availability != Availability::kRemoved &&
          !std::binary_search(listed_numbers.begin(), listed_numbers.end(), server.number))
        missing.emplace(server.number, id);
    }
    for (const auto& [number, id] : missing) {
      append_member(servers_.at(id), EndpointInfo{.id = id, .availability = Availability::kRemoved});
    }
  }
  *AppendRecord().mutable_members() = std::move(members);
}

void Tracker::On(const core::PurgeReceived& event) {
  wire::Purge& out = *AppendRecord().mutable_purge();
  out.set_made_us(event.purged_at.count());
  out.set_group(static_cast<std::uint64_t>(event.group));
  out.set_object(event.object ? static_cast<std::uint64_t>(*event.object) : 0);
  const PurgeKey key = event.object ? PurgeKey{0, static_cast<std::uint64_t>(*event.object)}
                                    : PurgeKey{static_cast<std::uint64_t>(event.group), 0};
  TrackedPurge& purge = purges_[key];
  if (event.purged_at >= purge.purged_at) purge = {.purged_at = event.purged_at, .received_at = now_};
}

// A server that is first draining and then gone has one Drain record, timed from the first of the two
// reports.
void Tracker::UpdateAvailability(TrackedServer& server, Availability availability) {
  if (server.availability == Availability::kUp && availability != Availability::kUp) {
    if (!std::exchange(server.is_drain_open, true)) ++open_drains_;
    server.drain_reported_at = now_;
    server.sent_since_drain = 0;
    server.last_sent_at = Micros{0};
  }
  // The server is up again, so attempts sent to it from now on are regular.
  if (server.is_drain_open && availability == Availability::kUp) RecordDrain(server);
  server.availability = availability;
  server.changed_at = now_;
}

void Tracker::RecordDrain(TrackedServer& server) {
  server.is_drain_open = false;
  --open_drains_;
  wire::Drain& drain = *AppendRecord().mutable_drain();
  drain.set_server(server.number);
  drain.set_told_us(ClampTo32Bits((now_ - server.drain_reported_at).count()));
  drain.set_sent(server.sent_since_drain);
  drain.set_last_us(server.sent_since_drain == 0
                        ? 0
                        : ClampTo32Bits((server.last_sent_at - server.drain_reported_at).count()));
}

void Tracker::On(const core::AttemptSent& event) {
  Request* const request = FindRequest(event.id);
  Attempt* const attempt = request == nullptr ? nullptr : FindAttempt(*request, event.attempt);
  if (attempt != nullptr && !attempt->ended_at) RecordSend(*attempt);
}

// Counts an attempt sent now if its server or its source is draining or gone.
void Tracker::RecordSend(const Attempt& attempt) {
  if (open_drains_ == 0) return;
  const auto count_send = [&](ServerId id) {
    const auto found = servers_.find(id);
    if (found == servers_.end() || !found->second.is_drain_open) return;
    TrackedServer& server = found->second;
    // An attempt that waits for its connection gets here twice: when it is ordered and when it is sent. The
    // second time it is not counted again.
    if (attempt.sent_at == now_ || attempt.sent_at < server.drain_reported_at) ++server.sent_since_drain;
    server.last_sent_at = now_;
  };
  count_send(attempt.server_id);
  if (attempt.source_number != 0) count_send(attempt.source_id);
}

// Counts a forwarded response if its copy was issued before a purge of its group or object.
void Tracker::RecordOutdatedCopy(const Request& request, const Attempt& attempt) {
  if (!attempt.issued_at) return;
  for (const PurgeKey& key : {PurgeKey{static_cast<std::uint64_t>(request.received.group), 0},
                              PurgeKey{0, static_cast<std::uint64_t>(request.received.object)}}) {
    const auto purge = purges_.find(key);
    if (purge == purges_.end() || *attempt.issued_at >= purge->second.purged_at) continue;
    ++purge->second.outdated_responses;
    purge->second.last_sent_at = std::max(purge->second.last_sent_at, attempt.sent_at);
    purge->second.last_served_at = now_;
  }
}

void Tracker::On(const core::ConnectionLost& event) {
  ConnectionLosses& losses = connection_losses_[FindOrRecordServer(event.server).number];
  ++losses.connections;
  losses.open_requests += static_cast<std::uint32_t>(event.open_requests);
}

// ---- Commands. ----

void Tracker::On(const core::StartAttempt& command) {
  Request* const request = FindRequest(command.action.id);
  if (request == nullptr) return;
  TrackedServer& server = FindOrRecordServer(command.action.server);
  ++server.open_attempts;
  const bool is_fill = command.action.source != command.action.server;
  const SendAttempt& order = command.action;
  request->attempts.push_back({.number = command.attempt,
                               .server_id = order.server,
                               .server_number = server.number,
                               .source_id = order.source,
                               .source_number = is_fill ? FindOrRecordServer(order.source).number : 0,
                               .sent_at = now_,
                               .expires_at = order.expires_at,
                               .issued_at = std::nullopt,
                               .ended_at = std::nullopt,
                               .response_started_at = std::nullopt,
                               .cache_rank = order.cache_rank,
                               .fill_flags = (order.join_fill ? 1u : 0u) |
                                             (order.source_cached_only ? 2u : 0u) |
                                             (order.bypass_parent ? 4u : 0u) | (order.revalidate ? 8u : 0u)});
  RecordSend(request->attempts.back());
}

void Tracker::On(const core::AbortAttempt& command) {
  Request* const request = FindRequest(command.id);
  Attempt* const attempt = request == nullptr ? nullptr : FindAttempt(*request, command.attempt);
  if (attempt == nullptr || attempt->ended_at) return;
  const bool is_expired = now_ >= attempt->expires_at;
  // A response that started in this round and is not forwarded comes from a copy older than a purge.
  const bool is_outdated =
      attempt->response_started_at && *attempt->response_started_at == now_ && !request->ending;
  EndAttempt(*request, *attempt,
             is_outdated  ? Outcome::kError
             : is_expired ? Outcome::kTimedOut
                          : Outcome::kCancelled);
}

void Tracker::On(const core::CompleteRequest& command) {
  Request* const request = FindRequest(command.id);
  if (request == nullptr || request->ending) return;
  request->is_deadline_exceeded = command.deadline_exceeded;
  request->retry_after_ms = ClampTo32Bits(command.retry_after.count() / 1000);
  using core::CompletionStatus;
  Attempt* const attempt = FindAttempt(*request, command.attempt);
  const bool has_response =
      command.status == CompletionStatus::kServed || command.status == CompletionStatus::kTruncated;
  const std::uint32_t server_number = has_response && attempt != nullptr ? attempt->server_number : 0;
  if (command.status == CompletionStatus::kServed) {
    const auto index = static_cast<std::size_t>(request->received.class_id);
    Micros latency_objective = Micros::max();
    if (index < settings_.classes.size() && settings_.classes[index].latency_objective > Micros{0}) {
      const ClassSettings& class_settings = settings_.classes[index];
      const double transfer_us = settings_.transfer_rate_kb_per_s > 0
                                     ? request->received.size_kb / settings_.transfer_rate_kb_per_s * 1e6
                                     : 0;
      latency_objective = class_settings.latency_objective +
                          Micros{std::llround(class_settings.latency_objective_stretch * transfer_us)};
    }
    const bool is_late = now_ - request->received_at > latency_objective;
    const bool is_stale = attempt != nullptr && attempt->note == FillNote::kStaleHit;
    if (attempt != nullptr) RecordOutdatedCopy(*request, *attempt);
    if (attempt != nullptr && !attempt->ended_at) EndAttempt(*request, *attempt, Outcome::kServed);
    ++latency_counts_[static_cast<std::uint32_t>(request->received.class_id) * kBuckets +
                      LatencyBucket(now_ - request->received_at)];
    EndRequest(*request,
               is_late ? (is_stale ? RequestOutcome::kLateStale : RequestOutcome::kLate)
                       : (is_stale ? RequestOutcome::kStale : RequestOutcome::kInTime),
               server_number);
  } else if (command.status == CompletionStatus::kTruncated) {
    EndRequest(*request, RequestOutcome::kTruncated, server_number);
  } else {
    EndRequest(*request,
               command.deadline_exceeded                       ? RequestOutcome::kDeadlineExceeded
               : command.status == CompletionStatus::kRejected ? RequestOutcome::kRejected
                                                               : RequestOutcome::kFailed,
               server_number);
  }
}

void Tracker::On(const core::LogMessage& command) { AppendRecord().set_router_line(command.text); }

// ---- Requests. ----

Tracker::Request* Tracker::FindRequest(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return nullptr;
  touched_requests_.push_back(id);
  return &found->second;
}

Tracker::Attempt* Tracker::FindAttempt(Request& request, std::uint32_t number) {
  const auto found = std::find_if(request.attempts.begin(), request.attempts.end(),
                                  [number](const Attempt& one) { return one.number == number; });
  return found == request.attempts.end() ? nullptr : &*found;
}

void Tracker::EndAttempt(Request& request, Attempt& attempt, Outcome outcome) {
  attempt.ended_at = now_;
  attempt.outcome = outcome;
  attempt.is_response_unconfirmed = false;
  ++attempt_counts_[CountKey(attempt.server_number, request.received.class_id,
                             static_cast<std::uint32_t>(outcome))];
  StartWindow();
  const auto server = servers_.find(attempt.server_id);
  if (server != servers_.end() && server->second.open_attempts > 0) --server->second.open_attempts;
}

void Tracker::EndRequest(Request& request, RequestOutcome ending, std::uint32_t server_number) {
  request.ending = ending;
  request.ended_at = now_;
  ++ended_counts_[CountKey(server_number, request.received.class_id, static_cast<std::uint32_t>(ending))];
  StartWindow();
}

// Called at the end of a round. A complete response that the core did not forward came from an outdated copy,
// so its attempt ends with kError. A request without open attempts that has ended is traced if due and
// removed.
void Tracker::FinishRequest(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  Request& request = found->second;
  bool has_open_attempt = false;
  for (Attempt& attempt : request.attempts) {
    if (attempt.is_response_unconfirmed && !attempt.ended_at) EndAttempt(request, attempt, Outcome::kError);
    has_open_attempt = has_open_attempt || !attempt.ended_at;
  }
  if (!request.ending || has_open_attempt) return;
  const bool is_faultless = *request.ending == RequestOutcome::kInTime ||
                            *request.ending == RequestOutcome::kStale ||
                            *request.ending == RequestOutcome::kClientDisconnected;
  const bool is_drawn = random_() % 1'000'000 < rules_.sample_ppm;
  if (!is_faultless || is_drawn) RecordTrace(id, request, is_faultless);
  requests_.erase(found);
}

void Tracker::RecordTrace(RequestId id, const Request& request, bool is_sampled) {
  wire::Record& record = AppendRecord();
  record.set_at_us(request.ended_at.count());
  wire::Trace& out = *record.mutable_trace();
  out.set_request(static_cast<std::uint64_t>(id));
  out.set_class_id(static_cast<std::uint32_t>(request.received.class_id));
  out.set_object(static_cast<std::uint64_t>(request.received.object));
  out.set_group(static_cast<std::uint64_t>(request.received.group));
  out.set_part(request.received.part);
  out.set_size_kb(static_cast<float>(request.received.size_kb));
  out.set_repeat(request.received.is_retry);
  out.set_took_us(ClampTo32Bits((request.ended_at - request.received_at).count()));
  out.set_verdict(static_cast<std::uint32_t>(*request.ending));
  out.set_retry_after_ms(request.retry_after_ms);
  out.set_overdue(request.is_deadline_exceeded);
  out.set_sampled(is_sampled);
  out.set_allow_ms(ClampTo32Bits(request.received.time_left.count() / 1000));
  for (const Attempt& one : request.attempts) {
    wire::Attempt& attempt = *out.add_attempts();
    attempt.set_number(one.number);
    attempt.set_server(one.server_number);
    attempt.set_source(one.source_number);
    attempt.set_sent_us(ClampTo32Bits((one.sent_at - request.received_at).count()));
    attempt.set_took_us(ClampTo32Bits((*one.ended_at - one.sent_at).count()));
    attempt.set_outcome(static_cast<std::uint32_t>(one.outcome));
    attempt.set_note(static_cast<std::uint32_t>(one.note));
    attempt.set_fill_wait_us(ClampTo32Bits(one.fill_wait.count()));
    attempt.set_begun_us(
        one.response_started_at ? ClampTo32Bits((*one.response_started_at - one.sent_at).count()) : 0);
    attempt.set_keep(one.cache_rank);
    attempt.set_how(one.fill_flags);
  }
}

// ---- Servers. ----

Tracker::TrackedServer& Tracker::FindOrAddServer(ServerId id, bool& is_new) {
  const auto [entry, is_added] = servers_.try_emplace(id);
  is_new = is_added;
  if (is_added) {
    entry->second.number = ++last_server_number_;
    entry->second.id = id;
  }
  return entry->second;
}

Tracker::TrackedServer& Tracker::FindOrRecordServer(ServerId id) {
  bool is_new = false;
  TrackedServer& server = FindOrAddServer(id, is_new);
  if (is_new) EncodeServer(server, *AppendRecord().mutable_server());
  return server;
}

void Tracker::EncodeServer(const TrackedServer& server, wire::Server& out) const {
  out.set_number(server.number);
  out.set_id(static_cast<std::uint64_t>(server.id));
  out.set_name(server.name);
  out.set_address(server.address);
  out.set_zone(server.zone);
  out.set_kind(server.kind);
  out.set_state(static_cast<std::uint32_t>(server.availability));
}

void Tracker::AppendServers(std::vector<wire::Record>& out) const {
  std::map<std::uint32_t, const TrackedServer*> ordered;
  for (const auto& [id, server] : servers_) ordered.emplace(server.number, &server);
  for (const auto& [number, server] : ordered) {
    EncodeServer(*server, *out.emplace_back().mutable_server());
  }
}

// ---- Records. ----

wire::Record& Tracker::AppendRecord() {
  wire::Record& record = output_->emplace_back();
  record.set_at_us(now_.count());
  return record;
}

std::uint64_t Tracker::CountKey(std::uint32_t server_number, ClassId of, std::uint32_t outcome) const {
  return (std::uint64_t{server_number} * settings_.classes.size() + static_cast<std::uint32_t>(of)) * 16 +
         outcome;
}

void Tracker::StartWindow() {
  if (std::exchange(is_window_open_, true)) return;
  window_started_at_ = now_;
}

void Tracker::CloseWindow() {
  wire::Window& out = *AppendRecord().mutable_window();
  out.set_length_us(is_window_open_ ? ClampTo32Bits((now_ - window_started_at_).count()) : 0);
  const auto append_counts = [](const auto& counts, auto* target) {
    for (const auto& [key, count] : counts) {
      target->Add(key);
      target->Add(count);
    }
  };
  append_counts(received_counts_, out.mutable_came());
  append_counts(repeat_counts_, out.mutable_repeats());
  append_counts(ended_counts_, out.mutable_ended());
  append_counts(attempt_counts_, out.mutable_attempts());
  received_counts_.clear();
  repeat_counts_.clear();
  ended_counts_.clear();
  attempt_counts_.clear();
  is_window_open_ = false;
  if (!std::exchange(is_latency_due_, false)) return;
  append_counts(latency_counts_, out.mutable_latency());
  latency_counts_.clear();
}

void Tracker::RecordSecond(std::size_t open_requests) {
  next_second_at_ = now_ + rules_.heartbeat_interval;
  is_latency_due_ = true;
  for (const auto& [number, losses] : connection_losses_) {
    wire::Lost& out = *AppendRecord().mutable_lost();
    out.set_server(number);
    out.set_connections(losses.connections);
    out.set_open(losses.open_requests);
  }
  connection_losses_.clear();
  wire::Heartbeat& heartbeat = *AppendRecord().mutable_heartbeat();
  heartbeat.set_wall_us(wall_.SinceEpoch().count());
  heartbeat.set_mono_us(now_.count());
  heartbeat.set_open(static_cast<std::uint32_t>(open_requests));
  std::map<std::uint32_t, std::uint32_t> open_attempts;  // by server number
  for (const auto& [id, server] : servers_) {
    if (server.open_attempts > 0) open_attempts.emplace(server.number, server.open_attempts);
  }
  for (const auto& [number, count] : open_attempts) {
    heartbeat.add_out(number);
    heartbeat.add_out(count);
  }
  for (auto& [id, server] : servers_) {
    if (open_drains_ == 0) break;
    if (server.is_drain_open && now_ - server.drain_reported_at >= kDrainObservation) RecordDrain(server);
  }
  std::erase_if(purges_, [this](const auto& entry) {
    const auto& [key, purge] = entry;
    if (now_ - purge.received_at < settings_.purge_retention) return false;
    wire::PurgeHeld& purge_held = *AppendRecord().mutable_purge_held();
    purge_held.set_group(key.first);
    purge_held.set_object(key.second);
    purge_held.set_told_us(ClampTo32Bits((now_ - purge.received_at).count()));
    purge_held.set_served(purge.outdated_responses);
    if (purge.outdated_responses > 0) {
      purge_held.set_last_sent_us(ClampTo32Bits((purge.last_sent_at - purge.received_at).count()));
      purge_held.set_last_served_us(ClampTo32Bits((purge.last_served_at - purge.received_at).count()));
    }
    return true;
  });
  // Removed servers are forgotten, as over time any number of servers is added and removed.
  std::erase_if(servers_, [this](const auto& entry) {
    const TrackedServer& server = entry.second;
    return server.availability == Availability::kRemoved && server.open_attempts == 0 &&
           !server.is_drain_open && now_ - server.changed_at > kRemovedServerRetention;
  });
}

}  // namespace tinspan::record
