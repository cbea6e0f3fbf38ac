// Why clients' connections ended, for the log and the statistics.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace tinspan::platform {

enum class ClientEnd : std::uint8_t {
  kPeer,         // the client closed it, or it broke
  kIdle,         // no request for too long
  kEvicted,      // idle, and its place was needed
  kDrained,      // standby or shutdown, at rest
  kDrainTimeUp,  // standby or shutdown, though its client was still writing
  kMalformed,    // what came cannot be read
  kStalled,      // it takes no responses
  kTurnedAway,   // no place for it
  kCount
};

constexpr std::string_view Name(ClientEnd reason) {
  constexpr std::array<std::string_view, static_cast<std::size_t>(ClientEnd::kCount)> kNames{
      "peer", "idle", "evicted", "drained", "drain_time_up", "malformed", "stalled", "turned_away"};
  return kNames[static_cast<std::size_t>(reason)];
}

/// How many connections ended for each reason.
using ClientEndCounts = std::array<std::uint64_t, static_cast<std::size_t>(ClientEnd::kCount)>;

}  // namespace tinspan::platform
