// One question to Consul's HTTP API at a time, over a connection that is kept, asked again until it is
// answered. It knows nothing of what is asked.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "config/config.hpp"
#include "front/http/http1.hpp"
#include "net/connection.hpp"

namespace tinspan::http {

class ConsulQuery final : public net::Connection::Owner {
 public:
  // Told each answer of status 200, once, with its X-Consul-Index (0: none); it may call Ask. One that it
  // cannot use throws Malformed, and is asked for again like one that never came.
  using Answered = std::function<void(std::uint64_t index, const std::string& body)>;
  ConsulQuery(net::EventLoop& loop, const config::Http& config, std::string name, Answered answered);
  ~ConsulQuery();
  ConsulQuery(const ConsulQuery&) = delete;
  ConsulQuery& operator=(const ConsulQuery&) = delete;

  // Only while IsIdle. An answer is given up after `limit`; a failure is logged under the query's name, and
  // the next try comes 0.2 s later, then ever later up to 2 s: what changes meanwhile is heard no later.
  void Ask(std::string path, Micros limit);
  bool IsIdle() const { return path_.empty(); }
  void EndRound() { old_.reset(); }

  void OnOpen(net::Connection& connection) override;
  void OnData(net::Connection& connection) override;
  void OnClosed(net::Connection& connection) override;

 private:
  void Try();
  void Failed(const std::string& why);
  void LetGo();

  net::EventLoop& loop_;
  const config::Http& config_;
  const std::string name_;
  Answered answered_;
  std::unique_ptr<net::Connection> connection_;
  std::unique_ptr<net::Connection> old_;  // closed in this round
  net::TimerQueue::Id timer_{};
  std::string path_;  // empty: nothing is asked
  Micros limit_{0};
  unsigned failures_ = 0;
};

}  // namespace tinspan::http
