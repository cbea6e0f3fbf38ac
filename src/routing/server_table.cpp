#include "routing/server_table.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tinspan {

constexpr std::size_t kMinSlotsToReuse = 256;  // smaller tables keep the records of removed servers
constexpr double kNegligibleFills = 1e-9;      // sums of probabilities rarely return to exactly 0

void ServerTable::Apply(const EndpointsEvent& event) {
  if (event.kind != EndpointsEvent::Kind::kDelta) {
    for (Server& server : All()) server.endpoint.availability = Availability::kRemoved;
  }
  for (const EndpointInfo& endpoint : event.endpoints) Update(endpoint);
  if (All().size() > kMinSlotsToReuse) servers_.EraseIf(HasDeparted);
  for (auto& list : listed_) list.clear();
  for (ServerIndex index = 0; index < All().size(); ++index) {
    const Server& server = servers_[index];
    if (IsUsable(server)) listed_[static_cast<std::size_t>(server.role)].push_back(index);
  }
}

void ServerTable::Update(const EndpointInfo& endpoint) {
  Server& server = servers_[servers_.FindOrAdd(ToNumber(endpoint.id))];
  if (server.is_known && server.endpoint.started_at != endpoint.started_at) {
    const Load load = std::exchange(server, Server{}).load;
    server.load = {
        .in_flight = load.in_flight, .expected_fills = load.expected_fills, .capacity = load.capacity};
  }
  server.is_known = true;
  server.endpoint = endpoint;
  server.role = RoleOf(endpoint);
  const bool is_shared = server.role == Role::kParent || server.role == Role::kOrigin;
  server.load.senders = is_shared ? Senders::kAllZones : Senders::kOwnZone;
  server.load.admission_salt = ToNumber(endpoint.id);
  if (server.role == Role::kCache && !server.counter) server.counter = std::make_unique<EvolutiveCounter>();
}

bool ServerTable::HasDeparted(const Server& server) {
  return server.endpoint.availability == Availability::kRemoved && server.load.in_flight == 0 &&
         server.load.expected_fills < kNegligibleFills;
}

Role ServerTable::RoleOf(const EndpointInfo& endpoint) const {
  if (endpoint.kind == context_.settings.parent_kind) return Role::kParent;
  if (endpoint.kind == context_.settings.origin_kind) return Role::kOrigin;
  return endpoint.zone == context_.settings.zone ? Role::kCache : Role::kRemoteCache;
}

std::vector<ServerIndex> ServerTable::RendezvousOrder(Role role, ObjectId object) const {
  std::vector<std::pair<double, ServerIndex>> scored;
  for (const ServerIndex index : Listed(role)) {
    const Server& server = servers_[index];
    const std::uint64_t hash = MixHash(ToNumber(object), ToNumber(server.endpoint.id));
    const double unit = ToUnitInterval(hash) + 0x1p-54;  // the middle of the interval, so never 0
    scored.emplace_back(-std::log(unit) / Weight(server), index);
  }
  std::sort(scored.begin(), scored.end());
  std::vector<ServerIndex> order;
  order.reserve(scored.size());
  for (const auto& [score, index] : scored) order.push_back(index);
  return order;
}

double ServerTable::AdvertisedCapacity(const Server& server) const {
  const WeightMeaning meaning = context_.settings.weight_meaning;
  const bool is_size = meaning == WeightMeaning::kSize || meaning == WeightMeaning::kRough;
  return is_size ? std::max(0.0, server.endpoint.weight) : 0.0;
}

double ServerTable::Weight(const Server& server) const {
  const double capacity = AdvertisedCapacity(server);
  return capacity > 0 ? capacity : 1.0;
}

double ServerTable::InstanceCount(Senders senders) const {
  const Settings& settings = context_.settings;
  const std::size_t zone = ToNumber(settings.zone);
  const bool is_listed = senders == Senders::kOwnZone && zone < settings.zone_instance_counts.size();
  const std::uint32_t own_zone = is_listed ? settings.zone_instance_counts[zone] : 0;
  // Settings with no instance in this location are wrong, since this instance is there; then all instances
  // are counted.
  return std::max(1U, own_zone > 0 ? own_zone : settings.instance_count);
}

}  // namespace tinspan
