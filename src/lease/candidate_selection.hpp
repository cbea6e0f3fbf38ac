// Selects the members of the fleet that are candidates for a lease.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace tinspan::lease {

/// Returns the `count` members of `alive` with the highest hash of lease and member name, highest first
/// (rendezvous hashing: Thaler, Ravishankar, 1998); all of them if there are fewer. Members with the same
/// view select the same candidates, and different leases put load on different members.
std::vector<std::string> SelectCandidates(const std::string& lease, const std::vector<std::string>& alive,
                                          std::size_t count);

}  // namespace tinspan::lease
