// The purges that responses and attempts are checked against.
#pragma once

#include <unordered_map>

#include "core/events.hpp"

namespace tinspan::core {

/// Stores the newest purge of each object and group. It reads no clock.
class PurgeLog {
 public:
  /// Adds a purge that was received at `now`.
  void Add(Micros now, const PurgeReceived& event);
  /// Whether a copy issued at `issued_at` is older than a purge that an attempt sent at `sent_at` had to
  /// respect: one received at least `purge_window` before `sent_at`.
  bool IsPurged(GroupId group, ObjectId object, Micros sent_at, Micros issued_at, Micros purge_window) const;
  /// Whether an attempt decided at `decided_at` must not be sent any more: a purge was received after the
  /// decision, so the attempt's maximum age does not cover it, and half of `purge_window` has passed since.
  bool IsOutdated(GroupId group, ObjectId object, Micros decided_at, Micros now, Micros purge_window) const;
  /// Erases purges older than `retention`.
  void Prune(Micros now, Micros retention);

 private:
  struct Purge {
    Micros purged_at{0};
    Micros received_at{0};
  };

  template <class Key>
  static void AddNewest(std::unordered_map<Key, Purge>& purges, Key key, const Purge& purge);
  // Whether `applies` is true for the newest purge of the object or of the group.
  template <class Predicate>
  bool AnyPurge(GroupId group, ObjectId object, Predicate applies) const;

  std::unordered_map<ObjectId, Purge> objects_;
  std::unordered_map<GroupId, Purge> groups_;
};

}  // namespace tinspan::core
