// The purges that responses and attempts are checked against.
#pragma once

#include <unordered_map>

#include "core/events.hpp"

namespace tinspan::core {

/// Remembers the newest purge of each object and group. It reads no clock.
class PurgeLog {
 public:
  void Add(Micros now, const PurgeReceived& event);
  /// Whether a copy issued at `issued_at` is older than a purge that an attempt sent at `sent_at` had to
  /// apply: one received at least `purge_window` before.
  bool IsPurged(GroupId group, ObjectId object, Micros sent_at, Micros issued_at, Micros purge_window) const;
  /// Whether a purge was received after an attempt was decided at `decided_at`, so that the age it asks for
  /// does not cover the purge, and half of `purge_window` has passed since.
  bool IsOutdated(GroupId group, ObjectId object, Micros decided_at, Micros now, Micros purge_window) const;
  /// Forgets purges older than `retention`.
  void Prune(Micros now, Micros retention);

 private:
  struct Purge {
    Micros purged_at{0};
    Micros received_at{0};
  };

  template <class Key>
  static void AddNewest(std::unordered_map<Key, Purge>& purges, Key key, const Purge& purge);
  // Whether `applies` holds for the purge of the group or of the object.
  template <class Predicate>
  bool AnyPurge(GroupId group, ObjectId object, Predicate applies) const;

  std::unordered_map<ObjectId, Purge> objects_;
  std::unordered_map<GroupId, Purge> groups_;
};

}  // namespace tinspan::core
