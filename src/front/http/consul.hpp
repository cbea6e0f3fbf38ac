// Members from Consul: one service's health by blocking queries, its nodes from the catalogue.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "core/gateway.hpp"
#include "front/http/http1.hpp"
#include "net/connection.hpp"

namespace tinspan::http {

struct Node {
  Member member;
  std::string name;  // NODE/SERVICE-ID
  net::Endpoint endpoint;
};

// Follows one service: a blocking query on /v1/health/service/NAME, and after each change
// /v1/catalog/service/NAME for the nodes. A query that fails keeps the list and is tried again, ever more
// slowly.
class ConsulWatch final : public net::Connection::Owner {
 public:
  using Changed =
      std::function<void(const std::vector<Node>& changes)>;  // goners too; called first when listed
  ConsulWatch(net::EventLoop& loop, const config::Http& config, const config::ConsulService& service,
              Changed changed);
  ~ConsulWatch();
  void EndRound() { old_.reset(); }

  void OnOpen(net::Connection& connection) override;
  void OnBytes(net::Connection& connection) override;
  void OnClosed(net::Connection& connection) override;

 private:
  enum class Query { kHealth, kCatalog };
  void Ask(Query query);
  void Answered(const Head& head, const std::string& body);  // throws Malformed
  void Failed(const std::string& why);
  void Merge();

  net::EventLoop& loop_;
  const config::Http& config_;
  const config::ConsulService& service_;
  Changed changed_;
  std::unique_ptr<net::Connection> connection_;
  std::unique_ptr<net::Connection> old_;  // closed in this round
  net::TimerQueue::Id timer_{};
  Query query_ = Query::kHealth;
  BodyReader body_;
  std::uint64_t index_ = 0;
  std::uint64_t next_index_ = 0;
  unsigned failures_ = 0;
  std::map<std::string, Availability> health_;  // by NODE/SERVICE-ID, as answered last
  std::map<std::string, Node> catalog_;
  std::map<std::string, Node> told_;
  bool listed_ = false;
};

}  // namespace tinspan::http
