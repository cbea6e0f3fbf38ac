// Measures whether a peer still receives what was written to it.
#pragma once

#include <cstdint>
#include <optional>

#include "net/clock.hpp"

namespace tinspan::net {

/// Tracks how many of the bytes written to one peer its system has acknowledged. The owner of the connection
/// passes in what it observes and the clock, at intervals of its choice. Not thread-safe.
class DeliveryProgress {
 public:
  /// Records that `delivered_bytes` bytes in total were acknowledged at `now`. The first call starts the
  /// measurement.
  void Observe(Micros now, std::uint64_t delivered_bytes) {
    if (last_progress_at_ && delivered_bytes == delivered_bytes_) return;
    last_progress_at_ = now;
    delivered_bytes_ = delivered_bytes;
  }
  /// How long nothing more has been acknowledged, as far as it was observed. Meaningful only while bytes are
  /// outstanding.
  Micros StalledFor(Micros now) const { return last_progress_at_ ? now - *last_progress_at_ : Micros{0}; }

 private:
  std::optional<Micros> last_progress_at_;
  std::uint64_t delivered_bytes_ = 0;
};

}  // namespace tinspan::net
