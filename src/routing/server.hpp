// What a Router remembers of one server. Plain records: the units that decide from them are named beside.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

#include "routing/averages.hpp"
#include "routing/copy_statistics.hpp"
#include "tinspan/router.hpp"

namespace tinspan {

using ServerIndex = std::size_t;  // a server's slot in the ServerTable

enum class Role { kCache, kParent, kOrigin, kRemoteCache };  // kRemoteCache: of another location
inline constexpr std::size_t kRoleCount = 4;

// Which instances send requests to a server: those of this Router's location, or all.
enum class Senders { kOwnZone, kAllZones };

// Own requests outstanding, and how many were seen to be borne at once (CapacityEstimator).
struct Load {
  Senders senders = Senders::kOwnZone;  // whose requests the server's whole capacity serves
  std::uint64_t draw_salt = 0;          // of AdmissionDraw: the server's id; 0, no server's, for the link
  int in_flight = 0;                    // own attempts sent there
  double expected_fills = 0;            // fills that own attempts will ask of it, as expected
  double capacity = 0;                  // own requests (fills, at a source) borne at once; 0: not set yet
  RunningMean late_rate{};              // share of its answers that came late
};

// Whether a server answers (OutlierDetector).
struct Health {
  double failure_rate = 0;
  bool is_ejected = false;  // gets health probes only
  Micros last_responsive_at{-1};
  Micros last_reset_at{-1};
  Micros next_probe_at{0};
  int probe_backoff = 1;  // in connect timeouts
};

// What may be sent to a server that warms up (SlowStartBudget).
struct SlowStart {
  double budget = 0;  // seconds of sending time
  Micros updated_at{0};
};

struct Server {
  EndpointInfo endpoint;
  Role role = Role::kRemoteCache;
  bool is_known = false;  // false: the slot is free
  Load load;
  Health health;
  SlowStart slow_start;
  DecayingSum work;                           // sending time asked of it, seconds
  std::unique_ptr<EvolutiveCounter> counter;  // of the copies sent there to be cached; own caches only
};

// Whether a server may be sent new requests at all.
inline bool IsUsable(const Server& server) {
  return server.is_known && server.endpoint.availability == Availability::kUp;
}

}  // namespace tinspan
