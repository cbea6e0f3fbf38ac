#include "core/purge_log.hpp"

namespace tinspan::core {

void PurgeLog::Add(Micros now, const PurgeReceived& event) {
  const Purge purge{event.purged_at, now};
  if (event.object) {
    AddNewest(objects_, *event.object, purge);
  } else {
    AddNewest(groups_, event.group, purge);
  }
}

bool PurgeLog::IsPurged(GroupId group, ObjectId object, Micros sent_at, Micros issued_at,
                        Micros purge_window) const {
  return AnyPurge(group, object, [&](const Purge& purge) {
    return issued_at < purge.purged_at && sent_at - purge.received_at >= purge_window;
  });
}

bool PurgeLog::IsOutdated(GroupId group, ObjectId object, Micros decided_at, Micros now,
                          Micros purge_window) const {
  return AnyPurge(group, object, [&](const Purge& purge) {
    return purge.received_at > decided_at && now - purge.received_at >= purge_window / 2;
  });
}

void PurgeLog::Prune(Micros now, Micros retention) {
  const auto is_old = [&](const auto& entry) { return now - entry.second.purged_at > retention; };
  std::erase_if(objects_, is_old);
  std::erase_if(groups_, is_old);
}

// Keeps the newest purge; an older one, for example a redelivered one, is ignored.
template <class Key>
void PurgeLog::AddNewest(std::unordered_map<Key, Purge>& purges, Key key, const Purge& purge) {
  const auto [position, added] = purges.try_emplace(key, purge);
  if (!added && purge.purged_at > position->second.purged_at) position->second = purge;
}

template <class Predicate>
bool PurgeLog::AnyPurge(GroupId group, ObjectId object, Predicate applies) const {
  const auto object_purge = objects_.find(object);
  if (object_purge != objects_.end() && applies(object_purge->second)) return true;
  const auto group_purge = groups_.find(group);
  return group_purge != groups_.end() && applies(group_purge->second);
}

}  // namespace tinspan::core
