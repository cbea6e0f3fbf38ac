// Tests the guarantees of the RequestCoordinator, which hold whatever the Router decides, without sockets.
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

// Guards against requests that are kept for days because their client claims to wait that long: the deadline
// is bounded by the class.
TEST_F(RequestCoordinatorTest, BoundsTheDeadlineByTheClass) {
  const RequestId id = ReceiveRequest(Micros{900'000'000'000});
  ASSERT_EQ(All<StartAttempt>().size(), 1u);
  EXPECT_EQ(All<StartAttempt>()[0].action.id, id);
  for (int step = 0; step < 60 && All<CompleteRequest>().empty(); ++step) HandleEvents({}, Micros{100'000});
  ASSERT_EQ(All<CompleteRequest>().size(), 1u);
  EXPECT_EQ(coordinator_.OpenRequests(), 0u);
}

// Guards against memory that grows with the rate of requests: the tasks of a request that had its final
// response stayed until its deadline.
TEST_F(RequestCoordinatorTest, KeepsNoTasksOfEndedRequests) {
  constexpr int kRequests = 50'000;
  constexpr std::size_t kMaxTasks = 4096;
  for (int number = 0; number < kRequests; ++number) HandleEvents({ClientDisconnected{ReceiveRequest()}});
  EXPECT_EQ(coordinator_.OpenRequests(), 0u);
  EXPECT_LE(coordinator_.ScheduledTasks(), kMaxTasks);
}

// Duplicate outcomes and a late disconnect must not produce a second response.
TEST_F(RequestCoordinatorTest, GivesOneFinalResponse) {
  const RequestId id = ReceiveRequest();
  ASSERT_EQ(All<StartAttempt>().size(), 1u);
  HandleEvents(
      {Completed(id, 0, Outcome::kServed), Completed(id, 0, Outcome::kServed), ClientDisconnected{id}});
  ASSERT_EQ(All<CompleteRequest>().size(), 1u);
  EXPECT_EQ(All<CompleteRequest>()[0].status, CompletionStatus::kServed);
  EXPECT_EQ(coordinator_.OpenRequests(), 0u);
}

// The final response is due 2 ms (response_margin) before the client's deadline, and the attempt is aborted.
TEST_F(RequestCoordinatorTest, CompletesAtTheDeadlineMinusTheMarginAndAbortsTheAttempt) {
  const RequestId id = ReceiveRequest(Micros{300'000});
  HandleEvents({}, Micros{290'000});  // the attempt may use nearly all of it
  EXPECT_TRUE(All<CompleteRequest>().empty());
  HandleEvents({}, Micros{8'000});  // 2 ms before the client's deadline
  ASSERT_EQ(All<CompleteRequest>().size(), 1u);
  EXPECT_TRUE(All<CompleteRequest>()[0].deadline_exceeded);
  ASSERT_EQ(All<AbortAttempt>().size(), 1u);
  HandleEvents({Completed(id, 0, Outcome::kServed)});  // too late: ignored
  EXPECT_TRUE(All<CompleteRequest>().empty());
}

// A request has one outstanding attempt at a time: a retry is sent only after the previous attempt ended.
TEST_F(RequestCoordinatorTest, RetriesOnlyAfterThePreviousAttemptEnded) {
  const RequestId id = ReceiveRequest();
  const ServerId first = All<StartAttempt>().at(0).action.server;
  HandleEvents({Completed(id, 0, Outcome::kRejected)});
  ASSERT_EQ(All<StartAttempt>().size(), 1u);
  EXPECT_NE(All<StartAttempt>()[0].action.server, first);
  EXPECT_EQ(All<StartAttempt>()[0].attempt, 1u);
  HandleEvents({Completed(id, 0, Outcome::kServed)});  // the attempt has already ended
  EXPECT_TRUE(All<CompleteRequest>().empty());
}

// An attempt that waits for a connection is checked again before it is written. The drain window starts when
// the server is first reported draining, and a later removal does not restart it.
TEST_F(RequestCoordinatorTest, DoesNotSendAQueuedAttemptPastTheDrainWindow) {
  const RequestId id = ReceiveRequest();
  const ServerId server = All<StartAttempt>().at(0).action.server;
  EXPECT_TRUE(coordinator_.CanSend(now_, id, 0));
  HandleEvents(
      {EndpointsUpdated{EndpointsEvent::Kind::kDelta, {MakeMember(server, Availability::kDraining)}}});
  EXPECT_TRUE(coordinator_.CanSend(now_ + Micros{200'000}, id, 0));
  EXPECT_FALSE(coordinator_.CanSend(now_ + Micros{300'000}, id, 0));
  HandleEvents({EndpointsUpdated{EndpointsEvent::Kind::kDelta, {MakeMember(server, Availability::kRemoved)}}},
               Micros{100'000});
  EXPECT_FALSE(coordinator_.CanSend(now_ + Micros{200'000}, id, 0))
      << "the drain window starts at the first report";
}

// Guards against an attempt that was decided before a purge and written after it: its maximum age does not
// cover the purge.
TEST_F(RequestCoordinatorTest, DoesNotSendAQueuedAttemptAfterAPurge) {
  const RequestId id = ReceiveRequest();
  HandleEvents({PurgeReceived{.purged_at = now_, .group = GroupId{7}}}, Micros{10'000});
  EXPECT_TRUE(coordinator_.CanSend(now_ + Micros{400'000}, id, 0));
  EXPECT_FALSE(coordinator_.CanSend(now_ + Micros{600'000}, id, 0));
}

// Guards against a server that returns a copy from before a purge although the request excluded it.
TEST_F(RequestCoordinatorTest, ServesNoCopyOlderThanAPurge) {
  const Micros purged = now_;
  HandleEvents({PurgeReceived{.purged_at = purged, .object = ObjectId{99}}});
  now_ += Micros{1'500'000};
  const RequestId id = ReceiveRequest();
  ASSERT_EQ(All<StartAttempt>().size(), 1u);
  EXPECT_LE(All<StartAttempt>()[0].action.max_age, Micros{1'500'000});
  HandleEvents({AttemptCompleted{
      .id = id, .attempt = 0, .outcome = Outcome::kServed, .issued_at = purged - Micros{1}}});
  EXPECT_TRUE(All<CompleteRequest>().empty());
  ASSERT_EQ(All<StartAttempt>().size(), 1u);  // retried on another server
  HandleEvents({AttemptCompleted{.id = id, .attempt = 1, .outcome = Outcome::kServed, .issued_at = now_}});
  ASSERT_EQ(All<CompleteRequest>().size(), 1u);
  EXPECT_EQ(All<CompleteRequest>()[0].status, CompletionStatus::kServed);
}

// Once a response is being forwarded, the deadline no longer applies and no other attempt starts. If the
// connection is lost, the client is notified that the response is truncated.
TEST_F(RequestCoordinatorTest, AStartedResponseIsCompletedOrTruncated) {
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

TEST_F(RequestCoordinatorTest, AbortsTheAttemptsOfADisconnectedClient) {
  const RequestId id = ReceiveRequest();
  HandleEvents({ClientDisconnected{id}});
  EXPECT_EQ(All<AbortAttempt>().size(), 1u);
  EXPECT_TRUE(All<CompleteRequest>().empty());
  EXPECT_FALSE(coordinator_.CanSend(now_, id, 0));
}

// A request without further attempts is rejected immediately with a retry-after time, not at its deadline.
TEST_F(RequestCoordinatorTest, RejectsImmediatelyWithRetryAfter) {
  RequestId id = ReceiveRequest();
  for (std::uint32_t attempt = 0; All<CompleteRequest>().empty(); ++attempt) {
    ASSERT_LT(attempt, 4u);
    HandleEvents({Completed(id, attempt, Outcome::kRejected)});
  }
  EXPECT_EQ(All<CompleteRequest>()[0].status, CompletionStatus::kRejected);
  EXPECT_EQ(All<CompleteRequest>()[0].retry_after, Micros{2'000'000});
  EXPECT_FALSE(All<CompleteRequest>()[0].deadline_exceeded);
}

// Guards against a second execution: the idempotency key of a retry may expire while the retry waits for its
// connection.
TEST_F(RequestCoordinatorTest, ARetryIsSentOnlyWithinTheIdempotencyWindow) {
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

// An outcome that proves that the server did not execute the request starts no idempotency window.
TEST_F(RequestCoordinatorTest, AnAttemptThatWasNotExecutedStartsNoIdempotencyWindow) {
  coordinator_ = RequestCoordinator(WithClass(Effect::kIdempotencyKey, Micros{300'000}), 1, now_, {});
  HandleEvents(
      {EndpointsUpdated{EndpointsEvent::Kind::kFull,
                        {MakeMember(kFirstServer), MakeMember(kSecondServer), MakeMember(kOrigin)}}});
  const RequestId id = ReceiveRequest();
  HandleEvents({Completed(id, 0, Outcome::kRejected)}, Micros{200'000});
  ASSERT_EQ(All<StartAttempt>().size(), 1u);
  EXPECT_TRUE(coordinator_.CanSend(now_ + Micros{900'000}, id, 1));
}

// A non-idempotent request is not retried after the connection was reset, since the server may have executed
// it.
TEST_F(RequestCoordinatorTest, ANonIdempotentRequestIsNotRetriedAfterAReset) {
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
      << "a rejection would claim that it was not executed";
}

// Requests that are open at SIGTERM are completed before SIGKILL can come, whatever their deadline, and their
// attempts are aborted.
TEST_F(RequestCoordinatorTest, CompletesOpenRequestsBeforeSigkill) {
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
  HandleEvents({}, Micros{5'000'000});  // no second response at the request's own deadline
  EXPECT_TRUE(All<CompleteRequest>().empty());
}

}  // namespace
}  // namespace tinspan::core
