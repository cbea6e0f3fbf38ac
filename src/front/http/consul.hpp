// Members from Consul: one service's health by blocking queries, its nodes from the catalogue.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "core/request_coordinator.hpp"
#include "front/http/consul_query.hpp"

namespace tinspan::http {

struct Node {
  EndpointInfo member;
  std::string name;  // NODE/SERVICE-ID
  net::Endpoint endpoint;
};

// Follows one service: blocking queries on /v1/health/service/NAME, one after the other, and after each
// answer /v1/catalog/service/NAME for the nodes, on a connection of its own. What health says of nodes that
// are known takes effect at once, however long the catalogue takes; the catalogue only adds nodes, moves
// them, and brings back those that were gone.
class ConsulWatch {
 public:
  using Changed = std::function<void(const std::vector<Node>& changes,
                                     std::uint64_t index)>;  // goners too; called first when listed
  ConsulWatch(net::EventLoop& loop, const config::Http& config, const config::ConsulService& service,
              Changed changed);
  void EndRound();

 private:
  void AskHealth();
  void AskCatalog();
  void OnHealth(std::uint64_t index, const std::string& body);  // throws Malformed
  void OnCatalog(const std::string& body);                      // throws Malformed
  void Merge(bool from_catalog);

  const config::Http& config_;
  const config::ConsulService& service_;
  Changed changed_;
  std::uint64_t index_ = 0;
  std::map<std::string, Availability> health_;  // by NODE/SERVICE-ID, as answered last
  std::map<std::string, Node> catalog_;
  std::map<std::string, Node> told_;
  bool again_ = false;  // health has changed since the catalogue was asked
  bool listed_ = false;
  ConsulQuery health_query_;
  ConsulQuery catalog_query_;
};

}  // namespace tinspan::http
