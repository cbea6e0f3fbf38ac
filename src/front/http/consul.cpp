#include "front/http/consul.hpp"

#include <simdjson.h>

#include <algorithm>
#include <utility>

#include "log/log.hpp"
#include "setup/setup.hpp"

namespace tinspan::http {
namespace {

using simdjson::dom::element;

constexpr Micros kAnswer{2'000'000};  // for an answer that does not wait for a change

std::string_view TextAt(const element& in, std::string_view pointer) {
  std::string_view text;
  return in.at_pointer(pointer).get(text) == simdjson::SUCCESS ? text : std::string_view();
}

simdjson::dom::array ReadList(simdjson::dom::parser& parser, const std::string& body, const char* field) {
  simdjson::dom::array out;
  if (parser.parse(body).get(out) != simdjson::SUCCESS) throw Malformed{field, "a JSON list"};
  return out;
}

// Passing and warning are up; in maintenance (a check of its own, always critical) it drains; critical is
// gone.
Availability HealthOf(const element& entry) {
  Availability worst = Availability::kUp;
  simdjson::dom::array checks;
  if (entry["Checks"].get(checks) != simdjson::SUCCESS) return worst;
  for (const element check : checks) {
    const std::string_view id = TextAt(check, "/CheckID");
    if (TextAt(check, "/Status") != "critical") continue;
    if (id == "_node_maintenance" || id.starts_with("_service_maintenance:")) return Availability::kDraining;
    worst = Availability::kRemoved;
  }
  return worst;
}

}  // namespace

ConsulWatch::ConsulWatch(net::EventLoop& loop, const config::Http& config,
                         const config::ConsulService& service, Changed changed)
    : config_(config),
      service_(service),
      changed_(std::move(changed)),
      health_query_(loop, config, "health of " + service.name,
                    [this](std::uint64_t index, const std::string& body) { OnHealth(index, body); }),
      catalog_query_(loop, config, "nodes of " + service.name,
                     [this](std::uint64_t, const std::string& body) { OnCatalog(body); }) {
  AskHealth();
}

void ConsulWatch::EndRound() {
  health_query_.EndRound();
  catalog_query_.EndRound();
}

void ConsulWatch::AskHealth() {
  const auto seconds = std::max<std::int64_t>(1, config_.consul_wait.count() / 1'000'000);
  // A blocking query may take its wait and up to a sixteenth more; longer than that is silence.
  health_query_.Ask("/v1/health/service/" + service_.name + "?index=" + std::to_string(index_) +
                        "&wait=" + std::to_string(seconds) + "s",
                    kAnswer + config_.consul_wait * 17 / 16);
}

// One at a time; what changed while it was out is not in its answer for certain.
void ConsulWatch::AskCatalog() {
  again_ = !catalog_query_.IsIdle();
  if (!again_) catalog_query_.Ask("/v1/catalog/service/" + service_.name, kAnswer);
}

void ConsulWatch::OnHealth(std::uint64_t index, const std::string& body) {
  simdjson::dom::parser parser;
  const simdjson::dom::array list = ReadList(parser, body, "health");
  health_.clear();
  for (const element entry : list) {
    const std::string name =
        std::string(TextAt(entry, "/Node/Node")) + "/" + std::string(TextAt(entry, "/Service/ID"));
    health_[name] = HealthOf(entry);
  }
  // An index that goes back (a server restored from a snapshot, say) starts over; one of 0 would not block.
  index_ = index < index_ ? 0 : std::max<std::uint64_t>(index, 1);
  if (listed_) Merge(false);
  AskHealth();
  AskCatalog();
}

void ConsulWatch::OnCatalog(const std::string& body) {
  simdjson::dom::parser parser;
  std::map<std::string, Node> nodes;
  for (const element entry : ReadList(parser, body, "catalog")) {
    Node node;
    node.name = std::string(TextAt(entry, "/Node")) + "/" + std::string(TextAt(entry, "/ServiceID"));
    std::string_view address = TextAt(entry, "/ServiceAddress");
    if (address.empty()) address = TextAt(entry, "/Address");
    std::uint64_t port = 0;
    if (entry["ServicePort"].get(port) != simdjson::SUCCESS) port = 0;
    const auto endpoint = net::Endpoint::Parse(std::string(address) + ":" + std::to_string(port));
    if (!endpoint || port == 0) {
      log::Warn("consul.no_address", {{"node", node.name}}, "Consul: {} has no address that can be used",
                node.name);
      continue;
    }
    node.endpoint = *endpoint;
    const std::string_view zone = TextAt(entry, "/ServiceMeta/zone");
    const Names& zones = config_.site.zones;
    const auto place =
        std::find(zones.begin(), zones.end(), zone.empty() ? config_.consul_zone : std::string(zone));
    if (place == zones.end()) {
      log::Warn("consul.unknown_zone", {{"node", node.name}, {"zone", zone}},
                "Consul: {} is in a zone that the settings do not list", node.name);
      continue;
    }
    node.member.id = HashName(node.name);
    node.member.zone = ZoneId{static_cast<std::uint32_t>(place - zones.begin())};
    node.member.kind = KindId{PlaceOf(config_.site.kinds, service_.kind, "kind")};
    std::uint64_t weight = 0;
    if (entry.at_pointer("/ServiceWeights/Passing").get(weight) == simdjson::SUCCESS && weight > 0) {
      node.member.weight = static_cast<double>(weight);
    }
    nodes[node.name] = std::move(node);
  }
  catalog_ = std::move(nodes);
  Merge(true);
  log::Debug("consul.listed", {{"service", service_.name}, {"nodes", catalog_.size()}},
             "Consul, nodes listed: {}, {} of them", service_.name, catalog_.size());
  if (again_) AskCatalog();
}

// What has changed since it was told last. New after the first list means just started: cold.
void ConsulWatch::Merge(bool from_catalog) {
  std::vector<Node> changes;
  for (auto& [name, node] : catalog_) {
    const auto health = health_.find(name);
    node.member.availability = health == health_.end() ? Availability::kRemoved : health->second;
    const auto known = told_.find(name);
    const bool was = known != told_.end() && known->second.member.availability != Availability::kRemoved;
    if (!was && node.member.availability == Availability::kRemoved) continue;
    if (!was && !from_catalog) continue;  // it may have come back elsewhere
    const bool moved = was && !(known->second.endpoint == node.endpoint);
    if (was && !moved) {
      node.member.started_at = known->second.member.started_at;
      if (known->second.member.availability == node.member.availability) continue;
    } else if (listed_) {
      node.member.started_at = net::Now();
    }
    changes.push_back(node);
  }
  for (const auto& [name, node] : told_) {
    if (catalog_.contains(name) || node.member.availability == Availability::kRemoved) continue;
    Node gone = node;
    gone.member.availability = Availability::kRemoved;
    changes.push_back(std::move(gone));
  }
  for (const Node& node : changes) {
    if (node.member.availability == Availability::kRemoved) {
      told_.erase(node.name);  // over a long day many come and go
    } else {
      told_[node.name] = node;
    }
  }
  if (!changes.empty() || !listed_) changed_(changes, index_);
  listed_ = true;
}

}  // namespace tinspan::http
