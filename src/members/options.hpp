// Parameters of the membership protocol.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "members/types.hpp"

namespace tinspan::members {

// Times hold at full local health; Lifeguard stretches them while this member is unwell.
struct Options {
  Micros probe_interval{1'000'000};
  Micros probe_timeout{500'000};     // for the ack of a direct ping
  int indirect_probes = 3;           // members asked to ping a silent target
  double suspicion_alpha = 4;        // shortest suspicion: alpha * log10(n) probe intervals
  double suspicion_beta = 6;         // longest suspicion: beta times the shortest
  int retransmit_multiplier = 4;     // an update is sent retransmit_multiplier * ceil(log10(n + 1)) times
  Micros sync_interval{10'000'000};  // of anti-entropy
  Micros dead_retention{60'000'000};
  int max_local_health = 8;                 // upper end of the local health multiplier; 0 is healthy
  std::size_t update_budget_bytes = 1'100;  // for the updates in one datagram
  std::vector<Address>
      seeds;  // members to join by; one that is not alive in the view is synced with at times
};

}  // namespace tinspan::members
