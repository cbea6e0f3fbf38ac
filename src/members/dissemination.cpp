#include "members/dissemination.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "members/member_table.hpp"
#include "members/types.hpp"

namespace tinspan::members {

void DisseminationQueue::Enqueue(const std::string& name) { SetTransmitCount(name, 0); }

void DisseminationQueue::Remove(const std::string& name) {
  const auto found = transmits_by_name_.find(name);
  if (found == transmits_by_name_.end()) return;
  names_by_transmits_.erase({found->second, name});
  transmits_by_name_.erase(found);
}

std::vector<MemberUpdate> DisseminationQueue::NextUpdates(Micros now) {
  std::vector<MemberUpdate> updates;
  if (transmits_by_name_.empty()) return updates;
  std::vector<std::pair<int, std::string>> taken;
  std::size_t bytes = 0;
  for (const auto& entry : names_by_transmits_) {
    if (taken.size() >= kMaxUpdatesPerMessage) break;
    MemberUpdate update = ToUpdate(table_.Members().at(entry.second), now);
    const std::size_t size = EstimatedSize(update);
    if (bytes + size > options_.update_budget_bytes) break;
    bytes += size;
    updates.push_back(std::move(update));
    taken.push_back(entry);
  }
  const int limit = TransmitLimit();
  for (const auto& [transmits, name] : taken) {
    if (transmits + 1 >= limit) {
      Remove(name);
    } else {
      SetTransmitCount(name, transmits + 1);
    }
  }
  stats_.updates_sent += updates.size();
  return updates;
}

int DisseminationQueue::TransmitLimit() const {
  const auto live = static_cast<double>(table_.LiveCount());
  const int limit = options_.retransmit_multiplier * static_cast<int>(std::ceil(std::log10(live + 1)));
  return std::max(limit, 1);
}

void DisseminationQueue::SetTransmitCount(const std::string& name, int count) {
  Remove(name);
  transmits_by_name_.emplace(name, count);
  names_by_transmits_.emplace(count, name);
}

}  // namespace tinspan::members
