#include "routing/settings_validation.hpp"

#include <stdexcept>

namespace tinspan {

const Settings& Validated(const Settings& settings) {
  const auto need = [](bool good, const char* what) {
    if (!good) throw std::invalid_argument(what);
  };
  need(!settings.classes.empty(), "settings: no classes");
  need(static_cast<std::uint32_t>(settings.zone) < settings.zone_count, "settings: zone not listed");
  need(settings.max_attempts > 0, "settings: max_attempts is 0");
  need(settings.event_interval >= Micros{0} && settings.warm_up_time >= Micros{0} &&
           settings.overload_window >= Micros{0} && settings.purge_retention >= Micros{0} &&
           settings.connect_timeout >= Micros{0} && settings.parent_warm_up_time >= Micros{0} &&
           settings.max_retry_after >= Micros{0},
       "settings: a negative time");
  for (const ClassSettings& one : settings.classes) {
    need(one.latency_objective >= Micros{0} && one.deadline >= Micros{0} &&
             one.freshness_lifetime >= Micros{0} && one.stale_grace >= Micros{0} &&
             one.idempotency_window >= Micros{0},
         "settings: a class with a negative time");
  }
  return settings;
}

}  // namespace tinspan
