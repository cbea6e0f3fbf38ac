#include "front/platform/client_side.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "front/platform/fields.hpp"

namespace tinspan::platform {
namespace {

constexpr std::size_t kMostMessage = 128 << 10;  // a write brings 48,000 bytes at most
constexpr std::size_t kMostOpen = 32;            // requests on one connection
constexpr std::size_t kMostField = 256;
// Answers that a client may leave unread: more than 32 of the largest.
constexpr net::Connection::Limits kLimits{.read = kMostMessage, .write = 9 << 20};
constexpr Micros kStuck{10'000'000};  // a client that takes nothing of its answers for so long is let go
constexpr Micros kIdle{60'000'000};   // clients close idle connections after 4 s; these have vanished

bool IsHex(std::string_view text, std::size_t length) {
  return text.size() == length && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
         });
}

}  // namespace

ClientSide::ClientSide(net::EventLoop& loop, const config::Platform& config, core::Gateway& gateway,
                       std::vector<core::Event>& events)
    : loop_(loop),
      config_(config),
      gateway_(gateway),
      events_(events),
      listener_(loop, config.listen, [this](net::Fd fd) { Accept(std::move(fd)); }) {}

void ClientSide::Accept(net::Fd fd) {
  // Clients hold a third of the descriptors at most; twice that would starve the servers' side.
  if (clients_.size() >= config_.limits.sockets * 2 / 3) {
    spdlog::warn("client turned away: {} connections", clients_.size());
    return;
  }
  const std::uint64_t id = ++last_;
  Client& client = clients_[id];
  client.connection = std::make_unique<net::Connection>(loop_, std::move(fd), *this, kLimits);
  client.connection->id = id;
  client.used = net::Now();
}

void ClientSide::OnBytes(net::Connection& connection) {
  Client& client = clients_.at(connection.id);
  client.used = connection.LastHeard();
  while (!connection.IsClosed()) {
    const std::string_view unread = connection.Unread().substr(client.consume);
    if (unread.empty()) break;
    RespMessage message;
    std::size_t used = 0;
    const RespState state = ParseResp(unread, kMostMessage, message, used);
    if (state == RespState::kPartial) {
      connection.Expect(client.consume + used);
      break;
    }
    if (state == RespState::kMalformed || !Handle(client, message)) {
      spdlog::warn("client {}: malformed input, connection closed", connection.id);
      connection.Close();
      return OnClosed(connection);
    }
    client.consume += used;
  }
}

bool ClientSide::Handle(Client& client, const RespMessage& message) {
  if (message.count < 2 || !ReadNumber<std::uint64_t>(message.words[1])) return false;
  const std::string_view verb = message.words[0];
  const std::string tag(message.words[1]);
  if (verb == "RPC.CALL") return Call(client, message);
  if (verb == "RPC.CANCEL") {
    const auto found = client.open.find(tag);
    if (found == client.open.end()) return true;  // crossed our answer
    events_.push_back(core::ClientLeft{found->second});
    Forget(found->second);
    client.open.erase(found);
    return true;
  }
  if (verb == "RPC.HEALTH") {
    std::string out = "*4\r\n";
    for (const std::string_view word :
         {std::string_view(tag), std::string_view(accept_until_ == Micros::max() ? "healthy" : "closing"),
          std::string_view(), std::string_view()}) {
      AppendBulk(out, word);
    }
    client.connection->Write(out);
    return true;
  }
  return false;
}

bool ClientSide::Call(Client& client, const RespMessage& message) {
  if (message.count < 4 || message.count > 5 || client.open.size() >= kMostOpen) return false;
  Asked asked;
  asked.connection = client.connection->id;
  asked.tag = message.words[1];
  asked.class_name = message.words[2];
  if (message.count == 5) asked.body = message.words[4];
  core::RequestCame came;
  bool good = true, allowed = false;
  good = EachField(message.words[3],
                   [&](std::string_view name, std::string_view value) {
                     good = good && value.size() <= kMostField;
                     if (name == "ref") {
                       asked.ref = value;
                     } else if (name == "allow") {
                       const auto millis = ReadNumber<double>(value);
                       good = good && millis && *millis >= 0 && *millis < 1e9;
                       allowed = good;
                       if (good) came.allow = Micros{static_cast<std::int64_t>(*millis * 1000)};
                     } else if (name == "replay") {
                       asked.key = value;
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
                       good = good && size && *size >= 0;
                       came.size_kb = size.value_or(0);
                     } else if (name == "cached") {
                       asked.cached = value;
                     }
                   }) &&
         good;
  if (!good || !allowed || !IsHex(asked.ref, 16)) return false;
  // Everything that goes on to a server as a word of a line must be one.
  for (const std::string* word : {&asked.class_name, &asked.object, &asked.part, &asked.key, &asked.cached}) {
    if (word->find_first_of(" \r\n,=") != std::string::npos) return false;
  }
  if (!asked.object.empty()) {
    if (!IsHex(asked.object, 16)) return false;
    came.object = ObjectId{*ReadNumber<std::uint64_t>(asked.object, 16)};
  }
  const Names& classes = config_.site.classes;
  const auto place = std::find(classes.begin(), classes.end(), asked.class_name);
  if (place == classes.end()) return false;
  came.class_id = ClassId{static_cast<std::uint32_t>(place - classes.begin())};
  came.id = gateway_.NextId();
  if (!client.open.emplace(asked.tag, came.id).second) return false;
  held_bytes_ += asked.body.size();
  asked_.emplace(came.id, std::move(asked));
  events_.push_back(came);
  return true;
}

