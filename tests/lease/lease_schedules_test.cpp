// Property test of lease nodes under random schedules of faults, message loss, reordering and clock drift.
// The history of holds and writes must satisfy all invariants after each schedule.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cstdint>

#include "lease_fixture.hpp"

namespace tinspan::lease {
namespace {

struct Fault {
  enum class Kind {
    kKill,
    kRestart,
    kPause,
    kPartition,
    kCutLink,
    kLinkQuality,
    kLeave,
    kCutStore,
    kDelayStore,
    kSwapCandidates,
    kHeal,
  };
  Kind kind = Kind::kKill;
  int member = 0;  // negative: the current holder
  int other = 0;
  std::uint32_t side = 0;
  int millis = 0;
  int percent = 0;
};

}  // namespace
}  // namespace tinspan::lease

namespace rc {
template <>
struct Arbitrary<tinspan::lease::Fault> {
  // More than half of the faults affect the current holder.
  // NOLINTNEXTLINE(readability-identifier-naming): rapidcheck looks the function up by this name.
  static Gen<tinspan::lease::Fault> arbitrary() {
    using tinspan::lease::Fault;
    return gen::build<Fault>(
        gen::set(&Fault::kind, gen::cast<Fault::Kind>(gen::inRange(0, 11))),
        gen::set(&Fault::member, gen::inRange(-10, 7)), gen::set(&Fault::other, gen::inRange(0, 7)),
        gen::set(&Fault::side, gen::arbitrary<std::uint32_t>()),
        gen::set(&Fault::millis, gen::inRange(0, 3000)), gen::set(&Fault::percent, gen::inRange(0, 40)));
  }
};
}  // namespace rc

