// Parameters of the membership protocol.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "members/types.hpp"

namespace tinspan::members {

// The probe times apply at full local health (multiplier 0); a higher Lifeguard multiplier lengthens them.
struct Options {
  Micros probe_interval{1'000'000};
  Micros probe_timeout{500'000};      // for the ack of a direct ping
  int indirect_probes = 3;            // members asked to ping a target that did not ack a direct ping
  double suspicion_alpha = 4;         // shortest suspicion timeout: alpha * log10(n) probe intervals
  double suspicion_beta = 6;          // longest suspicion timeout: beta times the shortest
  int retransmit_multiplier = 4;      // an update is sent retransmit_multiplier * ceil(log10(n + 1)) times
  Micros sync_interval{10'000'000};   // between anti-entropy exchanges, on average
  Micros dead_retention{60'000'000};  // after which a dead or left member is erased
  int max_local_health = 8;           // upper limit of the local health multiplier; 0 is healthy
  std::size_t update_budget_bytes = 1'100;  // for the updates in one datagram
  // Members to join through. A seed that is not alive in the view is at times chosen as a sync partner.
  std::vector<Address> seeds;
};

}  // namespace tinspan::members
