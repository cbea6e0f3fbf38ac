// How many requests servers bear, and which are rejected first.
#include "routing/router_fixture.hpp"

namespace tinspan {
namespace {

// Sends requests for as many objects, each of which is sent or rejected at once; those sent stay in flight.
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

// Guards against overload: what cannot be answered in time is rejected at once, and capacity comes back.
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

// How many requests are sent at once after fills that took `fill`, and attempts cancelled after `cut_off`.
std::size_t AcceptedAfter(Micros fill, Micros cut_off) {
  RouterFixture fixture;
  fixture.Start();
  for (std::uint64_t object = 1000; object < 1006; ++object) {
    fixture.Complete(fixture.Send(object).id, 0, Outcome::kServed, FillNote::kFilled, fill);
  }
  for (const RequestId request : SendMany(fixture, 299)) {
    fixture.Handle(ClientDisconnectedEvent{request});
    fixture.Complete(request, 0, Outcome::kCancelled, FillNote::kNone, cut_off);
  }
  fixture.AdvanceTime(20s);
  return SendMany(fixture, 299).size();
}

// Guards against congestion seen only by its survivors: attempts cut off late reduce the capacity (incident
// i150e8d), but only where fills come late as well; answers lost on the way must not choke what works.
TEST(CapacityEstimator, ReducesCapacityByTimeoutsWhereFillsAreLate) {
  EXPECT_LT(AcceptedAfter(900ms, 900ms), AcceptedAfter(900ms, 100ms));
}

TEST(CapacityEstimator, ReducesNoCapacityByTimeoutsWhereFillsAreInTime) {
  EXPECT_EQ(AcceptedAfter(60ms, 900ms), AcceptedAfter(60ms, 100ms));
}

// How many of 99 requests are sent after nineteen of this size whose clients disconnected.
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

// Guards against a client's figure that is out of all proportion: others would be measured by it.
TEST(CapacityEstimator, IgnoresAnAbsurdSize) {
  EXPECT_LT(AcceptedAfterRequestsOf(50), 99U);
  EXPECT_EQ(AcceptedAfterRequestsOf(50), AcceptedAfterRequestsOf(1e6));
}

// Guards against spending scarce capacity on what earns little for its sending time.
TEST(CapacityEstimator, RejectsLittlePriorityWeightForItsSendingTimeFirst) {
  RouterFixture fixture;
  fixture.Start();
  for (std::uint64_t object = 1; object < 200; ++object) {  // what requests are usually like
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
