// The settings of a lease node, and the durations derived from them.
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

/// The settings of a lease node. All except `lease_names` must be the same at every member: with different
/// voters, two majorities need not intersect; different durations void the safety margin for clock drift.
struct LeaseOptions {
  std::vector<std::string> voters;       // 3, 5, 7 or 9 member names
  std::vector<std::string> lease_names;  // the leases that this node takes part in
  Micros lease_duration{10'000'000};     // by the voter's clock
  double max_clock_drift = 0.1;          // clocks run at 1 - drift to 1 + drift of true time; below 0.5
  Micros ballot_timeout{1'000'000};      // a candidate abandons a ballot after it; at most half a lease

  /// Whether a restarted voter that cannot recover from a serving majority of the other voters starts to vote
  /// after one more lease duration. The order of tokens then depends on the wall clocks. Two concurrent
  /// holders are impossible in either case.
  bool can_start_alone = true;

  /// The number of voters that have to agree.
  std::size_t Majority() const { return voters.size() / 2 + 1; }

  /// How long, by its own clock, a holder relies on a grant, counted from before it sent the proposal. Covers
  /// the worst case within the drift bound: the fastest voter clock and the slowest holder clock.
  Micros HolderValidity() const {
    const auto duration = static_cast<double>(lease_duration.count());
    return Micros{static_cast<std::int64_t>(duration * (1 - max_clock_drift) / (1 + max_clock_drift))};
  }

  /// How long, by its own clock, a voter keeps a promise. By then the candidate has abandoned the ballot,
  /// even with the fastest voter clock and the slowest candidate clock within the drift bound.
  Micros PromiseDuration() const {
    const auto timeout = static_cast<double>(ballot_timeout.count());
    return Micros{static_cast<std::int64_t>(timeout * (1 + max_clock_drift) / (1 - max_clock_drift)) + 1};
  }
};

}  // namespace tinspan::lease
