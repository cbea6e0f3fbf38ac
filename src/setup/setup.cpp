#include "setup/setup.hpp"

namespace tinspan {

std::uint32_t PlaceOf(const Names& names, std::string_view name, std::string_view field) {
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (names[i] == name) return static_cast<std::uint32_t>(i);
  }
  throw Malformed{std::string(field), "a name that the settings give, not '" + std::string(name) + "'"};
}

Site ReadSite(const Setup& setup) {
  Site site;
  Settings& settings = site.settings;
  for (const std::string_view zone : setup.List("areas")) site.zones.emplace_back(zone);
  for (const std::string_view kind : setup.List("kinds")) site.kinds.emplace_back(kind);
  settings.zone_count = static_cast<std::uint32_t>(site.zones.size());
  settings.kind_count = static_cast<std::uint32_t>(site.kinds.size());
  settings.zone = ZoneId{PlaceOf(site.zones, setup.Need("zone"), "zone")};
  const auto by_class = [&](const std::string& path, std::size_t i) {
    const auto list = setup.List(path);
    return i < list.size() ? list[i] : std::string_view{"-"};
  };
  const auto millis_of = [&](const std::string& path, std::size_t i) {
    const std::string_view text = by_class(path, i);
    return IsAbsent(text) ? Micros{0} : ParseMillis(text, path);
  };
  const auto bool_of = [&](const std::string& path, std::size_t i) {
    const std::string_view text = by_class(path, i);
    return !IsAbsent(text) && Choose<bool>(text, path, {{"true", true}, {"false", false}});
  };
  const std::uint32_t class_count = ParseNumber<std::uint32_t>(setup.Need("lanes.count"), "lanes.count");
  for (std::uint32_t i = 0; i < class_count; ++i) {
    const std::string lane = "lanes." + std::to_string(i) + ".";
    site.classes.emplace_back(setup.Need(lane + "name"));
    ClassSettings one;
    one.effect = Choose<Effect>(setup.Need(lane + "effect"), lane + "effect",
                                {{"repeatable", Effect::kIdempotent},
                                 {"by_key", Effect::kIdempotencyKey},
                                 {"once", Effect::kNonIdempotent}});
    one.idempotency_scope = setup.Word<IdempotencyScope>(lane + "keyScope", IdempotencyScope::kCell,
                                                         {{"all", IdempotencyScope::kAll},
                                                          {"zone", IdempotencyScope::kZone},
                                                          {"cell", IdempotencyScope::kCell}});
    one.idempotency_window = setup.Millis(lane + "windowMs");
    one.latency_objective = setup.Millis(lane + "promiseMs");
    one.latency_objective_stretch = setup.Number(lane + "aimStretch");
    one.deadline = setup.Millis(lane + "giveUpMs");
    one.priority_weight = setup.Number(lane + "credit");
    one.late_weight = setup.Number(lane + "lateShare");
    one.is_streamed = setup.Bool(lane + "streaming");
    one.freshness_lifetime = millis_of("familyInfo.maxAgeMs", i);
    one.stale_grace = millis_of("familyInfo.classGraceMs", i);
    one.has_parts = bool_of("familyInfo.multiPart", i);
    one.is_write = bool_of("familyInfo.classWrite", i);
    const std::string_view stale_worth = by_class("familyInfo.oldCopyWorth", i);
    one.stale_weight =
        IsAbsent(stale_worth) ? 0.0 : ParseNumber<double>(stale_worth, "familyInfo.oldCopyWorth");
    settings.classes.push_back(one);
  }
  for (const std::string_view hub : setup.List("familyInfo.attachedTo")) {
    settings.zone_hubs.push_back(ParseNumber<std::uint32_t>(hub, "familyInfo.attachedTo"));
  }
  for (const std::string_view count : setup.List("familyInfo.instancesByZone")) {
    settings.zone_instance_counts.push_back(ParseNumber<std::uint32_t>(count, "familyInfo.instancesByZone"));
  }
  for (const std::string_view link : setup.List("familyInfo.inletKbPerS")) {
    settings.zone_link_kb_per_s.push_back(ParseNumber<double>(link, "familyInfo.inletKbPerS"));
  }
  const auto kind_of = [&](const std::string& path) -> std::optional<KindId> {
    if (IsAbsent(setup.Text(path)) || setup.Text(path) == "-1") return std::nullopt;
    return KindId{ParseNumber<std::uint32_t>(setup.Text(path), path)};
  };
  settings.parent_kind = kind_of("familyInfo.midKind");
  settings.origin_kind = kind_of("familyInfo.sourceKind");
  settings.instance_count = setup.Whole("instances");
  settings.instance_index = setup.Whole("me");
  settings.sibling_scope = setup.Word<SiblingScope>(
      "familyInfo.siblings", SiblingScope::kOff,
      {{"off", SiblingScope::kOff}, {"location", SiblingScope::kLocation}, {"any", SiblingScope::kAny}});
  settings.fill_detail = setup.Word<FillDetail>(
      "familyInfo.detail", FillDetail::kOff,
      {{"all", FillDetail::kAll}, {"hit", FillDetail::kHit}, {"off", FillDetail::kOff}});
  settings.discovery =
      setup.Word<Discovery>("registryMode", Discovery::kPushed,
                            {{"automatic", Discovery::kPushed}, {"subscribe", Discovery::kPolled}});
  settings.weight_meaning = setup.Word<WeightMeaning>("weights", WeightMeaning::kOff,
                                                      {{"off", WeightMeaning::kOff},
                                                       {"nominal", WeightMeaning::kSize},
                                                       {"rough", WeightMeaning::kRough},
                                                       {"live", WeightMeaning::kLive}});
  settings.can_bypass_cache = setup.Bool("familyInfo.passThroughOk");
  settings.can_join_fill = setup.Bool("familyInfo.canJoin");
  settings.can_hedge = setup.Bool("limits.mayDuplicate");
  settings.can_cancel = setup.Bool("limits.cancel");
  settings.has_retry_after = setup.Bool("limits.retryAfter");
  settings.transfer_rate_kb_per_s = setup.Number("familyInfo.paceKbPerS");
  settings.max_attempts = setup.Whole("limits.maxAttempts");
  settings.max_retry_after = setup.Millis("limits.maxRetryAfterMs");
  settings.answer_grace = setup.Millis("rules.graceToAnswerMs");
  settings.event_interval = setup.Millis("tickMs");
  settings.connect_timeout = setup.Millis("limits.connectTimeoutMs");
  settings.drain_window = setup.Millis("rules.drainGraceMs");
  settings.initial_capacity_share = setup.Number("rules.coldShare");
  settings.warm_up_time = setup.Millis("rules.warmAfterMs");
  settings.overload_multiple = setup.Number("rules.fallMultiple");
  settings.overload_window = setup.Millis("rules.tipAfterMs");
  settings.parent_initial_capacity_share = setup.Number("familyInfo.parentColdFrom");
  settings.parent_warm_up_time = setup.Millis("familyInfo.upperColdMs");
  settings.parent_overload_multiple = setup.Number("familyInfo.upperFallMultiple");
  settings.origin_overload_multiple = setup.Number("familyInfo.rootFallMultiple");
  settings.origin_overload_window = setup.Millis("familyInfo.originOverForMs");
  settings.purge_window = setup.Millis("familyInfo.purgeSlackMs");
  settings.purge_retention = setup.Millis("familyInfo.goneEverywhereMs");
  return site;
}

LoadReport ReadLoad(std::string_view text, char mark_between) {
  LoadReport load;
  if (IsAbsent(text)) return load;
  for (const std::string_view pair : Split(text, mark_between)) {
    const std::size_t mark = pair.find(':');
    if (mark == std::string_view::npos) throw Malformed{"stats", "name:value pairs"};
    const double value = ParseNumber<double>(pair.substr(mark + 1), "stats");
    if (pair.substr(0, mark) == "inflight") load.in_flight = value;
    if (pair.substr(0, mark) == "x0") load.hit_ratio = value;
    if (pair.substr(0, mark) == "x1") load.link_utilization = value;
  }
  return load;
}

}  // namespace tinspan
