// Settings and servers for tests of the core.
#pragma once

#include "core/request_coordinator.hpp"

namespace tinspan::core {

inline constexpr Micros kStart{1'764'576'000'000'000};
inline constexpr ServerId kFirstServer{11}, kSecondServer{12}, kOrigin{13};

inline Settings MakeSettings() {
  Settings settings;
  ClassSettings pages;
  pages.effect = Effect::kIdempotent;
  pages.latency_objective = Micros{2'000'000};
  pages.deadline = Micros{2'500'000};
  pages.priority_weight = 1;
  settings.classes = {pages};
  settings.zone_count = 2;
  settings.kind_count = 2;
  settings.zone = ZoneId{1};
  settings.instance_count = 1;
  settings.origin_kind = KindId{1};
  settings.can_bypass_cache = true;
  settings.can_cancel = true;
  settings.has_retry_after = true;
  settings.max_attempts = 4;
  settings.max_retry_after = Micros{2'000'000};
  settings.event_interval = Micros{2'000};
  settings.connect_timeout = Micros{400'000};
  settings.drain_window = Micros{500'000};
  settings.purge_window = Micros{1'000'000};
  settings.purge_retention = Micros{6'000'000};
  settings.transfer_rate_kb_per_s = 5000;
  return settings;
}
inline EndpointInfo MakeMember(ServerId id, Availability availability = Availability::kUp) {
  const bool origin = id == kOrigin;
  return {.id = id,
          .availability = availability,
          .kind = KindId{origin ? 1u : 0u},
          .zone = ZoneId{origin ? 0u : 1u}};
}

inline Settings WithClass(Effect effect, Micros window) {
  Settings settings = MakeSettings();
  ClassSettings& first_class = settings.classes[0];
  first_class.effect = effect;
  first_class.idempotency_scope = IdempotencyScope::kAll;
  first_class.idempotency_window = window;
  return settings;
}

}  // namespace tinspan::core
