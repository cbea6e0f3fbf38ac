#include "config/config.hpp"

#include <simdjson.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <iterator>
#include <random>

namespace tinspan::config {
namespace {

using simdjson::dom::element;
using simdjson::dom::element_type;
using simdjson::dom::object;

[[noreturn]] void ThrowExpected(const std::string& key, const std::string& expected) {
  throw Error(key + ": expected " + expected);
}

element Require(const object& in, std::string_view key, const std::string& path) {
  element value;
  if (in[key].get(value) != simdjson::SUCCESS) ThrowExpected(path, "to be told");
  return value;
}
std::string Text(const element& value, const std::string& path) {
  std::string_view text;
  if (value.get(text) != simdjson::SUCCESS) ThrowExpected(path, "a text");
  return std::string(text);
}
std::uint64_t Unsigned(const element& value, const std::string& path) {
  std::uint64_t number = 0;
  if (value.get(number) != simdjson::SUCCESS) ThrowExpected(path, "a whole number");
  return number;
}
object Object(const element& value, const std::string& path) {
  object out;
  if (value.get(out) != simdjson::SUCCESS) ThrowExpected(path, "an object");
  return out;
}
net::Endpoint Address(const std::string& text, const std::string& path) {
  const auto endpoint = net::Endpoint::Parse(text);
  if (!endpoint) ThrowExpected(path, "an address like 10.0.0.4:7001, not '" + text + "'");
  return *endpoint;
}
std::size_t UnsignedOr(const object& in, std::string_view key, const std::string& path,
                       std::size_t fallback) {
  element value;
  return in[key].get(value) == simdjson::SUCCESS ? Unsigned(value, path) : fallback;
}

// The text of a scalar as the simulator sends it; null becomes "-".
std::string ScalarText(const element& value, const std::string& path) {
  std::string out;
  switch (value.type()) {
    case element_type::NULL_VALUE:
      return "-";
    case element_type::STRING:
      out = Text(value, path);
      // As in the simulator's messages, where a comma separates the entries of a list.
      std::replace(out.begin(), out.end(), ' ', '_');
      std::replace(out.begin(), out.end(), ',', '_');
      return out;
    case element_type::BOOL:
    case element_type::INT64:
    case element_type::UINT64:
    case element_type::DOUBLE:
      return simdjson::minify(value);
    default:
      ThrowExpected(path, "a plain value");
  }
}

// Flattens nested JSON into the paths and values that the simulator's first message has, so that ReadSettings
// reads both.
class FlattenedSettings {
 public:
  void Add(const std::string& path, const element& value) {
    if (value.type() == element_type::OBJECT) {
      for (const auto& field : Object(value, path)) {
        Add(path.empty() ? std::string(field.key) : path + "." + std::string(field.key), field.value);
      }
    } else if (value.type() == element_type::ARRAY) {
      simdjson::dom::array list;
      if (value.get(list) != simdjson::SUCCESS) ThrowExpected(path, "a list");
      std::string joined;
      std::size_t count = 0;
      bool has_objects = false;
      for (const element item : list) {
        if (item.type() == element_type::OBJECT) {
          has_objects = true;
          Add(path + "." + std::to_string(count), item);
        } else {
          if (count > 0) joined += ",";
          joined += ScalarText(item, path);
        }
        ++count;
      }
      has_objects ? Append(path + ".count", std::to_string(count)) : Append(path, std::move(joined));
    } else {
      Append(path, ScalarText(value, path));
    }
  }
  const SettingsMap& Map() const { return map_; }

