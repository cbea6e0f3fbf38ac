#include "front/platform/downstream_connections.hpp"

#include <algorithm>
#include <utility>

#include "front/platform/fields.hpp"
#include "log/log.hpp"
#include "setup/retune.hpp"

namespace tinspan::platform {
namespace {

constexpr std::size_t kMostMessage = 64 << 10;  // a write brings 48,000 bytes at most
constexpr std::size_t kMostOpen = 32;           // requests on one connection
constexpr std::size_t kMostField = 256;
constexpr double kMostSize = 1e6;  // KB of a part; far beyond what is served at all
// Messages of one connection in a round: whoever sends hundreds at once waits for the others in between.
constexpr std::size_t kTurn = 32;
// Answers that a client may leave unread: more than 32 of the largest. Nothing more is read from one that has
// left so many, nor from any such client once all together hold a quarter of the memory.
constexpr net::Connection::Limits kLimits{
    .max_read_bytes = kMostMessage, .max_write_bytes = 9 << 20, .close_on_peer_shutdown = true};
constexpr std::size_t kFull = 8 << 20;
constexpr Micros kStuck{10'000'000};     // a client that takes nothing of its answers for so long is let go
constexpr Micros kStuckForAll{500'000};  // the same while what is unread holds up all servers' answers
// Clients close connections that have been idle for 4 s. One that goes on holding its own has asked for all
// it will ask. Newcomers are owed a close within 3 s.
constexpr Micros kIdle{6'000'000};
constexpr Micros kFirst{2'400'000};
constexpr Micros kNewcomer{50'000};
// How long a client is heard out after the end of our side. A request that crosses that end comes within
// 50 ms and is sent anew; then the client closes.
constexpr Micros kParting{300'000};
// For the rest of a message that has begun to come when the doorman stops: some clients write slowly.
constexpr Micros kRest{300'000};
constexpr Micros kMostRest{600'000};
constexpr std::size_t kMostPassedOver = 8;  // idle ones looked at for a newcomer's place

// Clients hold a third of the descriptors at most; bad ones hold what they get. Half-read messages of all may
// take a quarter of the memory.
net::IdleConnectionLimits Rules(const config::Platform& config) {
  const std::size_t memory = config.limits.memory_mb << 20;
  return {.max_connections = std::min(config.limits.ClientSockets(), memory / 4 / kMostMessage),
          .first_request_timeout = kFirst,
          .idle_timeout = kIdle};
}

bool IsHex(std::string_view text, std::size_t length) {
  return text.size() == length && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
         });
}

}  // namespace

DownstreamConnections::DownstreamConnections(net::EventLoop& loop, const config::Platform& config,
                                             core::RequestCoordinator& coordinator,
                                             std::vector<core::Event>& events)
    : loop_(loop),
      config_(config),
      coordinator_(coordinator),
      events_(events),
      idle_connections_(Rules(config)),
      classes_(config.site.classes),
      listener_(
          loop, config.listen, [this](net::Fd fd) { Accept(std::move(fd)); }, /*shared=*/true) {}

void DownstreamConnections::Accept(net::Fd fd) {
  if (idle_connections_.IsFull() && !MakeRoom()) {
    log::Warn("client.turned_away", {{"connections", clients_.size()}},
              "client turned away: {} connections, none of them idle", clients_.size());
    return;
  }
  const std::uint64_t id = ++last_;
  Client& client = clients_[id];
  client.connection = std::make_unique<net::Connection>(loop_, std::move(fd), *this, kLimits);
  client.connection->id = id;
  client.held = held_;
  idle_connections_.OnAccepted(id, net::Now());
}

// Lets one go that asks for nothing, passing over those whose request has just arrived.
bool DownstreamConnections::MakeRoom() {
  std::vector<std::uint64_t> asking;
  bool made = false;
  while (!made && asking.size() < kMostPassedOver) {
    const auto spare = idle_connections_.EvictCandidate(net::Now());
    if (!spare) break;
    made = LetGo(clients_.at(*spare), net::Now());
    if (!made) asking.push_back(*spare);
  }
  for (const std::uint64_t id : asking) Seat(clients_.at(id));
  return made;
}

void DownstreamConnections::OnData(net::Connection& connection) {
  Client& client = clients_.at(connection.id);
  touched_.insert(connection.id);
  if (client.held) {
    LookAhead(client);
    // As much as a turn holds is read ahead; the rest waits in the socket.
    if (connection.Unread().size() >= kMostMessage) connection.SetReadPaused(true);
    return;
  }
  for (std::size_t turn = 0; !connection.IsClosed(); ++turn) {
    const std::string_view unread = connection.Unread().substr(client.consume);
    if (unread.empty()) break;
    if (turn == kTurn) {
      LookAhead(client);
      return connection.ScheduleRead();
    }
    RespMessage message;
    std::size_t used = 0;
    const RespState state = ParseResp(unread, kMostMessage, message, used);
    if (state == RespState::kPartial) {
      connection.ExpectMessage(client.consume + used);
      // One that rested and begins to write is given a newcomer's time for the whole of it.
      if (client.open.empty() && connection.BytesQueued() > 0 && !std::exchange(client.partial, true))
        idle_connections_.OnAccepted(connection.id, net::Now());
      break;
    }
    if (state == RespState::kMalformed) {  // where the next message begins is not known
      log::Debug("client.unreadable", {{"client", connection.id}},
                 "client {}: input that cannot be read, connection closed", connection.id);
      return Part(client, net::Now());
    }
    Handle(client, message);
    client.consume += used;
  }
}

// What a client has called off further on in its input, while its turn is over or nothing new is taken from
// it: no attempt may begin for it meanwhile.
void DownstreamConnections::LookAhead(Client& client) {
  const std::string_view unread = client.connection->Unread();
  for (std::size_t at = std::max(client.ahead, client.consume); at < unread.size();) {
    RespMessage message;
    std::size_t used = 0;
    if (ParseResp(unread.substr(at), kMostMessage, message, used) != RespState::kWhole) break;
    at += used;
    client.ahead = at;
    if (message.words[0] != "RPC.CANCEL" || message.count < 2) continue;
    std::string tag(message.words[1].substr(0, kMostField));
    client.open.contains(tag) ? Cancel(client, tag)
                              : static_cast<void>(client.withdrawn.insert(std::move(tag)));
  }
}

// Nothing new is taken from a client that is held; what it calls off is heeded all the same.
void DownstreamConnections::Hold(Client& client, bool hold) {
  if (std::exchange(client.held, hold) == hold || hold) return;
  client.connection->SetReadPaused(false);
  client.connection->ScheduleRead();
}

// A message whose frame is whole but that cannot be used is answered alone: what else is open on the
// connection has nothing to do with it.
void DownstreamConnections::Handle(Client& client, const RespMessage& message) {
  const std::string_view verb = message.words[0];
  const std::string tag(message.count > 1 ? message.words[1].substr(0, kMostField) : std::string_view());
  if (verb == "RPC.CANCEL") {
    client.withdrawn.erase(tag);
    Cancel(client, tag);
  } else if (verb == "RPC.CALL" && client.withdrawn.contains(tag)) {
    // Called off already (LookAhead): nothing is owed.
  } else if (verb == "RPC.HEALTH") {
    Reply(client, tag, accept_until_ == Micros::max() && !away_ ? "healthy" : "closing", {}, {});
  } else if (verb != "RPC.CALL" || !Call(client, message)) {
    log::Debug("client.unusable", {{"client", client.connection->id}},
               "client {}: a request that cannot be used", client.connection->id);
    Cancel(client, tag);  // two requests under one number: no answer could be told from the other's
    Reply(client, tag, "error", {}, {});
  }
  if (client.connection->IsClosed()) return;
  Seat(client);
}

void DownstreamConnections::Seat(Client& client) {
  const net::Connection& connection = *client.connection;
  client.partial = false;
  if (!client.open.empty()) return idle_connections_.MarkActive(connection.id);
  // Nothing has been said to one that withdrew all it asked.
  connection.BytesQueued() > 0 ? idle_connections_.MarkIdle(connection.id, net::Now())
                               : idle_connections_.OnAccepted(connection.id, connection.OpenedAt());
}

void DownstreamConnections::Cancel(Client& client, const std::string& tag) {
  const auto found = client.open.find(tag);
  if (found == client.open.end()) return;  // crossed our answer
  events_.push_back(core::ClientDisconnected{found->second});
  Forget(found->second);
  client.open.erase(found);
}

bool DownstreamConnections::Call(Client& client, const RespMessage& message) {
  if (message.count < 4 || message.count > 5 || client.open.size() >= kMostOpen) return false;
  if (!ReadNumber<std::uint64_t>(message.words[1])) return false;
  PendingRequest asked;
  asked.connection = client.connection->id;
  asked.tag = message.words[1];
  asked.class_name = message.words[2];
  if (message.count == 5) asked.body = message.words[4];
  core::RequestReceived came;
  bool good = true, allowed = false;
  good = FieldList::kValid == ForEachField(message.words[3],
                                           [&](std::string_view name, std::string_view value) {
                                             good = good && value.size() <= kMostField;
                                             if (name == "ref") {
                                               asked.reference = value;
                                             } else if (name == "allow") {
                                               const auto millis = ReadNumber<double>(value);
                                               good = good && millis && *millis >= 0 && *millis < 1e9;
                                               allowed = good;
                                               if (good)
                                                 came.time_left =
                                                     Micros{static_cast<std::int64_t>(*millis * 1000)};
                                             } else if (name == "replay") {
                                               asked.idempotency_key = value;
                                             } else if (name == "lookup") {
                                               asked.object = value;
                                             } else if (name == "block") {
                                               const auto part = ReadNumber<std::uint32_t>(value);
                                               good = good && part;
                                               came.part = part.value_or(0);
                                               asked.part = value;
                                             } else if (name == "family") {
                                               const auto group = ReadNumber<std::uint32_t>(value);
                                               good = good && group && *group <= 255;
                                               came.group = GroupId{group.value_or(0)};
                                             } else if (name == "room") {
                                               const auto size = ReadNumber<double>(value);
                                               good = good && size && *size >= 0 && *size <= kMostSize;
                                               came.size_kb = size.value_or(0);
                                             } else if (name == "cached") {
                                               asked.cached_copy = value;
                                             }
                                           }) &&
         good;
  if (!good || !allowed || !IsHex(asked.reference, 16)) return false;
  // The id of a request that is open: servers tell answers apart by it, and one could serve the other.
  if (refs_.contains(asked.reference) || client.open.contains(asked.tag)) return false;
  // Everything that goes on to a server as a word of a line must be one.
  for (const std::string* word :
       {&asked.class_name, &asked.object, &asked.part, &asked.idempotency_key, &asked.cached_copy}) {
    if (word->find_first_of(" \r\n,=") != std::string::npos) return false;
  }
  if (!asked.object.empty()) {
    if (!IsHex(asked.object, 16)) return false;
    came.object = ObjectId{*ReadNumber<std::uint64_t>(asked.object, 16)};
  }
  std::size_t place = 0;
  if (!FindClass(classes_, asked.class_name, place)) return false;
  came.class_id = ClassId{static_cast<std::uint32_t>(place)};
  asked.size_kb = came.size_kb;
  came.id = coordinator_.NextRequestId();
  client.open.emplace(asked.tag, came.id);
  refs_.insert(asked.reference);
  held_bytes_ += asked.body.size();
  asked_.emplace(came.id, std::move(asked));
  events_.push_back(came);
  return true;
}

const PendingRequest* DownstreamConnections::Find(RequestId id) const {
  const auto found = asked_.find(id);
  return found == asked_.end() ? nullptr : &found->second;
}

void DownstreamConnections::Serve(RequestId id, bool same, std::string_view body) {
  Write(id, "done", same ? "keep=1" : "", body);
}
void DownstreamConnections::Refuse(RequestId id, Micros retry_after) {
  const auto millis = retry_after.count() / 1000;
  Write(id, "later", millis > 0 ? "cooldown=" + std::to_string(millis) : "", {});
}
void DownstreamConnections::Fail(RequestId id) { Write(id, "error", "", {}); }

void DownstreamConnections::Write(RequestId id, std::string_view word, std::string_view fields,
                                  std::string_view body) {
  const auto found = asked_.find(id);
  if (found == asked_.end()) return;
  const auto place = clients_.find(found->second.connection);
  if (place != clients_.end()) {
    Client& client = place->second;
    client.open.erase(found->second.tag);
    Reply(client, found->second.tag, word, fields, body);
    if (!client.connection->IsClosed()) Seat(client);
  }
  Forget(id);
}

void DownstreamConnections::Reply(Client& client, std::string_view tag, std::string_view word,
                                  std::string_view fields, std::string_view body) {
  if (client.connection->IsClosed()) return;
  client.answered = true;
  std::string head = "*4\r\n";
  AppendBulk(head, tag);
  AppendBulk(head, word);
  AppendBulk(head, fields);
  head.append("$").append(std::to_string(body.size())).append("\r\n");
  if (!client.connection->Write(head, body, "\r\n")) {
    log::Warn("client.reads_nothing", {{"client", client.connection->id}},
              "client {}: reads none of its answers, connection closed", client.connection->id);
    return Close(client);
  }
  if (client.connection->Backlog() > 0 && backed_.insert(client.connection->id).second) {
    client.moved = net::Now();
    client.sent = client.connection->BytesSent();
  }
}

void DownstreamConnections::OnClosed(net::Connection& connection) { Close(clients_.at(connection.id)); }

void DownstreamConnections::Close(Client& client) {
  client.connection->Close();
  Abandon(client);
  closed_.push_back(client.connection->id);
}

// What is open on a connection that ends has nobody to go to.
void DownstreamConnections::Abandon(Client& client) {
  for (const auto& [tag, id] : std::exchange(client.open, {})) {
    events_.push_back(core::ClientDisconnected{id});
    Forget(id);
  }
  idle_connections_.Remove(client.connection->id);
}

bool DownstreamConnections::LetGo(Client& client, Micros now) {
  if (client.connection->HasPendingInput()) return false;
  Part(client, now);
  return true;
}

void DownstreamConnections::Part(Client& client, Micros now) {
  Abandon(client);
  client.connection->SetReadPaused(false);  // what comes is read and dropped
  client.connection->ShutdownWhenDrained();
  parting_.push_back({client.connection->id, now + kParting});
  loop_.Timers().Set(now + kParting, [](Micros) {});
}

// Those that have closed their side as well, or had their time. Not too many at once: each still holds its
// descriptor.
void DownstreamConnections::Depart(Micros now) {
  const std::size_t most = config_.limits.PartingSockets();
  std::size_t over = parting_.size() > most ? parting_.size() - most : 0;
  std::erase_if(parting_, [&](const Parting& one) {
    const auto found = clients_.find(one.id);
    if (found == clients_.end()) return true;
    if (!found->second.connection->IsClosed() && now < one.until && over == 0) return false;
    over -= over > 0 ? 1 : 0;
    Close(found->second);
    return true;
  });
}

void DownstreamConnections::Forget(RequestId id) {
  const auto found = asked_.find(id);
  if (found == asked_.end()) return;
  held_bytes_ -= found->second.body.size();
  refs_.erase(found->second.reference);
  asked_.erase(found);
}

std::size_t DownstreamConnections::Backlog() const {
  std::size_t sum = 0;
  for (const std::uint64_t id : backed_) sum += clients_.at(id).connection->Backlog();
  return sum;
}

void DownstreamConnections::EndRound(Micros now) {
  if (listener_.IsOpen() && now >= accept_until_) listener_.CloseAfterAccepting();
  // Bodies of all requests together could hold more than the memory limit: over a share of it they wait in
  // the sockets.
  const bool hold = held_bytes_ > config_.limits.memory_mb * (std::size_t{1} << 20) / 8;
  if (std::exchange(held_, hold) != hold) {
    for (auto& [id, client] : clients_) Hold(client, hold);
  }
  for (const std::uint64_t id : touched_) {
    const auto found = clients_.find(id);
    if (found == clients_.end() || found->second.connection->IsClosed()) continue;
    Client& client = found->second;
    client.ahead -= std::min(client.ahead, client.consume);
    if (client.consume > 0) client.connection->Consume(std::exchange(client.consume, 0));
  }
  touched_.clear();
  if (now >= accept_until_ || away_) LeaveWhenStopping(now);
  const bool much = Backlog() > (config_.limits.memory_mb << 20) / 4;
  for (auto place = backed_.begin(); place != backed_.end();) {
    Client& client = clients_.at(*place);
    net::Connection& connection = *client.connection;
    const std::size_t backlog = connection.IsClosed() ? 0 : connection.Backlog();
    Hold(client, held_ || backlog > (much ? 0 : kFull));
    if (connection.BytesSent() != std::exchange(client.sent, connection.BytesSent())) client.moved = now;
    if (backlog > 0 && now - client.moved > (much ? kStuckForAll : kStuck)) {
      log::Warn("client.stuck", {{"client", connection.id}, {"backlog", backlog}},
                "client {}: takes no answers, connection closed", connection.id);
      Close(client);
    }
    place = backlog == 0 || connection.IsClosed() ? backed_.erase(place) : std::next(place);
  }
  while (const auto id = idle_connections_.NextExpired(now)) {
    Client& client = clients_.at(*id);
    // One that has still to take its answers is not idle, nor one that has just asked.
    if (client.connection->Backlog() > 0 || !LetGo(client, now)) idle_connections_.MarkIdle(*id, now);
  }
  Depart(now);
  for (const std::uint64_t id : closed_) {
    clients_.erase(id);
    backed_.erase(id);
  }
  closed_.clear();
  Wake();
}

// Standby and the end: connections are let go once nothing is open on them.
void DownstreamConnections::LeaveWhenStopping(Micros now) {
  const bool last = now >= accept_until_;
  for (auto& [id, client] : clients_) {  // walked at the end only: none that is idle stays
    net::Connection& connection = *client.connection;
    if (connection.IsClosed() || connection.IsLingering() || !client.open.empty() || connection.Backlog() > 0)
      continue;
    // A newcomer is given the moment in which its first request comes, one that writes the time for the rest:
    // let go before it, the request would cross the close.
    Micros due = std::max(connection.OpenedAt(), connection.LastReceivedAt()) + kNewcomer;
    if (client.answered) due = now;
    if (!connection.Unread().empty()) due = connection.LastReceivedAt() + kRest;
    if (last) due = std::min(due, accept_until_ + kMostRest);
    if (now >= due) {
      LetGo(client, now);  // else it is read in the next round
    } else if (!away_wake_ || *away_wake_ > due) {
      away_wake_ = due;
      loop_.Timers().Set(due, [this](Micros) { away_wake_.reset(); });
    }
  }
}

// Newcomers and idle ones are let go in time, though nothing happens.
void DownstreamConnections::Wake() {
  const auto due = idle_connections_.NextDeadline();
  if (!due || (wake_ && *wake_ <= *due)) return;
  wake_ = *due + Micros{1000};
  loop_.Timers().Set(*wake_, [this](Micros) { wake_.reset(); });
}

}  // namespace tinspan::platform
