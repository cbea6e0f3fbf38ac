#include "front/platform/cache_side.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <utility>

#include "front/platform/fields.hpp"

namespace tinspan::platform {
namespace {

constexpr std::size_t kMostLine = 4096;
constexpr std::size_t kMostBody = 512 << 10;  // an object holds 240,000 bytes at most
constexpr std::size_t kMostStopped = 4096;    // after so many given up on it a connection is replaced
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
                                      {"BUSY", Outcome::kFull},
                                      {"ERR", Outcome::kError},
                                      {"VOID", Outcome::kNotSent}}};

net::PoolRules Rules(const config::Platform& config) {
  net::PoolRules rules;
  rules.connect_timeout = config.connect_timeout;
  rules.idle_close = config.idle_close * 3 / 4;  // before the server does
  rules.exchanges = config.exchanges;
  rules.limits = {.read = 256 << 10, .write = 4 << 20};
  return rules;
}

std::string RequestLine(Micros now, const Asked& asked, const core::Send& send, const std::string& source) {
  const auto millis = [](Micros time) {
    return std::to_string(std::max<std::int64_t>(1, time.count() / 1000));
  };
  const SendAttempt& order = send.order;
  std::string line = "REQ " + asked.ref + " queue=" + asked.class_name;
  const auto add = [&line](std::string_view name, std::string_view value) {
    if (!value.empty()) line.append(",").append(name).append("=").append(value);
  };
  add("path", asked.object);
  add("blk", asked.part);
  add("budget", millis(order.give_up_at - now));
  add("uniq", asked.key);
  add("miss", source);
  if (order.keep > 0) add("prio", std::to_string(order.keep));
  if (order.max_age > Micros{0}) add("within", millis(order.max_age));
  std::string how;
  for (const auto& [set, word] : {std::pair{order.join, "share"},
                                  {order.source_holds, "peek"},
                                  {order.pass_parent, "pass"},
                                  {order.renew, "swr"}}) {
    if (set) how.append(how.empty() ? "" : "+").append(word);
  }
  add("f", how);
  add("mine", asked.cached);
  line.append(" ").append(std::to_string(asked.body.size())).append("\r\n");
  return line;
}

}  // namespace

CacheSide::CacheSide(net::EventLoop& loop, const config::Platform& config, core::Gateway& gateway,
                     const ClientSide& clients, std::vector<core::Event>& events)
    : config_(config),
      gateway_(gateway),
      clients_(clients),
      events_(events),
      pool_(loop, Rules(config), *this) {}

void CacheSide::Know(ServerId id, Address address) { addresses_[id] = std::move(address); }

void CacheSide::Forsake(ServerId id) { pool_.RetireServer(static_cast<std::uint64_t>(id)); }

void CacheSide::Carry(Micros now, const core::Send& command) {
  const RequestId id = command.order.id;
  const Asked* const asked = clients_.Find(id);
  const auto address = addresses_.find(command.order.server);
  if (asked == nullptr || address == addresses_.end()) {
    events_.push_back(core::AttemptEnded{.id = id, .attempt = command.attempt, .outcome = Outcome::kNotSent});
    return;
  }
  Link& link = pool_.Take(
      static_cast<std::uint64_t>(command.order.server), address->second.endpoint, now, [&](const Link& one) {
        return !one.state.open.contains(asked->ref) && !one.state.stopped.contains(asked->ref);
      });
  if (held_) link.connection.HoldReading(true);
  out_[id] = Out{&link, command};
  link.state.open[asked->ref] = {id, command.attempt, 0};
  if (link.connection.IsOpen()) {
    Put(now, link, asked->ref, command);
  } else {
    link.state.waiting.push_back(asked->ref);
  }
}

// Writes a request, unless what has happened since the decision forbids it.
void CacheSide::Put(Micros now, Link& link, const std::string& ref, const core::Send& send) {
  const RequestId id = send.order.id;
  const Asked* const asked = clients_.Find(id);
  if (asked == nullptr || !gateway_.MaySend(now, id, send.attempt)) {
    return End(id, link, {.outcome = Outcome::kNotSent});
  }
  std::string source;
  if (send.order.source != send.order.server) source = addresses_[send.order.source].name;
  const bool taken = link.connection.Write(RequestLine(now, *asked, send, source), asked->body, "\r\n");
  link.state.open[ref].written = link.connection.Queued();
  if (!taken) {  // a server that takes nothing in: none of this reached it whole
    link.retired = true;
    OnLinkLost(link);
  }
}

void CacheSide::OnLinkOpen(Link& link) {
  const Micros now = net::Now();
  for (const std::string& ref : std::exchange(link.state.waiting, {})) {
    const auto found = link.state.open.find(ref);
    if (found == link.state.open.end()) continue;
    const auto out = out_.find(found->second.id);
    if (out != out_.end()) Put(now, link, ref, core::Send(out->second.send));
  }
}

