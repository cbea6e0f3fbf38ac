// A queue of timers with callbacks.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "net/clock.hpp"

namespace tinspan::net {

/// Timers ordered by due time; timers with the same due time run in the order in which they were set. Not
/// thread-safe.
class TimerQueue {
 public:
  /// Identifies a timer; never reused.
  using Id = std::pair<Micros, std::uint64_t>;
  using Callback = std::function<void(Micros now)>;

  /// Adds a timer that runs `callback` once at `due_at`.
  Id Set(Micros due_at, Callback callback);
  /// Cancels a timer. No effect if it has run or was cancelled already.
  void Cancel(const Id& id);
  /// Runs all timers due at `now`, including those that a callback sets for `now` or earlier.
  void Run(Micros now);
  /// When the next timer is due; empty if there is none.
  std::optional<Micros> Next() const;

 private:
  std::map<Id, Callback> callbacks_;
  std::uint64_t next_serial_ = 0;
};

}  // namespace tinspan::net
