// A test fixture that passes events to a Router and gives access to the resulting actions.
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "tinspan/router.hpp"

namespace tinspan {

using namespace std::chrono_literals;

constexpr KindId kCacheKind{0};
constexpr KindId kParentKind{1};
constexpr KindId kOriginKind{2};

class RouterFixture {
 public:
  RouterFixture() {
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
    settings.response_grace = 8ms;
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
    for (const std::uint64_t server : {1, 2, 3}) endpoints.push_back(Cache(server));
    for (const std::uint64_t server : {11, 12}) {
      endpoints.push_back({.id = ServerId{server}, .kind = kParentKind, .zone = ZoneId{1}});
    }
    endpoints.push_back({.id = ServerId{21}, .kind = kOriginKind, .zone = ZoneId{1}});
  }

  static EndpointInfo Cache(std::uint64_t server) { return {.id = ServerId{server}, .kind = kCacheKind}; }

  void Start() {
    router = std::make_unique<Router>(settings, 1, now, actions);
    UpdateEndpoints(endpoints, EndpointsEvent::Kind::kStale);
  }
  void UpdateEndpoints(const std::vector<EndpointInfo>& list,
                       EndpointsEvent::Kind kind = EndpointsEvent::Kind::kDelta) {
    Handle(EndpointsEvent{.kind = kind, .endpoints = list});
  }
  template <class Event>
  void Handle(const Event& event) {
    actions.clear();
    router->Handle(now, event, actions);
    for (const Action& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) timers.push_back(*timer);
    }
  }
  RequestEvent Request(std::uint64_t object, double size_kb = 50) {
    return {.id = RequestId{next_id++}, .time_left = 5s, .object = ObjectId{object}, .size_kb = size_kb};
  }
  // Passes a request and returns the resulting attempt; fails the test unless there is exactly one.
  SendAttempt Send(const RequestEvent& event) {
    Handle(event);
    return OnlyAttempt();
  }
  SendAttempt Send(std::uint64_t object) { return Send(Request(object)); }
  SendAttempt OnlyAttempt() const {
    const auto all = ActionsOf<SendAttempt>();
    EXPECT_EQ(all.size(), 1U);
    return all.empty() ? SendAttempt{} : all[0];
  }
  template <class Kind>
  std::vector<Kind> ActionsOf() const {
    std::vector<Kind> found;
    for (const Action& action : actions) {
      if (const auto* one = std::get_if<Kind>(&action)) found.push_back(*one);
    }
    return found;
  }
  void Complete(RequestId request, std::uint32_t attempt, Outcome outcome, FillNote note = FillNote::kNone,
                Micros elapsed = 60ms) {
    Handle(OutcomeEvent{.id = request,
                        .attempt = attempt,
                        .outcome = outcome,
                        .elapsed = elapsed,
                        .is_finished = outcome == Outcome::kServed,
                        .note = note});
  }
  SendAttempt SendAndServe(std::uint64_t object, FillNote note = FillNote::kHit) {
    const SendAttempt sent = Send(object);
    Complete(sent.id, 0, Outcome::kServed, note);
    return sent;
  }
  // Serves thirty objects, starting with `first_object`, and counts the requests sent to `server`.
  int CountSentTo(ServerId server, std::uint64_t first_object) {
    int count = 0;
    for (std::uint64_t object = first_object; object < first_object + 30; ++object) {
      count += SendAndServe(object).server == server ? 1 : 0;
    }
    return count;
  }
  // Starts with forty additional parents and serves twenty fills, so that further new objects probably need
  // fills.
  void StartWithManyParents() {
    for (std::uint64_t server = 100; server < 140; ++server) {
      endpoints.push_back({.id = ServerId{server}, .kind = kParentKind, .zone = ZoneId{1}});
    }
    Start();
    for (std::uint64_t object = 1000; object < 1020; ++object) {
      Complete(Send(object).id, 0, Outcome::kServed, FillNote::kFilled, 60ms);
    }
  }
  // Lets fills time out while others are served. Returns whether an attempt was sent that protects the
  // origin.
  bool IsOriginProtectedAfterLateFills() {
    for (std::uint64_t object = 1; object < 60; ++object) {
      RequestEvent slow = Request(object);
      slow.time_left = 1500ms;
      const SendAttempt late = Send(slow);
      if (late.source_cached_only) return true;
      const SendAttempt quick = Send(object + 1000);
      AdvanceTime(100ms);
      Complete(quick.id, 0, Outcome::kServed, FillNote::kFilled);
      AdvanceTime(1500ms);
      Complete(late.id, 0, Outcome::kTimedOut, FillNote::kNone, 1500ms);
    }
    return false;
  }
  // Advances the time and passes timer events when they are due. Collects the actions of all of them.
  void AdvanceTime(Micros span) {
    const Micros end = now + span;
    Actions all;
    while (true) {
      std::size_t next = timers.size();
      for (std::size_t i = 0; i < timers.size(); ++i) {
        if (timers[i].at <= end && (next == timers.size() || timers[i].at < timers[next].at)) next = i;
      }
      if (next == timers.size()) break;
      const SetTimer timer = timers[next];
      timers.erase(timers.begin() + static_cast<std::ptrdiff_t>(next));
      now = std::max(now, timer.at);
      Handle(TimerEvent{timer.token});
      all.insert(all.end(), actions.begin(), actions.end());
    }
    now = end;
    actions = all;
  }

  Settings settings;
  std::vector<EndpointInfo> endpoints;
  Micros now{100s};
  Actions actions;
  std::vector<SetTimer> timers;
  std::unique_ptr<Router> router;
  std::uint64_t next_id = 1;
};

inline bool IsParent(ServerId server) { return server == ServerId{11} || server == ServerId{12}; }

inline EndpointInfo WithAvailability(EndpointInfo endpoint, Availability availability,
                                     Micros started = Micros{0}) {
  endpoint.availability = availability;
  endpoint.started_at = started;
  return endpoint;
}

// A fixture for a platform whose outcomes distinguish hits from fills but do not report how a fill was made,
// as on the production platform.
struct HitOnlyFixture : RouterFixture {
  HitOnlyFixture() { settings.fill_detail = FillDetail::kHit; }
};

}  // namespace tinspan
