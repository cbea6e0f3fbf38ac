#include "front/http/consul_query.hpp"

#include <algorithm>
#include <utility>

#include "log/log.hpp"

namespace tinspan::http {
namespace {

constexpr net::Connection::Limits kLimits{.max_read_bytes = 16 << 20, .max_write_bytes = 64 << 10};
constexpr Micros kInitialBackoff{200'000};
constexpr Micros kMaxBackoff{2'000'000};

}  // namespace

ConsulQuery::ConsulQuery(net::EventLoop& loop, const config::Gateway& config, std::string name,
                         ResponseCallback on_response)
    : loop_(loop), config_(config), name_(std::move(name)), on_response_(std::move(on_response)) {}

ConsulQuery::~ConsulQuery() { loop_.Timers().Cancel(timer_); }

void ConsulQuery::Start(std::string path, Micros timeout) {
  path_ = std::move(path);
  timeout_ = timeout;
  SendQuery();
}

void ConsulQuery::SendQuery() {
  loop_.Timers().Cancel(timer_);
  timer_ = loop_.Timers().Set(net::Now() + timeout_, [this](Micros) { Fail("no answer"); });
  if (connection_ && connection_->IsReusable()) return OnOpen(*connection_);
  CloseConnection();
  connection_ = std::make_unique<net::Connection>(loop_, config_.consul, *this, kLimits);
}

void ConsulQuery::OnOpen(net::Connection& connection) {
  std::string request = "GET " + path_ + " HTTP/1.1\r\nHost: " + config_.consul.Text() + "\r\n";
  if (!config_.consul_token.empty()) request += "X-Consul-Token: " + config_.consul_token + "\r\n";
  connection.Write(request + "\r\n");
}

void ConsulQuery::OnData(net::Connection& connection) {
  if (IsIdle()) return CloseConnection();  // unsolicited bytes
  Response response;
  std::size_t expected_bytes = 0;
  const ParseResult result = ParseResponse(connection.Unread(), response, expected_bytes);
  if (expected_bytes > 0) connection.ExpectMessage(expected_bytes);
  if (result == ParseResult::kIncomplete) return;
  if (result == ParseResult::kMalformed) return Fail("the response cannot be read");
  loop_.Timers().Cancel(timer_);
  const std::string path = std::exchange(path_, {});
  try {
    if (response.status != 200) throw Malformed{"status", "200, not " + std::to_string(response.status)};
    // Done first, because the callback may start the next query on this connection.
    connection.Consume(response.length);
    if (!response.can_reuse_connection || !connection.Unread().empty()) CloseConnection();
    on_response_(response.consul_index, response.body);
    consecutive_failures_ = 0;
  } catch (const Malformed& error) {
    if (path_.empty()) path_ = path;
    Fail(error.field + ": expected " + error.expected);
  }
}

void ConsulQuery::OnClosed(net::Connection&) {
  if (IsIdle()) return CloseConnection();
  Fail("connection lost");
}

void ConsulQuery::CloseConnection() {
  if (!connection_) return;
  connection_->Close();
  closed_connection_ = std::move(connection_);
}

void ConsulQuery::Fail(const std::string& reason) {
  loop_.Timers().Cancel(timer_);
  CloseConnection();
  const Micros backoff =
      std::min(kMaxBackoff, kInitialBackoff * (std::int64_t{1} << std::min(consecutive_failures_, 10u)));
  ++consecutive_failures_;
  const std::int64_t backoff_ms = backoff.count() / 1000;
  log::Warn("consul.query_failed", {{"query", name_}, {"reason", reason}, {"again_ms", backoff_ms}},
            "Consul query ({}) failed: {}; the current nodes stay in use, next query in {} ms", name_, reason,
            backoff_ms);
  timer_ = loop_.Timers().Set(net::Now() + backoff, [this](Micros) { SendQuery(); });
}

}  // namespace tinspan::http
