// Valid random event sequences with fixed seeds. The resulting actions are checked against the rules of the
// interface.
#include <algorithm>
#include <map>
#include <random>
#include <sstream>

#include "routing/router_fixture.hpp"

namespace tinspan {
namespace {

struct AttemptState {
  bool is_in_flight = true;
  bool is_possibly_executed = false;
};

struct RequestState {
  RequestEvent event;
  Micros deadline{0};
  Micros answered_at{-1};  // below 0: no final response yet
  std::vector<AttemptState> attempts;
};

std::string ToText(const Actions& actions) {
  std::ostringstream text;
  for (const Action& action : actions) {
    text << action.index();
    if (const auto* sent = std::get_if<SendAttempt>(&action)) {
      text << ' ' << static_cast<std::uint64_t>(sent->id) << ' ' << static_cast<std::uint64_t>(sent->server)
           << ' ' << static_cast<std::uint64_t>(sent->source) << ' ' << sent->max_age.count();
    }
    text << '\n';
  }
  return text.str();
}

bool ProvesNotExecuted(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed ||
         outcome == Outcome::kNotSent || outcome == Outcome::kMiss;
}

// One random scenario: a series of requests, outcomes, endpoint changes, purges and time steps. The actions
// of each step are checked.
class RandomScenario {
 public:
  RandomScenario(unsigned seed, RouterFixture& fixture, RouterFixture* other_instance)
      : random_(seed), fixture_(fixture), other_instance_(other_instance) {
    fixture_.settings.can_hedge = seed % 2;
    fixture_.settings.can_bypass_cache = seed % 3 == 0;
    fixture_.settings.classes.push_back(
        {.effect = Effect::kNonIdempotent, .latency_objective = 500ms, .deadline = 3s, .priority_weight = 3});
    fixture_.settings.classes.push_back({.effect = Effect::kIdempotencyKey,
                                         .idempotency_scope = IdempotencyScope::kZone,
                                         .idempotency_window = 900ms,
                                         .latency_objective = 500ms,
                                         .deadline = 3s,
                                         .priority_weight = 3});
    for (const EndpointInfo& endpoint : fixture_.endpoints) availability_[endpoint.id] = Availability::kUp;
  }

  // Runs the scenario until a check fails and returns all actions as text.
  std::string Run() {
    fixture_.Start();
    if (other_instance_ != nullptr) other_instance_->Start();
    for (int step = 0; step < kSteps && !::testing::Test::HasFailure(); ++step) {
      const unsigned kind = Draw(20);
      if (other_instance_ != nullptr && step % 3 == 0) {
        other_instance_->now = fixture_.now;
        other_instance_->SendAndServe(Draw(50) + 1);
      }
      Step(kind);
      CheckDeadlines();
    }
    return text_;
  }

 private:
  static constexpr int kSteps = 4000;

  unsigned Draw(unsigned count) { return static_cast<unsigned>(random_() % count); }

  void Step(unsigned kind) {
    if (kind < 9) return SendRequest();
    if (kind < 16 && !in_flight_.empty()) return CompleteAttempt();
    if (kind == 16) return ChangeEndpoint();
    if (kind == 17) return Purge();
    AdvanceTime();
  }

  void SendRequest() {
    RequestEvent event = fixture_.Request(Draw(50) + 1, Draw(900));
    event.class_id = ClassId{Draw(3)};
    event.time_left = Micros{1000 * (200 + Draw(3000))};
    requests_[event.id] = {.event = event, .deadline = fixture_.now + event.time_left, .attempts = {}};
    fixture_.Handle(event);
    CheckActions();
  }

  void CompleteAttempt() {
    const std::size_t pick = Draw(static_cast<unsigned>(in_flight_.size()));
    const auto [request_id, attempt] = in_flight_[pick];
    in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(pick));
    RequestState& request = requests_[request_id];
    const Outcome outcome = Draw(2) ? Outcome::kServed : static_cast<Outcome>(Draw(9));
    request.attempts[attempt] = {.is_in_flight = false, .is_possibly_executed = !ProvesNotExecuted(outcome)};
    if (outcome == Outcome::kServed && request.answered_at < 0us) request.answered_at = fixture_.now;
    fixture_.Complete(request_id, attempt, outcome, static_cast<FillNote>(Draw(11)),
                      Micros{1000 * Draw(500)});
    CheckActions();
  }

  void ChangeEndpoint() {
    EndpointInfo endpoint = fixture_.endpoints[Draw(static_cast<unsigned>(fixture_.endpoints.size()))];
    endpoint.availability = static_cast<Availability>(Draw(3));
    if (Draw(2)) endpoint.started_at = fixture_.now - Micros{1000 * Draw(5000)};
    availability_[endpoint.id] = endpoint.availability;
    fixture_.UpdateEndpoints({endpoint});
    CheckActions();
  }

  void Purge() {
    const std::uint64_t object = Draw(50) + 1;
    const Micros age{1000 * Draw(400)};
    purged_at_[object] = std::max(purged_at_[object], fixture_.now - age);
    fixture_.Handle(PurgeEvent{.age = age, .object = ObjectId{object}});
    CheckActions();
  }