void CacheSide::Carry(Micros now, const core::Stop& command) {
  const auto found = out_.find(command.id);
  if (found == out_.end() || found->second.send.attempt != command.attempt) return;
  Link& link = *found->second.link;
  out_.erase(found);
  const auto open = std::find_if(link.state.open.begin(), link.state.open.end(),
                                 [&](const auto& entry) { return entry.second.id == command.id; });
  if (open == link.state.open.end()) return;
  if (open->second.written > 0) {
    link.connection.Write("STOP " + open->first + "\r\n");
    link.state.stopped.insert(open->first);
    if (link.state.stopped.size() > kMostStopped) pool_.Retire(link);
  }
  link.state.open.erase(open);
  pool_.Release(link, now);
}

// An exchange is over on the wire: the core is told.
void CacheSide::End(RequestId id, Link& link, core::AttemptEnded ended) {
  const auto found = out_.find(id);
  if (found == out_.end()) return;
  ended.id = id;
  ended.attempt = found->second.send.attempt;
  events_.push_back(ended);
  out_.erase(found);
  std::erase_if(link.state.open, [id](const auto& entry) { return entry.second.id == id; });
  pool_.Release(link, net::Now());
}

void CacheSide::OnLinkLost(Link& link) {
  const auto open = std::exchange(link.state.open, {});
  if (!open.empty())
    spdlog::debug("server {} at {}: connection lost with {} open", link.server, link.to.Text(), open.size());
  for (const auto& [ref, exchange] : open) {
    // Not all bytes taken by the socket, or never connected: it cannot have reached the server whole.
    const bool whole = exchange.written > 0 && link.connection.Sent() >= exchange.written;
    End(exchange.id, link, {.outcome = whole ? Outcome::kReset : Outcome::kConnectFailed});
  }
}

void CacheSide::OnLinkBytes(Link& link) {
  while (!link.connection.IsClosed()) {
    const std::string_view unread = link.connection.Unread().substr(link.state.consume);
    if (unread.empty()) return;
    const std::size_t used = Take(link, unread);
    if (used == 0) return;
    if (used == kMalformed) {
      spdlog::warn("server {} at {}: answer that cannot be read, connection closed", link.server,
                   link.to.Text());
      link.connection.Close();
      link.retired = true;
      return OnLinkLost(link);
    }
    link.state.consume += used;
  }
}

std::size_t CacheSide::Take(Link& link, std::string_view unread) {
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
    link.connection.Expect(link.state.consume + whole);
    return 0;
  }
  if (unread.substr(whole - 2, 2) != "\r\n") return kMalformed;

  const std::string ref(words[0]);
  const auto found = link.state.open.find(ref);
  if (found == link.state.open.end()) {
    link.state.stopped.erase(ref);  // given up before: dropped
    return whole;
  }
  const RequestId id = found->second.id;
  core::AttemptEnded ended;
  const auto word = std::find_if(kWords.begin(), kWords.end(), [&](auto& w) { return w.text == words[1]; });
  if (word == kWords.end()) return kMalformed;
  ended.outcome = word->outcome;
  std::string_view report;
  const bool good = EachField(words[2], [&](std::string_view name, std::string_view value) {
    if (name == "detail") {
      const auto note = std::find_if(kNotes.begin(), kNotes.end(), [&](auto& n) { return n.first == value; });
      if (note != kNotes.end()) ended.note = note->second;
    } else if (name == "issued") {
      if (const auto at = ReadNumber<std::int64_t>(value)) ended.issued = Micros{*at * 1000};
    } else if (name == "use") {
      report = value;
    }
  });
  if (!good) return kMalformed;
  try {
    ended.load = ReadLoad(report, ';');
  } catch (const tinspan::Malformed&) {
    return kMalformed;
  }
  if (word->outcome == Outcome::kServed) {
    served_[id] = Served{word->text == "SAME", unread.substr(end + 2, *length)};
  }
  End(id, link, ended);
  return whole;
}

const CacheSide::Served* CacheSide::Answer(RequestId id) const {
  const auto found = served_.find(id);
  return found == served_.end() ? nullptr : &found->second;
}

void CacheSide::HoldReading(bool hold) {
  if (held_ == hold) return;
  held_ = hold;
  for (Link& link : pool_.Links()) link.connection.HoldReading(hold);
}

void CacheSide::EndRound(Micros now) {
  served_.clear();
  for (Link& link : pool_.Links()) {
    if (link.state.consume > 0) link.connection.Consume(std::exchange(link.state.consume, 0));
  }
  pool_.Sweep(now);
}

}  // namespace tinspan::platform
