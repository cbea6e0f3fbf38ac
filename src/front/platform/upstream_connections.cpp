#include "front/platform/upstream_connections.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "front/platform/fields.hpp"
#include "log/log.hpp"

namespace tinspan::platform {
namespace {

constexpr std::size_t kMostLine = 4096;
constexpr std::size_t kMostBody = 512 << 10;  // an object holds 240,000 bytes at most
constexpr std::size_t kMostBurnt = 2048;  // after so many ids that it may not carry a connection is replaced
constexpr std::size_t kSpread = 4;        // requests on one connection before another is opened
constexpr Micros kWatch{25'000};
// Without a byte in the middle of an answer. A packet lost once comes again after 200 ms.
constexpr Micros kStall{250'000};
// For an answer, its own sending time apart, where its server speaks on another connection: what answers take
// lately, within these bounds.
constexpr Micros kPatience{200'000};
constexpr Micros kMostPatience{2'000'000};
constexpr std::int64_t kMostMillis = 4'000'000'000'000;  // of a Unix time
constexpr std::size_t kMalformed = std::string_view::npos;

// In the order of the module's notes from kHit on; those that the platform does not tell are empty.
constexpr std::array<std::pair<std::string_view, FillNote>, 4> kNotes{{{"local", FillNote::kHit},
                                                                       {"pulled", FillNote::kFilled},
                                                                       {"rode", FillNote::kJoined},
                                                                       {"expired", FillNote::kStaleHit}}};

struct Word {
  std::string_view text;
  Outcome outcome;
};
// What each answer proves: BUSY, MISS and VOID never ran, ERR may have.
constexpr std::array<Word, 6> kWords{{{"OK", Outcome::kServed},
                                      {"SAME", Outcome::kServed},
                                      {"MISS", Outcome::kMiss},
                                      {"BUSY", Outcome::kRejected},
                                      {"ERR", Outcome::kError},
                                      {"VOID", Outcome::kNotSent}}};

net::ConnectionPoolOptions Rules(const config::Platform& config) {
  net::ConnectionPoolOptions rules;
  rules.connect_timeout = config.connect_timeout;
  rules.idle_timeout = config.idle_close * 3 / 4;  // before the server does
  rules.max_streams = config.exchanges;
  rules.preferred_streams = kSpread;
  rules.max_connections = config.limits.ServerSockets();
  rules.limits = {.max_read_bytes = 64 << 10,
                  .max_write_bytes = std::min<std::size_t>(4 << 20, config.limits.memory_mb << 17)};
  return rules;
}

std::string RequestLine(Micros now, const Asked& asked, const core::StartAttempt& send,
                        const std::string& source) {
  const auto millis = [](Micros time) {
    return std::to_string(std::max<std::int64_t>(1, time.count() / 1000));
  };
  const SendAttempt& order = send.action;
  std::string line = "REQ " + asked.ref + " queue=" + asked.class_name;
  const auto add = [&line](std::string_view name, std::string_view value) {
    if (!value.empty()) line.append(",").append(name).append("=").append(value);
  };
  add("path", asked.object);
  add("blk", asked.part);
  add("budget", millis(order.expires_at - now));
  add("uniq", asked.key);
  add("miss", source);
  if (order.cache_rank > 0) add("prio", std::to_string(order.cache_rank));
  if (order.max_age > Micros{0}) add("within", millis(order.max_age));
  std::string how;
  for (const auto& [set, word] : {std::pair{order.join_fill, "share"},
                                  {order.source_cached_only, "peek"},
                                  {order.bypass_parent, "pass"},
                                  {order.revalidate, "swr"}}) {
    if (set) how.append(how.empty() ? "" : "+").append(word);
  }
  add("f", how);
  add("mine", asked.cached);
  line.append(" ").append(std::to_string(asked.body.size())).append("\r\n");
  return line;
}

}  // namespace

UpstreamConnections::UpstreamConnections(net::EventLoop& loop, const config::Platform& config,
                                         core::RequestCoordinator& coordinator,
                                         const DownstreamConnections& clients,
                                         std::vector<core::Event>& events)
    : config_(config),
      coordinator_(coordinator),
      clients_(clients),
      events_(events),
      loop_(loop),
      response_timeout_(kPatience, kMostPatience),
      pool_(loop, Rules(config), *this) {}

void UpstreamConnections::Know(ServerId id, Address address) { addresses_[id] = std::move(address); }

void UpstreamConnections::Forsake(ServerId id) {
  pool_.RetireServer(static_cast<std::uint64_t>(id));
  addresses_.erase(id);  // over a long day many come and go
}

void UpstreamConnections::ForsakeAllBut(const std::unordered_set<ServerId>& named) {
  std::vector<ServerId> gone;
  for (const auto& [id, address] : addresses_) {
    if (!named.contains(id)) gone.push_back(id);
  }
  for (const ServerId id : gone) Forsake(id);
}

void UpstreamConnections::Execute(Micros now, const core::StartAttempt& command) {
  const RequestId id = command.action.id;
  const Asked* const asked = clients_.Find(id);
  const auto address = addresses_.find(command.action.server);
  if (asked == nullptr || address == addresses_.end()) {
    events_.push_back(
        core::AttemptCompleted{.id = id, .attempt = command.attempt, .outcome = Outcome::kNotSent});
    return;
  }
  Place(now, *asked, Out{nullptr, command});
}

void UpstreamConnections::Place(Micros now, const Asked& asked, Out out) {
  const RequestId id = out.send.action.id;
  const auto address = addresses_.find(out.send.action.server);
  PooledConnection& pooled =
      pool_.Acquire(static_cast<std::uint64_t>(out.send.action.server), address->second.endpoint, now,
                    [&](const PooledConnection& one) {
                      return !one.state.open.contains(asked.ref) && !one.state.burnt.contains(asked.ref);
                    });
  if (held_) pooled.connection.SetReadPaused(true);
  out.pooled = &pooled;
  const double pace = config_.site.settings.transfer_rate_kb_per_s;
  const auto sending = Micros{static_cast<std::int64_t>(pace > 0 ? asked.size_kb / pace * 1e6 : 0)};
  pooled.state.open[asked.ref] = {id, out.send.attempt, 0, now, 2 * sending};
  out_[id] = std::move(out);
  if (pooled.connection.IsOpen()) {
    due_.push_back({&pooled, asked.ref, false});
  } else {
    pooled.state.waiting.push_back(asked.ref);
  }
}

void UpstreamConnections::WriteDue(Micros now) {
  for (std::size_t i = 0; i < due_.size(); ++i) {  // one that takes nothing in may add to them
    const Due due = due_[i];
    const auto found = due.pooled->state.open.find(due.ref);
    if (found == due.pooled->state.open.end() || found->second.written > 0)
      continue;  // stopped, or out already
    const auto out = out_.find(found->second.id);
    if (out == out_.end()) continue;
    // Behind bytes that the socket does not take yet it would go out who knows when: after a drain, a purge,
    // its key's window. It waits here, where it is asked about again.
    if (due.pooled->connection.Backlog() > 0) {
      due.pooled->state.waiting.push_back(due.ref);
      continue;
    }
    const core::StartAttempt send = out->second.send;
    Put(now, *due.pooled, due.ref, send);
    if (due.waited) events_.emplace_back(core::AttemptSent{send.action.id, send.attempt});
  }
  due_.clear();
}

// Writes a request, unless what has happened since the decision forbids it.
void UpstreamConnections::Put(Micros now, PooledConnection& pooled, const std::string& ref,
                              const core::StartAttempt& send) {
  const RequestId id = send.action.id;
  const Asked* const asked = clients_.Find(id);
  const bool fill = send.action.source != send.action.server;
  const auto filler = addresses_.find(send.action.source);
  if (asked == nullptr || (fill && filler == addresses_.end()) ||
      !coordinator_.CanSend(now, id, send.attempt)) {
    return End(id, pooled, {.outcome = Outcome::kNotSent});
  }
  const std::string source = fill ? filler->second.name : std::string();
  const bool taken = pooled.connection.Write(RequestLine(now, *asked, send, source), asked->body, "\r\n");
  pooled.state.open[ref].written = pooled.connection.BytesQueued();
  if (!taken) Lose(pooled, "takes nothing in");  // none of this reached it whole
}

void UpstreamConnections::OnConnectionOpen(PooledConnection& pooled) {
  pooled.state.up = true;
  OnConnectionDrained(pooled);
}

void UpstreamConnections::OnConnectionDrained(PooledConnection& pooled) {
  for (std::string& ref : std::exchange(pooled.state.waiting, {}))
    due_.push_back({&pooled, std::move(ref), true});
}

void UpstreamConnections::Execute(Micros now, const core::AbortAttempt& command) {
  const auto found = out_.find(command.id);
  if (found == out_.end() || found->second.send.attempt != command.attempt) return;
  PooledConnection& pooled = *found->second.pooled;
  out_.erase(found);
  const auto open = std::find_if(pooled.state.open.begin(), pooled.state.open.end(),
                                 [&](const auto& entry) { return entry.second.id == command.id; });
  if (open == pooled.state.open.end()) return;
  const bool written = open->second.written > 0;
  if (written) {
    pooled.connection.Write("STOP " + open->first + "\r\n");
    Burn(pooled, open->first);
  } else {
    // Asked again on this connection before it is up, it would wait there twice and go out twice.
    std::erase(pooled.state.waiting, open->first);
  }
  pooled.state.open.erase(open);
  pool_.Release(pooled, now);
  // A STOP that the socket does not take would come after the next attempt, elsewhere, has begun: a second
  // copy. So would the rest of the request itself.
  if (written && pooled.connection.Backlog() > 0) Lose(pooled, "takes no STOP");
}

void UpstreamConnections::Burn(PooledConnection& pooled, const std::string& ref) {
  pooled.state.burnt.insert(ref);
  if (pooled.state.burnt.size() > kMostBurnt) pool_.Retire(pooled);
}

// An exchange is over on the wire: the core is told.
void UpstreamConnections::End(RequestId id, PooledConnection& pooled, core::AttemptCompleted ended) {
  const auto found = out_.find(id);
  if (found == out_.end()) return;
  ended.id = id;
  ended.attempt = found->second.send.attempt;
  events_.push_back(ended);
  out_.erase(found);
  std::erase_if(pooled.state.open, [id](const auto& entry) { return entry.second.id == id; });
  pool_.Release(pooled, net::Now());
}

void UpstreamConnections::Lose(PooledConnection& pooled, std::string_view why) {
  const std::string at = pooled.endpoint.Text();
  log::Warn("server.connection_closed", {{"server", pooled.server}, {"address", at}, {"reason", why}},
            "server {} at {}: {}, connection closed", pooled.server, at, why);
  // What is open may be asked for again at once, and may overtake the close: it is given up in so many words.
  for (const auto& [ref, exchange] : pooled.state.open) {
    if (exchange.written > 0) pooled.connection.Write("STOP " + ref + "\r\n");
  }
  pooled.connection.Backlog() > 0 ? pooled.connection.Abort() : pooled.connection.Close();
  pooled.is_retired = true;
  OnConnectionLost(pooled);
}

void UpstreamConnections::OnConnectionLost(PooledConnection& pooled) {
  const auto open = std::exchange(pooled.state.open, {});
  pooled.state.waiting.clear();
  if (!open.empty() && !pooled.connection.FailedLocally()) {
    log::Debug("server.connection_lost", {{"server", pooled.server}, {"open", open.size()}},
               "server {} at {}: connection lost with {} open", pooled.server, pooled.endpoint.Text(),
               open.size());
    events_.emplace_back(core::ConnectionLost{ServerId{pooled.server}, open.size()});
  }
  const Micros now = net::Now();
  // No descriptor was left: that is ours to answer for, and says nothing of the server.
  const bool unmade = pooled.connection.FailedLocally();
  if (!open.empty() && !unmade) failing_.Add(now, pooled.server);
  for (const auto& [ref, exchange] : open) {
    // Not all bytes taken by the socket, or never connected: it cannot have reached the server whole.
    const bool whole = exchange.written > 0 && pooled.connection.BytesSent() >= exchange.written;
    const auto out = out_.find(exchange.id);
    const Asked* const asked = clients_.Find(exchange.id);
    // A connection that had been up and broke says little of its server: what was not out goes on another.
    if (!whole && pooled.state.up && out != out_.end() && !out->second.moved && asked != nullptr &&
        addresses_.contains(out->second.send.action.server)) {
      Out again = out->second;
      again.moved = true;
      pool_.Release(pooled, now);
      Place(now, *asked, std::move(again));
    } else {
      End(exchange.id, pooled,
          {.outcome = whole    ? Outcome::kReset
                      : unmade ? Outcome::kNotSent
                               : Outcome::kConnectFailed});
    }
  }
}

void UpstreamConnections::Watch(Micros now) {
  if (held_ || (watch_ && now < *watch_)) return;
  watch_ = now + kWatch;
  std::unordered_map<std::uint64_t, Micros> heard;  // by server, on any connection
  for (const PooledConnection& pooled : pool_.Connections()) {
    Micros& last = heard[pooled.server];
    last = std::max(last, pooled.connection.LastReceivedAt());
  }
  for (PooledConnection& pooled : pool_.Connections()) {
    if (!pooled.connection.IsOpen()) continue;
    if (!pooled.connection.Unread().empty() && now - pooled.connection.LastActivityAt() > kStall) {
      Lose(pooled, "an answer that stalls");
      continue;
    }
    // Nothing comes here while the server speaks elsewhere: an answer that never comes, and what is behind it
    // does not come either. One alone may be slow, so it is given more time.
    const Micros silent = pooled.SilentSince();
    if (silent == Micros{0} || heard[pooled.server] <= silent) continue;
    std::size_t overdue = 0;
    bool long_overdue = false;
    for (const auto& [ref, exchange] : pooled.state.open) {
      const Micros waits = now - std::max(exchange.at, silent);
      const Micros patience = response_timeout_.Timeout() + exchange.sending;
      overdue += waits > patience ? 1 : 0;
      long_overdue = long_overdue || waits > 4 * patience;
    }
    if (overdue >= 2 || long_overdue) Lose(pooled, "silent while others of it are not");
  }
  loop_.Timers().Set(*watch_, [](Micros) {});  // the round that follows looks again
}

void UpstreamConnections::OnConnectionData(PooledConnection& pooled) {
  while (!pooled.connection.IsClosed()) {
    const std::string_view unread = pooled.connection.Unread().substr(pooled.state.consume);
    if (unread.empty()) return;
    const std::size_t used = Take(pooled, unread);
    if (used == 0) return;
    if (used == kMalformed) {
      return Lose(pooled, "an answer that cannot be read");
    }
    pooled.state.consume += used;
  }
}

std::size_t UpstreamConnections::Take(PooledConnection& pooled, std::string_view unread) {
  if (unread.starts_with("\r\n")) return 2;
  if (unread == "\r") return 0;
  const std::size_t end = unread.find("\r\n");
  if (end == std::string_view::npos) return unread.size() > kMostLine ? kMalformed : 0;
  std::array<std::string_view, 4> words;
  std::string_view rest = unread.substr(0, end);
  for (std::size_t i = 0; i < 4; ++i) {
    const std::size_t space = i < 3 ? rest.find(' ') : std::string_view::npos;
    words[i] = rest.substr(0, space);
    if (space == std::string_view::npos) {
      if (i < 3) return kMalformed;
      break;
    }
    rest.remove_prefix(space + 1);
  }
  const auto length = ReadNumber<std::uint32_t>(words[3]);
  if (!length || *length > kMostBody) return kMalformed;
  const std::size_t whole = end + 2 + *length + 2;
  if (unread.size() < whole) {
    pooled.connection.ExpectMessage(pooled.state.consume + whole);
    return 0;
  }
  if (unread.substr(whole - 2, 2) != "\r\n") return kMalformed;

  const std::string ref(words[0]);
  const auto found = pooled.state.open.find(ref);
  if (found == pooled.state.open.end()) {
    Burn(pooled, ref);  // given up before, or nobody asked: dropped
    return whole;
  }
  // It has not been asked yet.
  if (found->second.written == 0 || pooled.connection.BytesSent() < found->second.written) return kMalformed;
  const RequestId id = found->second.id;
  const Micros took = net::Now() - found->second.at - found->second.sending;
  core::AttemptCompleted ended;
  const auto word = std::find_if(kWords.begin(), kWords.end(), [&](auto& w) { return w.text == words[1]; });
  if (word == kWords.end()) return kMalformed;
  ended.outcome = word->outcome;
  std::string_view report, entity;
  const bool good = EachField(words[2], [&](std::string_view name, std::string_view value) {
    if (name == "detail") {
      const auto note = std::find_if(kNotes.begin(), kNotes.end(), [&](auto& n) { return n.first == value; });
      if (note != kNotes.end()) ended.note = note->second;
    } else if (name == "issued") {
      const auto at = ReadNumber<std::int64_t>(value);
      if (at && *at >= 0 && *at < kMostMillis) ended.issued_at = Micros{*at * 1000};
    } else if (name == "use") {
      report = value;
    } else if (name == "entity") {
      entity = value;
    }
  });
  if (!good) return kMalformed;
  try {
    ended.load = ReadLoad(report, ';');
  } catch (const tinspan::Malformed&) {
    return kMalformed;
  }
  response_timeout_.AddSample(took);
  const bool same = word->text == "SAME";
  const Asked* const asked = clients_.Find(id);
  // A client's copy is current only where the server has named that very copy.
  if (same && (asked == nullptr || asked->cached.empty() || entity != asked->cached)) {
    log::Warn("server.names_another_copy", {{"server", pooled.server}},
              "server {}: an answer that names a copy which its client does not hold", pooled.server);
    ended.outcome = Outcome::kError;
  }
  if (ended.outcome == Outcome::kServed) {
    served_[id] = Served{same, unread.substr(end + 2, *length)};
  } else {
    Burn(pooled, ref);
  }
  End(id, pooled, ended);
  return whole;
}

const UpstreamConnections::Served* UpstreamConnections::Answer(RequestId id) const {
  const auto found = served_.find(id);
  return found == served_.end() ? nullptr : &found->second;
}

void UpstreamConnections::SetReadPaused(bool hold) {
  if (held_ == hold) return;
  held_ = hold;
  for (PooledConnection& pooled : pool_.Connections()) pooled.connection.SetReadPaused(hold);
}

void UpstreamConnections::EndRound(Micros now) {
  served_.clear();
  for (PooledConnection& pooled : pool_.Connections()) {
    if (pooled.state.consume > 0) pooled.connection.Consume(std::exchange(pooled.state.consume, 0));
  }
  if (!out_.empty()) Watch(now);
  WriteDue(now);
  pool_.Sweep(now);
}

}  // namespace tinspan::platform
