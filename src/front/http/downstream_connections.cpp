#include "front/http/downstream_connections.hpp"

#include <simdjson.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "log/log.hpp"
#include "net/partial_message_policy.hpp"
#include "setup/text.hpp"

namespace tinspan::http {
namespace {

// Time for a new client to send its first complete request, and for others to send the next one after a
// response. Partial input does not extend it.
constexpr Micros kFirstRequestTimeout{10'000'000};
constexpr Micros kIdleTimeout{30'000'000};
constexpr Micros kLingerTimeout{2'000'000};  // for a client to read its last response and close
// During a graceful shutdown: for the rest of a partially received request, and for lingering.
constexpr Micros kDrainReadTimeout{300'000};
constexpr std::size_t kMaxEvictionCandidates = 8;  // idle connections tried to make room for a new one
// Shares of the memory limit: for requests received in part, and for those without a final response.
constexpr std::size_t kPartialRequestShare = 8;
constexpr std::size_t kPendingRequestShare = 8;
// Bytes that may wait for one client.
constexpr std::size_t kMaxBacklogBytes = 256 << 10;
constexpr std::size_t kMinBacklogBytes = 16 << 10;
constexpr Micros kMemoryCheckInterval{50'000};
constexpr std::string_view kOperatorPrefix = "/-/";

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 204:
      return "No Content";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 411:
      return "Length Required";
    case 413:
      return "Content Too Large";
    case 414:
      return "URI Too Long";
    case 417:
      return "Expectation Failed";
    case 421:
      return "Misdirected Request";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "Error";
  }
}

// Whether a request field is not forwarded: hop-by-hop fields, the client's credentials, which are meant for
// the gateway alone, and fields that the gateway writes itself.
bool IsStrippedFromRequest(std::string_view name, std::string_view connection) {
  // Referer may contain a signed link.
  constexpr std::array<std::string_view, 15> kNames{
      "Referer", "Connection", "Keep-Alive",   "Proxy-Connection", "Proxy-Authorization", "TE",
      "Trailer", "Upgrade",    "Host",         "Authorization",    "Content-Length",      "Transfer-Encoding",
      "Expect",  "Via",        "Cache-Control"};
  return std::any_of(kNames.begin(), kNames.end(),
                     [&](auto& stripped) { return EqualsIgnoreCase(stripped, name); }) ||
         EqualsIgnoreCase(name, "Tinspan-Fill") || ListContainsToken(connection, name);
}

}  // namespace

std::string RetryAfterField(Micros retry_after) {
  const auto seconds = std::max<std::int64_t>(1, (retry_after.count() + 999'999) / 1'000'000);
  return "Retry-After: " + std::to_string(seconds) + "\r\n";
}

ObjectId ObjectIdOf(std::string_view uri) {
  return ObjectId{std::max<std::uint64_t>(1, static_cast<std::uint64_t>(HashName(uri)))};  // 0: no object
}
GroupId GroupIdOf(std::string_view segment) { return GroupId{static_cast<std::uint64_t>(HashName(segment))}; }

DownstreamConnections::DownstreamConnections(net::EventLoop& loop, const config::Gateway& config,
                                             core::RequestCoordinator& coordinator, AccessVerifier& verifier,
                                             net::MemoryBudget& response_budget,
                                             std::vector<core::Event>& events)
    : loop_(loop),
      config_(config),
      coordinator_(coordinator),
      verifier_(verifier),
      events_(events),
      response_budget_(response_budget),
      request_budget_(config.limits.MemoryBytes() / kPartialRequestShare),
      idle_connections_({.max_connections = config.limits.sockets / 3,
                         .first_request_timeout = kFirstRequestTimeout,
                         .idle_timeout = kIdleTimeout}),
      listener_(loop, config.listen, [this](net::Fd fd) { Accept(std::move(fd)); }) {}

void DownstreamConnections::Accept(net::Fd fd) {
  if (idle_connections_.IsFull() && !EvictIdleClient()) {
    log::Warn("client.turned_away", {{"connections", clients_.size()}},
              "connection rejected: {} connections are open and none is idle", clients_.size());
    return;
  }
  const std::uint64_t id = ++last_client_id_;
  Client& client = clients_[id];
  const net::Connection::Limits limits{.max_read_bytes = kMaxHeadBytes + config_.max_body_bytes + 4,
                                       .max_write_bytes = 4 << 20,
                                       .read_budget = &request_budget_,
                                       .write_budget = &response_budget_};
  client.connection = std::make_unique<net::Connection>(loop_, std::move(fd), *this, limits);
  client.connection->id = id;
  client.last_active_at = net::Now();
  idle_connections_.OnAccepted(id, client.last_active_at);
}

bool DownstreamConnections::EvictIdleClient() {
  const Micros now = net::Now();
  std::vector<std::uint64_t> skipped;
  bool is_evicted = false;
  while (!is_evicted && skipped.size() < kMaxEvictionCandidates) {
    const auto candidate = idle_connections_.EvictCandidate(now);
    if (!candidate) break;
    is_evicted = LingerIfIdle(clients_.at(*candidate), now);
    if (!is_evicted) skipped.push_back(*candidate);
    // Limits the number of lingering connections, since each still holds its descriptor.
    const config::Limits& limits = config_.limits;
    if (is_evicted && clients_.size() >= limits.sockets / 3 + limits.LingeringSockets())
      clients_.at(*candidate).connection->Close();
  }
  for (const std::uint64_t id : skipped) idle_connections_.MarkIdle(id, now);
  return is_evicted;
}

bool DownstreamConnections::IsReceiving(Client& client, Micros now) const {
  const net::Connection& connection = *client.connection;
  const std::size_t undelivered_bytes = connection.UndeliveredBytes();
  if (undelivered_bytes == 0) {
    client.delivery.Stop();
    return false;
  }
  // The end of our side may count as one byte that was never queued.
  client.delivery.Observe(now, connection.BytesQueued() + 1 - undelivered_bytes);
  const net::StallTimeouts timeouts{
      .initial = config_.stall_timeout, .min = config_.stall_timeout, .max = config_.stall_timeout};
  return !client.delivery.IsStalled(now, timeouts);
}

// Returns false, and does nothing, if a request is open or waits in the socket, or if the client is still
// receiving a response.
bool DownstreamConnections::LingerIfIdle(Client& client, Micros now) {
  if (client.open_request || client.connection->HasPendingInput() || IsReceiving(client, now)) return false;
  Linger(client, now);
  return true;
}

// Shuts down the sending side and lingers until the client has received everything, and for kLingerTimeout
// after that: closing while bytes from the client are in flight would reset the connection.
void DownstreamConnections::Linger(Client& client, Micros now) {
  client.last_active_at = now;
  client.close_after_response = true;
  client.connection->ShutdownWhenDrained();
}

void DownstreamConnections::OnData(net::Connection& connection) {
  Client& client = clients_.at(connection.id);
  client.last_active_at = connection.LastActivityAt();
  ReadRequests(client);
}

// A connection has one open request at a time: the next one is read after the response to the previous one.
void DownstreamConnections::ReadRequests(Client& client) {
  while (!client.connection->IsClosed() && !client.open_request && !client.close_after_response &&
         !IsIntakePaused() && ReadOneRequest(client)) {
  }
}

// The request at the front of the input is incomplete; `expected_bytes` of it are to be received next.
void DownstreamConnections::AwaitRest(Client& client, std::size_t expected_bytes) {
  client.connection->ExpectMessage(expected_bytes);
  if (!client.partial_since) client.partial_since = net::Now();
}

bool DownstreamConnections::ReadOneRequest(Client& client) {
  const std::string_view unread = client.connection->Unread();
  if (unread.empty()) return false;
  Head head;
  int status = ParseRequestHead(unread, head);
  if (status < 0) {
    AwaitRest(client, std::min(2 * unread.size(), kMaxHeadBytes + kHeadEndBytes));
    return false;
  }
  std::uint64_t length = 0;
  if (status == 0) RequestFraming(head, length, status);
  if (status == 0 && length > config_.max_body_bytes) status = 413;
  const std::string_view expect = status == 0 ? head.Field("Expect") : std::string_view();
  if (!expect.empty() && !EqualsIgnoreCase(expect, "100-continue")) status = 417;
  // The end of the request is unknown, or its body is not read: the connection is closed after the response.
  if (status != 0) {
    log::Info("client.unreadable", {{"client", client.connection->id}, {"status", status}},
              "client {}: request rejected with status {}", client.connection->id, status);
    client.close_after_response = true;
    WriteLocalReply(client, status, "");
    return false;
  }
  if (unread.size() < head.length + length) {
    if (!expect.empty() && !std::exchange(client.has_sent_continue, true)) {
      client.connection->Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    AwaitRest(client, head.length + length);
    return false;
  }
  client.partial_since.reset();
  client.has_sent_continue = false;
  client.close_after_response = ListContainsToken(head.Field("Connection"), "close");
  std::string fields;
  status = HandleRequest(client, head, unread.substr(head.length, length), fields);
  client.connection->Consume(head.length + length);
  if (status != 0) WriteLocalReply(client, status, fields, std::exchange(operator_body_, {}));
  return true;
}

int DownstreamConnections::HandleRequest(Client& client, const Head& head, std::string_view body,
                                         std::string& fields) {
  const UnixTime now = net::UnixNow();
  std::string_view text = head.target;
  for (const std::string_view scheme : {"http://", "https://"}) {  // absolute-form (RFC 9112, 3.2.2)
    if (!text.starts_with(scheme)) continue;
    const std::size_t slash = text.find('/', scheme.size());
    if (text.substr(scheme.size(), slash - scheme.size()) != head.Field("Host")) return 400;
    text = slash == std::string_view::npos ? "/" : text.substr(slash);
  }
  const auto target = ParseTarget(text);
  if (!target || head.FieldCount("Authorization") > 1) return 400;
  if (target->path.starts_with(kOperatorPrefix)) return HandleOperatorRequest(head, *target, body, fields);
  if (!EqualsIgnoreCase(head.Field("Host"), config_.authority)) return 421;

  const auto route =
      std::find_if(config_.routes.begin(), config_.routes.end(), [&](const config::Route& candidate) {
        return !candidate.prefix.empty() && target->path.starts_with(candidate.prefix);
      });
  if (route == config_.routes.end()) return 404;
  const std::size_t class_index = static_cast<std::size_t>(route - config_.routes.begin());
  const ClassSettings& settings = config_.site.settings.classes[class_index];
  const bool is_read = head.method == "GET" || head.method == "HEAD";
  if (settings.is_write ? head.method != "POST" : !is_read) {
    fields = settings.is_write ? "Allow: POST\r\n" : "Allow: GET, HEAD\r\n";
    return 405;
  }
  if (const int status = Authorize(route->access, head, *target, now, fields)) return status;
  const std::string_view key = head.Field("Idempotency-Key");
  if (settings.effect == Effect::kIdempotencyKey && (key.empty() || head.FieldCount("Idempotency-Key") > 1))
    return 400;

  PendingRequest request;
  request.connection_id = client.connection->id;
  request.method = head.method;
  request.uri = target->Uri();
  request.body = body;
  request.effect = settings.effect;
  request.uses_signed_link = !settings.is_write && (route->access == config::AccessMethod::kLink ||
                                                    route->access == config::AccessMethod::kEither);
  const std::string_view connection = head.Field("Connection");
  for (const auto& [name, value] : head.fields) {
    if (!IsStrippedFromRequest(name, connection))
      request.header_fields.append(name).append(": ").append(value).append("\r\n");
  }
  core::RequestReceived received;
  received.id = coordinator_.NextRequestId();
  received.time_left = settings.deadline;
  received.class_id = ClassId{static_cast<std::uint32_t>(class_index)};
  received.object = ObjectIdOf(request.uri);
  const std::string_view path_rest = std::string_view(target->path).substr(route->prefix.size());
  if (!key.empty()) received.operation = core::MakeOperationId(request.uri + " " + std::string(key));
  received.group = GroupIdOf(path_rest.substr(0, path_rest.find('/')));
  client.open_request = received.id;
  idle_connections_.MarkActive(client.connection->id);  // at once: a newcomer of this round must not evict it
  // A client that closes with a request open has disconnected, even if there is unread input.
  client.connection->SetCloseOnPeerShutdown(true);
  AddPending(received.id, std::move(request));
  events_.push_back(received);
  return 0;
}

int DownstreamConnections::Authorize(config::AccessMethod access, const Head& head, const Target& target,
                                     UnixTime now, std::string& fields) const {
  using config::AccessMethod;
  if (access == AccessMethod::kOpen) return 0;
  if (access == AccessMethod::kLink || (access == AccessMethod::kEither && !target.signed_jwt.empty())) {
    return verifier_.IsLinkValid(target, now) ? 0 : 403;
  }
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view credentials = head.Field("Authorization");
  const bool is_bearer =
      credentials.size() > kScheme.size() && EqualsIgnoreCase(credentials.substr(0, kScheme.size()), kScheme);
  if (is_bearer && verifier_.IsTokenValid(credentials.substr(kScheme.size()), now)) return 0;
  fields = "WWW-Authenticate: Bearer realm=\"" + config_.audience + "\"" +
           (is_bearer ? ", error=\"invalid_token\"" : "") + "\r\n";
  return 401;
}

// /-/healthy is open to all health checkers; /-/purge and /-/records require the operator token.
int DownstreamConnections::HandleOperatorRequest(const Head& head, const Target& target,
                                                 std::string_view body, std::string& fields) {
  if (target.path == "/-/healthy") return is_ready_ && !IsDraining(net::Now()) ? 200 : 503;
  const bool is_records = target.path == "/-/records" && record_feed_ != nullptr;
  if ((target.path != "/-/purge" && !is_records) || config_.operator_token.empty()) return 404;
  if (!ConstantTimeEquals(head.Field("Authorization"), "Bearer " + config_.operator_token)) {
    fields = "WWW-Authenticate: Bearer realm=\"operator\"\r\n";
    return 401;
  }
  if (is_records) return HandleRecordsRequest(head, target, fields);
  if (head.method != "POST") {
    fields = "Allow: POST\r\n";
    return 405;
  }
  simdjson::dom::parser parser;
  simdjson::dom::element json;
  std::string_view text;
  if (parser.parse(simdjson::padded_string(body)).get(json) != simdjson::SUCCESS) return 400;
  core::PurgeReceived purge;
  purge.purged_at = net::Now();
  if (json["object"].get(text) == simdjson::SUCCESS) {
    const auto object = ParseTarget(text);
    if (!object) return 400;
    purge.object = ObjectIdOf(object->Uri());
  } else if (json["group"].get(text) == simdjson::SUCCESS && !text.empty()) {
    purge.group = GroupIdOf(text);
  } else {
    return 400;
  }
  return ApplyPurge(purge, text, fields);
}

// Applies a purge here and passes it on to the fleet. A purge that cannot be passed on is rejected whole: a
// 204 would tell the operator that no instance serves older copies.
int DownstreamConnections::ApplyPurge(const core::PurgeReceived& purge, std::string_view name,
                                      std::string& fields) {
  if (const auto retry_after = on_purge_ ? on_purge_(purge) : std::nullopt) {
    fields = RetryAfterField(*retry_after);
    return 503;
  }
  const std::string_view what = purge.object ? "object" : "group";
  // An object is named by path and query. The query is not logged.
  const std::string_view logged_name = name.substr(0, name.find('?'));
  log::Info("purge.told", {{"what", what}, {"name", logged_name}}, "operator purged {} {}", what,
            logged_name);
  events_.push_back(purge);
  return 204;
}

// Responds with the records since `offset`. Tinspan-Next is the offset of the next request.
int DownstreamConnections::HandleRecordsRequest(const Head& head, const Target& target, std::string& fields) {
  if (head.method != "GET") {
    fields = "Allow: GET\r\n";
    return 405;
  }
  std::uint64_t offset = 0;
  if (!target.query.empty()) {
    constexpr std::string_view kName = "offset=";
    const char* const end = target.query.data() + target.query.size();
    if (!target.query.starts_with(kName) ||
        std::from_chars(target.query.data() + kName.size(), end, offset).ptr != end) {
      return 400;
    }
  }
  operator_body_ = record_feed_->Since(offset);
  fields = "Content-Type: application/octet-stream\r\nCache-Control: no-store\r\nTinspan-Next: " +
           std::to_string(offset) + "\r\n";
  return 200;
}

void DownstreamConnections::AddPending(RequestId id, PendingRequest request) {
  pending_bytes_ += request.Bytes();
  pending_requests_.emplace(id, std::move(request));
}

void DownstreamConnections::RemovePending(RequestId id) {
  const auto found = pending_requests_.find(id);
  if (found == pending_requests_.end()) return;
  pending_bytes_ -= found->second.Bytes();
  pending_requests_.erase(found);
}

bool DownstreamConnections::IsIntakePaused() const {
  // During a shutdown a request that was received must get a response before its connection ends.
  if (IsDraining(net::Now())) return false;
  return pending_bytes_ > config_.limits.MemoryBytes() / kPendingRequestShare;
}

// Handles the requests that were received while the intake was paused.
void DownstreamConnections::ResumeIntake() {
  const bool was_paused = std::exchange(was_intake_paused_, IsIntakePaused());
  if (!was_paused || was_intake_paused_) return;
  for (auto& [id, client] : clients_) ReadRequests(client);
  was_intake_paused_ = IsIntakePaused();
}

void DownstreamConnections::ShareRequestMemory(Micros now) {
  // While the intake is paused, a request may have been received whole, which must get its response.
  if (request_budget_.HasWaiters() && !IsIntakePaused()) {
    for (auto& [id, client] : clients_) CloseIfHoldingMemory(client, now);
  }
  if (request_budget_.TakeReleased()) {
    for (auto& [id, client] : clients_) client.connection->RetryRead();
  }
  if (!request_budget_.HasWaiters() || std::exchange(is_memory_check_scheduled_, true)) return;
  loop_.Timers().Set(now + kMemoryCheckInterval, [this](Micros) { is_memory_check_scheduled_ = false; });
}

void DownstreamConnections::CloseIfHoldingMemory(Client& client, Micros now) {
  net::Connection& connection = *client.connection;
  const bool is_receiving = !client.open_request && !connection.IsClosed() && !connection.IsLingering();
  if (!is_receiving || !net::HoldsMemoryTooLong(connection, client.partial_since, now)) return;
  log::Debug("client.partial", {{"client", connection.id}},
             "client {}: sends a request slowly while others wait for its memory", connection.id);
  Linger(client, now);
  connection.Consume(connection.Unread().size());
}

PendingRequest* DownstreamConnections::Find(RequestId id) {
  const auto found = pending_requests_.find(id);
  return found == pending_requests_.end() ? nullptr : &found->second;
}

void DownstreamConnections::WriteLocalReply(Client& client, int status, std::string_view fields,
                                            std::string_view body) {
  client.close_after_response = client.close_after_response || IsDraining(net::Now());
  std::string out = "HTTP/1.1 " + std::to_string(status) + " " + std::string(ReasonPhrase(status)) + "\r\n";
  out.append(fields);
  if (status != 204) out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
  if (client.close_after_response) out.append("Connection: close\r\n");
  client.connection->Write(out.append("\r\n"), body, {});
  client.last_active_at = net::Now();
  if (client.close_after_response) client.connection->ShutdownWhenDrained();
}

std::optional<std::size_t> DownstreamConnections::ForwardBytes(RequestId id, std::string_view bytes) {
  const PendingRequest* const request = Find(id);
  if (request == nullptr) return std::nullopt;
  Client& client = clients_.at(request->connection_id);
  if (!client.connection->Write(bytes)) {
    if (client.connection->IsClosed()) CancelOpenRequest(client);
    return std::nullopt;
  }
  return client.connection->Backlog();
}

std::size_t DownstreamConnections::MaxBacklogBytes() const {
  const std::size_t half_of_budget = response_budget_.MaxBytes() / 2;
  if (response_budget_.UsedBytes() <= half_of_budget) return kMaxBacklogBytes;
  const std::size_t max_clients = config_.limits.sockets / 3;
  return std::clamp(half_of_budget / max_clients, kMinBacklogBytes, kMaxBacklogBytes);
}

std::optional<std::size_t> DownstreamConnections::Backlog(RequestId id) const {
  const auto found = pending_requests_.find(id);
  if (found == pending_requests_.end()) return std::nullopt;
  return clients_.at(found->second.connection_id).connection->Backlog();
}

void DownstreamConnections::CompleteResponse(RequestId id) {
  const PendingRequest* const request = Find(id);
  if (request == nullptr) return;
  Client& client = clients_.at(request->connection_id);
  RemovePending(id);
  client.open_request.reset();
  client.connection->SetCloseOnPeerShutdown(false);
  client.close_after_response = client.close_after_response || IsDraining(net::Now());
  if (client.close_after_response) return client.connection->ShutdownWhenDrained();
  ReadRequests(client);
}

void DownstreamConnections::TruncateResponse(RequestId id) {
  const PendingRequest* const request = Find(id);
  if (request == nullptr) return;
  Client& client = clients_.at(request->connection_id);
  RemovePending(id);
  client.open_request.reset();
  // The client detects the truncation by the missing bytes or the missing last chunk.
  client.close_after_response = true;
  client.connection->ShutdownWhenDrained();
}

void DownstreamConnections::SendLocalReply(RequestId id, int status, std::string_view fields) {
  const PendingRequest* const request = Find(id);
  if (request == nullptr) return;
  Client& client = clients_.at(request->connection_id);
  RemovePending(id);
  client.open_request.reset();
  client.connection->SetCloseOnPeerShutdown(false);
  WriteLocalReply(client, status, fields);
  ReadRequests(client);
}

void DownstreamConnections::OnClosed(net::Connection& connection) {
  CancelOpenRequest(clients_.at(connection.id));
}

void DownstreamConnections::CancelOpenRequest(Client& client) {
  if (client.open_request) {
    events_.push_back(core::ClientDisconnected{*client.open_request});
    RemovePending(*client.open_request);
    client.open_request.reset();
  }
}

bool DownstreamConnections::IsDrained() const {
  return clients_.empty() && !listener_.IsOpen();  // lingering clients are closed after kDrainReadTimeout
}

front::BufferSizes DownstreamConnections::BufferSizes() const {
  front::BufferSizes sizes;
  for (const auto& [id, client] : clients_) sizes.Add(*client.connection);
  return sizes;
}

void DownstreamConnections::EndRound(Micros now) {
  if (listener_.IsOpen() && IsDraining(now)) listener_.CloseAfterAccepting();
  ResumeIntake();
  ShareRequestMemory(now);
  for (auto& [id, client] : clients_) {
    net::Connection& connection = *client.connection;
    if (connection.IsLingering() && IsReceiving(client, now)) client.last_active_at = now;
    CloseIfStalled(client, now);
    EndIfDrained(client, now);
    UpdateIdleState(id, client, now);
  }
  while (const auto id = idle_connections_.NextExpired(now)) {
    if (!LingerIfIdle(clients_.at(*id), now)) idle_connections_.MarkIdle(*id, now);
  }
  for (const std::uint64_t id : closed_) {
    CancelOpenRequest(clients_.at(id));  // whatever closed the connection: no request outlives it
    idle_connections_.Remove(id);
    clients_.erase(id);
  }
  closed_.clear();
}

// Closes a client that takes nothing of its response, or whose linger timeout has expired.
void DownstreamConnections::CloseIfStalled(Client& client, Micros now) {
  net::Connection& connection = *client.connection;
  const Micros linger_timeout = IsDraining(now) ? kDrainReadTimeout : kLingerTimeout;
  const Micros inactive_time = now - client.last_active_at;
  const bool is_stalled = (connection.Backlog() > 0 && !IsReceiving(client, now)) ||
                          (connection.IsLingering() && inactive_time > linger_timeout);
  if (connection.IsClosed() || !is_stalled) return;
  connection.Close();
  CancelOpenRequest(client);
}

// During a shutdown, ends a connection without an open request. A client that sends its request or reads its
// response slowly delays this until `close_by` at the latest.
void DownstreamConnections::EndIfDrained(Client& client, Micros now) {
  net::Connection& connection = *client.connection;
  const bool is_active = client.open_request || connection.Backlog() > 0;
  if (!IsDraining(now) || connection.IsClosed() || connection.IsLingering() || is_active) return;
  if (now >= drain_->close_by) {
    if (!connection.HasPendingInput()) Linger(client, now);
    return;
  }
  const bool is_sending =
      !connection.Unread().empty() && now - connection.LastReceivedAt() < kDrainReadTimeout;
  if (!is_sending) LingerIfIdle(client, now);
}

void DownstreamConnections::UpdateIdleState(std::uint64_t id, Client& client, Micros now) {
  const net::Connection& connection = *client.connection;
  if (connection.IsClosed()) {
    closed_.push_back(id);
  } else if (client.open_request || connection.Backlog() > 0) {
    idle_connections_.MarkActive(id);
  } else if (connection.BytesQueued() != std::exchange(client.last_bytes_queued, connection.BytesQueued())) {
    idle_connections_.MarkIdle(id, now);
  }
}

}  // namespace tinspan::http
