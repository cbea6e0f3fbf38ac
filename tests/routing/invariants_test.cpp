// Legal event sequences drawn with a fixed seed; the five rules are checked on what comes out.
#include <map>
#include <random>
#include <sstream>

#include "routing/router_fixture.hpp"

namespace tinspan {
namespace {

struct Held {
  RequestEvent event;
  Micros deadline{0};
  Micros answered{-1};
  std::vector<std::pair<bool, bool>> attempts;  // out, may have run
};

std::string Text(const Actions& actions) {
  std::ostringstream text;
  for (const Action& action : actions) {
    text << action.index();
    if (const auto* one = std::get_if<SendAttempt>(&action)) {
      text << ' ' << static_cast<std::uint64_t>(one->id) << ' ' << static_cast<std::uint64_t>(one->server)
           << ' ' << static_cast<std::uint64_t>(one->source) << ' ' << one->max_age.count();
    }
    text << '\n';
  }
  return text.str();
}

// Plays one drawn day and returns all actions as text.
std::string PlayDay(unsigned seed, RouterFixture& fixture, RouterFixture* other_instance) {
  std::mt19937 random(seed);
  const auto draw = [&](unsigned n) { return static_cast<unsigned>(random() % n); };
  fixture.settings.can_hedge = seed % 2;
  fixture.settings.can_bypass_cache = seed % 3 == 0;
  fixture.settings.classes.push_back(
      {.effect = Effect::kNonIdempotent, .latency_objective = 500ms, .deadline = 3s, .priority_weight = 3});
  fixture.settings.classes.push_back({.effect = Effect::kIdempotencyKey,
                                      .idempotency_scope = IdempotencyScope::kZone,
                                      .idempotency_window = 900ms,
                                      .latency_objective = 500ms,
                                      .deadline = 3s,
                                      .priority_weight = 3});
  fixture.Start();
  if (other_instance) other_instance->Start();
  std::map<RequestId, Held> held;
  std::map<std::uint64_t, Micros> purged;
  std::map<ServerId, Availability> state;
  std::string all;
  std::vector<std::pair<RequestId, std::uint32_t>> out;

  const auto check = [&] {
    all += Text(fixture.actions);
    for (const Action& action : fixture.actions) {
      if (const auto* sent = std::get_if<SendAttempt>(&action)) {
        Held& one = held[sent->id];
        EXPECT_LT(one.answered, 0us) << "sent after the final answer";
        EXPECT_EQ(state[sent->server], Availability::kUp) << "sent to a draining server";
        EXPECT_EQ(state[sent->source], Availability::kUp) << "filled from a draining server";
        const Effect effect = fixture.settings.classes[static_cast<std::size_t>(one.event.class_id)].effect;
        for (const auto& [is_out, may_have_run] : one.attempts) {
          EXPECT_FALSE(is_out && (!fixture.settings.can_hedge || effect != Effect::kIdempotent));
          EXPECT_FALSE(may_have_run && effect == Effect::kNonIdempotent) << "an effect could happen twice";
        }
        const auto purge = purged.find(static_cast<std::uint64_t>(one.event.object));
        if (purge != purged.end() && fixture.now - purge->second < 6s) {
          EXPECT_GT(sent->max_age, 0us);
          EXPECT_LE(sent->max_age, std::max(fixture.now - purge->second, Micros{1}));
        }
        one.attempts.emplace_back(true, false);
        EXPECT_LE(one.attempts.size(), fixture.settings.max_attempts);
        out.emplace_back(sent->id, static_cast<std::uint32_t>(one.attempts.size() - 1));
      } else if (const auto* refused = std::get_if<Reject>(&action)) {
        Held& one = held[refused->id];
        EXPECT_LT(one.answered, 0us) << "answered twice";
        one.answered = fixture.now;
        if (fixture.settings.classes[static_cast<std::size_t>(one.event.class_id)].effect !=
            Effect::kIdempotent) {
          for (const auto& attempt : one.attempts) EXPECT_FALSE(attempt.first || attempt.second);
        }
      } else if (const auto* failed = std::get_if<Fail>(&action)) {
        EXPECT_LT(held[failed->id].answered, 0us) << "answered twice";
        held[failed->id].answered = fixture.now;
      }
    }
  };
  for (const EndpointInfo& endpoint : fixture.endpoints) state[endpoint.id] = Availability::kUp;
  for (int step = 0; step < 4000; ++step) {
    const unsigned what = draw(20);
    if (other_instance && step % 3 == 0) {
      other_instance->now = fixture.now;
      other_instance->SendAndServe(draw(50) + 1);
    }
    if (what < 9) {
      RequestEvent event = fixture.Request(draw(50) + 1, draw(900));
      event.class_id = ClassId{draw(3)};
      event.time_left = Micros{1000 * (200 + draw(3000))};
      held[event.id] = {.event = event, .deadline = fixture.now + event.time_left, .attempts = {}};
      fixture.Handle(event);
      check();
    } else if (what < 16 && !out.empty()) {
      const std::size_t pick = draw(static_cast<unsigned>(out.size()));
      const auto [id, attempt] = out[pick];
      out.erase(out.begin() + static_cast<std::ptrdiff_t>(pick));
      Held& one = held[id];
      const Outcome outcome = draw(2) ? Outcome::kServed : static_cast<Outcome>(draw(9));
      const bool proves = outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed ||
                          outcome == Outcome::kNotSent || outcome == Outcome::kMiss;
      one.attempts[attempt] = {false, !proves};
      if (outcome == Outcome::kServed && one.answered < 0us) one.answered = fixture.now;
      fixture.Complete(id, attempt, outcome, static_cast<FillNote>(draw(11)), Micros{1000 * draw(500)});
      check();
    } else if (what == 16) {
      const EndpointInfo& endpoint = fixture.endpoints[draw(static_cast<unsigned>(fixture.endpoints.size()))];
      EndpointInfo changed = endpoint;
      changed.availability = static_cast<Availability>(draw(3));
      if (draw(2)) changed.started_at = fixture.now - Micros{1000 * draw(5000)};
      state[endpoint.id] = changed.availability;
      fixture.UpdateEndpoints({changed});
      check();
    } else if (what == 17) {
      const std::uint64_t object = draw(50) + 1;
      const Micros age{1000 * draw(400)};
      purged[object] = std::max(purged[object], fixture.now - age);
      fixture.Handle(PurgeEvent{.age = age, .object = ObjectId{object}});
      check();
    } else {
      const Micros end = fixture.now + Micros{1000 * draw(60)};
      while (fixture.now < end) {  // tick by tick, so that answers are dated right
        fixture.AdvanceTime(std::min(Micros{2000}, end - fixture.now));
        check();
        fixture.actions.clear();
      }
    }
    for (const auto& [id, one] : held) {
      EXPECT_TRUE(one.answered >= 0us || fixture.now < one.deadline + fixture.settings.answer_grace);
    }
    if (::testing::Test::HasFailure()) return all;
  }
  return all;
}

TEST(Rules, HoldOnDrawnDays) {
  for (unsigned seed = 1; seed <= 12; ++seed) {
    RouterFixture fixture;
    PlayDay(seed, fixture, nullptr);
    ASSERT_FALSE(HasFailure()) << "day " << seed;
  }
}

TEST(Rules, EqualEventsGiveEqualActionsWithAnotherInstanceBesideToo) {
  RouterFixture one, two, other_instance;
  const std::string first = PlayDay(5, one, nullptr);
  const std::string second = PlayDay(5, two, nullptr);
  EXPECT_EQ(first, second);
  // The other instance draws from its own stream, so only what the instances share could differ.
  RouterFixture three;
  three.Start();
  for (std::uint64_t object = 1; object < 500; ++object) {
    other_instance.now = three.now;
    if (object == 1) other_instance.Start();
    other_instance.SendAndServe(object * 3);
    three.SendAndServe(object);
  }
  RouterFixture four;
  four.Start();
  for (std::uint64_t object = 1; object < 500; ++object) {
    four.SendAndServe(object);
    ASSERT_EQ(Text(three.actions), Text(four.actions));
  }
}

}  // namespace
}  // namespace tinspan
