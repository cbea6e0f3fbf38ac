// Reasons for which client connections are closed, as reported in the log and the statistics.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace tinspan::platform {

enum class ClientCloseReason : std::uint8_t {
  kPeer,              // the client closed the connection, or the connection failed
  kIdle,              // no request within the idle timeout
  kEvicted,           // closed while idle to make room for a new connection
  kDrained,           // closed by standby or shutdown with nothing open on it
  kDrainDeadline,     // closed by standby or shutdown at the deadline, while the client was still writing
  kDrainUndelivered,  // closed by standby or shutdown at the deadline, while responses were on their way
  kMalformed,         // the client sent malformed input
  kStalled,           // the client does not read its responses
  kRejected,          // not accepted: the connection limit is reached and no connection is idle
  kCount
};

/// Returns the name of a reason as it is logged and as it stands in the counters
/// `clients_ended_<name>_total`.
constexpr std::string_view Name(ClientCloseReason reason) {
  constexpr std::array<std::string_view, static_cast<std::size_t>(ClientCloseReason::kCount)> kNames{
      "peer",      "idle",    "evicted",    "drained", "drain_time_up", "drain_undelivered",
      "malformed", "stalled", "turned_away"};
  return kNames[static_cast<std::size_t>(reason)];
}

/// Number of connections closed, by reason.
using ClientCloseCounts = std::array<std::uint64_t, static_cast<std::size_t>(ClientCloseReason::kCount)>;

}  // namespace tinspan::platform
