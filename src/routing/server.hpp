// The records of one server. Each names the component that maintains it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

#include "routing/averages.hpp"
#include "routing/copy_statistics.hpp"
#include "tinspan/router.hpp"

namespace tinspan {

using ServerIndex = std::size_t;  // a server's slot in the ServerTable

enum class Role { kCache, kParent, kOrigin, kRemoteCache };  // kRemoteCache: a cache of another location
inline constexpr std::size_t kRoleCount = 4;

// The instances that send requests to a server: those of this Router's location, or all.
enum class Senders { kOwnZone, kAllZones };

// This instance's outstanding requests at a server, and the estimate of how many it can handle at a time
// (CapacityEstimator).
struct Load {
  Senders senders = Senders::kOwnZone;  // the instances that share the server's capacity
  std::uint64_t admission_salt = 0;     // for AdmissionDraw: the server's id, or 0 (no server's) for the link
  int in_flight = 0;                    // own attempts sent to the server
  double expected_fills = 0;  // expected number of fills that own attempts in flight request from it
  double capacity = 0;        // concurrent own requests, or fills at a source; 0: not set yet
  RunningMean late_rate{};    // share of late responses
};

// The health of a server (OutlierDetector).
struct Health {
  double failure_rate = 0;
  bool is_ejected = false;  // gets health probes only
  Micros last_responsive_at{-1};
  Micros last_reset_at{-1};
  Micros next_probe_at{0};
  int probe_backoff = 1;  // in connect timeouts
};

// The budget of a server that is warming up (SlowStartBudget).
struct SlowStart {
  double budget = 0;  // transfer time in seconds
  Micros updated_at{0};
};

struct Server {
  EndpointInfo endpoint;
  Role role = Role::kRemoteCache;
  bool is_known = false;  // false: the slot is free
  Load load;
  Health health;
  SlowStart slow_start;
  DecayingSum recent_work;                    // transfer time of recent work, seconds
  std::unique_ptr<EvolutiveCounter> counter;  // of the copies it was sent to cache; null: not an own cache
};

// Whether a server may get new requests.
inline bool IsUsable(const Server& server) {
  return server.is_known && server.endpoint.availability == Availability::kUp;
}

}  // namespace tinspan
