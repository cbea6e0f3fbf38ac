#include "record/json.hpp"

#include <algorithm>
#include <array>

#include "setup/time_text.hpp"

namespace tinspan::record {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::array<std::string_view, 14> kKinds{"heartbeat", "life",  "server",     "members", "purge",
                                                  "window",    "trace", "router",     "lost",    "gap",
                                                  "header",    "drain", "purge_held", "unknown"};

double Millis(std::int64_t micros) { return static_cast<double>(micros) / 1000; }

// `counts` holds Window.ended if `is_requests`, else Window.attempts.
Json CountsToJson(const Dictionary& dictionary, const google::protobuf::RepeatedField<std::uint64_t>& counts,
                  bool is_requests) {
  Json out = Json::array();
  for (int i = 0; i + 1 < counts.size(); i += 2) {
    const Dictionary::CountKey key = dictionary.SplitCountKey(counts.Get(i));
    Json entry{{"class", dictionary.ClassName(key.class_id)}, {"server", dictionary.ServerName(key.server)}};
    if (is_requests) {
      entry["verdict"] = Name(static_cast<RequestOutcome>(key.outcome));
      const auto& classes = dictionary.Header().classes();
      if (key.class_id < static_cast<std::uint32_t>(classes.size())) {
        const wire::Class& class_settings = classes.Get(static_cast<int>(key.class_id));
        entry["worth"] = static_cast<double>(counts.Get(i + 1)) * class_settings.worth() *
                         EarnedShare(static_cast<RequestOutcome>(key.outcome), class_settings);
      }
    } else {
      entry["outcome"] = Name(static_cast<Outcome>(key.outcome));
    }
    entry["count"] = counts.Get(i + 1);
    out.push_back(std::move(entry));
  }
  return out;
}

Json FieldsOf(const Dictionary&, const wire::Heartbeat& heartbeat) {
  return {{"wall", FormatTime(Micros{heartbeat.wall_us()})},
          {"mono_us", heartbeat.mono_us()},
          {"open", heartbeat.open()}};
}
Json FieldsOf(const Dictionary&, const wire::Life& life) {
  std::string what = wire::Life::What_Name(life.what());
  std::transform(what.begin(), what.end(), what.begin(),
                 [](unsigned char character) { return std::tolower(character); });
  Json out{{"what", what}, {"open", life.open()}};
  if (life.signal() != 0) out["signal"] = life.signal();
  if (!life.text().empty()) out["text"] = life.text();
  return out;
}
Json FieldsOf(const Dictionary& dictionary, const wire::Server& server) {
  Json out{{"number", server.number()},
           {"id", Hex(server.id())},
           {"name", server.name()},
           {"address", server.address()}};
  const wire::Header& header = dictionary.Header();
  if (server.zone() < static_cast<std::uint32_t>(header.zones_size()))
    out["zone"] = header.zones(static_cast<int>(server.zone()));
  if (server.kind() < static_cast<std::uint32_t>(header.kinds_size()))
    out["machine"] = header.kinds(static_cast<int>(server.kind()));
  out["state"] = Name(static_cast<Availability>(server.state()));
  return out;
}
Json FieldsOf(const Dictionary& dictionary, const wire::Members& members) {
  constexpr std::array kListKinds{"changes", "whole", "whole, perhaps old", "source lost"};
  Json list = Json::array();
  for (const wire::Member& entry : members.members()) {
    Json member{{"server", dictionary.ServerName(entry.server())},
                {"state", Name(static_cast<Availability>(entry.state()))},
                {"weight", entry.weight()}};
    if (entry.started_us() != 0) member["started"] = FormatTime(Micros{entry.started_us()});
    list.push_back(std::move(member));
  }
  return {{"source", members.source()},
          {"version", members.version()},
          {"list", members.kind() < kListKinds.size() ? kListKinds[members.kind()] : "unknown"},
          {"members", std::move(list)}};
}
Json FieldsOf(const Dictionary&, const wire::Purge& purge) {
  Json out{{"made", FormatTime(Micros{purge.made_us()})}};
  purge.object() != 0 ? out["object"] = Hex(purge.object()) : out["group"] = Hex(purge.group());
  return out;
}
Json FieldsOf(const Dictionary& dictionary, const wire::Window& window) {
  Json received = Json::array(), latency = Json::array();
  for (int i = 0; i + 1 < window.came_size(); i += 2) {
    received.push_back({{"class", dictionary.ClassName(window.came(i))}, {"count", window.came(i + 1)}});
  }
  for (int i = 0; i + 1 < window.latency_size(); i += 2) {
    latency.push_back({{"class", dictionary.ClassName(window.latency(i) / 256)},
                       {"from_ms", Millis(LatencyBucketLowerEdge(window.latency(i) % 256).count())},
                       {"count", window.latency(i + 1)}});
  }
  Json repeats = Json::array();
  for (int i = 0; i + 1 < window.repeats_size(); i += 2) {
    repeats.push_back({{"class", dictionary.ClassName(window.repeats(i))}, {"count", window.repeats(i + 1)}});
  }
  Json out{{"length_ms", Millis(window.length_us())},
           {"came", std::move(received)},
           {"ended", CountsToJson(dictionary, window.ended(), true)},
           {"attempts", CountsToJson(dictionary, window.attempts(), false)}};
  if (!repeats.empty()) out["repeats"] = std::move(repeats);
  if (!latency.empty()) out["latency"] = std::move(latency);
  return out;
}
Json FieldsOf(const Dictionary& dictionary, const wire::Trace& trace) {
  constexpr std::array kFillNotes{"none",         "hit",           "filled",         "filled_via_origin",
                                  "joined",       "stale_hit",     "source_refused", "source_unreached",
                                  "source_lacks", "no_fill_place", "origin_failed"};
  Json attempts = Json::array();
  for (const wire::Attempt& entry : trace.attempts()) {
    Json attempt{{"number", entry.number()},
                 {"server", dictionary.ServerName(entry.server())},
                 {"sent_ms", Millis(entry.sent_us())},
                 {"took_ms", Millis(entry.took_us())},
                 {"outcome", Name(static_cast<Outcome>(entry.outcome()))}};
    if (entry.source() != 0) attempt["source"] = dictionary.ServerName(entry.source());
    if (entry.note() != 0)
      attempt["note"] = entry.note() < kFillNotes.size() ? kFillNotes[entry.note()] : "unknown";
    if (entry.fill_wait_us() != 0) attempt["fill_wait_ms"] = Millis(entry.fill_wait_us());
    if (entry.begun_us() != 0) attempt["begun_ms"] = Millis(entry.begun_us());
    if (entry.keep() != 0) attempt["keep"] = entry.keep();
    attempts.push_back(std::move(attempt));
  }
  Json out{{"request", trace.request()},
           {"class", dictionary.ClassName(trace.class_id())},
           {"object", Hex(trace.object())},
           {"group", Hex(trace.group())},
           {"part", trace.part()},
           {"size_kb", trace.size_kb()},
           {"repeat", trace.repeat()},
           {"allow_ms", trace.allow_ms()},
           {"took_ms", Millis(trace.took_us())},
           {"verdict", Name(static_cast<RequestOutcome>(trace.verdict()))}};
  if (trace.retry_after_ms() != 0) out["retry_after_ms"] = trace.retry_after_ms();
  out["sampled"] = trace.sampled();
  out["attempts"] = std::move(attempts);
  return out;
}
Json FieldsOf(const Dictionary& dictionary, const wire::Lost& lost) {
  return {{"server", dictionary.ServerName(lost.server())},
          {"connections", lost.connections()},
          {"open", lost.open()}};
}
Json FieldsOf(const Dictionary&, const wire::Header& header) {
  Json classes = Json::array();
  for (const wire::Class& class_settings : header.classes()) {
    classes.push_back({{"name", class_settings.name()},
                       {"aim_ms", Millis(class_settings.aim_us())},
                       {"deadline_ms", Millis(class_settings.deadline_us())},
                       {"worth", class_settings.worth()}});
  }
  return {{"format", header.format()},         {"started", FormatTime(Micros{header.incarnation()})},
          {"segment", header.segment()},       {"version", header.version()},
          {"config", Hex(header.config())},    {"front", header.front()},
          {"sample_ppm", header.sample_ppm()}, {"classes", std::move(classes)}};
}

}  // namespace

