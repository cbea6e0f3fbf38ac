#include "routing/settings_validation.hpp"

#include <stdexcept>

namespace tinspan {

const Settings& Validated(const Settings& settings) {
  const auto require = [](bool is_valid, const char* message) {
    if (!is_valid) throw std::invalid_argument(message);
  };
  require(!settings.classes.empty(), "settings: classes is empty");
  require(static_cast<std::uint32_t>(settings.zone) < settings.zone_count,
          "settings: zone is not below zone_count");
  require(settings.max_attempts > 0, "settings: max_attempts is 0, expected at least 1");
  require(settings.event_interval >= Micros{0} && settings.warm_up_time >= Micros{0} &&
              settings.overload_window >= Micros{0} && settings.purge_retention >= Micros{0} &&
              settings.connect_timeout >= Micros{0} && settings.parent_warm_up_time >= Micros{0} &&
              settings.max_retry_after >= Micros{0},
          "settings: event_interval, warm_up_time, overload_window, purge_retention, connect_timeout, "
          "parent_warm_up_time or max_retry_after is negative");
  for (const ClassSettings& traffic_class : settings.classes) {
    require(
        traffic_class.latency_objective >= Micros{0} && traffic_class.deadline >= Micros{0} &&
            traffic_class.freshness_lifetime >= Micros{0} && traffic_class.stale_grace >= Micros{0} &&
            traffic_class.idempotency_window >= Micros{0},
        "settings: latency_objective, deadline, freshness_lifetime, stale_grace or idempotency_window of a "
        "class is negative");
  }
  return settings;
}

}  // namespace tinspan
