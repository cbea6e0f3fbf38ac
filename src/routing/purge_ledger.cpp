#include "routing/purge_ledger.hpp"

#include <algorithm>

#include "routing/hash.hpp"

namespace tinspan {

void PurgeLedger::Record(const PurgeEvent& event) {
  const Micros purged_at = context_.now - event.age;
  PurgeTimes& purges = event.object ? objects_ : groups_;
  const std::uint64_t key = event.object ? ToNumber(*event.object) : ToNumber(event.group);
  const auto [known, added] = purges.try_emplace(key, purged_at);
  if (!added) known->second = std::max(known->second, purged_at);
  entries_.push_back(
      {context_.now + context_.settings.purge_retention, event.object.has_value(), key, purged_at});
}

void PurgeLedger::RemoveExpired() {
  while (!entries_.empty() && entries_.front().expires_at < context_.now) {
    const Entry& entry = entries_.front();
    PurgeTimes& purges = entry.is_object ? objects_ : groups_;
    const auto found = purges.find(entry.key);
    if (found != purges.end() && found->second <= entry.purged_at) purges.erase(found);
    entries_.pop_front();
  }
}

std::optional<Micros> PurgeLedger::LatestPurge(const RequestEvent& event) const {
  std::optional<Micros> purged_at;
  const auto object = objects_.find(ToNumber(event.object));
  if (object != objects_.end()) purged_at = object->second;
  const auto group = groups_.find(ToNumber(event.group));
  if (group != groups_.end()) purged_at = std::max(purged_at.value_or(group->second), group->second);
  return purged_at;
}

}  // namespace tinspan
