// The core without sockets: what it promises whatever the Router decides.
#include "core/request_coordinator.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "coordinator_fixture.hpp"

namespace tinspan::core {
namespace {

class RequestCoordinatorTest : public ::testing::Test {
 protected:
  RequestCoordinatorTest() {
    HandleEvents(
        {EndpointsUpdated{EndpointsEvent::Kind::kFull,
                          {MakeMember(kFirstServer), MakeMember(kSecondServer), MakeMember(kOrigin)}}});
  }
  void HandleEvents(std::vector<Event> events, Micros elapsed = Micros{0}) {
    now_ += elapsed;
    commands_.clear();
    coordinator_.Handle(now_, events, commands_);
  }
  template <class Kind>
  std::vector<Kind> All() const {
    std::vector<Kind> out;
    for (const Command& command : commands_) {
      if (const auto* found = std::get_if<Kind>(&command)) out.push_back(*found);
    }
    return out;
  }
  RequestId ReceiveRequest(Micros time_left = Micros{2'500'000}) {
    const RequestId id = coordinator_.NextRequestId();
    HandleEvents({RequestReceived{
        .id = id, .time_left = time_left, .group = GroupId{7}, .object = ObjectId{99}, .size_kb = 50}});
    return id;
  }
  AttemptCompleted Completed(RequestId id, std::uint32_t attempt, Outcome outcome) {
    return {.id = id, .attempt = attempt, .outcome = outcome, .issued_at = now_};
  }
  Micros now_ = kStart;
  RequestCoordinator coordinator_{MakeSettings(), 1, kStart, {}};
  Commands commands_;
};

// Guards against clients that claim to wait for days: what is kept for a request ends with its class's time.
TEST_F(RequestCoordinatorTest, BoundsTheDeadlineByTheClass) {
  const RequestId id = ReceiveRequest(Micros{900'000'000'000});
  ASSERT_EQ(All<StartAttempt>().size(), 1u);
  EXPECT_EQ(All<StartAttempt>()[0].action.id, id);
  for (int step = 0; step < 60 && All<CompleteRequest>().empty(); ++step) HandleEvents({}, Micros{100'000});
  ASSERT_EQ(All<CompleteRequest>().size(), 1u);
  EXPECT_EQ(coordinator_.OpenRequests(), 0u);
}

TEST_F(RequestCoordinatorTest, GivesOneFinalAnswer) {
  const RequestId id = ReceiveRequest();
  ASSERT_EQ(All<StartAttempt>().size(), 1u);
  HandleEvents(
      {Completed(id, 0, Outcome::kServed), Completed(id, 0, Outcome::kServed), ClientDisconnected{id}});
  ASSERT_EQ(All<CompleteRequest>().size(), 1u);
  EXPECT_EQ(All<CompleteRequest>()[0].status, CompletionStatus::kServed);
  EXPECT_EQ(coordinator_.OpenRequests(), 0u);
}

TEST_F(RequestCoordinatorTest, AnswersAtTheDeadlineLessItsMarginAndAbortsBefore) {
  const RequestId id = ReceiveRequest(Micros{300'000});
  HandleEvents({}, Micros{290'000});  // nearly all of it is the attempt's
  EXPECT_TRUE(All<CompleteRequest>().empty());
  HandleEvents({}, Micros{8'000});  // 2 ms before the client gives up
  ASSERT_EQ(All<CompleteRequest>().size(), 1u);
  EXPECT_TRUE(All<CompleteRequest>()[0].deadline_exceeded);
  ASSERT_EQ(All<AbortAttempt>().size(), 1u);
  HandleEvents({Completed(id, 0, Outcome::kServed)});  // too late: dropped
  EXPECT_TRUE(All<CompleteRequest>().empty());
}

// One attempt out at a time: the next goes only with the end of the one before.
TEST_F(RequestCoordinatorTest, SendsAgainOnlyAfterTheEnd) {
  const RequestId id = ReceiveRequest();
  const ServerId first = All<StartAttempt>().at(0).action.server;
  HandleEvents({Completed(id, 0, Outcome::kRejected)});
  ASSERT_EQ(All<StartAttempt>().size(), 1u);
  EXPECT_NE(All<StartAttempt>()[0].action.server, first);
  EXPECT_EQ(All<StartAttempt>()[0].attempt, 1u);
  HandleEvents({Completed(id, 0, Outcome::kServed)});  // of the attempt that has ended already
  EXPECT_TRUE(All<CompleteRequest>().empty());
}

// A send that waits for its connection is looked at again right before it is written.
TEST_F(RequestCoordinatorTest, HoldsBackAQueuedSendPastItsDrain) {
  const RequestId id = ReceiveRequest();
  const ServerId server = All<StartAttempt>().at(0).action.server;
  EXPECT_TRUE(coordinator_.CanSend(now_, id, 0));
  HandleEvents(
      {EndpointsUpdated{EndpointsEvent::Kind::kDelta, {MakeMember(server, Availability::kDraining)}}});
  EXPECT_TRUE(coordinator_.CanSend(now_ + Micros{200'000}, id, 0));
  EXPECT_FALSE(coordinator_.CanSend(now_ + Micros{300'000}, id, 0));
  HandleEvents({EndpointsUpdated{EndpointsEvent::Kind::kDelta, {MakeMember(server, Availability::kRemoved)}}},
               Micros{100'000});
  EXPECT_FALSE(coordinator_.CanSend(now_ + Micros{200'000}, id, 0)) << "the time runs from the first word";
}

TEST_F(RequestCoordinatorTest, HoldsBackAQueuedSendPastAPurge) {
  const RequestId id = ReceiveRequest();
  HandleEvents({PurgeReceived{.purged_at = now_, .group = GroupId{7}}}, Micros{10'000});
  EXPECT_TRUE(coordinator_.CanSend(now_ + Micros{400'000}, id, 0));
  EXPECT_FALSE(coordinator_.CanSend(now_ + Micros{600'000}, id, 0));
}

TEST_F(RequestCoordinatorTest, PassesOnNoCopyOlderThanAPurge) {
  const Micros purged = now_;
  HandleEvents({PurgeReceived{.purged_at = purged, .object = ObjectId{99}}});
  now_ += Micros{1'500'000};
  const RequestId id = ReceiveRequest();
  ASSERT_EQ(All<StartAttempt>().size(), 1u);
  EXPECT_LE(All<StartAttempt>()[0].action.max_age, Micros{1'500'000});
  HandleEvents({AttemptCompleted{
      .id = id, .attempt = 0, .outcome = Outcome::kServed, .issued_at = purged - Micros{1}}});
  EXPECT_TRUE(All<CompleteRequest>().empty());
  ASSERT_EQ(All<StartAttempt>().size(), 1u);  // asked for elsewhere
  HandleEvents({AttemptCompleted{.id = id, .attempt = 1, .outcome = Outcome::kServed, .issued_at = now_}});
  ASSERT_EQ(All<CompleteRequest>().size(), 1u);
  EXPECT_EQ(All<CompleteRequest>()[0].status, CompletionStatus::kServed);
}

// A begun answer belongs to the client: no deadline, no other attempt, and a break is told as one.
TEST_F(RequestCoordinatorTest, ABegunAnswerIsFinishedOrBroken) {
  const RequestId id = ReceiveRequest(Micros{300'000});
  HandleEvents({ResponseStarted{.id = id, .attempt = 0, .issued_at = now_}});
  ASSERT_EQ(All<ForwardResponse>().size(), 1u);
  HandleEvents({}, Micros{3'000'000});
  EXPECT_TRUE(All<CompleteRequest>().empty());
  EXPECT_TRUE(All<AbortAttempt>().empty());
  HandleEvents({Completed(id, 0, Outcome::kReset)});
  ASSERT_EQ(All<CompleteRequest>().size(), 1u);
  EXPECT_EQ(All<CompleteRequest>()[0].status, CompletionStatus::kTruncated);
  EXPECT_TRUE(All<StartAttempt>().empty());
}

TEST_F(RequestCoordinatorTest, StopsWhatAClientLeaves) {
  const RequestId id = ReceiveRequest();
  HandleEvents({ClientDisconnected{id}});
  EXPECT_EQ(All<AbortAttempt>().size(), 1u);
  EXPECT_TRUE(All<CompleteRequest>().empty());
  EXPECT_FALSE(coordinator_.CanSend(now_, id, 0));
}

// A given-up request is answered at once, with advice on when to come back; it is not held to its deadline.
TEST_F(RequestCoordinatorTest, RejectsAtOnceWithAdvice) {
  RequestId id = ReceiveRequest();
  for (std::uint32_t attempt = 0; All<CompleteRequest>().empty(); ++attempt) {
    ASSERT_LT(attempt, 4u);
    HandleEvents({Completed(id, attempt, Outcome::kRejected)});
  }
  EXPECT_EQ(All<CompleteRequest>()[0].status, CompletionStatus::kRejected);
  EXPECT_EQ(All<CompleteRequest>()[0].retry_after, Micros{2'000'000});
  EXPECT_FALSE(All<CompleteRequest>()[0].deadline_exceeded);
}

// Guards against a repeat whose key lapses while the connection for it comes up: it would run once more.
TEST_F(RequestCoordinatorTest, ARepeatWaitsForItsConnectionOnlyWithinItsWindow) {
  coordinator_ = RequestCoordinator(WithClass(Effect::kIdempotencyKey, Micros{300'000}), 1, now_, {});
  HandleEvents(
      {EndpointsUpdated{EndpointsEvent::Kind::kFull,
                        {MakeMember(kFirstServer), MakeMember(kSecondServer), MakeMember(kOrigin)}}});
  const RequestId id = ReceiveRequest();
  const Micros first = now_;
  ASSERT_EQ(All<StartAttempt>().size(), 1u);
  EXPECT_TRUE(coordinator_.CanSend(first + Micros{350'000}, id, 0)) << "the first attempt starts the window";
  HandleEvents({Completed(id, 0, Outcome::kReset)}, Micros{200'000});
  ASSERT_EQ(All<StartAttempt>().size(), 1u);
  EXPECT_TRUE(coordinator_.CanSend(first + Micros{299'999}, id, 1));
  EXPECT_FALSE(coordinator_.CanSend(first + Micros{300'000}, id, 1));
}

// What proves that nothing ran starts no window.
TEST_F(RequestCoordinatorTest, AnAttemptThatNeverRanStartsNoWindow) {
  coordinator_ = RequestCoordinator(WithClass(Effect::kIdempotencyKey, Micros{300'000}), 1, now_, {});
  HandleEvents(
      {EndpointsUpdated{EndpointsEvent::Kind::kFull,
                        {MakeMember(kFirstServer), MakeMember(kSecondServer), MakeMember(kOrigin)}}});
  const RequestId id = ReceiveRequest();
  HandleEvents({Completed(id, 0, Outcome::kRejected)}, Micros{200'000});
  ASSERT_EQ(All<StartAttempt>().size(), 1u);
  EXPECT_TRUE(coordinator_.CanSend(now_ + Micros{900'000}, id, 1));
}

// A class that may run once: after a connection that broke with the request written whole there is no other.
TEST_F(RequestCoordinatorTest, OnceMeansOnceAfterAReset) {
  coordinator_ = RequestCoordinator(WithClass(Effect::kNonIdempotent, Micros{0}), 1, now_, {});
  HandleEvents(
      {EndpointsUpdated{EndpointsEvent::Kind::kFull,
                        {MakeMember(kFirstServer), MakeMember(kSecondServer), MakeMember(kOrigin)}}});
  const RequestId id = ReceiveRequest();
  ASSERT_EQ(All<StartAttempt>().size(), 1u);
  HandleEvents({Completed(id, 0, Outcome::kReset)}, Micros{20'000});
  EXPECT_TRUE(All<StartAttempt>().empty());
  ASSERT_EQ(All<CompleteRequest>().size(), 1u);
  EXPECT_EQ(All<CompleteRequest>()[0].status, CompletionStatus::kFailed)
      << "a refusal would promise that it never ran";
}

// What is open when SIGTERM comes is answered before SIGKILL may come, whatever its client allows, and what
// is out is called off.
TEST_F(RequestCoordinatorTest, WhatIsOpenIsAnsweredBeforeTheKill) {
  const RequestId id = ReceiveRequest();
  ASSERT_EQ(All<StartAttempt>().size(), 1u);
  coordinator_.StartDrain(ShutdownTimetable(now_, Micros{300'000}));  // SIGKILL after 1 s
  HandleEvents({}, Micros{849'000});
  EXPECT_TRUE(All<CompleteRequest>().empty());
  EXPECT_TRUE(coordinator_.CanSend(now_, id, 0));
  HandleEvents({}, Micros{2'000});
  ASSERT_EQ(All<CompleteRequest>().size(), 1u);
  EXPECT_NE(All<CompleteRequest>()[0].status, CompletionStatus::kServed);
  EXPECT_EQ(All<AbortAttempt>().size(), 1u);
  EXPECT_EQ(coordinator_.OpenRequests(), 0u);
  HandleEvents({}, Micros{5'000'000});  // nothing more at its own deadline
  EXPECT_TRUE(All<CompleteRequest>().empty());
}

}  // namespace
}  // namespace tinspan::core
