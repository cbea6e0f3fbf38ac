// How many requests servers bear, and which are rejected first.
#include "routing/router_fixture.hpp"

namespace tinspan {
namespace {

// Guards against overload: what cannot be answered in time is rejected at once, and capacity comes back.
TEST(CapacityEstimator, LearnsFromLatencyAndRejectsAtOnceWhatDoesNotFit) {
  RouterFixture fixture;
  fixture.Start();
  const auto send_many = [&fixture](std::uint64_t from) {
    std::vector<RequestId> sent;
    for (std::uint64_t object = from; object < from + 300; ++object) {
      fixture.Handle(fixture.Request(object));
      for (const SendAttempt& one : fixture.ActionsOf<SendAttempt>()) sent.push_back(one.id);
      EXPECT_EQ(fixture.ActionsOf<SendAttempt>().size() + fixture.ActionsOf<Reject>().size(), 1U);
    }
    return sent;
  };
  const auto first = send_many(1);
  EXPECT_LT(first.size(), 300U);
  for (const RequestId id : first) fixture.Complete(id, 0, Outcome::kServed, FillNote::kHit, 480ms);
  const auto second = send_many(1);
  EXPECT_LT(second.size(), first.size());
  for (const RequestId id : second) fixture.Complete(id, 0, Outcome::kServed, FillNote::kHit, 60ms);
  for (int i = 0; i < 20; ++i) {
    for (const RequestId id : send_many(1)) fixture.Complete(id, 0, Outcome::kServed, FillNote::kHit, 60ms);
  }
  EXPECT_GT(send_many(1).size(), second.size());
}

// Guards against congestion seen only by its survivors: attempts cut off late narrow the capacity (i150e8d),
// but only where fills come late as well; answers lost on the way must not choke what is in good order.
TEST(CapacityEstimator, ReducesCapacityByTimeoutsWhereFillsAreLate) {
  const auto accepted_after = [](Micros fill, Micros cut_off) {
    RouterFixture fixture;
    fixture.Start();
    for (std::uint64_t object = 1000; object < 1006; ++object) {
      fixture.Complete(fixture.Send(object).id, 0, Outcome::kServed, FillNote::kFilled, fill);
    }
    std::vector<RequestId> sent;
    const auto fill_up = [&] {
      sent.clear();
      for (std::uint64_t object = 1; object < 300; ++object) {
        fixture.Handle(fixture.Request(object));
        for (const SendAttempt& one : fixture.ActionsOf<SendAttempt>()) sent.push_back(one.id);
      }
    };
    fill_up();
    for (const RequestId id : std::vector<RequestId>(sent)) {
      fixture.Handle(ClientDisconnectedEvent{id});
      fixture.Complete(id, 0, Outcome::kCancelled, FillNote::kNone, cut_off);
    }
    fixture.AdvanceTime(20s);
    fill_up();
    return sent.size();
  };
  EXPECT_LT(accepted_after(900ms, 900ms), accepted_after(900ms, 100ms));
  EXPECT_EQ(accepted_after(60ms, 900ms), accepted_after(60ms, 100ms));
}

// Guards against a client's figure that is out of all proportion: others would be measured by it.
TEST(CapacityEstimator, IgnoresAnAbsurdSize) {
  const auto accepted = [](double size_kb) {
    RouterFixture fixture;
    fixture.Start();
    for (std::uint64_t object = 1; object < 100; ++object) fixture.SendAndServe(object);
    for (std::uint64_t object = 1; object < 20; ++object) {
      const RequestEvent event = fixture.Request(object, size_kb);
      fixture.Handle(event);
      fixture.Handle(ClientDisconnectedEvent{event.id});
      fixture.Complete(event.id, 0, Outcome::kCancelled);
    }
    int sent = 0;
    for (std::uint64_t object = 1; object < 100; ++object) {
      fixture.Handle(fixture.Request(object));
      sent += fixture.ActionsOf<SendAttempt>().empty() ? 0 : 1;
    }
    return sent;
  };
  EXPECT_LT(accepted(50), 99);
  EXPECT_EQ(accepted(50), accepted(1e6));
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
