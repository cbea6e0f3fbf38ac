// Property test of MembershipView under random schedules of faults: the views converge once the faults have
// ended.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "fleet_fixture.hpp"
#include "members/sim.hpp"
#include "members/types.hpp"

namespace tinspan::members {
namespace {

using namespace std::chrono_literals;

enum class FaultKind : std::uint8_t { kKill, kRestart, kPause, kPartition, kOneWayLink, kLoss, kLeave };
constexpr int kFaultKinds = 7;

// One fault in a schedule.
struct Fault {
  FaultKind kind = FaultKind::kKill;
  int member = 0;
  int other = 0;           // one-way link: the destination of the blocked direction
  std::uint32_t side = 0;  // partition: bit set of the members on one side
  int millis = 0;          // pause: its length; all kinds: twice the time that passes before the fault
  double loss = 0;         // loss: fraction of datagrams lost from then on
};

// Injects faults into a fleet whose members below kSeeds are its seeds. Seeds may be paused or disconnected,
// but are neither killed nor made to leave.
class FaultInjector {
 public:
  static constexpr int kSeeds = 3;
  FaultInjector(sim::Fleet& fleet, int count)
      : fleet_(fleet), count_(count), is_killed_(static_cast<std::size_t>(count), false) {}

  // Runs the fleet for a while, then injects the fault.
  void Inject(const Fault& fault) {
    fleet_.RunFor(Micros{fault.millis * 1'000LL / 2});
    const int member = fault.member % count_;
    switch (fault.kind) {
      case FaultKind::kKill:
        return Kill(member);
      case FaultKind::kLeave:
        return Leave(member);
      case FaultKind::kRestart:
        return Restart(member);
      case FaultKind::kPause:
        return fleet_.Pause(member, fleet_.Now() + Micros{fault.millis * 1'000LL});
      case FaultKind::kPartition:
        return Partition(fault.side);
      case FaultKind::kOneWayLink:
        return BlockOneWay(member, fault.other % count_);
      case FaultKind::kLoss:
        return fleet_.SetLink({fault.loss, Micros{100}, Micros{2'000}});
    }
  }

 private:
  bool CanKill(int member) const { return member >= kSeeds && !is_killed_[member]; }
  void Kill(int member) {
    if (!CanKill(member)) return;
    fleet_.Kill(member);
    is_killed_[member] = true;
  }
  void Leave(int member) {
    if (!CanKill(member)) return;
    fleet_.Leave(member);
    Kill(member);
  }
  void Restart(int member) {
    if (!is_killed_[member]) return;
    fleet_.Restart(member);
    is_killed_[member] = false;
  }
  void Partition(std::uint32_t side_bits) {
    std::vector<int> side;
    for (int member = 0; member < count_; ++member) {
      if ((side_bits >> member & 1U) != 0) side.push_back(member);
    }
    fleet_.Partition(side);
  }
  void BlockOneWay(int source, int destination) {
    if (source != destination) fleet_.SetLinkBlocked(source, destination);
  }

  sim::Fleet& fleet_;
  int count_;
  std::vector<bool> is_killed_;
};

}  // namespace
}  // namespace tinspan::members

namespace rc {

template <>
struct Arbitrary<tinspan::members::Fault> {
  // NOLINTNEXTLINE(readability-identifier-naming): rapidcheck requires this name
  static Gen<tinspan::members::Fault> arbitrary() {
    using tinspan::members::Fault;
    using tinspan::members::FaultKind;
    const auto kinds = gen::map(gen::inRange(0, tinspan::members::kFaultKinds),
                                [](int kind) { return static_cast<FaultKind>(kind); });
    const auto losses = gen::map(gen::inRange(0, 25), [](int percent) { return percent / 100.0; });
    return gen::build<Fault>(
        gen::set(&Fault::kind, kinds), gen::set(&Fault::member, gen::inRange(0, 9)),
        gen::set(&Fault::other, gen::inRange(0, 9)), gen::set(&Fault::side, gen::arbitrary<std::uint32_t>()),
        gen::set(&Fault::millis, gen::inRange(0, 4'000)), gen::set(&Fault::loss, losses));
  }
};

}  // namespace rc

namespace tinspan::members {
namespace {

// Within 30 s after the faults have ended, the view of every running member has all running members alive and
// no other one alive or suspect. No running member is dead in any view.
RC_GTEST_PROP(FaultScheduleTest, ViewsConvergeAfterAnySchedule, ()) {
  const int count = *rc::gen::inRange(4, 10);
  const auto faults =
      *rc::gen::container<std::vector<Fault>>(*rc::gen::inRange(1, 7), rc::gen::arbitrary<Fault>());
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  sim::Fleet fleet(FastOptions(), seed);
  for (int member = 0; member < count; ++member) fleet.Add("", {0, 1, 2});
  RC_ASSERT(TimeToConverge(fleet, 20s) < 20s);
  FaultInjector injector(fleet, count);
  for (const Fault& fault : faults) injector.Inject(fault);
  fleet.RunFor(4s);  // the longest pause has ended
  fleet.UnblockAllLinks();
  fleet.SetLink({});
  RC_ASSERT(TimeToConverge(fleet, 40s) < 30s);
  RC_ASSERT(fleet.CountWronglyDead() == 0U);
}

}  // namespace
}  // namespace tinspan::members
