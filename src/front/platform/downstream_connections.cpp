#include "front/platform/downstream_connections.hpp"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

#include "log/log.hpp"
#include "net/partial_message_policy.hpp"

namespace tinspan::platform {
namespace {

constexpr std::size_t kMaxMessageBytes = 64 << 10;  // a write request has a body of at most 48,000 bytes
constexpr std::size_t kMaxRequestsPerClient = 32;   // in flight
// Messages handled per client and round, so that a client that sends hundreds at once does not delay others.
constexpr std::size_t kMaxMessagesPerRound = 32;
// The write queue of a client holds more than 32 responses of the largest size. Intake is paused for a client
// with a backlog above kMaxClientBacklog, and for every client with a backlog once all backlogs together
// exceed a quarter of the memory limit.
constexpr net::Connection::Limits kLimits{
    .max_read_bytes = kMaxMessageBytes, .max_write_bytes = 9 << 20, .close_on_peer_shutdown = true};
// The messages that clients have sent in part may take this share of the memory limit.
constexpr std::size_t kPartialMessageShare = 8;
constexpr Micros kPartialMessageCheckInterval{50'000};
constexpr std::size_t kMaxClientBacklog = 8 << 20;
// A client that receives none of its responses for this long is closed.
constexpr net::StallTimeouts kStallTimeouts{
    .initial = Micros{10'000'000}, .min = Micros{10'000'000}, .max = Micros{10'000'000}};
// The same while the total backlog blocks reading from the servers and so holds up all other clients.
constexpr net::StallTimeouts kStallTimeoutsUnderPressure{
    .initial = Micros{1'000'000}, .min = Micros{500'000}, .max = Micros{10'000'000}};
// The same for a client that should make room: its place is needed, or the instance is draining.
constexpr net::StallTimeouts kStallTimeoutsForRoom{
    .initial = Micros{3'000'000}, .min = Micros{500'000}, .max = Micros{10'000'000}};
// Clients close their connections after 4 s of idleness, so no more requests follow on one that is idle for
// longer. A connection without a first request has to be closed within 3 s.
constexpr Micros kIdleTimeout{6'000'000};
constexpr Micros kFirstRequestTimeout{2'400'000};
// How long a client's input is read and discarded after our side was shut down. A request that crosses the
// shutdown arrives within 50 ms; the client sends it again and closes this connection.
constexpr Micros kLingerTimeout{300'000};
// While responses are on their way to a lingering client, it is checked at this interval.
constexpr Micros kDeliveryCheckInterval{50'000};
constexpr std::size_t kMaxEvictionCandidates = 8;
constexpr Micros kIdleCheckMargin{1000};

// Bounds the descriptors that clients can occupy, since misbehaving clients keep their connections open.
net::IdleConnectionLimits IdleLimits(const config::Platform& config) {
  return {.max_connections = config.limits.ClientSockets(),
          .first_request_timeout = kFirstRequestTimeout,
          .idle_timeout = kIdleTimeout};
}

ClientCloseReason ToCloseReason(core::EndReason reason) {
  switch (reason) {
    case core::EndReason::kTimedOut:
      return ClientCloseReason::kDrainDeadline;
    case core::EndReason::kUndelivered:
      return ClientCloseReason::kDrainUndelivered;
    default:
      return ClientCloseReason::kDrained;
  }
}

}  // namespace

DownstreamConnections::DownstreamConnections(net::EventLoop& loop, const config::Platform& config,
                                             core::RequestCoordinator& coordinator,
                                             net::MemoryBudget& response_budget,
                                             std::vector<core::Event>& events)
    : loop_(loop),
      config_(config),
      coordinator_(coordinator),
      events_(events),
      response_budget_(response_budget),
      request_budget_(config.limits.MemoryBytes() / kPartialMessageShare),
      idle_connections_(IdleLimits(config)),
      classes_(config.site.classes),
      listener_(
          loop, config.listen, [this](net::Fd fd) { Accept(std::move(fd)); }, /*shared=*/true) {}

void DownstreamConnections::Accept(net::Fd fd) {
  if (idle_connections_.IsFull() && !EvictIdleClient()) {
    ++close_counts_[static_cast<std::size_t>(ClientCloseReason::kRejected)];
    log::Warn("client.turned_away", {{"connections", clients_.size()}},
              "client connection rejected: {} connections are open and none of them is idle",
              clients_.size());
    return;
  }
  const std::uint64_t id = ++last_client_id_;
  Client& client = clients_[id];
  net::Connection::Limits limits = kLimits;
  limits.read_budget = &request_budget_;
  limits.write_budget = &response_budget_;
  client.connection = std::make_unique<net::Connection>(loop_, std::move(fd), *this, limits);
  client.connection->id = id;
  client.is_intake_paused = is_intake_paused_;
  idle_connections_.OnAccepted(id, net::Now());
}

// Makes room for a new client by closing an idle one. Returns false if no client could be closed.
bool DownstreamConnections::EvictIdleClient() {
  std::vector<std::uint64_t> skipped;
  bool is_evicted = false;
  while (!is_evicted && skipped.size() < kMaxEvictionCandidates) {
    const auto candidate = idle_connections_.EvictCandidate(net::Now());
    if (!candidate) break;
    is_evicted = LingerIfIdle(clients_.at(*candidate), net::Now(), ClientCloseReason::kEvicted);
    if (!is_evicted) skipped.push_back(*candidate);
  }
  for (const std::uint64_t id : skipped) TrackIdle(clients_.at(id));
  return is_evicted;
}

void DownstreamConnections::OnData(net::Connection& connection) {
  Client& client = clients_.at(connection.id);
  active_in_round_.insert(connection.id);
  if (client.is_intake_paused) {
    ScanForCancellations(client);
    // At most one message of maximum size is read ahead; the rest stays in the socket.
    connection.ExpectMessage(std::min(2 * connection.Unread().size(), kMaxMessageBytes));
    if (connection.Unread().size() >= kMaxMessageBytes) connection.SetReadPaused(true);
    return;
  }
  for (std::size_t messages = 0; !connection.IsClosed(); ++messages) {
    const std::string_view unread = connection.Unread().substr(client.bytes_handled);
    if (unread.empty()) break;
    if (messages == kMaxMessagesPerRound) {
      ScanForCancellations(client);
      return connection.ScheduleRead();
    }
    const auto message = ParseResp(unread, kMaxMessageBytes);
    if (!message) return HandleParseError(client, message.error());
    HandleMessage(client, *message);
    client.bytes_handled += message->size;
  }
}

void DownstreamConnections::HandleParseError(Client& client, const RespError& error) {
  net::Connection& connection = *client.connection;
  if (error.kind == RespError::Kind::kMalformed) {
    log::Debug("client.unreadable", {{"client", connection.id}},
               "client {}: malformed RESP message, connection closed", connection.id);
    return Linger(client, net::Now(), ClientCloseReason::kMalformed);
  }
  connection.ExpectMessage(client.bytes_handled + error.bytes_needed);
  if (!client.partial_since) client.partial_since = net::Now();
  // An idle client that starts a message gets the same time to complete it as a new client.
  const bool is_reused = client.requests.empty() && connection.BytesQueued() > 0;
  if (is_reused && !std::exchange(client.has_partial_message, true))
    idle_connections_.OnAccepted(connection.id, net::Now());
}

// Scans the unhandled input for cancellations. Messages before them may be left for a later round, or the
// intake may be paused, but no attempt may start for a request that is already cancelled.
void DownstreamConnections::ScanForCancellations(Client& client) {
  const std::string_view unread = client.connection->Unread();
  for (std::size_t position = std::max(client.bytes_scanned, client.bytes_handled);
       position < unread.size();) {
    const auto message = ParseResp(unread.substr(position), kMaxMessageBytes);
    if (!message) break;
    position += message->size;
    client.bytes_scanned = position;
    if (message->elements[0] != "RPC.CANCEL" || message->count < 2) continue;
    std::string tag(message->elements[1].substr(0, kMaxFieldBytes));
    if (client.requests.contains(tag)) {
      Cancel(client, tag);
    } else {
      client.cancelled_tags.insert(std::move(tag));
    }
  }
}

// A complete but invalid message gets an error response and the connection stays open, so that other requests
// in flight on it are not affected.
void DownstreamConnections::HandleMessage(Client& client, const RespMessage& message) {
  client.partial_since.reset();
  const std::string_view verb = message.elements[0];
  const std::string tag(message.count > 1 ? message.elements[1].substr(0, kMaxFieldBytes)
                                          : std::string_view());
  if (verb == "RPC.CANCEL") {
    client.cancelled_tags.erase(tag);
    Cancel(client, tag);
  } else if (verb == "RPC.HEALTH") {
    Write(client, tag, {.status = drain_ ? "closing" : "healthy"});
  } else if (verb != "RPC.CALL") {
    RejectCall(client, tag);
  } else if (!client.cancelled_tags.contains(tag)) {  // else already cancelled: no response is expected
    if (!StartRequest(client, message)) RejectCall(client, tag);
  }
  if (!client.connection->IsClosed()) TrackIdle(client);
}

void DownstreamConnections::RejectCall(Client& client, const std::string& tag) {
  log::Debug("client.unusable", {{"client", client.connection->id}},
             "client {}: invalid request, responding with an error", client.connection->id);
  Cancel(client, tag);  // responses of two requests with the same tag could not be told apart
  Write(client, tag, {.status = "error"});
}

void DownstreamConnections::TrackIdle(Client& client) {
  const net::Connection& connection = *client.connection;
  client.has_partial_message = false;
  if (!client.requests.empty()) return idle_connections_.MarkActive(connection.id);
  if (connection.BytesQueued() > 0) {
    idle_connections_.MarkIdle(connection.id, net::Now());
  } else {  // the client has cancelled all its requests before their responses
    idle_connections_.OnAccepted(connection.id, connection.OpenedAt());
  }
}

void DownstreamConnections::Cancel(Client& client, const std::string& tag) {
  const auto found = client.requests.find(tag);
  if (found == client.requests.end()) return;  // the cancellation crossed the response
  events_.emplace_back(core::ClientDisconnected{found->second});
  requests_.Remove(found->second);
  client.requests.erase(found);
}

tl::expected<void, CallError> DownstreamConnections::StartRequest(Client& client,
                                                                  const RespMessage& message) {
  if (client.requests.size() >= kMaxRequestsPerClient) return tl::unexpected(CallError::kTooManyRequests);
  auto call = ParseCall(message, classes_);
  if (!call) return tl::unexpected(call.error());
  // Responses are matched by reference towards servers and by tag towards the client. With a duplicate, the
  // response of one request could go to the other.
  if (requests_.HasReference(call->request.reference) || client.requests.contains(call->request.tag))
    return tl::unexpected(CallError::kDuplicate);
  call->request.connection = client.connection->id;
  call->received.id = coordinator_.NextRequestId();
  const auto number = static_cast<std::uint64_t>(call->received.id);
  log::Debug("request.received",
             {{"request", number}, {"client", client.connection->id}, {"ref", call->request.reference}},
             "request {} ({}) from client {}", number, call->request.reference, client.connection->id);
  client.requests.emplace(call->request.tag, call->received.id);
  requests_.Add(call->received.id, std::move(call->request));
  events_.emplace_back(call->received);
  return {};
}

void DownstreamConnections::Respond(RequestId id, bool is_not_modified, std::string_view body) {
  Complete(id, {.status = "done", .fields = is_not_modified ? "keep=1" : "", .body = body});
}

void DownstreamConnections::Reject(RequestId id, Micros retry_after) {
  const auto milliseconds = retry_after.count() / 1000;
  const std::string fields = milliseconds > 0 ? "cooldown=" + std::to_string(milliseconds) : "";
  Complete(id, {.status = "later", .fields = fields});
}

void DownstreamConnections::Fail(RequestId id) { Complete(id, {.status = "error"}); }

void DownstreamConnections::Complete(RequestId id, const ResponseMessage& response) {
  const PendingRequest* const request = requests_.Find(id);
  if (request == nullptr) return;
  const auto found = clients_.find(request->connection);
  if (found != clients_.end()) {
    Client& client = found->second;
    client.requests.erase(request->tag);
    Write(client, request->tag, response);
    if (!client.connection->IsClosed()) TrackIdle(client);
  }
  requests_.Remove(id);
}

void DownstreamConnections::Write(Client& client, std::string_view tag, const ResponseMessage& response) {
  net::Connection& connection = *client.connection;
  if (connection.IsClosed()) return;
  client.has_response = true;
  const std::string head = EncodeResponseHead(tag, response.status, response.fields, response.body.size());
  if (!connection.Write(head, response.body, "\r\n")) {
    log::Warn("client.reads_nothing", {{"client", connection.id}},
              "client {}: does not read its responses, write queue full, connection closed", connection.id);
    return Close(client, ClientCloseReason::kStalled);
  }
  if (connection.Backlog() > 0) backlogged_.insert(connection.id);
}

void DownstreamConnections::OnClosed(net::Connection& connection) {
  Client& client = clients_.at(connection.id);
  if (!client.is_ended) RecordClose(client, ClientCloseReason::kPeer);
  Release(client);
}

void DownstreamConnections::RecordClose(Client& client, ClientCloseReason reason) {
  client.is_ended = true;
  ++close_counts_[static_cast<std::size_t>(reason)];
  log::Debug("client.ended",
             {{"client", client.connection->id}, {"reason", Name(reason)}, {"open", client.requests.size()}},
             "client {}: connection ended ({}), {} requests open", client.connection->id, Name(reason),
             client.requests.size());
}

// Closes the connection at once, without lingering.
void DownstreamConnections::Close(Client& client, ClientCloseReason reason) {
  RecordClose(client, reason);
  Release(client);
}

// Closes the connection, cancels its requests and marks the client to be erased at the end of the round.
void DownstreamConnections::Release(Client& client) {
  client.connection->Close();
  AbandonRequests(client);
  closed_.push_back(client.connection->id);
}

// Cancels all requests in flight on a connection that has ended.
void DownstreamConnections::AbandonRequests(Client& client) {
  for (const auto& [tag, id] : std::exchange(client.requests, {})) {
    events_.emplace_back(core::ClientDisconnected{id});
    requests_.Remove(id);
  }
  idle_connections_.Remove(client.connection->id);
}

// Returns false and leaves the connection open if input is waiting in the socket, since a request has just
// arrived, or if the client is still receiving its responses.
bool DownstreamConnections::LingerIfIdle(Client& client, Micros now, ClientCloseReason reason) {
  if (client.connection->HasPendingInput() || client.IsReceiving(now, kStallTimeoutsForRoom)) return false;
  Linger(client, now, reason);
  return true;
}

// Shuts down our side and keeps reading until the client has received everything, and for kLingerTimeout
// after that. Closing at once would reset the connection if input arrived meanwhile, and the reset discards
// responses that the client has not received yet.
void DownstreamConnections::Linger(Client& client, Micros now, ClientCloseReason reason) {
  RecordClose(client, reason);
  AbandonRequests(client);
  client.connection->SetReadPaused(false);  // input is read and discarded
  client.connection->ShutdownWhenDrained();
  lingering_.push_back({client.connection->id, now + kLingerTimeout});
  loop_.Timers().Set(now + kLingerTimeout, [](Micros) {});
}

// Closes lingering clients that have closed their side or whose linger timeout has expired. The timeout does
// not run while responses are on their way. The number of lingering clients is bounded, since each holds a
// descriptor; the oldest are closed first.
void DownstreamConnections::CloseLingeringClients(Micros now) {
  const std::size_t max_lingering = config_.limits.LingeringSockets();
  std::size_t excess = lingering_.size() > max_lingering ? lingering_.size() - max_lingering : 0;
  const bool is_shutdown = drain_ && drain_->fails_open_requests;
  const net::StallTimeouts& timeouts = is_shutdown ? kStallTimeoutsForRoom : kStallTimeouts;
  bool is_delivering = false;
  std::erase_if(lingering_, [&](LingeringClient& lingering) {
    const auto found = clients_.find(lingering.id);
    if (found == clients_.end()) return true;
    const bool is_open = !found->second.connection->IsClosed();
    if (is_open && found->second.IsReceiving(now, timeouts)) {
      lingering.expires_at = now + kLingerTimeout;
      is_delivering = true;
    }
    if (is_open && now < lingering.expires_at && excess == 0) return false;
    excess -= excess > 0 ? 1 : 0;
    Release(found->second);
    return true;
  });
  if (is_delivering) ScheduleDeliveryCheck(now);
}

// Sets a timer for the next round in which lingering clients are checked.
void DownstreamConnections::ScheduleDeliveryCheck(Micros now) {
  if (std::exchange(is_delivery_check_scheduled_, true)) return;
  loop_.Timers().Set(now + kDeliveryCheckInterval, [this](Micros) { is_delivery_check_scheduled_ = false; });
}

std::size_t DownstreamConnections::Backlog() const {
  std::size_t sum = 0;
  for (const std::uint64_t id : backlogged_) sum += clients_.at(id).connection->Backlog();
  return sum;
}

front::BufferSizes DownstreamConnections::BufferSizes() const {
  front::BufferSizes sizes;
  for (const auto& [id, client] : clients_) sizes.Add(*client.connection);
  return sizes;
}

void DownstreamConnections::EndRound(Micros now) {
  if (listener_.IsOpen() && drain_ && now >= drain_->accept_until) listener_.CloseAfterAccepting();
  PauseIntakeOverMemoryLimit(now);
  ConsumeHandledInput();
  ShareRequestMemory(now);
  if (drain_) CloseDrainedClients(now);
  CheckBackloggedClients(now);
  CloseIdleClients(now);
  CloseLingeringClients(now);
  EraseClosedClients();
  ScheduleIdleCheck();
}

// Pauses the intake of all clients while the bodies of all pending requests exceed an eighth of the memory
// limit; further requests wait in the sockets. While a drain rejects every new request the intake is not
// paused, since a rejected request takes no memory.
void DownstreamConnections::PauseIntakeOverMemoryLimit(Micros now) {
  const std::size_t max_body_bytes = config_.limits.MemoryBytes() / 8;
  const bool is_rejecting = drain_ && now >= drain_->reject_from;
  const bool is_paused = requests_.BodyBytes() > max_body_bytes && !is_rejecting;
  if (std::exchange(is_intake_paused_, is_paused) == is_paused) return;
  for (auto& [id, client] : clients_) client.SetIntakePaused(is_paused);
}

void DownstreamConnections::ConsumeHandledInput() {
  for (const std::uint64_t id : active_in_round_) {
    const auto found = clients_.find(id);
    if (found == clients_.end() || found->second.connection->IsClosed()) continue;
    Client& client = found->second;
    client.bytes_scanned -= std::min(client.bytes_scanned, client.bytes_handled);
    if (client.bytes_handled > 0) client.connection->Consume(std::exchange(client.bytes_handled, 0));
  }
  active_in_round_.clear();
}

// Lets clients that wait for memory read on once some was released. While they wait, clients that take long
// for a message and have no request in flight make room.
void DownstreamConnections::ShareRequestMemory(Micros now) {
  if (request_budget_.HasWaiters()) {
    for (auto& [id, client] : clients_) EvictIfHoldingMemory(client, now);
  }
  if (request_budget_.TakeReleased()) {
    for (auto& [id, client] : clients_) client.connection->RetryRead();
  }
  if (!request_budget_.HasWaiters() || std::exchange(is_memory_check_scheduled_, true)) return;
  loop_.Timers().Set(now + kPartialMessageCheckInterval,
                     [this](Micros) { is_memory_check_scheduled_ = false; });
}

void DownstreamConnections::EvictIfHoldingMemory(Client& client, Micros now) {
  net::Connection& connection = *client.connection;
  if (connection.IsClosed() || connection.IsLingering() || !client.requests.empty()) return;
  if (!net::HoldsMemoryTooLong(connection, client.partial_since, now)) return;
  log::Debug("client.partial", {{"client", connection.id}},
             "client {}: sends a message slowly while others wait for its memory", connection.id);
  Linger(client, now, ClientCloseReason::kEvicted);
  client.bytes_handled = client.bytes_scanned = 0;
  connection.Consume(connection.Unread().size());
}

// Whether the responses that wait for clients keep servers from being read.
bool DownstreamConnections::AreServersHeldUp() const {
  return response_budget_.HasWaiters() || Backlog() > config_.limits.MemoryBytes() / 4;
}

void DownstreamConnections::CheckBackloggedClients(Micros now) {
  const bool is_under_pressure = AreServersHeldUp();
  const std::size_t max_backlog = is_under_pressure ? 0 : kMaxClientBacklog;
  const bool is_drain_over = drain_ && now >= drain_->answer_by;
  const net::StallTimeouts& unpressed_timeouts = is_drain_over ? kStallTimeoutsForRoom : kStallTimeouts;
  const net::StallTimeouts& timeouts = is_under_pressure ? kStallTimeoutsUnderPressure : unpressed_timeouts;
  for (auto position = backlogged_.begin(); position != backlogged_.end();) {
    Client& client = clients_.at(*position);
    net::Connection& connection = *client.connection;
    const std::size_t backlog = connection.IsClosed() ? 0 : connection.Backlog();
    client.SetIntakePaused(is_intake_paused_ || backlog > max_backlog);
    if (backlog > 0 && !client.IsReceiving(now, timeouts)) {
      log::Warn("client.stuck", {{"client", connection.id}, {"backlog", backlog}},
                "client {}: takes no answers, connection closed", connection.id);
      Close(client, ClientCloseReason::kStalled);
    }
    const bool is_done = backlog == 0 || connection.IsClosed();
    position = is_done ? backlogged_.erase(position) : std::next(position);
  }
}

void DownstreamConnections::CloseIdleClients(Micros now) {
  while (const auto id = idle_connections_.NextExpired(now)) {
    Client& client = clients_.at(*id);
    if (!LingerIfIdle(client, now, ClientCloseReason::kIdle)) idle_connections_.MarkIdle(*id, now);
  }
}

void DownstreamConnections::EraseClosedClients() {
  for (const std::uint64_t id : closed_) {
    clients_.erase(id);
    backlogged_.erase(id);
  }
  closed_.clear();
}

void DownstreamConnections::CloseDrainedClients(Micros now) {
  ScheduleDrainCheck(now, drain_->reject_from);
  ScheduleDrainCheck(now, drain_->close_by);
  for (auto& [id, client] : clients_) {
    const net::Connection& connection = *client.connection;
    if (connection.IsClosed() || connection.IsLingering()) continue;
    const core::EndDecision decision = core::DecideEnd(*drain_, client.Activity(now), now);
    ScheduleDrainCheck(now, decision.recheck_at);
    if (now >= drain_->close_by) ++client.checks_past_close;
    if (decision.reason == core::EndReason::kNone) continue;
    Linger(client, now, ToCloseReason(decision.reason));
  }
}

// Sets a timer for the next drain check; EndRound of the timer's round performs it.
void DownstreamConnections::ScheduleDrainCheck(Micros now, Micros due_at) {
  if (due_at <= now || due_at == Micros::max()) return;
  if (next_drain_check_at_ && *next_drain_check_at_ <= due_at) return;
  next_drain_check_at_ = due_at;
  loop_.Timers().Set(due_at, [this](Micros) { next_drain_check_at_.reset(); });
}

// Sets a timer so that new and idle clients are closed in time even without other events.
void DownstreamConnections::ScheduleIdleCheck() {
  const auto deadline = idle_connections_.NextDeadline();
  if (!deadline || (next_idle_check_at_ && *next_idle_check_at_ <= *deadline)) return;
  next_idle_check_at_ = *deadline + kIdleCheckMargin;
  loop_.Timers().Set(*next_idle_check_at_, [this](Micros) { next_idle_check_at_.reset(); });
}

}  // namespace tinspan::platform