std::string Hex(std::uint64_t value) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string out(16, '0');
  for (std::size_t i = 0; i < 16; ++i) out[15 - i] = kDigits[value >> (4 * i) & 15];
  return out;
}

std::string_view KindOf(const wire::Record& record) {
  const auto field_number = static_cast<std::size_t>(record.what_case());
  // The field numbers of the oneof start at 2, with the heartbeat.
  return field_number >= 2 && field_number - 2 < kKinds.size() - 1 ? kKinds[field_number - 2] : kKinds.back();
}

bool IsKind(std::string_view name) { return std::find(kKinds.begin(), kKinds.end(), name) != kKinds.end(); }

Json ToJson(const Dictionary& dictionary, Micros at, const wire::Record& record) {
  Json out{{"time", FormatTime(at)}, {"instance", dictionary.Header().name()}, {"kind", KindOf(record)}};
  const auto add = [&](const Json& fields) { out.update(fields); };
  switch (record.what_case()) {
    case wire::Record::kHeartbeat:
      add(FieldsOf(dictionary, record.heartbeat()));
      break;
    case wire::Record::kLife:
      add(FieldsOf(dictionary, record.life()));
      break;
    case wire::Record::kServer:
      add(FieldsOf(dictionary, record.server()));
      break;
    case wire::Record::kMembers:
      add(FieldsOf(dictionary, record.members()));
      break;
    case wire::Record::kPurge:
      add(FieldsOf(dictionary, record.purge()));
      break;
    case wire::Record::kWindow:
      add(FieldsOf(dictionary, record.window()));
      break;
    case wire::Record::kTrace:
      add(FieldsOf(dictionary, record.trace()));
      break;
    case wire::Record::kRouterLine:
      out["text"] = record.router_line();
      break;
    case wire::Record::kLost:
      add(FieldsOf(dictionary, record.lost()));
      break;
    case wire::Record::kGap:
      out["records"] = record.gap().records();
      out["bytes"] = record.gap().bytes();
      break;
    case wire::Record::kHeader:
      add(FieldsOf(dictionary, record.header()));
      break;
    case wire::Record::kDrain:
      out["server"] = dictionary.ServerName(record.drain().server());
      out["told"] = FormatTime(at - Micros{record.drain().told_us()});
      out["sent"] = record.drain().sent();
      if (record.drain().sent() > 0) out["last_ms"] = Millis(record.drain().last_us());
      break;
    case wire::Record::kPurgeHeld:
      record.purge_held().object() != 0 ? out["object"] = Hex(record.purge_held().object())
                                        : out["group"] = Hex(record.purge_held().group());
      out["told"] = FormatTime(at - Micros{record.purge_held().told_us()});
      out["served"] = record.purge_held().served();
      if (record.purge_held().served() > 0) {
        out["last_sent_ms"] = Millis(record.purge_held().last_sent_us());
        out["last_served_ms"] = Millis(record.purge_held().last_served_us());
      }
      break;
    case wire::Record::WHAT_NOT_SET:
      break;
  }
  return out;
}

}  // namespace tinspan::record
