#include "lease/candidate_selection.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>

namespace tinspan::lease {

std::vector<std::string> SelectCandidates(const std::string& lease, const std::vector<std::string>& alive,
                                          std::size_t count) {
  const std::uint64_t salt = XXH3_64bits(lease.data(), lease.size());
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  ranked.reserve(alive.size());
  for (const std::string& member : alive) {
    ranked.emplace_back(XXH3_64bits_withSeed(member.data(), member.size(), salt), member);
  }
  const auto selected_end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
  std::partial_sort(ranked.begin(), selected_end, ranked.end(), std::greater<>());
  std::vector<std::string> selected;
  for (auto entry = ranked.begin(); entry != selected_end; ++entry)
    selected.push_back(std::move(entry->second));
  return selected;
}

}  // namespace tinspan::lease
