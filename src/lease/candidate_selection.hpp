// Which members of the fleet try for a lease.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace tinspan::lease {

/// The `count` of the members `alive` with the highest hash of lease and member name, highest first
/// (rendezvous hashing: Thaler, Ravishankar, 1998): every member computes the same ones from the same view,
/// and different leases load different members.
std::vector<std::string> SelectCandidates(const std::string& lease, const std::vector<std::string>& alive,
                                          std::size_t count);

}  // namespace tinspan::lease
