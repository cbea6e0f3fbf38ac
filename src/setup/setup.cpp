#include "setup/setup.hpp"

namespace tinspan {

std::uint32_t IndexOf(const Names& names, std::string_view name, std::string_view field) {
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (names[i] == name) return static_cast<std::uint32_t>(i);
  }
  throw Malformed{std::string(field), "a name that the settings give, not '" + std::string(name) + "'"};
}

NamedSettings ReadSettings(const SettingsMap& input) {
  NamedSettings site;
  Settings& settings = site.settings;
  for (const std::string_view zone : input.List("areas")) site.zones.emplace_back(zone);
  for (const std::string_view kind : input.List("kinds")) site.kinds.emplace_back(kind);
  settings.zone_count = static_cast<std::uint32_t>(site.zones.size());
  settings.kind_count = static_cast<std::uint32_t>(site.kinds.size());
  settings.zone = ZoneId{IndexOf(site.zones, input.Require("zone"), "zone")};
  const auto class_entry = [&](const std::string& path, std::size_t i) {
    const auto list = input.List(path);
    return i < list.size() ? list[i] : std::string_view{"-"};
  };
  const auto class_millis = [&](const std::string& path, std::size_t i) {
    const std::string_view text = class_entry(path, i);
    return IsAbsent(text) ? Micros{0} : ParseMillis(text, path);
  };
  const auto class_bool = [&](const std::string& path, std::size_t i) {
    const std::string_view text = class_entry(path, i);
    return !IsAbsent(text) && ParseEnum<bool>(text, path, {{"true", true}, {"false", false}});
  };
  const std::uint32_t class_count = ParseNumber<std::uint32_t>(input.Require("lanes.count"), "lanes.count");
  for (std::uint32_t i = 0; i < class_count; ++i) {
    const std::string prefix = "lanes." + std::to_string(i) + ".";
    site.classes.emplace_back(input.Require(prefix + "name"));
    ClassSettings class_settings;
    class_settings.effect = ParseEnum<Effect>(input.Require(prefix + "effect"), prefix + "effect",
                                              {{"repeatable", Effect::kIdempotent},
                                               {"by_key", Effect::kIdempotencyKey},
                                               {"once", Effect::kNonIdempotent}});
    class_settings.idempotency_scope =
        input.Enum<IdempotencyScope>(prefix + "keyScope", IdempotencyScope::kCell,
                                     {{"all", IdempotencyScope::kAll},
                                      {"zone", IdempotencyScope::kZone},
                                      {"cell", IdempotencyScope::kCell}});
    class_settings.idempotency_window = input.Millis(prefix + "windowMs");
    class_settings.latency_objective = input.Millis(prefix + "promiseMs");
    class_settings.latency_objective_stretch = input.Number(prefix + "aimStretch");
    class_settings.deadline = input.Millis(prefix + "giveUpMs");
    class_settings.priority_weight = input.Number(prefix + "credit");
    class_settings.late_weight = input.Number(prefix + "lateShare");
    class_settings.is_streamed = input.Bool(prefix + "streaming");
    class_settings.freshness_lifetime = class_millis("familyInfo.maxAgeMs", i);
    class_settings.stale_grace = class_millis("familyInfo.classGraceMs", i);
    class_settings.has_parts = class_bool("familyInfo.multiPart", i);
    class_settings.is_write = class_bool("familyInfo.classWrite", i);
    const std::string_view stale_weight = class_entry("familyInfo.oldCopyWorth", i);
    class_settings.stale_weight =
        IsAbsent(stale_weight) ? 0.0 : ParseNumber<double>(stale_weight, "familyInfo.oldCopyWorth");
    settings.classes.push_back(class_settings);
  }
  for (const std::string_view parent_zone : input.List("familyInfo.attachedTo")) {
    settings.zone_parent_zones.push_back(ParseNumber<std::uint32_t>(parent_zone, "familyInfo.attachedTo"));
  }
  for (const std::string_view count : input.List("familyInfo.instancesByZone")) {
    settings.zone_instance_counts.push_back(ParseNumber<std::uint32_t>(count, "familyInfo.instancesByZone"));
  }
  for (const std::string_view rate : input.List("familyInfo.inletKbPerS")) {
    settings.zone_link_kb_per_s.push_back(ParseNumber<double>(rate, "familyInfo.inletKbPerS"));
  }
  const auto optional_kind = [&](const std::string& path) -> std::optional<KindId> {
    if (IsAbsent(input.Text(path)) || input.Text(path) == "-1") return std::nullopt;
    return KindId{ParseNumber<std::uint32_t>(input.Text(path), path)};
  };
  settings.parent_kind = optional_kind("familyInfo.midKind");
  settings.origin_kind = optional_kind("familyInfo.sourceKind");
  settings.instance_count = input.Uint32("instances");
  settings.instance_index = input.Uint32("me");
  settings.sibling_scope = input.Enum<SiblingScope>(
      "familyInfo.siblings", SiblingScope::kOff,
      {{"off", SiblingScope::kOff}, {"location", SiblingScope::kLocation}, {"any", SiblingScope::kAny}});
  settings.fill_detail = input.Enum<FillDetail>(
      "familyInfo.detail", FillDetail::kOff,
      {{"all", FillDetail::kAll}, {"hit", FillDetail::kHit}, {"off", FillDetail::kOff}});
  settings.discovery =
      input.Enum<Discovery>("registryMode", Discovery::kPushed,
                            {{"automatic", Discovery::kPushed}, {"subscribe", Discovery::kPolled}});
  settings.weight_meaning = input.Enum<WeightMeaning>("weights", WeightMeaning::kOff,
                                                      {{"off", WeightMeaning::kOff},
                                                       {"nominal", WeightMeaning::kSize},
                                                       {"rough", WeightMeaning::kRough},
                                                       {"live", WeightMeaning::kLive}});
  settings.can_bypass_cache = input.Bool("familyInfo.passThroughOk");
  settings.can_join_fill = input.Bool("familyInfo.canJoin");
  settings.can_hedge = input.Bool("limits.mayDuplicate");
  settings.can_cancel = input.Bool("limits.cancel");
  settings.has_retry_after = input.Bool("limits.retryAfter");
  settings.transfer_rate_kb_per_s = input.Number("familyInfo.paceKbPerS");
  settings.max_attempts = input.Uint32("limits.maxAttempts");
  settings.max_retry_after = input.Millis("limits.maxRetryAfterMs");
  settings.response_grace = input.Millis("rules.graceToAnswerMs");
  settings.event_interval = input.Millis("tickMs");
  settings.connect_timeout = input.Millis("limits.connectTimeoutMs");
  settings.drain_window = input.Millis("rules.drainGraceMs");
  settings.initial_capacity_share = input.Number("rules.coldShare");
  settings.warm_up_time = input.Millis("rules.warmAfterMs");
  settings.overload_multiple = input.Number("rules.fallMultiple");
  settings.overload_window = input.Millis("rules.tipAfterMs");
  settings.parent_initial_capacity_share = input.Number("familyInfo.parentColdFrom");
  settings.parent_warm_up_time = input.Millis("familyInfo.upperColdMs");
  settings.parent_overload_multiple = input.Number("familyInfo.upperFallMultiple");
  settings.origin_overload_multiple = input.Number("familyInfo.rootFallMultiple");
  settings.origin_overload_window = input.Millis("familyInfo.originOverForMs");
  settings.purge_window = input.Millis("familyInfo.purgeSlackMs");
  settings.purge_retention = input.Millis("familyInfo.goneEverywhereMs");
  return site;
}

LoadReport ParseLoadReport(std::string_view text, char separator) {
  LoadReport load;
  if (IsAbsent(text)) return load;
  for (const std::string_view pair : Split(text, separator)) {
    const std::size_t colon = pair.find(':');
    if (colon == std::string_view::npos) throw Malformed{"stats", "name:value pairs"};
    const double value = ParseNumber<double>(pair.substr(colon + 1), "stats");
    if (pair.substr(0, colon) == "inflight") load.in_flight = value;
    if (pair.substr(0, colon) == "x0") load.hit_ratio = value;
    if (pair.substr(0, colon) == "x1") load.link_utilization = value;
  }
  return load;
}

}  // namespace tinspan
