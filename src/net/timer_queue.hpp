// Callbacks at points in time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "net/clock.hpp"

namespace tinspan::net {

/// Callbacks by time; those of one time run in the order in which they were set. Not thread-safe.
class TimerQueue {
 public:
  /// Names one timer; never used twice.
  using Id = std::pair<Micros, std::uint64_t>;
  using Callback = std::function<void(Micros now)>;

  Id Set(Micros due_at, Callback callback);
  /// No effect where the timer has run or was cancelled before.
  void Cancel(const Id& id);
  /// Runs what is due at `now`, also what a callback sets for `now` or earlier.
  void Run(Micros now);
  /// When the next timer is due.
  std::optional<Micros> Next() const;

 private:
  std::map<Id, Callback> callbacks_;
  std::uint64_t next_serial_ = 0;
};

}  // namespace tinspan::net
