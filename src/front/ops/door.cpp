#include "front/ops/door.hpp"

#include <algorithm>

#include "log/log.hpp"
#include "net/clock.hpp"

namespace tinspan::front {
namespace {
// A line and its answer; the longest is `members` of a large fleet, some 100 bytes a member.
constexpr net::Connection::Limits kLimits{.max_read_bytes = ops::kMostLine + 2, .max_write_bytes = 4 << 20};
}  // namespace

OpsDoor::OpsDoor(net::EventLoop& loop, const net::Endpoint& at, ops::Service& service, FiguresNow figures,
                 const ops::Views& views)
    : loop_(loop),
      service_(service),
      figures_(std::move(figures)),
      views_(views),
      listener_(loop, at, [this](net::Fd fd) { Accept(std::move(fd)); }) {}

void OpsDoor::Accept(net::Fd fd) {
  const net::Micros now = net::Now();
  Sweep(now);
  if (callers_.size() >= kMostCallers) {  // the one silent longest goes; none of them has a whole line
    auto oldest = std::min_element(callers_.begin(), callers_.end(), [](const auto& a, const auto& b) {
      return a.second->OpenedAt() < b.second->OpenedAt();
    });
    oldest->second->Close();
    callers_.erase(oldest);
  }
  const std::uint64_t id = ++last_;
  auto connection = std::make_unique<net::Connection>(loop_, std::move(fd), *this, kLimits);
  connection->id = id;
  callers_.emplace(id, std::move(connection));
}

void OpsDoor::OnData(net::Connection& connection) {
  if (connection.IsLingering()) return connection.Consume(connection.Unread().size());
  const std::string_view unread = connection.Unread();
  const std::size_t end = unread.find('\n');
  std::string answer;
  if (end != std::string_view::npos) {
    answer = ops::Answer(unread.substr(0, end), service_, figures_(), views_);
  } else if (unread.size() > ops::kMostLine + 1) {
    answer = "error line longer than 1024 bytes\n";
  } else {
    return;  // half a line: wait for the rest
  }
  ++answered_;
  log::Debug("ops.call", {{"caller", connection.id}}, "operators' call answered: {}",
             answer.substr(0, answer.find('\n')));
  connection.Consume(unread.size());
  // A caller that sends more than one line gets one answer: one call a connection.
  if (connection.Write(answer)) connection.ShutdownWhenDrained();
}

void OpsDoor::OnClosed(net::Connection& connection) {
  connection.Close();
  closed_.push_back(connection.id);
  loop_.Timers().Set(net::Now(), [this](net::Micros now) { Sweep(now); });
}

void OpsDoor::Sweep(net::Micros now) {
  for (const std::uint64_t id : closed_) callers_.erase(id);
  closed_.clear();
  std::erase_if(callers_, [now](const auto& entry) {
    const net::Connection& caller = *entry.second;
    return caller.IsClosed() || now - caller.LastActivityAt() > kMostSilence;
  });
}

}  // namespace tinspan::front
