// A client of Consul's HTTP API: one query at a time on a persistent connection, retried until it succeeds.
// Independent of the content of queries and responses.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "config/config.hpp"
#include "front/http/http1.hpp"
#include "net/connection.hpp"

namespace tinspan::http {

/// Not thread-safe; the loop and the configuration must outlive it.
class ConsulQuery final : public net::Connection::Owner {
 public:
  /// Receives each response of status 200 once, with its X-Consul-Index (0: none). It may call Start. If it
  /// throws Malformed, the query is retried as after a failure.
  using ResponseCallback = std::function<void(std::uint64_t index, const std::string& body)>;
  ConsulQuery(net::EventLoop& loop, const config::Gateway& config, std::string name,
              ResponseCallback on_response);
  ~ConsulQuery();
  ConsulQuery(const ConsulQuery&) = delete;
  ConsulQuery& operator=(const ConsulQuery&) = delete;

  /// Starts a query of `path`; only while IsIdle. An attempt fails if there is no response within `timeout`.
  /// A failure is logged with the query's name. The first retry follows after 0.2 s; the backoff doubles up
  /// to 2 s, which bounds the delay with which a change is received.
  void Start(std::string path, Micros timeout);
  /// Whether no query is in progress.
  bool IsIdle() const { return path_.empty(); }
  /// Frees the closed connection. Must be called once per round.
  void EndRound() { closed_connection_.reset(); }

  void OnOpen(net::Connection& connection) override;
  void OnData(net::Connection& connection) override;
  void OnClosed(net::Connection& connection) override;

 private:
  void SendQuery();
  void Fail(const std::string& reason);
  void CloseConnection();

  net::EventLoop& loop_;
  const config::Gateway& config_;
  const std::string name_;
  ResponseCallback on_response_;
  std::unique_ptr<net::Connection> connection_;
  std::unique_ptr<net::Connection> closed_connection_;  // freed at the end of the round
  net::TimerQueue::Id timer_{};
  std::string path_;  // empty: no query is in progress
  Micros timeout_{0};
  unsigned consecutive_failures_ = 0;
};

}  // namespace tinspan::http
