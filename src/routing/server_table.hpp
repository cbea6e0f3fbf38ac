// The servers that a Router knows, by slot, id and role.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "routing/context.hpp"
#include "routing/server.hpp"

namespace tinspan {

// Owns the servers' records. A server keeps its slot while it is known; references to records are void
// after Apply.
class ServerTable {
 public:
  explicit ServerTable(const Context& context) : context_(context) {}

  // Takes in a change of the endpoint list or a whole list.
  void Apply(const EndpointsEvent& event);

  Server& operator[](ServerIndex index) { return servers_[index]; }
  const Server& operator[](ServerIndex index) const { return servers_[index]; }
  std::vector<Server>& All() { return servers_; }

  // Usable servers of a role, by slot. Made anew when endpoints change, so that a request's cost follows
  // its location's size and not the fleet's.
  const std::vector<ServerIndex>& Listed(Role role) const { return listed_[static_cast<std::size_t>(role)]; }

  // The origin, where one is listed.
  std::optional<ServerIndex> Origin() const;

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
  void Update(const EndpointInfo& endpoint);
  ServerIndex SlotOf(std::uint64_t server_id);
  Role RoleOf(const EndpointInfo& endpoint) const;
  void FreeDepartedSlots();
  void RebuildLists();

  const Context& context_;
  std::vector<Server> servers_;
  std::unordered_map<std::uint64_t, ServerIndex> slots_;  // by server id; looked up only, never walked
  std::array<std::vector<ServerIndex>, kRoleCount> listed_;
};

}  // namespace tinspan
