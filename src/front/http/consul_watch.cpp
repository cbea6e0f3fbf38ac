#include "front/http/consul_watch.hpp"

#include <simdjson.h>

#include <algorithm>
#include <utility>

#include "log/log.hpp"
#include "setup/setup.hpp"

namespace tinspan::http {
namespace {

using simdjson::dom::element;

constexpr Micros kResponseTimeout{2'000'000};  // of a query that does not block

std::string_view StringAt(const element& value, std::string_view pointer) {
  std::string_view text;
  return value.at_pointer(pointer).get(text) == simdjson::SUCCESS ? text : std::string_view();
}

simdjson::dom::array ParseList(simdjson::dom::parser& parser, const std::string& body, const char* field) {
  simdjson::dom::array out;
  if (parser.parse(body).get(out) != simdjson::SUCCESS) throw Malformed{field, "a JSON list"};
  return out;
}

// Passing and warning nodes are up and critical ones removed. A node in maintenance is draining; Consul
// expresses maintenance as a separate check that is always critical.
Availability AvailabilityOf(const element& entry) {
  Availability worst = Availability::kUp;
  simdjson::dom::array checks;
  if (entry["Checks"].get(checks) != simdjson::SUCCESS) return worst;
  for (const element check : checks) {
    const std::string_view id = StringAt(check, "/CheckID");
    if (StringAt(check, "/Status") != "critical") continue;
    if (id == "_node_maintenance" || id.starts_with("_service_maintenance:")) return Availability::kDraining;
    worst = Availability::kRemoved;
  }
  return worst;
}

}  // namespace

ConsulWatch::ConsulWatch(net::EventLoop& loop, const config::Gateway& config,
                         const config::ConsulService& service, ChangeCallback on_change)
    : config_(config),
      service_(service),
      on_change_(std::move(on_change)),
      health_query_(loop, config, "health of " + service.name,
                    [this](std::uint64_t index, const std::string& body) { OnHealth(index, body); }),
      catalog_query_(loop, config, "nodes of " + service.name,
                     [this](std::uint64_t, const std::string& body) { OnCatalog(body); }) {
  QueryHealth();
}

void ConsulWatch::EndRound() {
  health_query_.EndRound();
  catalog_query_.EndRound();
}

void ConsulWatch::QueryHealth() {
  const auto seconds = std::max<std::int64_t>(1, config_.consul_wait.count() / 1'000'000);
  // Consul responds to a blocking query within its wait time plus up to a sixteenth of it.
  health_query_.Start("/v1/health/service/" + service_.name + "?index=" + std::to_string(index_) +
                          "&wait=" + std::to_string(seconds) + "s",
                      kResponseTimeout + config_.consul_wait * 17 / 16);
}

// One query at a time. A change during a query may be missing from its response, so another query follows.
void ConsulWatch::QueryCatalog() {
  is_catalog_outdated_ = !catalog_query_.IsIdle();
  if (!is_catalog_outdated_) catalog_query_.Start("/v1/catalog/service/" + service_.name, kResponseTimeout);
}

void ConsulWatch::OnHealth(std::uint64_t index, const std::string& body) {
  simdjson::dom::parser parser;
  const simdjson::dom::array list = ParseList(parser, body, "health");
  health_.clear();
  for (const element entry : list) {
    const std::string name =
        std::string(StringAt(entry, "/Node/Node")) + "/" + std::string(StringAt(entry, "/Service/ID"));
    health_[name] = AvailabilityOf(entry);
  }
  // An index that decreases (for example after a restore from a snapshot) is reset to 0; otherwise it is at
  // least 1, because a query with index 0 does not block.
  index_ = index < index_ ? 0 : std::max<std::uint64_t>(index, 1);
  if (is_listed_) ReportChanges(false);
  QueryHealth();
  QueryCatalog();
}

void ConsulWatch::OnCatalog(const std::string& body) {
  simdjson::dom::parser parser;
  std::map<std::string, Node> nodes;
  for (const element entry : ParseList(parser, body, "catalog")) {
    Node node;
    node.name = std::string(StringAt(entry, "/Node")) + "/" + std::string(StringAt(entry, "/ServiceID"));
    std::string_view address = StringAt(entry, "/ServiceAddress");
    if (address.empty()) address = StringAt(entry, "/Address");
    std::uint64_t port = 0;
    if (entry["ServicePort"].get(port) != simdjson::SUCCESS) port = 0;
    const auto endpoint = net::Endpoint::Parse(std::string(address) + ":" + std::to_string(port));
    if (!endpoint || port == 0) {
      log::Warn("consul.no_address", {{"node", node.name}}, "Consul: node {} has no usable address and port",
                node.name);
      continue;
    }
    node.endpoint = *endpoint;
    const std::string_view zone = StringAt(entry, "/ServiceMeta/zone");
    const Names& zones = config_.site.zones;
    const auto zone_position =
        std::find(zones.begin(), zones.end(), zone.empty() ? config_.consul_zone : std::string(zone));
    if (zone_position == zones.end()) {
      log::Warn("consul.unknown_zone", {{"node", node.name}, {"zone", zone}},
                "Consul: the zone of node {} is not in the settings", node.name);
      continue;
    }
    node.info.id = HashName(node.name);
    node.info.zone = ZoneId{static_cast<std::uint32_t>(zone_position - zones.begin())};
    node.info.kind = KindId{IndexOf(config_.site.kinds, service_.kind, "kind")};
    std::uint64_t weight = 0;
    if (entry.at_pointer("/ServiceWeights/Passing").get(weight) == simdjson::SUCCESS && weight > 0) {
      node.info.weight = static_cast<double>(weight);
    }
    nodes[node.name] = std::move(node);
  }
  catalog_ = std::move(nodes);
  ReportChanges(true);
  log::Debug("consul.listed", {{"service", service_.name}, {"nodes", catalog_.size()}},
             "Consul, nodes listed: {}, {} of them", service_.name, catalog_.size());
  if (is_catalog_outdated_) QueryCatalog();
}

// Reports what has changed since the last report. A node that appears after the first list has just started,
// so its cache is cold.
void ConsulWatch::ReportChanges(bool from_catalog) {
  std::vector<Node> changes;
  for (auto& [name, node] : catalog_) {
    const auto health = health_.find(name);
    node.info.availability = health == health_.end() ? Availability::kRemoved : health->second;
    const auto previous = reported_.find(name);
    const bool was_present =
        previous != reported_.end() && previous->second.info.availability != Availability::kRemoved;
    if (!was_present && node.info.availability == Availability::kRemoved) continue;
    if (!was_present && !from_catalog) continue;  // its address may have changed: wait for the catalog
    const bool has_moved = was_present && !(previous->second.endpoint == node.endpoint);
    if (was_present && !has_moved) {
      node.info.started_at = previous->second.info.started_at;
      if (previous->second.info.availability == node.info.availability) continue;
    } else if (is_listed_) {
      node.info.started_at = net::Now();
    }
    changes.push_back(node);
  }
  for (const auto& [name, node] : reported_) {
    if (catalog_.contains(name) || node.info.availability == Availability::kRemoved) continue;
    Node removed = node;
    removed.info.availability = Availability::kRemoved;
    changes.push_back(std::move(removed));
  }
  for (const Node& node : changes) {
    if (node.info.availability == Availability::kRemoved) {
      reported_.erase(node.name);  // bounds the map: many nodes are added and removed over a day
    } else {
      reported_[node.name] = node;
    }
  }
  if (!changes.empty() || !is_listed_) on_change_(changes, index_);
  is_listed_ = true;
}

}  // namespace tinspan::http
