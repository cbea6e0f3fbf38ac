#include "front/ops/admin_listener.hpp"

#include <algorithm>

#include "log/log.hpp"
#include "net/clock.hpp"

namespace tinspan::front {
namespace {
// One line and its response. The longest response is `members` of a large fleet, about 100 bytes per member.
constexpr net::Connection::Limits kLimits{.max_read_bytes = ops::kMaxLineBytes + 2,
                                          .max_write_bytes = 4 << 20};
}  // namespace

AdminListener::AdminListener(net::EventLoop& loop, const net::Endpoint& address, ops::Service& service,
                             StatsProvider provide_stats, const ops::AdminViews& views)
    : loop_(loop),
      service_(service),
      provide_stats_(std::move(provide_stats)),
      views_(views),
      listener_(loop, address, [this](net::Fd fd) { Accept(std::move(fd)); }) {}

void AdminListener::Accept(net::Fd fd) {
  const net::Micros now = net::Now();
  Sweep(now);
  if (callers_.size() >= kMaxCallers) {  // close the oldest; no caller has sent a complete line
    auto oldest = std::min_element(callers_.begin(), callers_.end(), [](const auto& a, const auto& b) {
      return a.second->OpenedAt() < b.second->OpenedAt();
    });
    oldest->second->Close();
    callers_.erase(oldest);
  }
  const std::uint64_t id = ++last_id_;
  auto connection = std::make_unique<net::Connection>(loop_, std::move(fd), *this, kLimits);
  connection->id = id;
  callers_.emplace(id, std::move(connection));
}

void AdminListener::OnData(net::Connection& connection) {
  if (connection.IsLingering()) return connection.Consume(connection.Unread().size());
  const std::string_view unread = connection.Unread();
  const std::size_t end = unread.find('\n');
  std::string answer;
  if (end != std::string_view::npos) {
    answer = ops::HandleCall(unread.substr(0, end), service_, provide_stats_(), views_);
  } else if (unread.size() > ops::kMaxLineBytes + 1) {
    answer = "error line longer than 1024 bytes\n";
  } else {
    return;  // incomplete line: wait for the rest
  }
  ++answered_calls_;
  log::Debug("ops.call", {{"caller", connection.id}}, "admin call answered: {}",
             answer.substr(0, answer.find('\n')));
  connection.Consume(unread.size());
  // One call per connection: further lines are ignored.
  if (connection.Write(answer)) connection.ShutdownWhenDrained();
}

void AdminListener::OnClosed(net::Connection& connection) {
  connection.Close();
  closed_ids_.push_back(connection.id);
  loop_.Timers().Set(net::Now(), [this](net::Micros now) { Sweep(now); });
}

void AdminListener::Sweep(net::Micros now) {
  for (const std::uint64_t id : closed_ids_) callers_.erase(id);
  closed_ids_.clear();
  std::erase_if(callers_, [now](const auto& entry) {
    const net::Connection& caller = *entry.second;
    return caller.IsClosed() || now - caller.LastActivityAt() > kIdleTimeout;
  });
}

}  // namespace tinspan::front