namespace tinspan::lease {
namespace {

using namespace std::chrono_literals;
using sim::Fleet;

constexpr Micros kPublishInterval{200'000};

// Either all wall clocks are exact and any number of voters may lose their state, or the wall clocks are off
// by up to an hour and a majority of voters keeps its state. If all state is lost while wall clocks are
// wrong, only the store can fence earlier holders; LostStateTest in lease_node_test.cpp covers that.
struct Scenario {
  std::size_t voter_count = 0;
  int member_count = 0;
  bool can_lose_majority = false;
};

Micros Millis(int count) { return std::chrono::milliseconds(count); }

class FaultInjector {
 public:
  FaultInjector(Fleet& fleet, const Scenario& scenario) : fleet_(fleet), scenario_(scenario) {}

  void Inject(const Fault& fault) {
    fleet_.RunFor(Millis(fault.millis) / 2);
    const int member = fault.member < 0 ? fleet_.Holder().value_or(0) : fault.member % scenario_.member_count;
    const int other = fault.other % scenario_.member_count;
    switch (fault.kind) {
      case Fault::Kind::kKill:
        return Kill(member);
      case Fault::Kind::kRestart:
        return Restart(member);
      case Fault::Kind::kPause:
        return fleet_.Pause(member, fleet_.Now() + Millis(fault.millis));
      case Fault::Kind::kPartition:
        return Partition(fault.side);
      case Fault::Kind::kCutLink:
        return CutLink(member, other);
      case Fault::Kind::kLinkQuality:
        return SetLinkQuality(fault);
      case Fault::Kind::kLeave:
        return fleet_.Leave(member);
      case Fault::Kind::kCutStore:
        return fleet_.CutStore(member, true);
      case Fault::Kind::kDelayStore:
        return fleet_.DelayStore(member, Millis(fault.millis));
      case Fault::Kind::kSwapCandidates:
        return SwapCandidates(member, other);
      case Fault::Kind::kHeal:
        return fleet_.Heal();
    }
  }

  // Ends all faults and makes every member a running candidate.
  void EndAll() {
    fleet_.RunFor(3s);  // the longest pause
    fleet_.Heal();
    fleet_.SetLinkQuality({});
    for (int i = 0; i < scenario_.member_count; ++i) {
      Restart(i);
      fleet_.SetCandidacy(i, true);
    }
  }

 private:
  // The number of voters that are not running or have not recovered their state.
  std::size_t VotersWithoutState() const {
    std::size_t count = 0;
    for (int i = 0; i < static_cast<int>(scenario_.voter_count); ++i) {
      if (!fleet_.IsRunning(i) || !fleet_.NodeOf(i).IsServing(Fleet::kLease)) ++count;
    }
    return count;
  }
  void Kill(int member) {
    const bool is_majority_safe = VotersWithoutState() < (scenario_.voter_count - 1) / 2;
    if (fleet_.IsRunning(member) && (scenario_.can_lose_majority || is_majority_safe)) fleet_.Kill(member);
  }
  void Restart(int member) {
    if (!fleet_.IsRunning(member)) fleet_.Restart(member);
  }
  void Partition(std::uint32_t side_bits) {
    std::vector<int> side;
    for (int i = 0; i < scenario_.member_count; ++i) {
      if ((side_bits >> i & 1) != 0) side.push_back(i);
    }
    fleet_.Partition(side);
  }
  void CutLink(int member, int other) {
    if (member != other) fleet_.CutLink(member, other);
  }
  void SetLinkQuality(const Fault& fault) {
    const std::int64_t extra_millis = fault.side % (fault.millis + 1);
    fleet_.SetLinkQuality(
        {fault.percent / 100.0, fault.percent / 80.0, Micros{100}, Micros{100 + extra_millis * 1'000}});
  }
  void SwapCandidates(int member, int other) {
    fleet_.SetCandidacy(member, false);
    fleet_.SetCandidacy(other, true);
  }

  Fleet& fleet_;
  Scenario scenario_;
};

// With a drift bound of 0 there is no safety margin that could hide a fault. With a bound of 0.1, clocks run
// as far apart as the bound allows.
LeaseOptions ArbitraryOptions(const Scenario& scenario) {
  LeaseOptions options = ShortLeaseOptions();
  options.max_clock_drift = *rc::gen::element(0.0, 0.1);
  options.ballot_timeout = options.lease_duration / *rc::gen::element(8, 2);
  options.can_start_alone = scenario.can_lose_majority;
  return options;
}

void AddMembers(Fleet& fleet, const Scenario& scenario, double max_clock_drift) {
  for (int i = 0; i < scenario.member_count; ++i) {
    const Micros wall_clock_offset = scenario.can_lose_majority
                                         ? Micros{0}
                                         : Micros{std::chrono::seconds(*rc::gen::inRange(-3'600, 3'600))};
    const double clock_rate = 1 + max_clock_drift * *rc::gen::element(-1.0, -0.5, 0.0, 0.5, 1.0);
    fleet.Add(clock_rate, wall_clock_offset);
  }
  for (int i = 0; i < scenario.member_count; ++i) fleet.SetCandidacy(i, true);
}

// Under every schedule, no two members hold the lease at the same time, tokens increase, and the writes that
// the store accepted are in order and without gaps. Once all faults have ended, a member holds the lease and
// publishes again.
RC_GTEST_PROP(Lease, EveryScheduleKeepsTheHistory, ()) {
  Scenario scenario;
  scenario.voter_count = *rc::gen::element<std::size_t>(3, 5);
  scenario.member_count = static_cast<int>(scenario.voter_count) + *rc::gen::inRange(0, 3);
  scenario.can_lose_majority = *rc::gen::arbitrary<bool>();
  const auto faults = *rc::gen::container<std::vector<Fault>>(
      *rc::gen::inRange(4, 25), rc::gen::resize(100, rc::gen::arbitrary<Fault>()));
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  const LeaseOptions options = ArbitraryOptions(scenario);
  Fleet fleet(options, scenario.voter_count, kPublishInterval, seed);
  AddMembers(fleet, scenario, options.max_clock_drift);
  fleet.RunFor(4s);
  FaultInjector injector(fleet, scenario);
  for (const Fault& fault : faults) injector.Inject(fault);
  injector.EndAll();
  fleet.RunFor(6s);
  const std::uint64_t number = fleet.Stored().number;
  fleet.RunFor(6s);
  const auto violation = fleet.RecordedHistory().FindViolation();
  if (violation) RC_LOG(*violation);
  RC_ASSERT(!violation);
  RC_ASSERT(fleet.Holder().has_value());
  RC_ASSERT(fleet.Stored().number > number);
  RC_CLASSIFY(fleet.RecordedHistory().GrantCount() > 2);
  RC_CLASSIFY(fleet.RecordedHistory().RejectedWrites() > 0);
}

}  // namespace
}  // namespace tinspan::lease
