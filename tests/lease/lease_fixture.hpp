// Shared fixtures of the lease tests: options with short durations, a simulated fleet in which every member
// is a candidate, and a single node to which the test sends the voters' responses.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "lease/lease_node.hpp"
#include "lease/sim.hpp"

namespace tinspan::lease {

/// A lease duration of 1 s and a ballot timeout of 1/8 s, without voters and lease names.
inline LeaseOptions ShortLeaseOptions() {
  using namespace std::chrono_literals;
  LeaseOptions options;
  options.lease_duration = 1s;
  options.ballot_timeout = 125ms;
  return options;
}

/// ShortLeaseOptions with the lease kHealthLease and three voters, for a single node.
inline LeaseOptions ThreeVoterOptions() {
  LeaseOptions options = ShortLeaseOptions();
  options.voters = {"a", "b", "c"};
  options.lease_names = {kHealthLease};
  return options;
}

/// A fleet whose members are all candidates.
class CandidateFleet : public sim::Fleet {
 public:
  static constexpr Micros kPublishInterval{200'000};

  /// `clock_rates` sets the clock rates of the first members; the others have exact clocks.
  CandidateFleet(int member_count, std::size_t voter_count, std::uint64_t seed = 1,
                 const std::vector<double>& clock_rates = {})
      : Fleet(ShortLeaseOptions(), voter_count, kPublishInterval, seed) {
    for (int i = 0; i < member_count; ++i) {
      Add(i < static_cast<int>(clock_rates.size()) ? clock_rates[i] : 1.0);
    }
    for (int i = 0; i < member_count; ++i) SetCandidacy(i, true);
  }
};

/// Runs until a member other than `excluded` holds the lease. Returns the simulated time that this took, or
/// `limit` if it did not happen within that time.
inline Micros RunUntilHeld(sim::Fleet& fleet, Micros limit, int excluded = -1) {
  constexpr Micros kStep{10'000};
  for (Micros waited{0}; waited < limit; waited += kStep) {
    const auto holder = fleet.Holder();
    if (holder && *holder != excluded) return waited;
    fleet.RunFor(kStep);
  }
  return limit;
}

/// Runs until a member holds the lease, and checks that this takes less than `limit`. Returns that member.
inline int RunUntilFirstHolder(sim::Fleet& fleet, Micros limit) {
  EXPECT_LT(RunUntilHeld(fleet, 2 * limit), limit);
  return fleet.Holder().value();
}

inline void ExpectNoViolation(const sim::Fleet& fleet) {
  const auto violation = fleet.RecordedHistory().FindViolation();
  EXPECT_FALSE(violation) << *violation;
}

/// Returns the body of the node's first queued message, which must be of the type Body. Drops the others.
template <class Body>
Body TakeFirst(LeaseNode& node) {
  return std::get<Body>(node.DrainMessages().at(0).message.body);
}

/// Delivers a message about kHealthLease from `sender` to the node.
inline void Deliver(LeaseNode& node, Micros now, const std::string& sender, MessageBody body) {
  node.Receive(now, Message{kHealthLease, sender, std::move(body)});
}

/// A node of the member `self` that is a candidate for kHealthLease and has started its first ballot.
class CandidateNode : public testing::Test {
 protected:
  static constexpr Micros kStartedAt{125'000};
  static constexpr std::uint64_t kWallMs = 1'000;

  CandidateNode() {
    node.SetCandidacy(kHealthLease, true, Micros{0});
    node.Tick(kStartedAt, kWallMs);
    prepare = TakeFirst<Prepare>(node);
  }

  void Promised(Micros now, const std::string& voter) {
    Deliver(node, now, voter, Promise{prepare.ballot, prepare.request_id});
  }
  void Accepted(Micros now, const std::string& voter, const Propose& propose) {
    Deliver(node, now, voter, Accept{propose.ballot, propose.request_id});
  }
  /// Delivers the promises of a majority. Returns the proposal that the node sends.
  Propose ReachProposal(Micros now) {
    Promised(now, "a");
    Promised(now, "b");
    return TakeFirst<Propose>(node);
  }
  /// When the hold in force at `now` ends.
  Micros HeldUntil(Micros now) const { return now + node.StatusOf(kHealthLease, now).remaining; }

  LeaseOptions options = ThreeVoterOptions();
  LeaseNode node{options, "self", 1, Micros{0}};
  Prepare prepare;
};

}  // namespace tinspan::lease
