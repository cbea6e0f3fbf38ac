#include "front/platform/upstream_connections.hpp"

#include <algorithm>
#include <utility>

#include "core/attempt_outcome.hpp"
#include "front/platform/delivery_detector.hpp"
#include "front/platform/stall_detector.hpp"
#include "log/log.hpp"

namespace tinspan::platform {
namespace {

constexpr std::size_t kPreferredStreams = 4;  // requests in flight on a connection before another is opened
constexpr std::size_t kMaxReadBytes = 64 << 10;
constexpr std::size_t kUnreservedReadBytes = 8 << 10;  // a connection's, whatever others hold
constexpr std::size_t kMaxWriteBytes = 4 << 20;
constexpr Micros kStallCheckInterval{25'000};
// Bounds of the response timeout, which applies while the server sends on another of its connections.
constexpr Micros kMinResponseTimeout{200'000};
constexpr Micros kMaxResponseTimeout{2'000'000};

net::ConnectionPoolOptions PoolOptions(const config::Platform& config, net::MemoryBudget& response_budget) {
  net::ConnectionPoolOptions options;
  options.connect_timeout = config.connect_timeout;
  options.idle_timeout = config.idle_timeout * 3 / 4;  // closes before the server does
  options.max_streams = config.max_streams_per_connection;
  options.preferred_streams = kPreferredStreams;
  options.max_connections = config.limits.ServerSockets();
  options.limits = {.max_read_bytes = kMaxReadBytes,
                    .max_write_bytes = std::min<std::size_t>(kMaxWriteBytes, config.limits.memory_mb << 17),
                    .drop_undelivered_on_close = true,
                    .read_budget = &response_budget,
                    .unreserved_read_bytes = kUnreservedReadBytes,
                    .reserved_bytes_per_byte = 2};
  return options;
}

// Returns how long the transfer of `size_kb` takes at the given rate, or 0 if the rate is not set.
Micros TransferTime(double size_kb, double rate_kb_per_s) {
  return Micros{static_cast<std::int64_t>(rate_kb_per_s > 0 ? size_kb / rate_kb_per_s * 1e6 : 0)};
}

// The following lines are written only for requests that must not be executed twice, so that a log shows for
// each of their attempts what was sent on which connection and what became of it.

void LogWritten(const core::StartAttempt& command, const UpstreamPool::PooledConnection& pooled) {
  if (command.effect == Effect::kIdempotent) return;
  const auto request = static_cast<std::uint64_t>(command.action.id);
  log::Debug(
      "attempt.written",
      {{"request", request},
       {"attempt", command.attempt},
       {"server", pooled.server},
       {"connection", pooled.connection.id},
       {"unsent", pooled.connection.Backlog()}},
      "request {}: attempt {} written to server {} on connection {}, {} bytes not accepted by the socket",
      request, command.attempt, pooled.server, pooled.connection.id, pooled.connection.Backlog());
}

void LogStopped(const core::StartAttempt& command, const UpstreamPool::PooledConnection& pooled,
                bool is_written) {
  if (command.effect == Effect::kIdempotent) return;
  const auto request = static_cast<std::uint64_t>(command.action.id);
  const std::size_t undelivered = pooled.connection.UndeliveredBytes();
  log::Debug(
      "attempt.stopped",
      {{"request", request},
       {"attempt", command.attempt},
       {"connection", pooled.connection.id},
       {"written", is_written},
       {"undelivered", undelivered}},
      "request {}: attempt {} stopped on connection {}, {}, {} bytes of the connection not acknowledged",
      request, command.attempt, pooled.connection.id, is_written ? "written" : "not written", undelivered);
}

void LogReassigned(const core::StartAttempt& command, const UpstreamPool::PooledConnection& lost) {
  if (command.effect == Effect::kIdempotent) return;
  const auto request = static_cast<std::uint64_t>(command.action.id);
  log::Debug("attempt.reassigned",
             {{"request", request}, {"attempt", command.attempt}, {"connection", lost.connection.id}},
             "request {}: attempt {} moves to another connection, connection {} was lost before it was sent",
             request, command.attempt, lost.connection.id);
}

void LogNotSent(const core::StartAttempt& command) {
  if (command.effect == Effect::kIdempotent) return;
  const auto request = static_cast<std::uint64_t>(command.action.id);
  log::Debug("attempt.not_sent", {{"request", request}, {"attempt", command.attempt}},
             "request {}: attempt {} may no longer be sent", request, command.attempt);
}

}  // namespace

UpstreamConnections::UpstreamConnections(net::EventLoop& loop, const config::Platform& config,
                                         core::RequestCoordinator& coordinator,
                                         const DownstreamConnections& downstream,
                                         net::MemoryBudget& response_budget, std::vector<core::Event>& events)
    : config_(config),
      coordinator_(coordinator),
      downstream_(downstream),
      response_budget_(response_budget),
      events_(events),
      loop_(loop),
      response_timeout_(kMinResponseTimeout, kMaxResponseTimeout),
      pool_(loop, PoolOptions(config, response_budget), *this) {}

void UpstreamConnections::AddEndpoint(ServerId id, ServerAddress address) {
  addresses_[id] = std::move(address);
}

void UpstreamConnections::RemoveEndpoint(ServerId id) {
  pool_.RetireServer(static_cast<std::uint64_t>(id));
  addresses_.erase(id);  // the table would grow without bound, since servers are replaced over time
}

void UpstreamConnections::RetainOnly(const std::unordered_set<ServerId>& servers) {
  std::vector<ServerId> removed;
  for (const auto& [id, address] : addresses_) {
    if (!servers.contains(id)) removed.push_back(id);
  }
  for (const ServerId id : removed) RemoveEndpoint(id);
}

void UpstreamConnections::Execute(Micros now, const core::StartAttempt& command) {
  const RequestId id = command.action.id;
  const PendingRequest* const request = downstream_.Find(id);
  if (request == nullptr || !addresses_.contains(command.action.server)) {
    events_.emplace_back(
        core::AttemptCompleted{.id = id, .attempt = command.attempt, .outcome = Outcome::kNotSent});
    return;
  }
  Assign(now, *request, InFlightAttempt{nullptr, command});
}

void UpstreamConnections::Assign(Micros now, const PendingRequest& request, InFlightAttempt attempt) {
  const RequestId id = attempt.command.action.id;
  const ServerId server = attempt.command.action.server;
  const std::string& reference = request.reference;
  PooledConnection& pooled =
      pool_.Acquire(static_cast<std::uint64_t>(server), addresses_.at(server).endpoint, now,
                    [&](const PooledConnection& candidate) { return candidate.state.Accepts(reference); });
  if (is_read_paused_) pooled.connection.SetReadPaused(true);
  attempt.pooled = &pooled;
  const Micros transfer_time =
      2 * TransferTime(request.size_kb, config_.site.settings.transfer_rate_kb_per_s);
  pooled.state.exchanges[reference] = {.request_id = id,
                                       .attempt = attempt.command.attempt,
                                       .started_at = now,
                                       .transfer_time = transfer_time,
                                       .deliver_by = attempt.command.deliver_by};
  in_flight_[id] = attempt;
  if (pooled.connection.IsOpen()) {
    due_requests_.push_back({&pooled, reference, false});
  } else {
    pooled.state.waiting.push_back(reference);
  }
}

void UpstreamConnections::WriteDueRequests() {
  // Writing may close a connection, and its requests may then be reassigned and appended to this list.
  std::size_t next = 0;
  while (next < due_requests_.size()) {
    const DueRequest due = due_requests_[next];
    WriteDueRequest(due);
    ++next;
  }
  due_requests_.clear();
}

void UpstreamConnections::WriteDueRequest(const DueRequest& due) {
  const auto exchange = due.pooled->state.exchanges.find(due.reference);
  if (exchange == due.pooled->state.exchanges.end()) return;  // cancelled
  if (exchange->second.IsWritten()) return;
  const auto attempt = in_flight_.find(exchange->second.request_id);
  if (attempt == in_flight_.end()) return;
  // Queued after bytes that the socket has not taken yet, the request would be sent at an unknown time,
  // perhaps after a drain has begun, after a purge, or after the window of its idempotency key. It waits
  // until the queue is empty and is checked again then.
  if (due.pooled->connection.Backlog() > 0) {
    due.pooled->state.waiting.push_back(due.reference);
    return;
  }
  const core::StartAttempt command = attempt->second.command;
  WriteRequest(*due.pooled, due.reference, command);
  if (due.has_waited) events_.emplace_back(core::AttemptSent{command.action.id, command.attempt});
}

// Writes a request, unless it may no longer be sent because of events since the routing decision.
void UpstreamConnections::WriteRequest(PooledConnection& pooled, const std::string& reference,
                                       const core::StartAttempt& command) {
  const Micros now = net::Now();  // not the beginning of the round: the process may have been suspended since
  const RequestId id = command.action.id;
  if (!IsAtCurrentAddress(pooled) || !CanWrite(now, command)) {
    LogNotSent(command);
    return CompleteAttempt(id, pooled, {.outcome = Outcome::kNotSent});
  }
  const PendingRequest& request = *downstream_.Find(id);
  const bool is_fill = command.action.source != command.action.server;
  const std::string fill_source = is_fill ? addresses_.at(command.action.source).name : std::string();
  const std::string line = EncodeRequestLine(now, request, command, fill_source);
  const bool is_queued = pooled.connection.Write(line, request.body, "\r\n");
  pooled.state.exchanges[reference].MarkWritten(pooled.connection.BytesQueued());
  LogWritten(command, pooled);
  if (command.deliver_by) ScheduleDeliveryCheck(*command.deliver_by);
  if (!is_queued) CloseConnection(pooled, "write queue full");  // the request was not sent completely
}

// Whether the server is still listed at the address to which the connection goes. Another process may have
// come up there since.
bool UpstreamConnections::IsAtCurrentAddress(const PooledConnection& pooled) const {
  const auto address = addresses_.find(ServerId{pooled.server});
  return address != addresses_.end() && address->second.endpoint == pooled.endpoint;
}

bool UpstreamConnections::CanWrite(Micros now, const core::StartAttempt& command) const {
  const SendAttempt& action = command.action;
  if (downstream_.Find(action.id) == nullptr) return false;
  if (action.source != action.server && !addresses_.contains(action.source)) return false;
  return coordinator_.CanSend(now, action.id, command.attempt);
}

void UpstreamConnections::OnConnectionOpen(PooledConnection& pooled) {
  pooled.state.was_open = true;
  OnConnectionDrained(pooled);
}

void UpstreamConnections::OnConnectionDrained(PooledConnection& pooled) {
  for (std::string& reference : std::exchange(pooled.state.waiting, {}))
    due_requests_.push_back({&pooled, std::move(reference), true});
}

void UpstreamConnections::Execute(Micros now, const core::AbortAttempt& command) {
  const auto attempt = in_flight_.find(command.id);
  if (attempt == in_flight_.end() || attempt->second.command.attempt != command.attempt) return;
  PooledConnection& pooled = *attempt->second.pooled;
  const core::StartAttempt stopped = attempt->second.command;
  in_flight_.erase(attempt);
  auto& exchanges = pooled.state.exchanges;
  const auto exchange = std::find_if(exchanges.begin(), exchanges.end(), [&](const auto& entry) {
    return entry.second.request_id == command.id;
  });
  if (exchange == exchanges.end()) return;
  const bool is_written = exchange->second.IsWritten();
  LogStopped(stopped, pooled, is_written);
  if (is_written) {
    pooled.connection.Write(EncodeStop(exchange->first));
    RetireRequestId(pooled, exchange->first);
  } else {
    // Otherwise the next attempt of the request, if assigned to this connection before it opens, would be
    // listed twice and written twice.
    std::erase(pooled.state.waiting, exchange->first);
  }
  const UpstreamExchange given_up = exchange->second;
  exchanges.erase(exchange);
  pool_.Release(pooled, now);
  if (is_written) DropUndelivered(now, pooled, given_up);
}

// Closes the connection if the server may yet receive the whole request that was given up, and run it beside
// or long after the next attempt: a STOP is no help there, since it arrives behind the request.
void UpstreamConnections::DropUndelivered(Micros now, PooledConnection& pooled,
                                          const UpstreamExchange& given_up) {
  if (pooled.connection.Backlog() > 0) return CloseConnection(pooled, "STOP not accepted by the socket");
  if (pooled.connection.IsClosed() || IsDelivered(pooled, given_up)) return;
  if (pooled.connection.UnsentBytes() > 0)
    return CloseConnection(pooled, "request not delivered when it was given up");
  const Micros due_at = now + kMaxAcknowledgementDelay;
  const std::uint64_t delivered = pooled.connection.BytesDelivered();
  std::erase_if(pooled.state.given_up,
                [delivered](const AwaitedDelivery& awaited) { return delivered >= awaited.end; });
  pooled.state.given_up.push_back({given_up.request_end, due_at});
  ScheduleDeliveryCheck(due_at);
}

void UpstreamConnections::ScheduleDeliveryCheck(Micros due_at) {
  if (next_delivery_check_at_ && *next_delivery_check_at_ <= due_at) return;
  next_delivery_check_at_ = due_at;
  loop_.Timers().Set(due_at, [](Micros) {});  // EndRound then checks
}

void UpstreamConnections::CloseOverdueConnections(Micros now) {
  if (!next_delivery_check_at_ || now < *next_delivery_check_at_) return;
  next_delivery_check_at_.reset();
  for (PooledConnection& pooled : pool_.Connections()) {
    const auto reason = FindOverdueDelivery(now, pooled);
    if (reason) CloseConnection(pooled, *reason);
    const auto deadline = NextDeliveryDeadline(pooled);
    if (deadline) ScheduleDeliveryCheck(*deadline);
  }
}

void UpstreamConnections::RetireRequestId(PooledConnection& pooled, const std::string& reference) {
  pooled.state.retired_request_ids.Add(reference);
  if (pooled.state.retired_request_ids.IsFull()) pool_.Retire(pooled);
}

// Ends the exchange on its connection and reports the outcome to the core.
void UpstreamConnections::CompleteAttempt(RequestId id, PooledConnection& pooled,
                                          core::AttemptCompleted completed) {
  const auto attempt = in_flight_.find(id);
  if (attempt == in_flight_.end()) return;
  completed.id = id;
  completed.attempt = attempt->second.command.attempt;
  const auto request = static_cast<std::uint64_t>(id);
  log::Debug("attempt.ended",
             {{"request", request},
              {"attempt", completed.attempt},
              {"server", pooled.server},
              {"outcome", static_cast<int>(completed.outcome)}},
             "request {}: attempt {} to server {} ended with outcome {}", request, completed.attempt,
             pooled.server, static_cast<int>(completed.outcome));
  events_.emplace_back(completed);
  in_flight_.erase(attempt);
  std::erase_if(pooled.state.exchanges, [id](const auto& entry) { return entry.second.request_id == id; });
  pool_.Release(pooled, net::Now());
}

void UpstreamConnections::CloseConnection(PooledConnection& pooled, std::string_view reason) {
  const std::string address = pooled.endpoint.Text();
  log::Warn("server.connection_closed", {{"server", pooled.server}, {"address", address}, {"reason", reason}},
            "server {} at {}: {}, connection closed", pooled.server, address, reason);
  // Requests in flight may be retried at once, and a retry may reach the server before the close does. Each
  // request is therefore cancelled explicitly.
  for (const auto& [reference, exchange] : pooled.state.exchanges) {
    if (exchange.IsWritten()) pooled.connection.Write(EncodeStop(reference));
  }
  pooled.connection.Close();
  pooled.is_retired = true;
  OnConnectionLost(pooled);
}

void UpstreamConnections::OnConnectionLost(PooledConnection& pooled) {
  const auto exchanges = std::exchange(pooled.state.exchanges, {});
  pooled.state.waiting.clear();
  const Micros now = net::Now();
  // A local failure, such as a lack of descriptors, says nothing about the server.
  if (!exchanges.empty() && !pooled.connection.FailedLocally())
    ReportConnectionLost(now, pooled, exchanges.size());
  for (const auto& [reference, exchange] : exchanges) ReassignOrComplete(now, pooled, exchange);
}

void UpstreamConnections::ReportConnectionLost(Micros now, const PooledConnection& pooled,
                                               std::size_t open_requests) {
  log::Debug("server.connection_lost", {{"server", pooled.server}, {"open", open_requests}},
             "server {} at {}: connection lost with {} requests in flight", pooled.server,
             pooled.endpoint.Text(), open_requests);
  events_.emplace_back(core::ConnectionLost{ServerId{pooled.server}, open_requests});
  failure_log_.Add(now, pooled.server);
}

void UpstreamConnections::ReassignOrComplete(Micros now, PooledConnection& pooled,
                                             const UpstreamExchange& exchange) {
  const RequestId id = exchange.request_id;
  if (CanReassign(pooled, exchange)) {
    InFlightAttempt attempt = in_flight_.at(id);
    attempt.is_reassigned = true;
    LogReassigned(attempt.command, pooled);
    pool_.Release(pooled, now);
    return Assign(now, *downstream_.Find(id), attempt);
  }
  using Kind = core::AttemptEnding::Kind;
  const core::SentRequest sent{.is_complete = exchange.MayHaveArrived(pooled.connection.BytesSent())};
  const bool is_local = !sent.is_complete && pooled.connection.FailedLocally();
  const Kind ending = is_local ? Kind::kNotSent : Kind::kConnectionLost;
  CompleteAttempt(id, pooled, {.outcome = core::OutcomeOf(sent, {.kind = ending})});
}

// Whether the attempt may move to another connection after its connection was lost. This is safe if the
// socket had not taken the whole request, since it cannot have reached the server completely. It is done
// once, and only if the lost connection had been open, since such a loss says little about the server.
bool UpstreamConnections::CanReassign(const PooledConnection& pooled,
                                      const UpstreamExchange& exchange) const {
  if (exchange.MayHaveArrived(pooled.connection.BytesSent()) || !pooled.state.was_open) return false;
  const auto attempt = in_flight_.find(exchange.request_id);
  if (attempt == in_flight_.end() || attempt->second.is_reassigned) return false;
  return downstream_.Find(exchange.request_id) != nullptr &&
         addresses_.contains(attempt->second.command.action.server);
}

void UpstreamConnections::CloseStalledConnections(Micros now) {
  if (is_read_paused_ || (next_stall_check_at_ && now < *next_stall_check_at_)) return;
  next_stall_check_at_ = now + kStallCheckInterval;
  const StallDetector detector(now, response_timeout_.Timeout(), pool_);
  for (PooledConnection& pooled : pool_.Connections()) {
    const auto reason = detector.FindStall(pooled);
    if (reason) CloseConnection(pooled, *reason);
  }
  loop_.Timers().Set(*next_stall_check_at_, [](Micros) {});  // EndRound then checks again
}

void UpstreamConnections::OnConnectionData(PooledConnection& pooled) {
  while (!pooled.connection.IsClosed()) {
    const std::string_view unread = pooled.connection.Unread().substr(pooled.state.bytes_handled);
    if (unread.empty()) return;
    const auto frame = ReadResponseFrame(unread);
    if (!frame && frame.error().kind == FrameError::Kind::kIncomplete) {
      const std::size_t bytes_needed = frame.error().bytes_needed;
      if (bytes_needed > 0) pooled.connection.ExpectMessage(pooled.state.bytes_handled + bytes_needed);
      return;
    }
    if (!frame || HandleFrame(pooled, *frame) == FrameResult::kMalformed)
      return CloseConnection(pooled, "malformed response");
    pooled.state.bytes_handled += frame->size;
  }
}

UpstreamConnections::FrameResult UpstreamConnections::HandleFrame(PooledConnection& pooled,
                                                                  const ResponseFrame& frame) {
  if (frame.is_empty_line) return FrameResult::kHandled;
  const std::string reference(frame.reference);
  const auto exchange = pooled.state.exchanges.find(reference);
  if (exchange == pooled.state.exchanges.end()) {
    RetireRequestId(pooled, reference);  // the response is ignored: cancelled earlier or never requested
    return FrameResult::kHandled;
  }
  if (!exchange->second.MayHaveArrived(pooled.connection.BytesSent())) {
    exchange->second.was_answered_early = true;
    return FrameResult::kMalformed;
  }
  const auto response = ParseResponse(frame);
  if (!response) return FrameResult::kMalformed;
  HandleResponse(pooled, reference, *response, frame.body);
  return FrameResult::kHandled;
}

void UpstreamConnections::HandleResponse(PooledConnection& pooled, const std::string& reference,
                                         const Response& response, std::string_view body) {
  const UpstreamExchange& exchange = pooled.state.exchanges.at(reference);
  const RequestId id = exchange.request_id;
  response_timeout_.AddSample(net::Now() - exchange.started_at - exchange.transfer_time);
  core::AttemptCompleted completed{.outcome = response.outcome,
                                   .note = response.note,
                                   .load = response.load,
                                   .issued_at = response.issued_at};
  if (response.is_not_modified && !NamesCachedCopy(id, response)) {
    log::Warn("server.names_another_copy", {{"server", pooled.server}},
              "server {}: not-modified response names a copy that the client does not hold", pooled.server);
    completed.outcome = Outcome::kError;
  }
  if (completed.outcome == Outcome::kServed) {
    served_[id] = ServedResponse{response.is_not_modified, body};
  } else {
    RetireRequestId(pooled, reference);
  }
  CompleteAttempt(id, pooled, completed);
}

// Whether the response names the copy that the client holds. Otherwise a not-modified response does not say
// that the client's copy is current.
bool UpstreamConnections::NamesCachedCopy(RequestId id, const Response& response) const {
  const PendingRequest* const request = downstream_.Find(id);
  return request != nullptr && !request->cached_copy.empty() && response.entity == request->cached_copy;
}

const ServedResponse* UpstreamConnections::FindResponse(RequestId id) const {
  const auto found = served_.find(id);
  return found == served_.end() ? nullptr : &found->second;
}

void UpstreamConnections::SetReadPaused(bool paused) {
  if (is_read_paused_ == paused) return;
  is_read_paused_ = paused;
  for (PooledConnection& pooled : pool_.Connections()) pooled.connection.SetReadPaused(paused);
}

front::BufferSizes UpstreamConnections::BufferSizes() const {
  front::BufferSizes sizes;
  for (const PooledConnection& pooled : pool_.Connections()) sizes.Add(pooled.connection);
  return sizes;
}

void UpstreamConnections::EndRound(Micros now) {
  served_.clear();
  for (PooledConnection& pooled : pool_.Connections()) {
    if (pooled.state.bytes_handled > 0)
      pooled.connection.Consume(std::exchange(pooled.state.bytes_handled, 0));
  }
  if (response_budget_.TakeReleased()) {
    for (PooledConnection& pooled : pool_.Connections()) pooled.connection.RetryRead();
  }
  CloseOverdueConnections(now);
  if (!in_flight_.empty()) CloseStalledConnections(now);
  WriteDueRequests();
  pool_.Sweep(now);
}

}  // namespace tinspan::platform
