// The recent purges, which limit the age of copies.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "routing/context.hpp"
#include "tinspan/router.hpp"

namespace tinspan {

// Stores the latest purge of each object and group for Settings::purge_retention.
class PurgeLedger {
 public:
  explicit PurgeLedger(const Context& context) : context_(context) {}

  void Record(const PurgeEvent& event);

  // Removes the purges after which no older copy is left at any cache.
  void RemoveExpired();

  // Clock time of the latest purge of the request's object or group; empty if none is stored.
  std::optional<Micros> LatestPurge(const RequestEvent& event) const;

 private:
  using PurgeTimes = std::unordered_map<std::uint64_t, Micros>;
  struct Entry {
    Micros expires_at;
    bool is_object;  // false: a group
    std::uint64_t key;
    Micros purged_at;
  };

  const Context& context_;
  PurgeTimes objects_;
  PurgeTimes groups_;
  std::deque<Entry> entries_;  // in order of expiry
};

}  // namespace tinspan
