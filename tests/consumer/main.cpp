// A gateway's first use of the library: an endpoint list, a request, an outcome.
#include <cstdio>
#include <tinspan/router.hpp>
#include <vector>

using namespace std::chrono_literals;

int main() {
  tinspan::Settings settings;
  settings.classes.push_back({.effect = tinspan::Effect::kIdempotent,
                              .latency_objective = 300ms,
                              .deadline = 3s,
                              .priority_weight = 1});
  settings.zone_count = 1;
  settings.kind_count = 2;
  settings.instance_count = 1;
  settings.origin_kind = tinspan::KindId{1};
  settings.max_attempts = 4;
  settings.event_interval = 1ms;
  settings.connect_timeout = 250ms;

  tinspan::Actions actions;
  tinspan::Router router(settings, /*seed=*/7, /*now=*/0us, actions);

  const std::vector<tinspan::EndpointInfo> endpoints = {
      {.id = tinspan::ServerId{10}, .kind = tinspan::KindId{0}},
      {.id = tinspan::ServerId{20}, .kind = tinspan::KindId{1}}};
  router.Handle(1ms, tinspan::EndpointsEvent{.endpoints = endpoints}, actions);

  const tinspan::RequestEvent request{
      .id = tinspan::RequestId{1}, .time_left = 3s, .object = tinspan::ObjectId{99}};
  router.Handle(2ms, request, actions);
  int sent = 0;
  for (const tinspan::Action& action : actions) {  // carry out each action in order; here we look at one kind
    if (const auto* attempt = std::get_if<tinspan::SendAttempt>(&action)) {
      const bool is_filled_by_origin = attempt->source == tinspan::ServerId{20};
      sent += attempt->server == tinspan::ServerId{10} && is_filled_by_origin ? 1 : 0;
    }
  }

  actions.clear();
  const tinspan::OutcomeEvent served{.id = tinspan::RequestId{1}, .elapsed = 38ms, .is_finished = true};
  router.Handle(40ms, served, actions);
  std::printf("attempts at the cache, filled from the origin: %d; actions after the answer: %zu\n", sent,
              actions.size());
  return sent == 1 && actions.empty() ? 0 : 1;
}
