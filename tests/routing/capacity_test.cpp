// Capacity estimation, and which requests are rejected first.
#include "routing/router_fixture.hpp"

namespace tinspan {
namespace {

// Requests `object_count` objects. Each request is forwarded or rejected at once; returns the forwarded ones,
// which stay in flight.
std::vector<RequestId> SendMany(RouterFixture& fixture, std::uint64_t object_count) {
  std::vector<RequestId> sent;
  for (std::uint64_t object = 1; object <= object_count; ++object) {
    fixture.Handle(fixture.Request(object));
    for (const SendAttempt& attempt : fixture.ActionsOf<SendAttempt>()) sent.push_back(attempt.id);
    EXPECT_EQ(fixture.ActionsOf<SendAttempt>().size() + fixture.ActionsOf<Reject>().size(), 1U);
  }
  return sent;
}

void CompleteAll(RouterFixture& fixture, const std::vector<RequestId>& requests, Micros elapsed) {
  for (const RequestId request : requests) {
    fixture.Complete(request, 0, Outcome::kServed, FillNote::kHit, elapsed);
  }
}

// Guards against overload: requests that cannot be served in time are rejected at once, and the capacity
// recovers when responses are fast again.
TEST(CapacityEstimator, LearnsFromLatencyAndRejectsAtOnceWhatDoesNotFit) {
  RouterFixture fixture;
  fixture.Start();
  const std::vector<RequestId> first = SendMany(fixture, 300);
  EXPECT_LT(first.size(), 300U);
  CompleteAll(fixture, first, 480ms);
  const std::vector<RequestId> second = SendMany(fixture, 300);
  EXPECT_LT(second.size(), first.size());
  CompleteAll(fixture, second, 60ms);
  for (int i = 0; i < 20; ++i) CompleteAll(fixture, SendMany(fixture, 300), 60ms);
  EXPECT_GT(SendMany(fixture, 300).size(), second.size());
}

// Number of requests forwarded at once after fills that took `fill` and attempts cancelled after
// `cancelled_after`.
std::size_t AcceptedAfter(Micros fill, Micros cancelled_after) {
  RouterFixture fixture;
  fixture.Start();
  for (std::uint64_t object = 1000; object < 1006; ++object) {
    fixture.Complete(fixture.Send(object).id, 0, Outcome::kServed, FillNote::kFilled, fill);
  }
  for (const RequestId request : SendMany(fixture, 299)) {
    fixture.Handle(ClientDisconnectedEvent{request});
    fixture.Complete(request, 0, Outcome::kCancelled, FillNote::kNone, cancelled_after);
  }
  fixture.AdvanceTime(20s);
  return SendMany(fixture, 299).size();
}

// Guards against congestion that only completed responses report: attempts that are cancelled late must
// reduce the capacity (incident i150e8d), but only if fills are late as well. Lost responses alone must not
// reduce it.
TEST(CapacityEstimator, ReducesCapacityByTimeoutsWhereFillsAreLate) {
  EXPECT_LT(AcceptedAfter(900ms, 900ms), AcceptedAfter(900ms, 100ms));
}

TEST(CapacityEstimator, ReducesNoCapacityByTimeoutsWhereFillsAreInTime) {
  EXPECT_EQ(AcceptedAfter(60ms, 900ms), AcceptedAfter(60ms, 100ms));
}

// Number of 99 requests that are forwarded after nineteen requests of this size whose clients disconnected.
std::size_t AcceptedAfterRequestsOf(double size_kb) {
  RouterFixture fixture;
  fixture.Start();
  for (std::uint64_t object = 1; object < 100; ++object) fixture.SendAndServe(object);
  for (std::uint64_t object = 1; object < 20; ++object) {
    const RequestEvent event = fixture.Request(object, size_kb);
    fixture.Handle(event);
    fixture.Handle(ClientDisconnectedEvent{event.id});
    fixture.Complete(event.id, 0, Outcome::kCancelled);
  }
  return SendMany(fixture, 99).size();
}

// Guards against an unrealistic size from one client distorting the mean by which other requests are judged.
TEST(CapacityEstimator, IgnoresAnAbsurdSize) {
  EXPECT_LT(AcceptedAfterRequestsOf(50), 99U);
  EXPECT_EQ(AcceptedAfterRequestsOf(50), AcceptedAfterRequestsOf(1e6));
}

// Guards against scarce capacity being used for requests with a low priority weight per second of transfer
// time.
TEST(CapacityEstimator, RejectsLowValueDensityFirst) {
  RouterFixture fixture;
  fixture.Start();
  for (std::uint64_t object = 1; object < 200; ++object) {  // requests of a typical size
    fixture.Complete(fixture.Send(fixture.Request(object, 400)).id, 0, Outcome::kServed, FillNote::kHit,
                     60ms);
  }
  for (std::uint64_t object = 1; object < 100; ++object) fixture.Handle(fixture.Request(object, 400));
  fixture.Handle(fixture.Request(7, 2000));
  EXPECT_EQ(fixture.ActionsOf<Reject>().size(), 1U);
  int small = 0;
  for (std::uint64_t object = 1; object < 10; ++object) {
    fixture.Handle(fixture.Request(object, 5));
    small += static_cast<int>(fixture.ActionsOf<SendAttempt>().size());
  }
  EXPECT_GT(small, 0);
}

}  // namespace
}  // namespace tinspan