 private:
  void Append(std::string path, std::string value) {
    const auto& entry = entries_.emplace_back(std::move(path), std::move(value));
    map_.Add(entry.first, entry.second);
  }
  std::deque<std::pair<std::string, std::string>> entries_;  // a deque keeps references valid as it grows
  SettingsMap map_;
};

// Rejects what the decision module does not take, so that the error names the key. Used at the start and at a
// reload.
void CheckTimes(const Settings& settings) {
  const auto require = [](Micros time, const std::string& key) {
    if (time < Micros{0}) ThrowExpected("settings." + key, "a number of milliseconds of at least 0");
  };
  for (std::size_t index = 0; index < settings.classes.size(); ++index) {
    const ClassSettings& traffic_class = settings.classes[index];
    const std::string prefix = "lanes." + std::to_string(index) + ".";
    require(traffic_class.idempotency_window, prefix + "windowMs");
    require(traffic_class.latency_objective, prefix + "promiseMs");
    require(traffic_class.freshness_lifetime, "familyInfo.maxAgeMs");
    require(traffic_class.stale_grace, "familyInfo.classGraceMs");
  }
  require(settings.event_interval, "tickMs");
  require(settings.connect_timeout, "limits.connectTimeoutMs");
  require(settings.max_retry_after, "limits.maxRetryAfterMs");
  require(settings.warm_up_time, "rules.warmAfterMs");
  require(settings.overload_window, "rules.tipAfterMs");
  require(settings.parent_warm_up_time, "familyInfo.upperColdMs");
  require(settings.purge_retention, "familyInfo.goneEverywhereMs");
}

// Rejects classes without a rule that decides whether and until when a request may be sent: the module would
// take an absent value for 0, "no deadline" or "no write". Used at the start and at a reload.
void CheckClasses(const NamedSettings& site, const SettingsMap& map) {
  for (std::size_t index = 0; index < site.classes.size(); ++index) {
    const ClassSettings& traffic_class = site.settings.classes[index];
    const std::string prefix = "lanes." + std::to_string(index) + ".";
    const std::string class_note = " (class " + site.classes[index] + ")";
    const auto require_time = [&](Micros time, const char* key) {
      if (time > Micros{0}) return;
      ThrowExpected("settings." + prefix + key, "a number of milliseconds above 0" + class_note);
    };
    require_time(traffic_class.deadline, "giveUpMs");
    require_time(traffic_class.latency_objective, "promiseMs");
    if (traffic_class.effect != Effect::kIdempotencyKey) continue;
    require_time(traffic_class.idempotency_window, "windowMs");
    if (IsAbsent(map.Text(prefix + "keyScope")))
      ThrowExpected("settings." + prefix + "keyScope", "one of all zone cell" + class_note);
  }
}

// Rejects a list by class that has not one entry for each class. `familyInfo.classWrite` must be there:
// without it orders would be sent like reads.
void CheckListsByClass(const NamedSettings& site, const SettingsMap& map) {
  const auto check = [&](const std::string& key, bool is_required) {
    const std::size_t count = map.List(key).size();
    if (count == site.classes.size() || (count == 0 && !is_required)) return;
    ThrowExpected("settings." + key, "one entry for each of the " + std::to_string(site.classes.size()) +
                                         " classes, not " + std::to_string(count));
  };
  check("familyInfo.classWrite", true);
  for (const char* const key : {"familyInfo.maxAgeMs", "familyInfo.classGraceMs", "familyInfo.multiPart",
                                "familyInfo.oldCopyWorth"}) {
    check(key, false);
  }
}

void ReadSettingsSection(const element& settings, CommonConfig& out) {
  FlattenedSettings flattened;
  flattened.Add("", settings);
  const SettingsMap& map = flattened.Map();
  try {
    out.site = ReadSettings(map);
    const auto millis = [&](const char* path, Micros fallback) {
      const Micros value = map.Millis(path);
      return value > Micros{0} ? value : fallback;
    };
    out.connect_timeout = millis("limits.connectTimeoutMs", out.connect_timeout);
    out.idle_timeout = millis("limits.idleCloseMs", out.idle_timeout);
    const std::uint32_t max_streams = map.Uint32("limits.streamsPerConn");
    if (max_streams > 0) out.max_streams_per_connection = max_streams;
  } catch (const Malformed& malformed) {
    ThrowExpected("settings." + malformed.field, malformed.expected);
  }
  CheckTimes(out.site.settings);
  CheckClasses(out.site, map);
  CheckListsByClass(out.site, map);
  if (out.site.settings.max_attempts == 0)
    ThrowExpected("settings.limits.maxAttempts", "a whole number above 0");
  out.longest_deadline = Micros{0};
  for (const ClassSettings& item : out.site.settings.classes)
    out.longest_deadline = std::max(out.longest_deadline, item.deadline);
}

// Throws Error if the environment variable is unset or empty.
std::string EnvironmentVariable(const char* name) {
  const char* const value = std::getenv(name);
  if (value == nullptr || *value == '\0') ThrowExpected(name, "to be set");
  return value;
}

std::string WithoutTrailingSpace(std::string text) {
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r' || text.back() == ' ')) text.pop_back();
  return text;
}
// The ...Or functions return `fallback` if the object has no such key.
std::string TextOr(const object& in, std::string_view key, const std::string& path,
                   const std::string& fallback) {
  element value;
  return in[key].get(value) == simdjson::SUCCESS ? Text(value, path) : fallback;
}
Micros MillisOr(const object& in, std::string_view key, const std::string& path, Micros fallback) {
  element value;
  if (in[key].get(value) != simdjson::SUCCESS) return fallback;
  const std::uint64_t millis = Unsigned(value, path);
  if (millis > 86'400'000) ThrowExpected(path, "milliseconds, a day at most");
  return Micros{static_cast<std::int64_t>(millis) * 1000};
}
simdjson::dom::array List(const element& value, const std::string& path) {
  simdjson::dom::array out;
  if (value.get(out) != simdjson::SUCCESS) ThrowExpected(path, "a list");
  return out;
}
void ReadLimits(const object& root, Limits& out) {
  element value;
  if (root["limits"].get(value) != simdjson::SUCCESS) return;
  const object limits = Object(value, "limits");
  out.memory_mb = UnsignedOr(limits, "memory_mb", "limits.memory_mb", out.memory_mb);
  out.sockets = UnsignedOr(limits, "sockets", "limits.sockets", out.sockets);
  if (out.sockets < 64) ThrowExpected("limits.sockets", "64 at least");
}

void ReadRoutes(const object& root, Gateway& out) {
  out.routes.resize(out.site.classes.size());
  std::size_t index = 0;
  for (const element item : List(Require(root, "routes", "routes"), "routes")) {
    const std::string path = "routes." + std::to_string(index++);
    const object route = Object(item, path);
    const std::string name = Text(Require(route, "class", path + ".class"), path + ".class");
    const auto found = std::find(out.site.classes.begin(), out.site.classes.end(), name);
    if (found == out.site.classes.end())
      ThrowExpected(path + ".class", "a class of the settings, not '" + name + "'");
    Route& target = out.routes[static_cast<std::size_t>(found - out.site.classes.begin())];
    target.prefix = Text(Require(route, "path", path + ".path"), path + ".path");
    if (!target.prefix.starts_with('/') || target.prefix.starts_with("/-/")) {
      ThrowExpected(path + ".path", "a path from '/', not under '/-/'");
    }
    try {
      target.access =
          ParseEnum<AccessMethod>(TextOr(route, "access", path + ".access", "either"), path + ".access",
                                  {{"open", AccessMethod::kOpen},
                                   {"link", AccessMethod::kLink},
                                   {"token", AccessMethod::kToken},
                                   {"either", AccessMethod::kEither}});
    } catch (const Malformed& malformed) {
      ThrowExpected(malformed.field, malformed.expected);
    }
  }
}

void ReadConsul(const object& root, const std::string& folder, Gateway& out) {
  const object consul = Object(Require(root, "consul", "consul"), "consul");
  out.consul =
      Address(Text(Require(consul, "address", "consul.address"), "consul.address"), "consul.address");
  const std::string token = TextOr(consul, "token_file", "consul.token_file", "");
  if (!token.empty()) out.consul_token = WithoutTrailingSpace(ReadFile("consul.token_file", folder + token));
  out.consul_wait = MillisOr(consul, "wait_ms", "consul.wait_ms", out.consul_wait);
  out.consul_zone = TextOr(consul, "zone", "consul.zone", "");
  const Names& zones = out.site.zones;
  if (!out.consul_zone.empty() && std::find(zones.begin(), zones.end(), out.consul_zone) == zones.end()) {
    ThrowExpected("consul.zone", "a zone of the settings, not '" + out.consul_zone + "'");
  }
  std::size_t index = 0;
  for (const element item : List(Require(consul, "services", "consul.services"), "consul.services")) {
    const std::string path = "consul.services." + std::to_string(index++);
    const object service = Object(item, path);
    ConsulService entry{Text(Require(service, "name", path + ".name"), path + ".name"),
                        Text(Require(service, "kind", path + ".kind"), path + ".kind")};
    const Names& kinds = out.site.kinds;
    if (std::find(kinds.begin(), kinds.end(), entry.kind) == kinds.end()) {
      ThrowExpected(path + ".kind", "a kind of the settings, not '" + entry.kind + "'");
    }
    const bool has_valid_characters =
        std::all_of(entry.name.begin(), entry.name.end(), [](unsigned char character) {
          return std::isalnum(character) || character == '-' || character == '_' || character == '.';
        });
    if (entry.name.empty() || !has_valid_characters)
      ThrowExpected(path + ".name", "letters, digits, '-', '_' and '.'");
    out.consul_services.push_back(std::move(entry));
  }
  if (index == 0) ThrowExpected("consul.services", "one service at least");
}

// The file gives sizes in whole MB, ages in whole seconds and the sample as a share from 0 to 1.
void ReadRecord(const object& root, const std::string& folder, Record& out) {
  element value;
  if (root["record"].get(value) != simdjson::SUCCESS) return;
  const object record = Object(value, "record");
  const std::string configured_folder = Text(Require(record, "folder", "record.folder"), "record.folder");
  if (configured_folder.empty()) ThrowExpected("record.folder", "a folder");
  out.folder = configured_folder.front() == '/' ? configured_folder : folder + configured_folder;
  const auto number_in_range = [&](const char* key, std::size_t fallback, std::size_t min_value,
                                   std::size_t max_value) {
    const std::string path = std::string("record.") + key;
    const std::size_t number = UnsignedOr(record, key, path, fallback);
    if (number < min_value || number > max_value) {
      ThrowExpected(path, std::to_string(min_value) + " to " + std::to_string(max_value) + ", not " +
                              std::to_string(number));
    }
    return number;
  };
  out.segment_bytes = std::uint64_t{number_in_range("segment_mb", out.segment_bytes >> 20, 1, 1024)} << 20;
  out.total_bytes = std::uint64_t{number_in_range("total_mb", out.total_bytes >> 20, 2, 1 << 20)} << 20;
  if (out.total_bytes < 2 * out.segment_bytes)
    ThrowExpected("record.total_mb", "twice record.segment_mb at least");
  out.segment_age =
      Micros{static_cast<std::int64_t>(number_in_range("segment_s", 600, 1, 86'400)) * 1'000'000};
  if (record["sample"].get(value) == simdjson::SUCCESS) {
    double share = 0;
    if (value.get(share) != simdjson::SUCCESS || !(share >= 0 && share <= 1)) {
      ThrowExpected("record.sample", "a share from 0 to 1");
    }
    out.sample_ppm = static_cast<std::uint32_t>(share * 1e6 + 0.5);
  }
}

double NumberOr(const object& in, std::string_view key, const std::string& path, double fallback) {
  element value;
  if (in[key].get(value) != simdjson::SUCCESS) return fallback;
  double number = 0;
  if (value.get(number) != simdjson::SUCCESS) ThrowExpected(path, "a number");
  return number;
}

// True for a name that the fleet view accepts: 1 to 64 letters, digits, '-', '_' or '.'.
bool IsFleetName(const std::string& text) {
  return !text.empty() && text.size() <= 64 &&
         std::all_of(text.begin(), text.end(), [](unsigned char character) {
           return std::isalnum(character) || character == '-' || character == '_' || character == '.';
         });
}

// Validates every value, so that a file with which the fleet view could not start is rejected as a whole.
void ReadMembers(const object& root, CommonConfig& out) {
  element value;
  if (root["members"].get(value) != simdjson::SUCCESS) return;
  const object members = Object(value, "members");
  // The name identifies this instance in the fleet: a name that other members would reject is an error here.
  if (!IsFleetName(out.name))
    ThrowExpected("name", "1 to 64 letters, digits, '-', '_' or '.', for the fleet view");
  Members parsed;
  parsed.fleet = Text(Require(members, "fleet", "members.fleet"), "members.fleet");
  if (!IsFleetName(parsed.fleet)) ThrowExpected("members.fleet", "1 to 64 letters, digits, '-', '_' or '.'");
  parsed.listen =
      Address(Text(Require(members, "listen", "members.listen"), "members.listen"), "members.listen");
  if (element advertise; members["advertise"].get(advertise) == simdjson::SUCCESS) {
    parsed.advertise = Address(Text(advertise, "members.advertise"), "members.advertise");
    if (parsed.advertise->port == 0) ThrowExpected("members.advertise", "an address with a port above 0");
  }
  parsed.zone = TextOr(members, "zone", "members.zone", "");
  if (!parsed.zone.empty() && !IsFleetName(parsed.zone))
    ThrowExpected("members.zone", "1 to 64 letters, digits, '-', '_' or '.'");
  if (element seeds; members["seeds"].get(seeds) == simdjson::SUCCESS) {
    std::size_t index = 0;
    for (const element item : List(seeds, "members.seeds")) {
      const std::string path = "members.seeds." + std::to_string(index++);
      parsed.seeds.push_back(Address(Text(item, path), path));
    }
  }
  parsed.probe_interval = MillisOr(members, "probe_ms", "members.probe_ms", parsed.probe_interval);
  if (parsed.probe_interval < Micros{50'000} || parsed.probe_interval > Micros{60'000'000})
    ThrowExpected("members.probe_ms", "50 to 60000");
  parsed.probe_timeout =
      MillisOr(members, "probe_timeout_ms", "members.probe_timeout_ms", parsed.probe_interval / 2);
  if (parsed.probe_timeout <= Micros{0} || parsed.probe_timeout >= parsed.probe_interval) {
    ThrowExpected("members.probe_timeout_ms", "above 0 and under members.probe_ms");
  }
  parsed.indirect_probes = static_cast<int>(UnsignedOr(members, "indirect", "members.indirect", 3));
  if (parsed.indirect_probes < 1 || parsed.indirect_probes > 8) ThrowExpected("members.indirect", "1 to 8");
  parsed.suspicion_alpha =
      NumberOr(members, "suspicion_alpha", "members.suspicion_alpha", parsed.suspicion_alpha);
  if (!(parsed.suspicion_alpha > 0 && parsed.suspicion_alpha <= 100))
    ThrowExpected("members.suspicion_alpha", "above 0, 100 at most");
  parsed.suspicion_beta =
      NumberOr(members, "suspicion_beta", "members.suspicion_beta", parsed.suspicion_beta);
  if (!(parsed.suspicion_beta >= 1 && parsed.suspicion_beta <= 100))
    ThrowExpected("members.suspicion_beta", "1 to 100");
  parsed.retransmit_multiplier = static_cast<int>(UnsignedOr(members, "retransmit", "members.retransmit", 4));
  if (parsed.retransmit_multiplier < 1 || parsed.retransmit_multiplier > 16)
    ThrowExpected("members.retransmit", "1 to 16");
  parsed.sync_interval = MillisOr(members, "sync_ms", "members.sync_ms", parsed.sync_interval);
  if (parsed.sync_interval < parsed.probe_interval)
    ThrowExpected("members.sync_ms", "members.probe_ms at least");
  parsed.dead_retention = MillisOr(members, "dead_keep_ms", "members.dead_keep_ms", parsed.dead_retention);
  if (parsed.dead_retention < parsed.probe_interval * 10)
    ThrowExpected("members.dead_keep_ms", "ten times members.probe_ms at least");
  out.members = std::move(parsed);
}

// Rejects a file as a whole if it has a list of voters that could grant one duty to two holders.
void ReadLeases(const object& root, CommonConfig& out) {
  element value;
  if (root["leases"].get(value) != simdjson::SUCCESS) return;
  const object leases = Object(value, "leases");
  if (!out.members) ThrowExpected("leases", "a file with `members`, because leases use the fleet view");
  Leases parsed;
  std::size_t index = 0;
  for (const element item : List(Require(leases, "voters", "leases.voters"), "leases.voters")) {
    const std::string path = "leases.voters." + std::to_string(index++);
    std::string name = Text(item, path);
    if (!IsFleetName(name)) ThrowExpected(path, "1 to 64 letters, digits, '-', '_' or '.'");
    if (std::find(parsed.voters.begin(), parsed.voters.end(), name) != parsed.voters.end()) {
      ThrowExpected(path, "a name that the list does not have yet, because each voter counts once");
    }
    parsed.voters.push_back(std::move(name));
  }
  if (parsed.voters.size() < 3 || parsed.voters.size() > 9 || parsed.voters.size() % 2 == 0) {
    ThrowExpected("leases.voters", "3, 5, 7 or 9 names");
  }
  parsed.lease_duration = MillisOr(leases, "length_ms", "leases.length_ms", parsed.lease_duration);
  if (parsed.lease_duration < Micros{500'000} || parsed.lease_duration > Micros{600'000'000}) {
    ThrowExpected("leases.length_ms", "500 to 600000");
  }
  parsed.max_clock_drift = NumberOr(leases, "drift", "leases.drift", parsed.max_clock_drift);
  if (!(parsed.max_clock_drift >= 0 && parsed.max_clock_drift <= 0.4))
    ThrowExpected("leases.drift", "0 to 0.4");
  parsed.candidate_count = UnsignedOr(leases, "candidates", "leases.candidates", parsed.candidate_count);
  if (parsed.candidate_count < 1 || parsed.candidate_count > 16)
    ThrowExpected("leases.candidates", "1 to 16");
  if (leases["purge"].get(value) == simdjson::SUCCESS &&
      value.get(parsed.distributes_purges) != simdjson::SUCCESS) {
    ThrowExpected("leases.purge", "true or false");
  }
  if (leases["start_alone"].get(value) == simdjson::SUCCESS &&
      value.get(parsed.can_start_alone) != simdjson::SUCCESS) {
    ThrowExpected("leases.start_alone", "true or false");
  }
  if (leases["publish"].get(value) == simdjson::SUCCESS) {
    const object publish = Object(value, "leases.publish");
    Leases::HealthPublication& publication = parsed.health_publication.emplace();
    publication.store =
        Address(Text(Require(publish, "store", "leases.publish.store"), "leases.publish.store"),
                "leases.publish.store");
    if (publication.store.port == 0) ThrowExpected("leases.publish.store", "an address with a port above 0");
    publication.key =
        TextOr(publish, "key", "leases.publish.key", "tinspan/" + out.members->fleet + "/health");
    const bool has_valid_characters =
        std::all_of(publication.key.begin(), publication.key.end(), [](unsigned char character) {
          return std::isalnum(character) || character == '-' || character == '_' || character == '.' ||
                 character == '/';
        });
    if (publication.key.empty() || publication.key.size() > 256 || publication.key.front() == '/' ||
        !has_valid_characters) {
      ThrowExpected("leases.publish.key", "1 to 256 letters, digits, '-', '_', '.' or '/', not '/' first");
    }
    publication.interval = MillisOr(publish, "every_ms", "leases.publish.every_ms", publication.interval);
    if (publication.interval < Micros{100'000} || publication.interval > Micros{3'600'000'000}) {
      ThrowExpected("leases.publish.every_ms", "100 to 3600000");
    }
  }
  if (!parsed.health_publication && !parsed.distributes_purges)
    ThrowExpected("leases", "a duty: `publish` or `purge`");
  out.leases = std::move(parsed);
}

constexpr std::string_view kClassesPath = "settings.lanes";

void AddKeys(const object& in, const std::string& prefix, KeyPaths& out);

// Adds the keys that every class has.
void AddClassKeys(const element& classes, KeyPaths& out) {
  std::optional<KeyPaths> common;
  for (const element item : List(classes, std::string(kClassesPath))) {
    KeyPaths keys;
    AddKeys(Object(item, std::string(kClassesPath)), std::string(kClassesPath) + ".*.", keys);
    if (!common) {
      common = std::move(keys);
    } else {
      std::erase_if(*common, [&](const std::string& key) { return !keys.contains(key); });
    }
  }
  if (common) out.merge(*common);
}

void AddKeys(const object& in, const std::string& prefix, KeyPaths& out) {
  for (const auto& field : in) {
    if (field.value.is_null()) continue;
    const std::string path = prefix + std::string(field.key);
    out.insert(path);
    if (path == kClassesPath) {
      AddClassKeys(field.value, out);
    } else if (field.value.is_object()) {
      AddKeys(Object(field.value, path), path + ".", out);
    }
  }
}

// Whether a key may be absent from a file though the file before had it.
bool IsOptional(const std::string& key) { return key == "settings.lanes.*.aimStretch"; }

}  // namespace

void RequireKeysOf(const KeyPaths& current, const KeyPaths& updated) {
  for (const std::string& key : current) {
    if (!IsOptional(key) && !updated.contains(key))
      ThrowExpected(key, "to be told, as in the configuration in effect");
  }
}

std::string ReadFile(const std::string& key, const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) ThrowExpected(key, "a file that can be read, not '" + path + "'");
  return {std::istreambuf_iterator<char>(in), {}};
}

Gateway ReadHttp(const std::string& path) {
  try {
    const std::string json = ReadFile("operator-file", path);
    const std::size_t slash = path.rfind('/');
    const std::string folder = slash == std::string::npos ? "" : path.substr(0, slash + 1);
    simdjson::dom::parser parser;
    element root_element;
    if (const auto error = parser.parse(simdjson::padded_string(json)).get(root_element)) {
      ThrowExpected("file", std::string("JSON (") + simdjson::error_message(error) + ")");
    }
    const object root = Object(root_element, "file");
    const auto text = [&](const char* key) { return Text(Require(root, key, key), key); };
    Gateway out;
    out.path = path;
    out.name = text("name");
    out.listen = Address(text("listen"), "listen");
    out.seed = static_cast<std::uint64_t>(std::random_device{}()) << 32 | std::random_device{}();
    ReadLimits(root, out.limits);
    ReadSettingsSection(Require(root, "settings", "settings"), out);
    // The gateway forwards a response while it arrives, so a response that has started has no deadline.
    // is_streamed tells the module so.
    for (ClassSettings& item : out.site.settings.classes) item.is_streamed = true;
    out.response_margin = MillisOr(root, "slack_ms", "slack_ms", out.response_margin);
    out.origin = text("origin");
    const std::size_t scheme = out.origin.find("://");
    if (scheme == std::string::npos || out.origin.ends_with('/')) {
      ThrowExpected("origin", "scheme and authority, like https://scans.example.is");
    }
    out.authority = out.origin.substr(scheme + 3);
    out.audience = text("audience");
    if ((out.audience + out.name).find_first_of("\"\\") != std::string::npos)
      ThrowExpected("audience", "no quotes");
    out.keys_path = folder + text("keys_file");
    out.keys = ReadFile("keys_file", out.keys_path);
    out.signing_key = ReadFile("signing_key_file", folder + text("signing_key_file"));
    const std::string token = TextOr(root, "operator_token_file", "operator_token_file", "");
    if (!token.empty())
      out.operator_token = WithoutTrailingSpace(ReadFile("operator_token_file", folder + token));
    if (!token.empty() && out.operator_token.size() < 16)
      ThrowExpected("operator_token_file", "16 characters at least");
    out.clock_leeway = MillisOr(root, "clock_leeway_ms", "clock_leeway_ms", out.clock_leeway);
    out.stall_timeout = MillisOr(root, "stall_ms", "stall_ms", out.stall_timeout);
    out.max_body_bytes = UnsignedOr(root, "most_body_bytes", "most_body_bytes", out.max_body_bytes);
    if (out.max_body_bytes > (1 << 20)) ThrowExpected("most_body_bytes", "1 MiB at most");
    ReadRoutes(root, out);
    ReadConsul(root, folder, out);
    ReadRecord(root, folder, out.record);
    if (element ops; root["ops"].get(ops) == simdjson::SUCCESS) out.ops = Address(Text(ops, "ops"), "ops");
    ReadMembers(root, out);
    ReadLeases(root, out);
    return out;
  } catch (const Error& error) {
    throw Error(path + ": " + error.what());
  }
}

std::string AddLineNumber(std::string_view text, const std::string& message) {
  const std::size_t colon = message.find(':');
  if (colon == std::string::npos) return message;
  const std::string key = message.substr(0, colon);
  std::string last_part = key.substr(key.rfind('.') == std::string::npos ? 0 : key.rfind('.') + 1);
  std::size_t position = std::string::npos;
  if (!last_part.empty() &&
      std::all_of(last_part.begin(), last_part.end(), [](char c) { return c >= '0' && c <= '9'; })) {
    return message;  // an index into a list does not occur in the text
  }
  // Every class has the key: for class N, skip N occurrences.
  std::size_t class_index = 0;
  if (const std::size_t lanes = key.find("lanes."); lanes != std::string::npos) {
    class_index = std::strtoul(key.c_str() + lanes + 6, nullptr, 10);
  }
  const std::string quoted = "\"" + last_part + "\"";
  for (std::size_t search_from = 0, occurrences = 0;
       (search_from = text.find(quoted, search_from)) != std::string_view::npos; ++search_from) {
    if (occurrences++ == class_index) {
      position = search_from;
      break;
    }
  }
  if (position == std::string::npos) return message;
  const auto line = 1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(position), '\n');
  return key + " (line " + std::to_string(line) + ")" + message.substr(colon);
}

Platform ReadPlatform() {
  const std::string path = EnvironmentVariable("PROXY_CONFIG");
  const std::string name = EnvironmentVariable("PROXY_NAME");
  const std::string listen = EnvironmentVariable("PROXY_LISTEN");
  try {
    return ParsePlatform(ReadFile("PROXY_CONFIG", path), name, listen);
  } catch (const Error& error) {
    throw Error("PROXY_CONFIG " + path + ": " + error.what());
  }
}

Platform ParsePlatformJson(std::string_view json, const std::string& name, const std::string& listen);

Platform ParsePlatform(std::string_view json, const std::string& name, const std::string& listen) {
  try {
    return ParsePlatformJson(json, name, listen);
  } catch (const Error& error) {
    throw Error(AddLineNumber(json, error.what()));
  }
}

Platform ParsePlatformJson(std::string_view json, const std::string& name, const std::string& listen) {
  if (json.find_first_not_of(" \t\r\n") == std::string_view::npos)
    ThrowExpected("configuration", "a JSON object, not an empty file");
  simdjson::dom::parser parser;
  element root_element;
  if (const auto error = parser.parse(simdjson::padded_string(json)).get(root_element)) {
    ThrowExpected("configuration", std::string("JSON (") + simdjson::error_message(error) + ")");
  }
  const object root = Object(root_element, "configuration");
  Platform out;
  AddKeys(root, "", out.keys);
  out.name = name;
  out.listen = Address(listen, "PROXY_LISTEN");
  const std::string seed = Text(Require(root, "seed", "seed"), "seed");
  const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), out.seed, 16);
  if (error != std::errc{} || end != seed.data() + seed.size()) ThrowExpected("seed", "hex digits");
  ReadLimits(root, out.limits);
  out.watch_address = Address(Text(Require(root, "changelog", "changelog"), "changelog"), "changelog");
  const object known = Object(Require(root, "known", "known"), "known");
  out.initial_sequence = Unsigned(Require(known, "seq", "known.seq"), "known.seq");
  for (const element item : List(Require(known, "results", "known.results"), "known.results"))
    out.initial_events.push_back(simdjson::minify(item));
  ReadSettingsSection(Require(root, "settings", "settings"), out);
  if (const char* const ops_address = std::getenv("PROXY_OPS");
      ops_address != nullptr && *ops_address != '\0') {
    out.ops = Address(ops_address, "PROXY_OPS");
  } else if (element ops; root["ops"].get(ops) == simdjson::SUCCESS) {
    out.ops = Address(Text(ops, "ops"), "ops");
  }
  ReadMembers(root, out);
  ReadLeases(root, out);
  return out;
}

}  // namespace tinspan::config
