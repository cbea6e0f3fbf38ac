// The settings of a lease node, and the spans of time that are derived from them.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "lease/token.hpp"

namespace tinspan::lease {

/// The lease whose holder publishes the fleet's health.
constexpr const char* kHealthLease = "health";
/// The lease whose holder distributes operators' purges.
constexpr const char* kPurgeLease = "purge";

/// What a lease node is configured with. All but `lease_names` must be the same at every member: different
/// voters could each form a majority, and different spans void the safety margin for clock drift.
struct LeaseOptions {
  std::vector<std::string> voters;       // 3, 5, 7 or 9 member names
  std::vector<std::string> lease_names;  // the leases that this node takes part in
  Micros lease_duration{10'000'000};     // by the voter's clock
  double max_clock_drift = 0.1;          // clocks run at 1 - drift to 1 + drift of true time; below 0.5
  Micros ballot_timeout{1'000'000};      // after which a candidate abandons a ballot; at most half a lease

  /// Whether a voter that restarted, and cannot query a majority of the others, votes after one more lease
  /// duration all the same. The order of tokens then depends on wall clocks; two concurrent holders are
  /// impossible either way.
  bool can_start_alone = true;

  /// The number of voters that have to agree.
  std::size_t Majority() const { return voters.size() / 2 + 1; }

  /// How long a holder relies on a grant by its own clock, counted from before it sent the proposal: the
  /// voter's clock may be the fastest and the holder's the slowest that the drift bound allows.
  Micros HolderValidity() const {
    const auto duration = static_cast<double>(lease_duration.count());
    return Micros{static_cast<std::int64_t>(duration * (1 - max_clock_drift) / (1 + max_clock_drift))};
  }

  /// How long a voter keeps a promise by its own clock: until the candidate has abandoned the ballot by its.
  Micros PromiseDuration() const {
    const auto timeout = static_cast<double>(ballot_timeout.count());
    return Micros{static_cast<std::int64_t>(timeout * (1 + max_clock_drift) / (1 - max_clock_drift)) + 1};
  }
};

}  // namespace tinspan::lease
