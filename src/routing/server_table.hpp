// The servers known to a Router, by slot, id and role.
#pragma once

#include <array>
#include <optional>
#include <vector>

#include "routing/context.hpp"
#include "routing/hash.hpp"
#include "routing/server.hpp"
#include "routing/slot_map.hpp"

namespace tinspan {

// Owns the records of the servers. A server keeps its slot while it is known. Apply invalidates references to
// records.
class ServerTable {
 public:
  explicit ServerTable(const Context& context) : context_(context) {}

  // Applies a change of the endpoint list or a complete list.
  void Apply(const EndpointsEvent& event);

  // Access by index, including free slots.
  Server& operator[](ServerIndex index) { return servers_[index]; }
  const Server& operator[](ServerIndex index) const { return servers_[index]; }
  std::vector<Server>& All() { return servers_.Values(); }

  // Usable servers of a role, by slot. Rebuilt when endpoints change, so that the cost of a request depends
  // on the size of its location and not on that of the fleet.
  const std::vector<ServerIndex>& Listed(Role role) const { return listed_[static_cast<std::size_t>(role)]; }

  // The origin; empty if none is listed.
  std::optional<ServerIndex> Origin() const {
    const std::vector<ServerIndex>& origins = Listed(Role::kOrigin);
    return origins.empty() ? std::nullopt : std::optional(origins.front());
  }

  // Usable servers of a role in the order of weighted rendezvous hashing (Thaler and Ravishankar, 1998). The
  // order is the same at all instances, and few objects move when a server is added or removed.
  std::vector<ServerIndex> RendezvousOrder(Role role, ObjectId object) const;

  // The capacity of a server in concurrent transfers, from the endpoint list; 0 if the list has none.
  double AdvertisedCapacity(const Server& server) const;

  // The weight of a server within its role: its advertised capacity, or 1 if unknown.
  double Weight(const Server& server) const;

  // The number of instances that share a server: those of this location, or all. At least 1.
  double InstanceCount(Senders senders) const;

 private:
  // Adds or updates a server. After a restart its statistics and health are reset; the load of own requests
  // and the estimated capacity stay.
  void Update(const EndpointInfo& endpoint);
  Role RoleOf(const EndpointInfo& endpoint) const;
  static bool HasDeparted(const Server& server);

  const Context& context_;
  SlotMap<Server> servers_;
  std::array<std::vector<ServerIndex>, kRoleCount> listed_;
};

}  // namespace tinspan
