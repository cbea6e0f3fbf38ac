// Measures whether a peer still receives what was written to it.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "net/clock.hpp"

namespace tinspan::net {

/// After which time without progress a peer counts as stalled. The system reports what a peer receives in
/// steps, whose length depends on the peer's receive buffer and on how fast it reads.
struct StallTimeouts {
  /// For a peer that was observed for less than this time: its first steps are short, since they fill its
  /// receive buffer.
  Micros initial;
  /// For a peer with short steps. A peer's timeout is twice its longest step, within [min, max].
  Micros min;
  Micros max;
};

/// Tracks how many of the bytes written to one peer its system has acknowledged. The owner of the connection
/// passes in what it observes and the clock, at intervals of its choice, while bytes are outstanding. Not
/// thread-safe.
class DeliveryProgress {
 public:
  /// Starts a measurement: bytes are outstanding again. What is known about the peer's steps is kept.
  void Restart(Micros now, std::uint64_t delivered_bytes) {
    last_progress_at_ = now;
    delivered_bytes_ = delivered_bytes;
  }
  /// Ends the measurement: everything was delivered.
  void Stop() { last_progress_at_.reset(); }
  /// Records that `delivered_bytes` bytes in total were acknowledged at `now`; starts a measurement if none
  /// is running.
  void Observe(Micros now, std::uint64_t delivered_bytes) {
    if (!last_progress_at_) return Restart(now, delivered_bytes);
    if (delivered_bytes == delivered_bytes_) return;
    const Micros step = now - *last_progress_at_;
    longest_step_ = std::max(longest_step_, step);
    observed_time_ += step;
    Restart(now, delivered_bytes);
  }
  /// Whether the peer has received nothing for longer than its timeout, as far as it was observed.
  bool IsStalled(Micros now, const StallTimeouts& timeouts) const {
    return last_progress_at_ && now - *last_progress_at_ > TimeoutOf(timeouts);
  }

 private:
  Micros TimeoutOf(const StallTimeouts& timeouts) const {
    if (observed_time_ < timeouts.initial) return timeouts.initial;
    return std::clamp(2 * longest_step_, timeouts.min, timeouts.max);
  }

  std::optional<Micros> last_progress_at_;  // empty: no measurement is running
  Micros longest_step_{0};
  Micros observed_time_{0};  // the sum of all steps
  std::uint64_t delivered_bytes_ = 0;
};

}  // namespace tinspan::net
