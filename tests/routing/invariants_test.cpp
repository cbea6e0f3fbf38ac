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
std::string PlayDay(unsigned seed, Script& script, Script* beside) {
  std::mt19937 random(seed);
  const auto draw = [&](unsigned n) { return static_cast<unsigned>(random() % n); };
  script.settings.can_hedge = seed % 2;
  script.settings.can_bypass_cache = seed % 3 == 0;
  script.settings.classes.push_back(
      {.effect = Effect::kNonIdempotent, .latency_objective = 500ms, .deadline = 3s, .priority_weight = 3});
  script.settings.classes.push_back({.effect = Effect::kIdempotencyKey,
                                     .idempotency_scope = IdempotencyScope::kZone,
                                     .idempotency_window = 900ms,
                                     .latency_objective = 500ms,
                                     .deadline = 3s,
                                     .priority_weight = 3});
  script.Start();
  if (beside) beside->Start();
  std::map<RequestId, Held> held;
  std::map<std::uint64_t, Micros> purged;
  std::map<ServerId, Availability> state;
  std::string all;
  std::vector<std::pair<RequestId, std::uint32_t>> out;

  const auto check = [&] {
    all += Text(script.actions);
    for (const Action& action : script.actions) {
      if (const auto* sent = std::get_if<SendAttempt>(&action)) {
        Held& one = held[sent->id];
        EXPECT_LT(one.answered, 0us) << "sent after the final answer";
        EXPECT_EQ(state[sent->server], Availability::kUp) << "sent to a draining server";
        EXPECT_EQ(state[sent->source], Availability::kUp) << "filled from a draining server";
        const Effect effect = script.settings.classes[static_cast<std::size_t>(one.event.class_id)].effect;
        for (const auto& [is_out, may_have_run] : one.attempts) {
          EXPECT_FALSE(is_out && (!script.settings.can_hedge || effect != Effect::kIdempotent));
          EXPECT_FALSE(may_have_run && effect == Effect::kNonIdempotent) << "an effect could happen twice";
        }
        const auto purge = purged.find(static_cast<std::uint64_t>(one.event.object));
        if (purge != purged.end() && script.now - purge->second < 6s) {
          EXPECT_GT(sent->max_age, 0us);
          EXPECT_LE(sent->max_age, std::max(script.now - purge->second, Micros{1}));
        }
        one.attempts.emplace_back(true, false);
        EXPECT_LE(one.attempts.size(), script.settings.max_attempts);
        out.emplace_back(sent->id, static_cast<std::uint32_t>(one.attempts.size() - 1));
      } else if (const auto* refused = std::get_if<Reject>(&action)) {
        Held& one = held[refused->id];
        EXPECT_LT(one.answered, 0us) << "answered twice";
        one.answered = script.now;
        if (script.settings.classes[static_cast<std::size_t>(one.event.class_id)].effect !=
            Effect::kIdempotent) {
          for (const auto& attempt : one.attempts) EXPECT_FALSE(attempt.first || attempt.second);
        }
      } else if (const auto* failed = std::get_if<Fail>(&action)) {
        EXPECT_LT(held[failed->id].answered, 0us) << "answered twice";
        held[failed->id].answered = script.now;
      }
    }
  };
  for (const EndpointInfo& member : script.members) state[member.id] = Availability::kUp;
  for (int step = 0; step < 4000; ++step) {
    const unsigned what = draw(20);
    if (beside && step % 3 == 0) {
      beside->now = script.now;
      beside->Serve(draw(50) + 1);
    }
    if (what < 9) {
      RequestEvent event = script.Request(draw(50) + 1, draw(900));
      event.class_id = ClassId{draw(3)};
      event.time_left = Micros{1000 * (200 + draw(3000))};
      held[event.id] = {.event = event, .deadline = script.now + event.time_left, .attempts = {}};
      script.Pass(event);
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
      if (outcome == Outcome::kServed && one.answered < 0us) one.answered = script.now;
      script.Answer(id, attempt, outcome, static_cast<FillNote>(draw(11)), Micros{1000 * draw(500)});
      check();
    } else if (what == 16) {
      const EndpointInfo& member = script.members[draw(static_cast<unsigned>(script.members.size()))];
      EndpointInfo changed = member;
      changed.availability = static_cast<Availability>(draw(3));
      if (draw(2)) changed.started_at = script.now - Micros{1000 * draw(5000)};
      state[member.id] = changed.availability;
      script.Tell({changed});
      check();
    } else if (what == 17) {
      const std::uint64_t object = draw(50) + 1;
      const Micros age{1000 * draw(400)};
      purged[object] = std::max(purged[object], script.now - age);
      script.Pass(PurgeEvent{.age = age, .object = ObjectId{object}});
      check();
    } else {
      const Micros end = script.now + Micros{1000 * draw(60)};
      while (script.now < end) {  // tick by tick, so that answers are dated right
        script.Wait(std::min(Micros{2000}, end - script.now));
        check();
        script.actions.clear();
      }
    }
    for (const auto& [id, one] : held) {
      EXPECT_TRUE(one.answered >= 0us || script.now < one.deadline + script.settings.answer_grace);
    }
    if (::testing::Test::HasFailure()) return all;
  }
  return all;
}

TEST(Rules, HoldOnDrawnDays) {
  for (unsigned seed = 1; seed <= 12; ++seed) {
    Script script;
    PlayDay(seed, script, nullptr);
    ASSERT_FALSE(HasFailure()) << "day " << seed;
  }
}

TEST(Rules, EqualEventsGiveEqualActionsWithAnotherInstanceBesideToo) {
  Script one, two, beside;
  const std::string first = PlayDay(5, one, nullptr);
  const std::string second = PlayDay(5, two, nullptr);
  EXPECT_EQ(first, second);
  // The other instance draws from its own stream, so only what the routers share could differ.
  Script three;
  three.Start();
  for (std::uint64_t object = 1; object < 500; ++object) {
    beside.now = three.now;
    if (object == 1) beside.Start();
    beside.Serve(object * 3);
    three.Serve(object);
  }
  Script four;
  four.Start();
  for (std::uint64_t object = 1; object < 500; ++object) {
    four.Serve(object);
    ASSERT_EQ(Text(three.actions), Text(four.actions));
  }
}

}  // namespace
}  // namespace tinspan
