// The servers that a Router knows, by slot, id and role.
#pragma once

#include <array>
#include <optional>
#include <vector>

#include "routing/context.hpp"
#include "routing/hash.hpp"
#include "routing/server.hpp"
#include "routing/slot_map.hpp"

namespace tinspan {

// Owns the servers' records. A server keeps its slot while it is known; references to records are void
// after Apply.
class ServerTable {
 public:
  explicit ServerTable(const Context& context) : context_(context) {}

  // Takes in a change of the endpoint list or a whole list.
  void Apply(const EndpointsEvent& event);

  // By index, free slots included.
  Server& operator[](ServerIndex index) { return servers_[index]; }
  const Server& operator[](ServerIndex index) const { return servers_[index]; }
  std::vector<Server>& All() { return servers_.Values(); }

  // Usable servers of a role, by slot. Made anew when endpoints change, so that a request's cost follows
  // its location's size and not the fleet's.
  const std::vector<ServerIndex>& Listed(Role role) const { return listed_[static_cast<std::size_t>(role)]; }

  // The origin, where one is listed.
  std::optional<ServerIndex> Origin() const {
    const std::vector<ServerIndex>& origins = Listed(Role::kOrigin);
    return origins.empty() ? std::nullopt : std::optional(origins.front());
  }

  // Usable servers of a role by weighted rendezvous hashing (Thaler and Ravishankar, 1998): in the same
  // order at all instances, and few objects move when a server comes or goes.
  std::vector<ServerIndex> RendezvousOrder(Role role, ObjectId object) const;

  // The size that the endpoint list tells of a server, in transfers at once; 0 where it tells none.
  double AdvertisedCapacity(const Server& server) const;

  // A server's part in its role: its advertised capacity, or 1.
  double Weight(const Server& server) const;

  // How many instances share a server: those of our own location, or all. At least 1.
  double InstanceCount(Senders senders) const;

 private:
  // A restarted server is empty, cold and blameless; own requests there and its size stay what they were.
  void Update(const EndpointInfo& endpoint);
  Role RoleOf(const EndpointInfo& endpoint) const;
  static bool HasDeparted(const Server& server);

  const Context& context_;
  SlotMap<Server> servers_;
  std::array<std::vector<ServerIndex>, kRoleCount> listed_;
};

}  // namespace tinspan
