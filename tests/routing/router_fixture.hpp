// A router under scripted events, and what tests ask of the actions that come out.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "tinspan/router.hpp"

namespace tinspan {

using namespace std::chrono_literals;

constexpr KindId kCacheKind{0};
constexpr KindId kParentKind{1};
constexpr KindId kOriginKind{2};

class Script {
 public:
  Script() {
    settings.classes.push_back(
        {.effect = Effect::kIdempotent, .latency_objective = 400ms, .deadline = 5s, .priority_weight = 1});
    settings.zone_count = 2;
    settings.kind_count = 3;
    settings.zone_instance_counts = {1, 1};
    settings.instance_count = 2;
    settings.parent_kind = kParentKind;
    settings.origin_kind = kOriginKind;
    settings.sibling_scope = SiblingScope::kLocation;
    settings.fill_detail = FillDetail::kAll;
    settings.can_join_fill = settings.can_cancel = settings.has_retry_after = true;
    settings.transfer_rate_kb_per_s = 1000;
    settings.max_attempts = 6;
    settings.max_retry_after = 1s;
    settings.answer_grace = 8ms;
    settings.event_interval = 2ms;
    settings.connect_timeout = 400ms;
    settings.drain_window = 1s;
    settings.initial_capacity_share = 0.2;
    settings.warm_up_time = 20s;
    settings.overload_multiple = 2;
    settings.overload_window = 2s;
    settings.parent_initial_capacity_share = 0.1;
    settings.parent_warm_up_time = 20s;
    settings.parent_overload_multiple = 2;
    settings.purge_window = 300ms;
    settings.purge_retention = 6s;
    for (std::uint64_t id : {1, 2, 3}) members.push_back(Cache(id));
    for (std::uint64_t id : {11, 12}) {
      members.push_back({.id = ServerId{id}, .kind = kParentKind, .zone = ZoneId{1}});
    }
    members.push_back({.id = ServerId{21}, .kind = kOriginKind, .zone = ZoneId{1}});
  }

  static EndpointInfo Cache(std::uint64_t id) { return {.id = ServerId{id}, .kind = kCacheKind}; }

  void Start() {
    router = std::make_unique<Router>(settings, 1, now, actions);
    Tell(members, EndpointsEvent::Kind::kStale);
  }
  void Tell(const std::vector<EndpointInfo>& list, EndpointsEvent::Kind kind = EndpointsEvent::Kind::kDelta) {
    Pass(EndpointsEvent{.kind = kind, .endpoints = list});
  }
  template <class Event>
  void Pass(const Event& event) {
    actions.clear();
    router->Handle(now, event, actions);
    for (const Action& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) timers.push_back(*timer);
    }
  }
  RequestEvent Request(std::uint64_t object, double size_kb = 50) {
    return {.id = RequestId{next_id++}, .time_left = 5s, .object = ObjectId{object}, .size_kb = size_kb};
  }
  // Sends a request and gives back the attempt that came of it; fails the test if none did.
  SendAttempt Ask(const RequestEvent& event) {
    Pass(event);
    return OnlyAttempt();
  }
  SendAttempt Ask(std::uint64_t object) { return Ask(Request(object)); }
  SendAttempt OnlyAttempt() {
    const auto all = All<SendAttempt>();
    EXPECT_EQ(all.size(), 1u);
    return all.empty() ? SendAttempt{} : all[0];
  }
  template <class Kind>
  std::vector<Kind> All() const {
    std::vector<Kind> found;
    for (const Action& action : actions) {
      if (const auto* one = std::get_if<Kind>(&action)) found.push_back(*one);
    }
    return found;
  }
  void Answer(RequestId id, std::uint32_t attempt, Outcome outcome, FillNote note = FillNote::kNone,
              Micros elapsed = 60ms) {
    Pass(OutcomeEvent{.id = id,
                      .attempt = attempt,
                      .outcome = outcome,
                      .elapsed = elapsed,
                      .is_finished = outcome == Outcome::kServed,
                      .note = note});
  }
  SendAttempt Serve(std::uint64_t object, FillNote note = FillNote::kHit) {
    const SendAttempt sent = Ask(object);
    Answer(sent.id, 0, Outcome::kServed, note);
    return sent;
  }
  // Fills that stay out for good while others are served, until one spares the origin; false: none did.
  bool LateFillsSpareTheOrigin() {
    for (std::uint64_t object = 1; object < 60; ++object) {
      RequestEvent slow = Request(object);
      slow.time_left = 1500ms;
      const SendAttempt late = Ask(slow);
      if (late.source_cached_only) return true;
      const SendAttempt quick = Ask(object + 1000);
      Wait(100ms);
      Answer(quick.id, 0, Outcome::kServed, FillNote::kFilled);
      Wait(1500ms);
      Answer(late.id, 0, Outcome::kTimedOut, FillNote::kNone, 1500ms);
    }
    return false;
  }
  // Lets time pass, ringing each timer when it is due; keeps the actions of all rings.
  void Wait(Micros span) {
    const Micros end = now + span;
    Actions kept;
    while (true) {
      std::size_t next = timers.size();
      for (std::size_t i = 0; i < timers.size(); ++i) {
        if (timers[i].at <= end && (next == timers.size() || timers[i].at < timers[next].at)) next = i;
      }
      if (next == timers.size()) break;
      const SetTimer timer = timers[next];
      timers.erase(timers.begin() + static_cast<std::ptrdiff_t>(next));
      now = std::max(now, timer.at);
      Pass(TimerEvent{timer.token});
      kept.insert(kept.end(), actions.begin(), actions.end());
    }
    now = end;
    actions = kept;
  }

  Settings settings;
  std::vector<EndpointInfo> members;
  Micros now{100s};
  Actions actions;
  std::vector<SetTimer> timers;
  std::unique_ptr<Router> router;
  std::uint64_t next_id = 1;
};

}  // namespace tinspan