const Asked* ClientSide::Find(RequestId id) const {
  const auto found = asked_.find(id);
  return found == asked_.end() ? nullptr : &found->second;
}

void ClientSide::Serve(RequestId id, bool same, std::string_view body) {
  Write(id, "done", same ? "keep=1" : "", body);
}
void ClientSide::Refuse(RequestId id, Micros retry_after) {
  const auto millis = retry_after.count() / 1000;
  Write(id, "later", millis > 0 ? "cooldown=" + std::to_string(millis) : "", {});
}
void ClientSide::Fail(RequestId id) { Write(id, "error", "", {}); }

void ClientSide::Write(RequestId id, std::string_view word, std::string_view fields, std::string_view body) {
  const auto found = asked_.find(id);
  if (found == asked_.end()) return;
  const auto client = clients_.find(found->second.connection);
  if (client != clients_.end()) {
    std::string head = "*4\r\n";
    AppendBulk(head, found->second.tag);
    AppendBulk(head, word);
    AppendBulk(head, fields);
    head.append("$").append(std::to_string(body.size())).append("\r\n");
    client->second.open.erase(found->second.tag);
    client->second.used = net::Now();
    if (!client->second.connection->Write(head, body, "\r\n") && client->second.connection->IsClosed()) {
      spdlog::warn("client {}: reads none of its answers, connection closed", client->first);
      Leave(client->second);
    }
  }
  Forget(id);
}

void ClientSide::OnClosed(net::Connection& connection) { Leave(clients_.at(connection.id)); }

// The connection is closed: what is open on it has nobody to go to.
void ClientSide::Leave(Client& client) {
  for (const auto& [tag, id] : client.open) {
    events_.push_back(core::ClientLeft{id});
    Forget(id);
  }
  client.open.clear();
  closed_.push_back(client.connection->id);
}

void ClientSide::Forget(RequestId id) {
  const auto found = asked_.find(id);
  if (found == asked_.end()) return;
  held_bytes_ -= found->second.body.size();
  asked_.erase(found);
}

std::size_t ClientSide::Backlog() const {
  std::size_t sum = 0;
  for (const auto& [id, client] : clients_) sum += client.connection->Backlog();
  return sum;
}

bool ClientSide::Drained() const {
  return std::all_of(clients_.begin(), clients_.end(), [](const auto& entry) {
    return entry.second.open.empty() && entry.second.connection->Backlog() == 0;
  });
}

void ClientSide::EndRound(Micros now) {
  if (listener_.IsOpen() && now >= accept_until_) listener_.Close();
  // Writes of all clients together could hold more than the memory limit: over a share of it they wait in the
  // sockets.
  const bool hold = held_bytes_ > config_.limits.memory_mb * (std::size_t{1} << 20) / 8;
  for (auto& [id, client] : clients_) {
    if (client.connection->IsClosed()) continue;
    client.connection->HoldReading(hold);
    if (client.consume > 0) client.connection->Consume(std::exchange(client.consume, 0));
    const bool open = !client.open.empty();
    const std::size_t backlog = client.connection->Backlog();
    const bool stuck = backlog > 0 && now - client.used > kStuck;
    const bool idle = !open && backlog == 0 && (now - client.used > kIdle || now >= accept_until_);
    if (!stuck && !idle) continue;
    if (stuck) spdlog::warn("client {}: takes no answers, connection closed", id);
    client.connection->Close();
    Leave(client);
  }
  for (const std::uint64_t id : closed_) clients_.erase(id);
  closed_.clear();
}

}  // namespace tinspan::platform
