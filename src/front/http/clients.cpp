#include "front/http/clients.hpp"

#include <simdjson.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "log/log.hpp"
#include "setup/text.hpp"

namespace tinspan::http {
namespace {

// A newcomer has so long for its first request, one that has its answer for the next; bytes that trickle in
// do not prolong it.
constexpr Micros kFirst{10'000'000};
constexpr Micros kIdle{30'000'000};
constexpr Micros kLinger{2'000'000};  // for a client to read a last answer and close
constexpr Micros kRest{300'000};  // for the rest of a request that has begun to come when the gateway stops
constexpr std::size_t kMostPassedOver = 8;  // idle ones looked at for a newcomer's place
constexpr std::string_view kOperatorPrefix = "/-/";

std::string_view Reason(int status) {
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

// What ends at the gateway: the connection's own fields, the client's signature, which speaks to us alone,
// and what the gateway words anew.
bool EndsHere(std::string_view name, std::string_view connection) {
  // A Referer may carry a signed link.
  constexpr std::array<std::string_view, 15> kNames{
      "Referer", "Connection", "Keep-Alive",   "Proxy-Connection", "Proxy-Authorization", "TE",
      "Trailer", "Upgrade",    "Host",         "Authorization",    "Content-Length",      "Transfer-Encoding",
      "Expect",  "Via",        "Cache-Control"};
  return std::any_of(kNames.begin(), kNames.end(), [&](auto& one) { return SameName(one, name); }) ||
         SameName(name, "Tinspan-Fill") || HasToken(connection, name);
}

}  // namespace

ObjectId ObjectOf(std::string_view uri) {
  return ObjectId{std::max<std::uint64_t>(1, static_cast<std::uint64_t>(HashName(uri)))};  // 0 is no object
}
GroupId GroupOf(std::string_view segment) { return GroupId{static_cast<std::uint64_t>(HashName(segment))}; }

Clients::Clients(net::EventLoop& loop, const config::Http& config, core::RequestCoordinator& coordinator,
                 Access& access, std::vector<core::Event>& events)
    : loop_(loop),
      config_(config),
      coordinator_(coordinator),
      access_(access),
      events_(events),
      idle_connections_({.max_connections = config.limits.sockets / 3,
                         .first_request_timeout = kFirst,
                         .idle_timeout = kIdle}),
      listener_(loop, config.listen, [this](net::Fd fd) { Accept(std::move(fd)); }) {}

void Clients::Accept(net::Fd fd) {
  if (idle_connections_.IsFull() && !MakeRoom()) {
    log::Warn("client.turned_away", {{"connections", clients_.size()}},
              "client turned away: {} connections, none of them idle", clients_.size());
    return;
  }
  const std::uint64_t id = ++last_;
  Client& client = clients_[id];
  const net::Connection::Limits limits{.max_read_bytes = kMostHead + config_.most_body + 4,
                                       .max_write_bytes = 4 << 20};
  client.connection = std::make_unique<net::Connection>(loop_, std::move(fd), *this, limits);
  client.connection->id = id;
  client.used = net::Now();
  idle_connections_.OnAccepted(id, client.used);
}

// Lets one go that asks for nothing, passing over those whose request has just arrived.
bool Clients::MakeRoom() {
  std::vector<std::uint64_t> asking;
  bool made = false;
  while (!made && asking.size() < kMostPassedOver) {
    const auto spare = idle_connections_.EvictCandidate(net::Now());
    if (!spare) break;
    made = LetGo(clients_.at(*spare));
    if (!made) asking.push_back(*spare);
    // Not too many are heard out at once: each still holds its descriptor.
    const config::Limits& limits = config_.limits;
    if (made && clients_.size() >= limits.sockets / 3 + limits.PartingSockets())
      clients_.at(*spare).connection->Close();
  }
  for (const std::uint64_t id : asking) idle_connections_.MarkIdle(id, net::Now());
  return made;
}

// Our side is ended and the client heard out (kLinger): a close over what crosses it is a reset. False: a
// request has just arrived.
bool Clients::LetGo(Client& client) {
  if (client.connection->HasPendingInput()) return false;
  client.used = net::Now();
  client.last = true;
  client.connection->ShutdownWhenDrained();
  return true;
}

void Clients::OnData(net::Connection& connection) {
  Client& client = clients_.at(connection.id);
  client.used = connection.LastActivityAt();
  Read(client);
}

// Requests of one connection are answered in turn: the next is read once the one before is over.
void Clients::Read(Client& client) {
  while (!client.connection->IsClosed() && !client.open && !client.last && ReadOne(client)) {
  }
}

bool Clients::ReadOne(Client& client) {
  const std::string_view unread = client.connection->Unread();
  if (unread.empty()) return false;
  Head head;
  int status = ReadRequest(unread, head);
  if (status < 0) return false;
  std::uint64_t length = 0;
  if (status == 0) RequestFraming(head, length, status);
  if (status == 0 && length > config_.most_body) status = 413;
  const std::string_view expect = status == 0 ? head.Field("Expect") : std::string_view();
  if (!expect.empty() && !SameName(expect, "100-continue")) status = 417;
  if (status != 0) {  // where it ends is not known, or not worth reading: the connection ends with it
    log::Info("client.unreadable", {{"client", client.connection->id}, {"status", status}},
              "client {}: request refused with {}", client.connection->id, status);
    client.last = true;
    Reply(client, status, "");
    return false;
  }
  if (unread.size() < head.length + length) {
    if (!expect.empty() && !std::exchange(client.continued, true)) {
      client.connection->Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return false;
  }
  client.continued = false;
  client.last = HasToken(head.Field("Connection"), "close");
  std::string fields;
  status = Handle(client, head, unread.substr(head.length, length), fields);
  client.connection->Consume(head.length + length);
  if (status != 0) Reply(client, status, fields, std::exchange(body_, {}));
  return true;
}

int Clients::Handle(Client& client, const Head& head, std::string_view body, std::string& fields) {
  const UnixTime now = net::UnixNow();
  std::string_view text = head.target;
  for (const std::string_view scheme : {"http://", "https://"}) {  // absolute form
    if (!text.starts_with(scheme)) continue;
    const std::size_t slash = text.find('/', scheme.size());
    if (text.substr(scheme.size(), slash - scheme.size()) != head.Field("Host")) return 400;
    text = slash == std::string_view::npos ? "/" : text.substr(slash);
  }
  const auto target = ReadTarget(text);
  if (!target || head.Count("Authorization") > 1) return 400;
  if (target->path.starts_with(kOperatorPrefix)) return Operator(head, *target, body, fields);
  if (!SameName(head.Field("Host"), config_.authority)) return 421;

  const auto route = std::find_if(
      config_.routes.begin(), config_.routes.end(),
      [&](const config::Route& one) { return !one.prefix.empty() && target->path.starts_with(one.prefix); });
  if (route == config_.routes.end()) return 404;
  const std::size_t place = static_cast<std::size_t>(route - config_.routes.begin());
  const ClassSettings& settings = config_.site.settings.classes[place];
  const bool reads = head.method == "GET" || head.method == "HEAD";
  if (settings.is_write ? head.method != "POST" : !reads) {
    fields = settings.is_write ? "Allow: POST\r\n" : "Allow: GET, HEAD\r\n";
    return 405;
  }
  if (const int status = Judge(route->access, head, *target, now, fields)) return status;
  const std::string_view key = head.Field("Idempotency-Key");
  if (settings.effect == Effect::kIdempotencyKey && (key.empty() || head.Count("Idempotency-Key") > 1))
    return 400;

  Asked asked;
  asked.connection = client.connection->id;
  asked.method = head.method;
  asked.uri = target->Uri();
  asked.body = body;
  asked.link = !settings.is_write &&
               (route->access == config::Carrier::kLink || route->access == config::Carrier::kEither);
  const std::string_view connection = head.Field("Connection");
  for (const auto& [name, value] : head.fields) {
    if (!EndsHere(name, connection)) asked.fields.append(name).append(": ").append(value).append("\r\n");
  }
  core::RequestReceived came;
  came.id = coordinator_.NextRequestId();
  came.time_left = settings.deadline;
  came.class_id = ClassId{static_cast<std::uint32_t>(place)};
  came.object = ObjectOf(asked.uri);
  const std::string_view rest = std::string_view(target->path).substr(route->prefix.size());
  came.group = GroupOf(rest.substr(0, rest.find('/')));
  client.open = came.id;
  client.connection->SetCloseOnPeerShutdown(
      true);  // who leaves while a request is open is gone, whatever is unread
  asked_.emplace(came.id, std::move(asked));
  events_.push_back(came);
  return 0;
}

int Clients::Judge(config::Carrier access, const Head& head, const Target& target, UnixTime now,
                   std::string& fields) const {
  using config::Carrier;
  if (access == Carrier::kOpen) return 0;
  if (access == Carrier::kLink || (access == Carrier::kEither && !target.package.empty())) {
    return access_.LinkHolds(target, now) ? 0 : 403;
  }
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view given = head.Field("Authorization");
  const bool bearer = given.size() > kScheme.size() && SameName(given.substr(0, kScheme.size()), kScheme);
  if (bearer && access_.TokenHolds(given.substr(kScheme.size()), now)) return 0;
  fields = "WWW-Authenticate: Bearer realm=\"" + config_.audience + "\"" +
           (bearer ? ", error=\"invalid_token\"" : "") + "\r\n";
  return 401;
}

// /-/healthy for whoever watches the gateway; /-/purge for operators, with a token of their own.
int Clients::Operator(const Head& head, const Target& target, std::string_view body, std::string& fields) {
  if (target.path == "/-/healthy") return ready_ && !Stopping(net::Now()) ? 200 : 503;
  const bool records = target.path == "/-/records" && feed_ != nullptr;
  if ((target.path != "/-/purge" && !records) || config_.operator_token.empty()) return 404;
  if (!SameSecret(head.Field("Authorization"), "Bearer " + config_.operator_token)) {
    fields = "WWW-Authenticate: Bearer realm=\"operator\"\r\n";
    return 401;
  }
  if (records) return Records(head, target, fields);
  if (head.method != "POST") {
    fields = "Allow: POST\r\n";
    return 405;
  }
  simdjson::dom::parser parser;
  simdjson::dom::element json;
  std::string_view text;
  if (parser.parse(simdjson::padded_string(body)).get(json) != simdjson::SUCCESS) return 400;
  core::PurgeReceived told;
  told.purged_at = net::Now();
  if (json["object"].get(text) == simdjson::SUCCESS) {
    const auto object = ReadTarget(text);
    if (!object) return 400;
    told.object = ObjectOf(object->Uri());
  } else if (json["group"].get(text) == simdjson::SUCCESS && !text.empty()) {
    told.group = GroupOf(text);
  } else {
    return 400;
  }
  const std::string_view what = told.object ? "object" : "group";
  // An object is named by path and query: queries stay out of the log.
  const std::string_view shown = text.substr(0, text.find('?'));
  log::Info("purge.told", {{"what", what}, {"name", shown}}, "operator purges {} {}", what, shown);
  events_.push_back(told);
  if (purged_) purged_(told);
  return 204;
}

// What has been recorded since `offset`; Tinspan-Next is the one to ask from next.
int Clients::Records(const Head& head, const Target& target, std::string& fields) {
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
  body_ = feed_->Since(offset);
  fields = "Content-Type: application/octet-stream\r\nCache-Control: no-store\r\nTinspan-Next: " +
           std::to_string(offset) + "\r\n";
  return 200;
}

Asked* Clients::Find(RequestId id) {
  const auto found = asked_.find(id);
  return found == asked_.end() ? nullptr : &found->second;
}

void Clients::Reply(Client& client, int status, std::string_view fields, std::string_view body) {
  client.last = client.last || Stopping(net::Now());
  std::string out = "HTTP/1.1 " + std::to_string(status) + " " + std::string(Reason(status)) + "\r\n";
  out.append(fields);
  if (status != 204) out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
  if (client.last) out.append("Connection: close\r\n");
  client.connection->Write(out.append("\r\n"), body, {});
  client.used = net::Now();
  if (client.last) client.connection->ShutdownWhenDrained();
}

std::optional<std::size_t> Clients::Pass(RequestId id, std::string_view bytes) {
  const Asked* const asked = Find(id);
  if (asked == nullptr) return std::nullopt;
  Client& client = clients_.at(asked->connection);
  if (!client.connection->Write(bytes)) {
    if (client.connection->IsClosed()) Leave(client);
    return std::nullopt;
  }
  return client.connection->Backlog();
}

std::optional<std::size_t> Clients::Backlog(RequestId id) const {
  const auto found = asked_.find(id);
  if (found == asked_.end()) return std::nullopt;
  return clients_.at(found->second.connection).connection->Backlog();
}

void Clients::Served(RequestId id) {
  const Asked* const asked = Find(id);
  if (asked == nullptr) return;
  Client& client = clients_.at(asked->connection);
  asked_.erase(id);
  client.open.reset();
  client.connection->SetCloseOnPeerShutdown(false);
  client.last = client.last || Stopping(net::Now());
  if (client.last) return client.connection->ShutdownWhenDrained();
  Read(client);
}

void Clients::Broken(RequestId id) {
  const Asked* const asked = Find(id);
  if (asked == nullptr) return;
  Client& client = clients_.at(asked->connection);
  asked_.erase(id);
  client.open.reset();
  // Short of its length or its last chunk, the answer is seen as broken.
  client.last = true;
  client.connection->ShutdownWhenDrained();
}

void Clients::Answer(RequestId id, int status, std::string_view fields) {
  const Asked* const asked = Find(id);
  if (asked == nullptr) return;
  Client& client = clients_.at(asked->connection);
  asked_.erase(id);
  client.open.reset();
  client.connection->SetCloseOnPeerShutdown(false);
  Reply(client, status, fields);
  Read(client);
}

void Clients::OnClosed(net::Connection& connection) { Leave(clients_.at(connection.id)); }

void Clients::Leave(Client& client) {
  if (client.open) {
    events_.push_back(core::ClientDisconnected{*client.open});
    asked_.erase(*client.open);
    client.open.reset();
  }
}

bool Clients::IsDrained() const {
  return clients_.empty() && !listener_.IsOpen();  // those that linger have kRest at most then
}

void Clients::EndRound(Micros now) {
  if (listener_.IsOpen() && Stopping(now)) listener_.CloseAfterAccepting();
  for (auto& [id, client] : clients_) {
    net::Connection& connection = *client.connection;
    if (connection.BytesSent() != std::exchange(client.sent, connection.BytesSent())) client.used = now;
    const bool stuck = (connection.Backlog() > 0 && now - client.used > config_.stall) ||
                       (connection.IsLingering() && now - client.used > (Stopping(now) ? kRest : kLinger));
    const bool busy = client.open || connection.Backlog() > 0;
    if (!connection.IsClosed() && stuck) {
      connection.Close();
      Leave(client);
    }
    // Bytes that trickle in do not hold the process up.
    const bool coming = !connection.Unread().empty() && now - connection.LastReceivedAt() < kRest &&
                        !(drain_ && now >= drain_->close_by);
    if (!connection.IsClosed() && !connection.IsLingering() && !busy && !coming && Stopping(now))
      LetGo(client);
    if (connection.IsClosed()) {
      closed_.push_back(id);
    } else if (busy) {
      idle_connections_.MarkActive(id);
    } else if (connection.BytesQueued() != std::exchange(client.told, connection.BytesQueued())) {
      idle_connections_.MarkIdle(id, now);
    }
  }
  while (const auto id = idle_connections_.NextExpired(now)) {
    if (!LetGo(clients_.at(*id))) idle_connections_.MarkIdle(*id, now);
  }
  for (const std::uint64_t id : closed_) idle_connections_.Remove(id);
  for (const std::uint64_t id : closed_) clients_.erase(id);
  closed_.clear();
}

}  // namespace tinspan::http
