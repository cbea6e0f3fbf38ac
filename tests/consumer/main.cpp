// A gateway's first use of the library: a list, a request, an outcome. README quotes this code.
#include <cstdio>
#include <tinspan/router.hpp>

namespace mp = tinspan;
using namespace std::chrono_literals;

int main() {
  mp::Settings settings;
  settings.classes.push_back({.effect = mp::Effect::kRepeatable, .aim = 300ms, .deadline = 3s, .worth = 1});
  settings.zone_count = 1;
  settings.kind_count = 2;
  settings.routers = 1;
  settings.origin_kind = mp::KindId{1};
  settings.max_attempts = 4;
  settings.tick = 1ms;
  settings.connect_timeout = 250ms;

  mp::Actions actions;
  mp::Router router(settings, /*seed=*/7, /*now=*/0us, actions);

  const mp::EndpointInfo members[] = {{.id = mp::ServerId{10}, .kind = mp::KindId{0}},
                                      {.id = mp::ServerId{20}, .kind = mp::KindId{1}}};
  router.Handle(1ms, mp::EndpointsEvent{.members = members}, actions);

  router.Handle(2ms, mp::RequestEvent{.id = mp::RequestId{1}, .time_left = 3s, .object = mp::ObjectId{99}},
                actions);
  int sent = 0;
  for (const mp::Action& action : actions) {  // carry out each action in order; here we look at one kind
    if (const auto* attempt = std::get_if<mp::SendAttempt>(&action)) {
      sent += attempt->server == mp::ServerId{10} && attempt->source == mp::ServerId{20};
    }
  }

  actions.clear();
  router.Handle(40ms, mp::OutcomeEvent{.id = mp::RequestId{1}, .elapsed = 38ms, .is_finished = true},
                actions);
  std::printf("attempts at the cache, filled from the origin: %d; actions after the answer: %zu\n", sent,
              actions.size());
  return sent == 1 && actions.empty() ? 0 : 1;
}
