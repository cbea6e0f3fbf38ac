#include "front/http/consul_query.hpp"

#include <algorithm>
#include <utility>

#include "log/log.hpp"

namespace tinspan::http {
namespace {

constexpr net::Connection::Limits kLimits{.max_read_bytes = 16 << 20, .max_write_bytes = 64 << 10};
constexpr Micros kFirstBackOff{200'000};
constexpr Micros kMostBackOff{2'000'000};

}  // namespace

ConsulQuery::ConsulQuery(net::EventLoop& loop, const config::Http& config, std::string name,
                         Answered answered)
    : loop_(loop), config_(config), name_(std::move(name)), answered_(std::move(answered)) {}

ConsulQuery::~ConsulQuery() { loop_.Timers().Cancel(timer_); }

void ConsulQuery::Ask(std::string path, Micros limit) {
  path_ = std::move(path);
  limit_ = limit;
  Try();
}

void ConsulQuery::Try() {
  loop_.Timers().Cancel(timer_);
  timer_ = loop_.Timers().Set(net::Now() + limit_, [this](Micros) { Failed("no answer"); });
  if (connection_ && connection_->IsOpen()) return OnOpen(*connection_);
  connection_ = std::make_unique<net::Connection>(loop_, config_.consul, *this, kLimits);
}

void ConsulQuery::OnOpen(net::Connection& connection) {
  std::string out = "GET " + path_ + " HTTP/1.1\r\nHost: " + config_.consul.Text() + "\r\n";
  if (!config_.consul_token.empty()) out += "X-Consul-Token: " + config_.consul_token + "\r\n";
  connection.Write(out + "\r\n");
}

void ConsulQuery::OnData(net::Connection& connection) {
  if (IsIdle()) return LetGo();  // it speaks unasked
  Response response;
  std::size_t expect = 0;
  const Taken taken = TakeResponse(connection.Unread(), response, expect);
  if (expect > 0) connection.ExpectMessage(expect);
  if (taken == Taken::kMore) return;
  if (taken == Taken::kUnreadable) return Failed("an answer that cannot be read");
  loop_.Timers().Cancel(timer_);
  const std::string path = std::exchange(path_, {});
  try {
    if (response.status != 200) throw Malformed{"status", "200, not " + std::to_string(response.status)};
    // Whoever asks on from within must find the connection free.
    connection.Consume(response.length);
    if (!response.keep) LetGo();
    answered_(response.index, response.body);
    failures_ = 0;
  } catch (const Malformed& wrong) {
    if (path_.empty()) path_ = path;
    Failed(wrong.field + ": expected " + wrong.expected);
  }
}

void ConsulQuery::OnClosed(net::Connection&) {
  if (IsIdle()) return LetGo();
  Failed("connection lost");
}

void ConsulQuery::LetGo() {
  if (!connection_) return;
  connection_->Close();
  old_ = std::move(connection_);
}

void ConsulQuery::Failed(const std::string& why) {
  loop_.Timers().Cancel(timer_);
  LetGo();
  const Micros wait = std::min(kMostBackOff, kFirstBackOff * (std::int64_t{1} << std::min(failures_, 10u)));
  ++failures_;
  const std::int64_t millis = wait.count() / 1000;
  log::Warn("consul.query_failed", {{"query", name_}, {"reason", why}, {"again_ms", millis}},
            "Consul, {}: {}; the list is kept, next query in {} ms", name_, why, millis);
  timer_ = loop_.Timers().Set(net::Now() + wait, [this](Micros) { Try(); });
}

}  // namespace tinspan::http
