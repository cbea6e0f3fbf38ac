// How many concurrent fills a location accepts.
#include <cmath>

#include "routing/router_fixture.hpp"

namespace tinspan {
namespace {

// A location with many parents, whose capacities together are far above that of its ingress link: slow fills
// would occupy all fill slots. Scans, flushes and warming caches all cause this.
struct ManyParentsFixture : RouterFixture {
  ManyParentsFixture() { StartWithManyParents(); }
  std::vector<RequestId> FillUp(std::uint64_t from = 1) {
    std::vector<RequestId> sent;
    for (std::uint64_t object = from; object < from + 300; ++object) {
      Handle(Request(object));
      for (const SendAttempt& one : ActionsOf<SendAttempt>()) sent.push_back(one.id);
    }
    return sent;
  }
};

TEST(IngressLink, BoundsTheFillsOfManyParents) {
  ManyParentsFixture fixture;
  const std::size_t first = fixture.FillUp().size();
  EXPECT_GT(first, 0U);
  EXPECT_LT(first, 30U);  // three caches or forty parents alone would accept more
}

TEST(IngressLink, ReducesCapacityWhereCachesHaveNoFillSlot) {
  ManyParentsFixture fixture;
  const std::vector<RequestId> first = fixture.FillUp();
  for (const RequestId request : first) {
    fixture.Handle(ClientDisconnectedEvent{request});
    fixture.Complete(request, 0, Outcome::kRejected, FillNote::kNoFillSlot);
  }
  EXPECT_LT(fixture.FillUp(5000).size(), first.size());
}

TEST(IngressLink, ReducesNoCapacityWhereFillsWaitedForTheirSource) {
  const auto accepted_after = [](Micros wait) {
    ManyParentsFixture fixture;
    for (const RequestId request : fixture.FillUp()) {
      fixture.Handle(OutcomeEvent{.id = request,
                                  .outcome = Outcome::kServed,
                                  .elapsed = 600ms,
                                  .is_finished = true,
                                  .note = FillNote::kFilled,
                                  .fill_wait = wait});
    }
    return fixture.FillUp().size();
  };
  EXPECT_GT(accepted_after(500ms), accepted_after(20ms));
}

// Guards against self-sustaining congestion: abandoned fills continue and still use the ingress link.
TEST(IngressLink, CountsAbandonedFillsForAWhile) {
  ManyParentsFixture fixture;
  // Late fills, so that later failures count as congestion and not as lost responses.
  for (std::uint64_t object = 2000; object < 2010; ++object) {
    fixture.Complete(fixture.Send(object).id, 0, Outcome::kServed, FillNote::kFilled, 900ms);
  }
  const std::vector<RequestId> first = fixture.FillUp();
  for (const RequestId request : first) {
    fixture.Handle(ClientDisconnectedEvent{request});
    fixture.Complete(request, 0, Outcome::kCancelled, FillNote::kNone, 100ms);
  }
  const std::vector<RequestId> second = fixture.FillUp(5000);
  EXPECT_LT(second.size(), first.size());
  for (const RequestId request : second) {
    fixture.Handle(ClientDisconnectedEvent{request});
    fixture.Complete(request, 0, Outcome::kNotSent);
  }
  fixture.AdvanceTime(20s);
  EXPECT_GT(fixture.FillUp(9000).size(), second.size());
}

// Guards against hundreds of disconnecting clients: their abandoned fills count as load, but if these blocked
// the ingress link, no later fill could show that it is free again.
TEST(IngressLink, IsNeverClosedByAbandonedFills) {
  ManyParentsFixture fixture;
  for (std::uint64_t object = 2000; object < 2010; ++object) {
    fixture.Complete(fixture.Send(object).id, 0, Outcome::kServed, FillNote::kFilled, 900ms);
  }
  for (std::uint64_t wave = 1; wave <= 50; ++wave) {
    for (const RequestId request : fixture.FillUp(10'000 * wave)) {
      fixture.Handle(ClientDisconnectedEvent{request});
      fixture.Complete(request, 0, Outcome::kCancelled, FillNote::kNone, 5ms);
    }
  }
  EXPECT_GE(fixture.FillUp(9'000'000).size(), 2U);
}

// A location with many instances, each of which sends few requests.
struct ManyInstancesFixture : HitOnlyFixture {
  ManyInstancesFixture() {
    settings.instance_count = 100;
    settings.zone_instance_counts = {10, 1};
    StartWithManyParents();
  }
  // Serves one request whose load report contains the utilization of the location's ingress link.
  void Report(double link_utilization) {
    const SendAttempt one = Send(next_id + 100'000);
    Handle(OutcomeEvent{.id = one.id,
                        .outcome = Outcome::kServed,
                        .elapsed = 60ms,
                        .is_finished = true,
                        .note = FillNote::kFilled,
                        .load = {.in_flight = 3, .link_utilization = link_utilization}});
  }
  std::size_t FillsAtOnce() {
    std::size_t sent = 0;
    for (std::uint64_t i = 0; i < 12; ++i) {
      Handle(Request(next_id + 200'000));
      sent += ActionsOf<SendAttempt>().size();
    }
    return sent;
  }
};

// Guards against a hundred instances that each stop at their own small number of fills while their shared
// ingress link is idle.
TEST(IngressLink, IsOpenWhileItsReportedUtilizationIsLow) {
  ManyInstancesFixture without_report;
  ManyInstancesFixture idle;
  ManyInstancesFixture full;
  ManyInstancesFixture outdated;
  const std::size_t unreported = without_report.FillsAtOnce();
  idle.Report(0.2);
  const std::size_t open = idle.FillsAtOnce();
  EXPECT_GT(open, unreported);
  EXPECT_GE(open, 9U);
  full.Report(1.5);
  EXPECT_LE(full.FillsAtOnce(), unreported);
  outdated.Report(0.2);
  outdated.AdvanceTime(5s);  // the report is too old to be used
  EXPECT_LE(outdated.FillsAtOnce(), unreported);
}

// Guards against an ingress link with forty times the load it can carry while each instance stays within its
// own small capacity.
TEST(IngressLink, AcceptsFewFillsWhileItIsReportedOverfull) {
  std::size_t busy = 0;
  std::size_t overfull = 0;
  for (int i = 0; i < 20; ++i) {
    ManyInstancesFixture one;
    ManyInstancesFixture other;
    other.next_id = one.next_id += static_cast<std::uint64_t>(i) * 1000;
    one.Report(1.5);
    busy += one.FillsAtOnce();
    other.Report(40);
    overfull += other.FillsAtOnce();
  }
  EXPECT_GT(busy, 20U);
  EXPECT_LT(overfull, busy / 2);
}

// Guards against one invalid report that permanently blocks the ingress link or makes later reports
// ineffective.
TEST(IngressLink, IgnoresReportsOutOfRange) {
  for (const double bad : {std::nan(""), HUGE_VAL, -HUGE_VAL, 1e300, -5.0}) {
    ManyInstancesFixture fixture;
    fixture.Report(0.2);
    fixture.Report(bad);
    for (int i = 0; i < 20; ++i) fixture.Report(0.2);
    EXPECT_GE(fixture.FillsAtOnce(), 9U) << bad;
  }
}

}  // namespace
}  // namespace tinspan
