#include "front/http/upstream_connections.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "front/http/upstream_request.hpp"
#include "log/log.hpp"

namespace tinspan::http {
namespace {

constexpr std::size_t kUnreservedReadBytes = 8 << 10;  // a connection's, whatever others hold

net::ConnectionPoolOptions PoolOptions(const config::Gateway& config, net::MemoryBudget& response_budget) {
  net::ConnectionPoolOptions options;
  options.connect_timeout = config.connect_timeout;
  options.idle_timeout = config.idle_timeout * 3 / 4;
  options.max_streams = 1;
  options.limits = {.max_read_bytes = 64 << 10,
                    .max_write_bytes = 2 << 20,
                    .drop_undelivered_on_close = true,
                    .read_budget = &response_budget,
                    .unreserved_read_bytes = kUnreservedReadBytes,
                    .reserved_bytes_per_byte = 2};
  return options;
}

// Evaluates the last member of Cache-Status (RFC 9211), which is from the cache nearest to the gateway.
FillNote FillNoteOf(std::string_view status) {
  const std::size_t comma = status.rfind(',');
  const std::string_view last = comma == std::string_view::npos ? status : status.substr(comma + 1);
  const auto contains = [last](std::string_view parameter) {
    return last.find(parameter) != std::string_view::npos;
  };
  if (contains("; hit") || contains(";hit")) return FillNote::kHit;
  if (contains("collapsed")) return FillNote::kJoined;
  if (contains("fwd=")) return FillNote::kFilled;
  return FillNote::kNone;
}

// Whether a response field is not forwarded: hop-by-hop fields and challenges that concern the gateway.
bool IsStrippedFromResponse(std::string_view name, std::string_view connection) {
  for (const std::string_view stripped : {"Connection", "Keep-Alive", "Proxy-Connection",
                                          "Proxy-Authenticate", "Upgrade", "WWW-Authenticate"}) {
    if (EqualsIgnoreCase(stripped, name)) return true;
  }
  return ListContainsToken(connection, name);
}

}  // namespace

UpstreamConnections::UpstreamConnections(net::EventLoop& loop, const config::Gateway& config,
                                         core::RequestCoordinator& coordinator,
                                         DownstreamConnections& downstream, const Signer& signer,
                                         net::MemoryBudget& response_budget, std::vector<core::Event>& events)
    : config_(config),
      coordinator_(coordinator),
      downstream_(downstream),
      signer_(signer),
      events_(events),
      response_budget_(response_budget),
      loop_(loop),
      pool_(loop, PoolOptions(config, response_budget), *this) {}

void UpstreamConnections::Execute(Micros now, const core::StartAttempt& command) {
  const auto address = addresses_.find(command.action.server);
  if (downstream_.Find(command.action.id) == nullptr || address == addresses_.end()) {
    events_.push_back(core::AttemptCompleted{
        .id = command.action.id, .attempt = command.attempt, .outcome = Outcome::kNotSent});
    return;
  }
  PooledConnection& pooled =
      pool_.Acquire(static_cast<std::uint64_t>(command.action.server), address->second.endpoint, now,
                    [](const PooledConnection& candidate) {
                      return !candidate.state.is_in_use && candidate.connection.IsReusable();
                    });
  pooled.state = UpstreamConnectionState();
  pooled.state.request_id = command.action.id;
  pooled.state.attempt = command.attempt;
  pooled.state.is_in_use = true;
  in_flight_[command.action.id] = InFlightAttempt{&pooled, command};
  if (pooled.connection.IsOpen()) {
    SendRequest(pooled, command);
  } else {
    pooled.state.awaits_connect = true;
  }
}

// Whether the server is still listed at the address to which the connection goes. Another process may have
// come up there since.
bool UpstreamConnections::IsAtCurrentAddress(const PooledConnection& pooled) const {
  const auto address = addresses_.find(ServerId{pooled.server});
  return address != addresses_.end() && address->second.endpoint == pooled.endpoint;
}

void UpstreamConnections::SendRequest(PooledConnection& pooled, const core::StartAttempt& command) {
  const Micros now = net::Now();  // not the beginning of the round: the process may have been suspended since
  pooled.state.awaits_connect = false;
  const PendingRequest* const request = downstream_.Find(command.action.id);
  const SendAttempt& action = command.action;
  const bool is_fill = action.source != action.server;
  const auto source = addresses_.find(action.source);
  if (request == nullptr || !IsAtCurrentAddress(pooled) || (is_fill && source == addresses_.end()) ||
      !coordinator_.CanSend(now, action.id, command.attempt)) {
    CompleteAttempt(pooled, {.outcome = Outcome::kNotSent});
    return ReleaseConnection(pooled);
  }
  pooled.state.is_head_request = request->method == "HEAD";
  pooled.state.sent.effect = request->effect;
  pooled.state.sent.is_only_if_cached = request->method != "POST" && !is_fill;
  const UnixTime signed_at = net::UnixNow();
  const std::string head =
      EncodeRequestHead(*request, action,
                        {.authority = config_.authority,
                         .gateway_name = config_.name,
                         .fill_source = is_fill ? std::string_view(source->second.name) : std::string_view(),
                         .signer = signer_,
                         .signed_at = signed_at,
                         .signed_until = signed_at + (action.expires_at - now)});
  const bool is_queued = pooled.connection.Write(head, "\r\n", request->body);
  pooled.state.request_end = pooled.connection.BytesQueued();
  pooled.state.deliver_by = command.deliver_by;
  if (command.deliver_by) loop_.Timers().Set(*command.deliver_by, [](Micros) {});  // EndRound then checks
  if (!is_queued) FailExchange(pooled, Outcome::kConnectFailed);
}

void UpstreamConnections::OnConnectionOpen(PooledConnection& pooled) {
  const auto found = pooled.state.is_in_use ? in_flight_.find(pooled.state.request_id) : in_flight_.end();
  if (!pooled.state.awaits_connect || found == in_flight_.end()) return;
  const core::StartAttempt command = found->second.command;
  SendRequest(pooled, command);
  if (pooled.state.request_end > 0)
    events_.emplace_back(core::AttemptSent{command.action.id, command.attempt});
}

void UpstreamConnections::CompleteAttempt(PooledConnection& pooled, core::AttemptCompleted completed) {
  const auto found = in_flight_.find(pooled.state.request_id);
  if (found == in_flight_.end() || found->second.pooled != &pooled) return;
  completed.id = pooled.state.request_id;
  completed.attempt = pooled.state.attempt;
  events_.push_back(completed);
  in_flight_.erase(found);
}

void UpstreamConnections::ReleaseConnection(PooledConnection& pooled) {
  const std::size_t surplus_bytes = pooled.connection.Unread().size();
  if (pooled.state.can_reuse && surplus_bytes > 0) {
    log::Warn("server.surplus_bytes", {{"server", pooled.server}, {"bytes", surplus_bytes}},
              "server {} at {} sent {} bytes after its response, connection closed", pooled.server,
              pooled.endpoint.Text(), surplus_bytes);
  }
  const bool can_reuse = pooled.state.can_reuse && surplus_bytes == 0 && !pooled.connection.IsClosed();
  pooled.connection.SetReadPaused(false);
  pooled.state = UpstreamConnectionState{};
  if (!can_reuse) {
    pooled.connection.Close();
    pool_.Retire(pooled);
  }
  pool_.Release(pooled, net::Now());
}

void UpstreamConnections::FailExchange(PooledConnection& pooled, Outcome outcome) {
  if (!pooled.state.is_in_use) return;
  failure_log_.Add(net::Now(), pooled.server);
  CompleteAttempt(pooled, {.outcome = outcome});
  pooled.state.can_reuse = false;
  ReleaseConnection(pooled);
}

void UpstreamConnections::OnConnectionLost(PooledConnection& pooled) {
  // The rest of the response may be in the buffer already if the server closes after each response. It is
  // evaluated once the core lets the response be forwarded.
  if (pooled.state.has_response_head && !pooled.state.is_forwarding && !pooled.state.is_discarding) return;
  pooled.state.sent.is_complete =
      pooled.state.request_end > 0 && pooled.connection.BytesSent() >= pooled.state.request_end;
  const Outcome outcome =
      core::OutcomeOf(pooled.state.sent, {.kind = core::AttemptEnding::Kind::kConnectionLost});
  if (pooled.state.is_in_use) events_.emplace_back(core::ConnectionLost{ServerId{pooled.server}, 1});
  FailExchange(pooled, outcome);
}

void UpstreamConnections::Execute(Micros, const core::AbortAttempt& command) {
  const auto found = in_flight_.find(command.id);
  if (found == in_flight_.end() || found->second.command.attempt != command.attempt) return;
  PooledConnection& pooled = *found->second.pooled;
  in_flight_.erase(found);
  pooled.state.can_reuse = false;  // HTTP/1.1 can cancel a request only by closing the connection
  ReleaseConnection(pooled);
}

void UpstreamConnections::Execute(Micros, const core::ForwardResponse& command) {
  const auto found = in_flight_.find(command.id);
  if (found == in_flight_.end() || found->second.command.attempt != command.attempt) return;
  PooledConnection& pooled = *found->second.pooled;
  pooled.state.is_forwarding = true;
  downstream_.ForwardBytes(command.id, std::exchange(pooled.state.response_head, {}));
  ProcessInput(pooled);
}

void UpstreamConnections::ProcessInput(PooledConnection& pooled) {
  UpstreamConnectionState& state = pooled.state;
  while (true) {
    const std::string_view unread = pooled.connection.Unread();
    if (!state.is_in_use) {
      if (unread.empty() || pooled.connection.IsClosed()) return;
      pooled.connection.Close();  // unsolicited bytes
      return pool_.Retire(pooled);
    }
    if (!state.has_response_head) {
      if (unread.empty() || !ReadResponseHead(pooled)) return;
      continue;
    }
    if (!state.is_forwarding && !state.is_discarding) return;
    const auto body_bytes = state.body.Advance(unread);
    if (!body_bytes) return FailExchange(pooled, Outcome::kReset);
    if (*body_bytes > 0 && state.is_forwarding) {
      const auto backlog = downstream_.ForwardBytes(state.request_id, unread.substr(0, *body_bytes));
      if (!backlog) return;  // the client has disconnected: the core aborts the attempt
      if (*backlog > downstream_.MaxBacklogBytes()) {
        state.is_read_paused = true;
        pooled.connection.SetReadPaused(true);
      }
    }
    pooled.connection.Consume(*body_bytes);
    if (!state.body.IsComplete()) {
      if (*body_bytes > 0) continue;
      if (pooled.connection.IsClosed()) FailExchange(pooled, Outcome::kReset);
      return;
    }
    if (state.is_forwarding) CompleteAttempt(pooled, {.outcome = Outcome::kServed, .note = state.fill_note});
    return ReleaseConnection(pooled);
  }
}

bool UpstreamConnections::ReadResponseHead(PooledConnection& pooled) {
  UpstreamConnectionState& state = pooled.state;
  Head head;
  const int status = ParseResponseHead(pooled.connection.Unread(), head);
  if (status < 0) {
    const std::size_t received_bytes = pooled.connection.Unread().size();
    pooled.connection.ExpectMessage(std::min(2 * received_bytes, kMaxHeadBytes + kHeadEndBytes));
    return false;
  }
  if (status > 0) {
    FailExchange(pooled, Outcome::kError);
    return false;
  }
  if (head.status < 200) {  // interim responses (1xx) precede the final one
    pooled.connection.Consume(head.length);
    if (head.status != 101) return true;
    FailExchange(pooled, Outcome::kError);
    return false;
  }
  std::uint64_t length = 0;
  const auto framing = ResponseFraming(head, state.is_head_request, length);
  // Without explicit framing a truncated response could not be distinguished from a complete one.
  if (!framing) {
    FailExchange(pooled, Outcome::kError);
    return false;
  }
  state.has_response_head = true;
  const std::string_view connection = head.Field("Connection");
  state.can_reuse = !ListContainsToken(connection, "close");
  state.body.Start(*framing, length);
  state.fill_note = FillNoteOf(head.Field("Cache-Status"));
  PendingRequest* const request = downstream_.Find(state.request_id);
  const Outcome outcome = core::OutcomeOf(
      state.sent, {.kind = core::AttemptEnding::Kind::kHttpStatus, .http_status = head.status});
  const bool is_failure = outcome != Outcome::kServed;
  if (is_failure || request == nullptr) {
    if (request != nullptr) request->override_status = 0;
    // The server rejects the gateway's signature: an error of the gateway, not of the client.
    if ((head.status == 401 || head.status == 403) && request != nullptr) {
      request->override_status = 502;
      log::Error("server.refuses_signature", {{"server", pooled.server}, {"status", head.status}},
                 "server {} at {} rejects the gateway's signature with status {}", pooled.server,
                 pooled.endpoint.Text(), head.status);
    }
    state.is_discarding = true;
    CompleteAttempt(pooled, {.outcome = is_failure ? outcome : Outcome::kError, .note = FillNote::kNone});
    pooled.connection.Consume(head.length);
    return true;
  }
  state.response_head = "HTTP/1.1 " + std::to_string(head.status) + " \r\n";
  for (const auto& [name, value] : head.fields) {
    if (!IsStrippedFromResponse(name, connection))
      state.response_head.append(name).append(": ").append(value).append("\r\n");
  }
  state.response_head.append("Via: 1.1 ").append(config_.name).append("\r\n\r\n");
  // Age is in whole seconds, rounded down, so the copy may be up to one second older. A response without Age
  // is from the origin (RFC 9111, 5.1).
  const Micros now = net::Now();
  Micros issued_at = now;
  std::int64_t age = 0;
  const std::string_view age_field = head.Field("Age");
  if (std::from_chars(age_field.data(), age_field.data() + age_field.size(), age).ec == std::errc{} &&
      age >= 0) {
    issued_at = now - Micros{(std::min<std::int64_t>(age, 1'000'000'000) + 1) * 1'000'000};
  }
  events_.emplace_back(
      core::ResponseStarted{.id = state.request_id, .attempt = state.attempt, .issued_at = issued_at});
  pooled.connection.Consume(head.length);
  return true;
}

void UpstreamConnections::CloseIfOverdue(Micros now, PooledConnection& pooled) {
  const UpstreamConnectionState& state = pooled.state;
  if (!state.is_in_use || state.request_end == 0 || !state.deliver_by || now < *state.deliver_by) return;
  if (pooled.connection.IsClosed() || pooled.connection.BytesDelivered() >= state.request_end) return;
  log::Warn("server.connection_closed", {{"server", pooled.server}},
            "server {} at {}: repeat not delivered within its window, connection closed", pooled.server,
            pooled.endpoint.Text());
  pooled.connection.Close();
  OnConnectionLost(pooled);
}

front::BufferSizes UpstreamConnections::BufferSizes() const {
  front::BufferSizes sizes;
  for (const PooledConnection& pooled : pool_.Connections()) sizes.Add(pooled.connection);
  return sizes;
}

void UpstreamConnections::EndRound(Micros now) {
  const bool has_memory = response_budget_.TakeReleased();
  for (PooledConnection& pooled : pool_.Connections()) {
    UpstreamConnectionState& state = pooled.state;
    if (has_memory) pooled.connection.RetryRead();
    CloseIfOverdue(now, pooled);
    if (state.is_read_paused) {
      const auto backlog = downstream_.Backlog(state.request_id);
      if (backlog && *backlog < downstream_.MaxBacklogBytes() / 2) {
        state.is_read_paused = false;
        pooled.connection.SetReadPaused(false);
        ProcessInput(pooled);
      }
    } else if (state.is_in_use && state.has_response_head && !pooled.connection.IsClosed() &&
               !pooled.connection.IsReadPaused() &&
               now - pooled.connection.LastActivityAt() > config_.stall_timeout) {
      pooled.connection.Close();  // the response has stalled
      FailExchange(pooled, Outcome::kReset);
    }
  }
  pool_.Sweep(now);
}

}  // namespace tinspan::http