  // Advances in steps of one event interval, so that final responses get exact times.
  void AdvanceTime() {
    const Micros end = fixture_.now + Micros{1000 * Draw(60)};
    while (fixture_.now < end) {
      fixture_.AdvanceTime(std::min(Micros{2000}, end - fixture_.now));
      CheckActions();
      fixture_.actions.clear();
    }
  }

  void CheckActions() {
    text_ += ToText(fixture_.actions);
    for (const Action& action : fixture_.actions) {
      if (const auto* sent = std::get_if<SendAttempt>(&action)) {
        CheckSent(*sent);
      } else if (const auto* rejected = std::get_if<Reject>(&action)) {
        CheckRejected(*rejected);
      } else if (const auto* failed = std::get_if<Fail>(&action)) {
        CheckAnswered(requests_[failed->id]);
      }
    }
  }

  void CheckDeadlines() const {
    for (const auto& [request_id, request] : requests_) {
      EXPECT_TRUE(request.answered_at >= 0us ||
                  fixture_.now < request.deadline + fixture_.settings.response_grace);
    }
  }

  void CheckSent(const SendAttempt& sent) {
    RequestState& request = requests_[sent.id];
    EXPECT_LT(request.answered_at, 0us) << "sent after the final response";
    CheckAvailability(sent);
    CheckEffect(request);
    CheckAge(sent, request);
    request.attempts.push_back({});
    EXPECT_LE(request.attempts.size(), fixture_.settings.max_attempts);
    in_flight_.emplace_back(sent.id, static_cast<std::uint32_t>(request.attempts.size() - 1));
  }

  void CheckAvailability(const SendAttempt& sent) {
    EXPECT_EQ(availability_[sent.server], Availability::kUp) << "sent to a draining server";
    EXPECT_EQ(availability_[sent.source], Availability::kUp) << "filled from a draining server";
  }

  void CheckEffect(const RequestState& request) const {
    const Effect effect = EffectOf(request);
    const bool can_hedge = fixture_.settings.can_hedge && effect == Effect::kIdempotent;
    for (const AttemptState& attempt : request.attempts) {
      EXPECT_TRUE(can_hedge || !attempt.is_in_flight);
      EXPECT_FALSE(attempt.is_possibly_executed && effect == Effect::kNonIdempotent)
          << "a non-idempotent request could be executed twice";
    }
  }

  void CheckAge(const SendAttempt& sent, const RequestState& request) const {
    const auto purge = purged_at_.find(static_cast<std::uint64_t>(request.event.object));
    if (purge == purged_at_.end() || fixture_.now - purge->second >= 6s) return;
    EXPECT_GT(sent.max_age, 0us);
    EXPECT_LE(sent.max_age, std::max(fixture_.now - purge->second, Micros{1}));
  }

  void CheckRejected(const Reject& rejected) {
    RequestState& request = requests_[rejected.id];
    CheckAnswered(request);
    if (EffectOf(request) == Effect::kIdempotent) return;
    for (const AttemptState& attempt : request.attempts) {
      EXPECT_FALSE(attempt.is_in_flight || attempt.is_possibly_executed);
    }
  }

  void CheckAnswered(RequestState& request) const {
    EXPECT_LT(request.answered_at, 0us) << "more than one final response";
    request.answered_at = fixture_.now;
  }

  Effect EffectOf(const RequestState& request) const {
    return fixture_.settings.classes[static_cast<std::size_t>(request.event.class_id)].effect;
  }

  std::mt19937 random_;
  RouterFixture& fixture_;
  RouterFixture* other_instance_;
  std::map<RequestId, RequestState> requests_;
  std::map<std::uint64_t, Micros> purged_at_;  // by object
  std::map<ServerId, Availability> availability_;
  std::vector<std::pair<RequestId, std::uint32_t>> in_flight_;  // request and index of the attempt
  std::string text_;
};

TEST(Invariants, HoldInRandomScenarios) {
  for (unsigned seed = 1; seed <= 12; ++seed) {
    RouterFixture fixture;
    RandomScenario(seed, fixture, nullptr).Run();
    ASSERT_FALSE(HasFailure()) << "seed " << seed;
  }
}

TEST(Invariants, EqualEventsGiveEqualActions) {
  RouterFixture first;
  RouterFixture second;
  const std::string actions = RandomScenario(5, first, nullptr).Run();
  EXPECT_EQ(actions, RandomScenario(5, second, nullptr).Run());
}

// The other instance has its own sequence of requests, so only shared state could cause a difference.
TEST(Invariants, AnotherInstanceInTheProcessChangesNoAction) {
  RouterFixture other;
  RouterFixture concurrent;
  concurrent.Start();
  for (std::uint64_t object = 1; object < 500; ++object) {
    other.now = concurrent.now;
    if (object == 1) other.Start();
    other.SendAndServe(object * 3);
    concurrent.SendAndServe(object);
  }
  RouterFixture alone;
  alone.Start();
  for (std::uint64_t object = 1; object < 500; ++object) {
    alone.SendAndServe(object);
    ASSERT_EQ(ToText(concurrent.actions), ToText(alone.actions));
  }
}

}  // namespace
}  // namespace tinspan
