// The purges that copies must still be checked against.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "routing/context.hpp"
#include "tinspan/router.hpp"

namespace tinspan {

// Remembers the latest purge of each object and group for Settings::purge_retention.
class PurgeLedger {
 public:
  explicit PurgeLedger(const Context& context) : context_(context) {}

  void Record(const PurgeEvent& event);

  // Forgets the purges after which no older copy is left anywhere.
  void RemoveExpired();

  // When the request's object, or its group, was purged last; nothing where no purge is remembered.
  std::optional<Micros> LatestPurge(const RequestEvent& event) const;

 private:
  using PurgeTimes = std::unordered_map<std::uint64_t, Micros>;
  struct Entry {
    Micros expires_at;
    bool is_object;  // else a group
    std::uint64_t key;
    Micros purged_at;
  };

  const Context& context_;
  PurgeTimes objects_;
  PurgeTimes groups_;
  std::deque<Entry> entries_;  // by order of expiry
};

}  // namespace tinspan
