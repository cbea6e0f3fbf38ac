// Watches one Consul service: health by blocking queries, nodes from the catalog.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "core/request_coordinator.hpp"
#include "front/http/consul_query.hpp"

namespace tinspan::http {

/// An instance of a service.
struct Node {
  EndpointInfo info;
  std::string name;  // NODE/SERVICE-ID
  net::Endpoint endpoint;
};

/// Sends consecutive blocking queries to /v1/health/service/NAME, and after each response a query to
/// /v1/catalog/service/NAME on a separate connection. Health changes of known nodes are reported immediately,
/// without waiting for the catalog. Only the catalog adds nodes, changes their address, and restores nodes
/// that were removed. Starts with the constructor; not thread-safe.
class ConsulWatch {
 public:
  /// Receives the changed nodes, removed ones included, and the index of the last health response. Called
  /// first when the catalog was received, also with no changes.
  using ChangeCallback = std::function<void(const std::vector<Node>& changes, std::uint64_t index)>;
  ConsulWatch(net::EventLoop& loop, const config::Gateway& config, const config::ConsulService& service,
              ChangeCallback on_change);
  /// Frees closed connections. Must be called once per round.
  void EndRound();

 private:
  void QueryHealth();
  void QueryCatalog();
  void OnHealth(std::uint64_t index, const std::string& body);  // throws Malformed
  void OnCatalog(const std::string& body);                      // throws Malformed
  void ReportChanges(bool from_catalog);

  const config::Gateway& config_;
  const config::ConsulService& service_;
  ChangeCallback on_change_;
  std::uint64_t index_ = 0;
  std::map<std::string, Availability> health_;  // by NODE/SERVICE-ID, from the last response
  std::map<std::string, Node> catalog_;
  std::map<std::string, Node> reported_;  // as last passed to on_change_
  bool is_catalog_outdated_ = false;      // health has changed since the catalog query was sent
  bool is_listed_ = false;                // the catalog was received at least once
  ConsulQuery health_query_;
  ConsulQuery catalog_query_;
};

}  // namespace tinspan::http
