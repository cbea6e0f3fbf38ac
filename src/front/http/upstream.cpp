#include "front/http/upstream.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "log/log.hpp"

namespace tinspan::http {
namespace {

constexpr std::size_t kSlowClient = 256
                                    << 10;  // bytes waiting for a client from which its server is held back

net::ConnectionPoolOptions Rules(const config::Http& config) {
  net::ConnectionPoolOptions rules;
  rules.connect_timeout = config.connect_timeout;
  rules.idle_timeout = config.idle_close * 3 / 4;
  rules.max_streams = 1;
  rules.limits = {.max_read_bytes = 64 << 10, .max_write_bytes = 2 << 20};
  return rules;
}

// What a status proves. Nothing for an answer that is the client's.
std::optional<Outcome> Refusal(int status, bool write, bool only_if_cached) {
  if (only_if_cached && status == 504) return Outcome::kMiss;  // RFC 9111, 5.2.1.7
  // A read that was turned away did no harm in any case; of a write, 503 does not prove that it never ran.
  if (status == 429 || (status == 503 && !write)) return Outcome::kRejected;
  if (status == 401 || status == 403 || status == 407 || status == 408 || status >= 500)
    return Outcome::kError;
  return std::nullopt;
}

// Cache-Status (RFC 9211), the last member: the cache nearest to us.
FillNote Note(std::string_view status) {
  const std::size_t comma = status.rfind(',');
  const std::string_view last = comma == std::string_view::npos ? status : status.substr(comma + 1);
  const auto has = [last](std::string_view word) { return last.find(word) != std::string_view::npos; };
  if (has("; hit") || has(";hit")) return FillNote::kHit;
  if (has("collapsed")) return FillNote::kJoined;
  if (has("fwd=")) return FillNote::kFilled;
  return FillNote::kNone;
}

bool StaysHere(std::string_view name, std::string_view connection) {
  for (const std::string_view own : {"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
                                     "Upgrade", "WWW-Authenticate"}) {
    if (SameName(own, name)) return true;
  }
  return HasToken(connection, name);
}

}  // namespace

Upstream::Upstream(net::EventLoop& loop, const config::Http& config, core::RequestCoordinator& coordinator,
                   Clients& clients, const Signer& signer, std::vector<core::Event>& events)
    : config_(config),
      coordinator_(coordinator),
      clients_(clients),
      signer_(signer),
      events_(events),
      pool_(loop, Rules(config), *this) {}

void Upstream::Execute(Micros now, const core::StartAttempt& command) {
  const auto address = addresses_.find(command.action.server);
  if (clients_.Find(command.action.id) == nullptr || address == addresses_.end()) {
    events_.push_back(core::AttemptCompleted{
        .id = command.action.id, .attempt = command.attempt, .outcome = Outcome::kNotSent});
    return;
  }
  PooledConnection& pooled =
      pool_.Acquire(static_cast<std::uint64_t>(command.action.server), address->second.endpoint, now,
                    [](const PooledConnection& one) { return one.connection.IsOpen() && !one.state.busy; });
  pooled.state = UpstreamConnectionState();
  pooled.state.id = command.action.id;
  pooled.state.attempt = command.attempt;
  pooled.state.busy = true;
  out_[command.action.id] = Out{&pooled, command};
  if (pooled.connection.IsOpen()) {
    Put(now, pooled, command);
  } else {
    pooled.state.waiting = true;
  }
}

void Upstream::Put(Micros now, PooledConnection& pooled, const core::StartAttempt& send) {
  pooled.state.waiting = false;
  const Asked* const asked = clients_.Find(send.action.id);
  const SendAttempt& order = send.action;
  const bool fill = order.source != order.server;
  const auto source = addresses_.find(order.source);
  if (asked == nullptr || (fill && source == addresses_.end()) ||
      !coordinator_.CanSend(now, order.id, send.attempt)) {
    Tell(pooled, {.outcome = Outcome::kNotSent});
    return Free(pooled);
  }
  pooled.state.to_head = asked->method == "HEAD";
  const UnixTime signed_at = net::UnixNow();
  const UnixTime signed_until = signed_at + (order.expires_at - now);
  std::string out = asked->method + " " +
                    (asked->link ? signer_.Link(asked->uri, signed_at, signed_until) : asked->uri) +
                    " HTTP/1.1\r\nHost: " + config_.authority + "\r\nVia: 1.1 " + config_.name + "\r\n";
  if (!asked->link) out += "Authorization: Bearer " + signer_.Token(signed_at, signed_until) + "\r\n";
  std::string control = fill ? "" : "only-if-cached";
  if (order.max_age > Micros{0}) {
    control +=
        (control.empty() ? "" : ", ") + ("max-age=" + std::to_string(order.max_age.count() / 1'000'000));
  }
  if (asked->method != "POST" && !control.empty()) out += "Cache-Control: " + control + "\r\n";
  out += "Tinspan-Fill: keep=" + std::to_string(order.cache_rank);
  if (fill) out += "; source=" + source->second.name;
  for (const auto& [set, word] : {std::pair{order.join_fill, "join"},
                                  {order.source_cached_only, "peek"},
                                  {order.bypass_parent, "pass"},
                                  {order.revalidate, "renew"}}) {
    if (set) out.append("; ").append(word);
  }
  out.append("\r\n").append(asked->fields);
  if (asked->method == "POST") out += "Content-Length: " + std::to_string(asked->body.size()) + "\r\n";
  const bool taken = pooled.connection.Write(out, "\r\n", asked->body);
  pooled.state.written = pooled.connection.BytesQueued();
  if (!taken) Break(pooled, Outcome::kConnectFailed);
}

void Upstream::OnConnectionOpen(PooledConnection& pooled) {
  const auto out = pooled.state.busy ? out_.find(pooled.state.id) : out_.end();
  if (!pooled.state.waiting || out == out_.end()) return;
  const core::StartAttempt send = out->second.send;
  Put(net::Now(), pooled, send);
  if (pooled.state.written > 0) events_.emplace_back(core::AttemptSent{send.action.id, send.attempt});
}

// Ends the exchange towards the core, which may still go on on the wire.
void Upstream::Tell(PooledConnection& pooled, core::AttemptCompleted ended) {
  const auto found = out_.find(pooled.state.id);
  if (found == out_.end() || found->second.pooled != &pooled) return;
  ended.id = pooled.state.id;
  ended.attempt = pooled.state.attempt;
  events_.push_back(ended);
  out_.erase(found);
}

void Upstream::Free(PooledConnection& pooled) {
  const bool keep = pooled.state.keep && !pooled.connection.IsClosed();
  pooled.connection.SetReadPaused(false);
  pooled.state = UpstreamConnectionState{};
  if (!keep) {
    pooled.connection.Close();
    pool_.Retire(pooled);
  }
  pool_.Release(pooled, net::Now());
}

void Upstream::Break(PooledConnection& pooled, Outcome outcome) {
  if (!pooled.state.busy) return;
  failing_.Add(net::Now(), pooled.server);
  Tell(pooled, {.outcome = outcome});
  pooled.state.keep = false;
  Free(pooled);
}

void Upstream::OnConnectionLost(PooledConnection& pooled) {
  // Its end may be in the buffer yet, if the server closes after each answer: looked at once it may be passed
  // on.
  if (pooled.state.headed && !pooled.state.relayed && !pooled.state.discard) return;
  const bool whole = pooled.state.written > 0 && pooled.connection.BytesSent() >= pooled.state.written;
  if (pooled.state.busy) events_.emplace_back(core::ConnectionLost{ServerId{pooled.server}, 1});
  Break(pooled, whole ? Outcome::kReset : Outcome::kConnectFailed);
}

void Upstream::Execute(Micros, const core::AbortAttempt& command) {
  const auto found = out_.find(command.id);
  if (found == out_.end() || found->second.send.attempt != command.attempt) return;
  PooledConnection& pooled = *found->second.pooled;
  out_.erase(found);
  pooled.state.keep = false;  // HTTP/1.1 knows no other way to give a request up
  Free(pooled);
}

void Upstream::Execute(Micros, const core::ForwardResponse& command) {
  const auto found = out_.find(command.id);
  if (found == out_.end() || found->second.send.attempt != command.attempt) return;
  PooledConnection& pooled = *found->second.pooled;
  pooled.state.relayed = true;
  clients_.Pass(command.id, std::exchange(pooled.state.head, {}));
  Pump(pooled);
}

void Upstream::Pump(PooledConnection& pooled) {
  UpstreamConnectionState& state = pooled.state;
  while (true) {
    const std::string_view unread = pooled.connection.Unread();
    if (!state.busy) {
      if (unread.empty() || pooled.connection.IsClosed()) return;
      pooled.connection.Close();  // a server that speaks unasked
      return pool_.Retire(pooled);
    }
    if (!state.headed) {
      if (unread.empty() || !ReadHead(pooled)) return;
      continue;
    }
    if (!state.relayed && !state.discard) return;
    const auto taken = state.body.Take(unread);
    if (!taken) return Break(pooled, Outcome::kReset);
    if (*taken > 0 && state.relayed) {
      const auto backlog = clients_.Pass(state.id, unread.substr(0, *taken));
      if (!backlog) return;  // its client has gone: the core says Stop
      if (*backlog > kSlowClient) {
        state.held = true;
        pooled.connection.SetReadPaused(true);
      }
    }
    pooled.connection.Consume(*taken);
    if (!state.body.IsWhole()) {
      if (*taken > 0) continue;
      if (pooled.connection.IsClosed()) Break(pooled, Outcome::kReset);
      return;
    }
    if (state.relayed) Tell(pooled, {.outcome = Outcome::kServed, .note = state.note});
    return Free(pooled);
  }
}

bool Upstream::ReadHead(PooledConnection& pooled) {
  UpstreamConnectionState& state = pooled.state;
  Head head;
  const int status = ReadResponse(pooled.connection.Unread(), head);
  if (status < 0) return false;
  if (status > 0) {
    Break(pooled, Outcome::kError);
    return false;
  }
  if (head.status < 200) {  // 100 and its like announce the answer
    pooled.connection.Consume(head.length);
    if (head.status != 101) return true;
    Break(pooled, Outcome::kError);
    return false;
  }
  std::uint64_t length = 0;
  const auto framing = ResponseFraming(head, state.to_head, length);
  if (!framing) {  // without an end that shows, a broken answer could not be told from a whole one
    Break(pooled, Outcome::kError);
    return false;
  }
  state.headed = true;
  const std::string_view connection = head.Field("Connection");
  state.keep = !HasToken(connection, "close");
  state.body.Start(*framing, length);
  state.note = Note(head.Field("Cache-Status"));
  Asked* const asked = clients_.Find(state.id);
  const auto out = out_.find(state.id);
  const bool only = out != out_.end() && out->second.send.action.source == out->second.send.action.server;
  const auto refusal = Refusal(head.status, asked != nullptr && asked->method == "POST", only);
  if (refusal || asked == nullptr) {
    if (asked != nullptr) asked->blame = 0;
    // A server that takes our signature for none: an error of ours, not of the client.
    if ((head.status == 401 || head.status == 403) && asked != nullptr) {
      asked->blame = 502;
      log::Error("server.refuses_signature", {{"server", pooled.server}, {"status", head.status}},
                 "server {} at {} refuses our signature with {}", pooled.server, pooled.endpoint.Text(),
                 head.status);
    }
    state.discard = true;
    Tell(pooled, {.outcome = refusal.value_or(Outcome::kError), .note = FillNote::kNone});
    pooled.connection.Consume(head.length);
    return true;
  }
  state.head = "HTTP/1.1 " + std::to_string(head.status) + " \r\n";
  for (const auto& [name, value] : head.fields) {
    if (!StaysHere(name, connection)) state.head.append(name).append(": ").append(value).append("\r\n");
  }
  state.head.append("Via: 1.1 ").append(config_.name).append("\r\n\r\n");
  // Age is in whole seconds, rounded down: the copy may be a second older. Without it the answer comes from
  // the origin (RFC 9111, 5.1).
  const Micros now = net::Now();
  Micros issued = now;
  std::int64_t age = 0;
  const std::string_view told = head.Field("Age");
  if (std::from_chars(told.data(), told.data() + told.size(), age).ec == std::errc{} && age >= 0) {
    issued = now - Micros{(std::min<std::int64_t>(age, 1'000'000'000) + 1) * 1'000'000};
  }
  events_.emplace_back(core::ResponseStarted{.id = state.id, .attempt = state.attempt, .issued_at = issued});
  pooled.connection.Consume(head.length);
  return true;
}

void Upstream::EndRound(Micros now) {
  for (PooledConnection& pooled : pool_.Connections()) {
    UpstreamConnectionState& state = pooled.state;
    if (state.held) {
      const auto backlog = clients_.Backlog(state.id);
      if (backlog && *backlog < kSlowClient / 2) {
        state.held = false;
        pooled.connection.SetReadPaused(false);
        Pump(pooled);
      }
    } else if (state.busy && state.headed && !pooled.connection.IsClosed() &&
               now - pooled.connection.LastActivityAt() > config_.stall) {
      pooled.connection.Close();  // a begun answer that does not move any more
      Break(pooled, Outcome::kReset);
    }
  }
  pool_.Sweep(now);
}

}  // namespace tinspan::http
