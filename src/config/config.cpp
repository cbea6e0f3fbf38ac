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

[[noreturn]] void Wrong(const std::string& key, const std::string& expected) {
  throw Error(key + ": expected " + expected);
}

element Need(const object& in, std::string_view key, const std::string& path) {
  element value;
  if (in[key].get(value) != simdjson::SUCCESS) Wrong(path, "to be told");
  return value;
}
std::string Text(const element& value, const std::string& path) {
  std::string_view text;
  if (value.get(text) != simdjson::SUCCESS) Wrong(path, "a text");
  return std::string(text);
}
std::uint64_t Whole(const element& value, const std::string& path) {
  std::uint64_t number = 0;
  if (value.get(number) != simdjson::SUCCESS) Wrong(path, "a whole number");
  return number;
}
object Object(const element& value, const std::string& path) {
  object out;
  if (value.get(out) != simdjson::SUCCESS) Wrong(path, "an object");
  return out;
}
net::Endpoint Address(const std::string& text, const std::string& path) {
  const auto endpoint = net::Endpoint::Parse(text);
  if (!endpoint) Wrong(path, "an address like 10.0.0.4:7001, not '" + text + "'");
  return *endpoint;
}
std::size_t WholeOr(const object& in, std::string_view key, const std::string& path, std::size_t absent) {
  element value;
  return in[key].get(value) == simdjson::SUCCESS ? Whole(value, path) : absent;
}

std::string Plain(const element& value, const std::string& path) {
  std::string out;
  switch (value.type()) {
    case element_type::NULL_VALUE:
      return "-";
    case element_type::STRING:
      out = Text(value, path);
      // As on the simulator's wire, where a list is joined by commas.
      std::replace(out.begin(), out.end(), ' ', '_');
      std::replace(out.begin(), out.end(), ',', '_');
      return out;
    case element_type::BOOL:
    case element_type::INT64:
    case element_type::UINT64:
    case element_type::DOUBLE:
      return simdjson::minify(value);
    default:
      Wrong(path, "a plain value");
  }
}

// Nested JSON as the paths and values of the simulator's first message, so that one mapping reads both.
class Flattened {
 public:
  void Add(const std::string& path, const element& value) {
    if (value.type() == element_type::OBJECT) {
      for (const auto& field : Object(value, path)) {
        Add(path.empty() ? std::string(field.key) : path + "." + std::string(field.key), field.value);
      }
    } else if (value.type() == element_type::ARRAY) {
      simdjson::dom::array list;
      if (value.get(list) != simdjson::SUCCESS) Wrong(path, "a list");
      std::string joined;
      std::size_t count = 0;
      bool objects = false;
      for (const element one : list) {
        if (one.type() == element_type::OBJECT) {
          objects = true;
          Add(path + "." + std::to_string(count), one);
        } else {
          if (count > 0) joined += ",";
          joined += Plain(one, path);
        }
        ++count;
      }
      objects ? Put(path + ".count", std::to_string(count)) : Put(path, std::move(joined));
    } else {
      Put(path, Plain(value, path));
    }
  }
  const Setup& Result() const { return setup_; }

 private:
  void Put(std::string path, std::string value) {
    const auto& kept = texts_.emplace_back(std::move(path), std::move(value));
    setup_.Add(kept.first, kept.second);
  }
  std::deque<std::pair<std::string, std::string>> texts_;  // stays in place as it grows
  Setup setup_;
};

void ReadSettings(const element& settings, Common& out) {
  Flattened flat;
  flat.Add("", settings);
  const Setup& setup = flat.Result();
  try {
    out.site = ReadSite(setup);
    const auto millis = [&](const char* path, Micros absent) {
      const Micros told = setup.Millis(path);
      return told > Micros{0} ? told : absent;
    };
    out.connect_timeout = millis("limits.connectTimeoutMs", out.connect_timeout);
    out.idle_close = millis("limits.idleCloseMs", out.idle_close);
    const std::uint32_t streams = setup.Whole("limits.streamsPerConn");
    if (streams > 0) out.exchanges = streams;
  } catch (const Malformed& wrong) {
    Wrong("settings." + wrong.field, wrong.expected);
  }
  // A deadline or a number of attempts that is absent or not above 0 would pass for "none" further on: the
  // whole file is turned down instead (a reload keeps the old one).
  for (std::size_t i = 0; i < out.site.settings.classes.size(); ++i) {
    const std::string path = "lanes." + std::to_string(i) + ".giveUpMs";
    if (out.site.settings.classes[i].deadline <= Micros{0}) {
      Wrong("settings." + path, "a number of milliseconds above 0 (class " + out.site.classes[i] + ")");
    }
  }
  if (out.site.settings.max_attempts == 0) Wrong("settings.limits.maxAttempts", "a whole number above 0");
  out.longest = Micros{0};
  for (const ClassSettings& one : out.site.settings.classes)
    out.longest = std::max(out.longest, one.deadline);
}

std::string Variable(const char* name) {
  const char* const value = std::getenv(name);
  if (value == nullptr || *value == '\0') Wrong(name, "to be set");
  return value;
}

std::string Trimmed(std::string text) {
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r' || text.back() == ' ')) text.pop_back();
  return text;
}
std::string TextOr(const object& in, std::string_view key, const std::string& path,
                   const std::string& absent) {
  element value;
  return in[key].get(value) == simdjson::SUCCESS ? Text(value, path) : absent;
}
Micros MillisOr(const object& in, std::string_view key, const std::string& path, Micros absent) {
  element value;
  if (in[key].get(value) != simdjson::SUCCESS) return absent;
  const std::uint64_t millis = Whole(value, path);
  if (millis > 86'400'000) Wrong(path, "milliseconds, a day at most");
  return Micros{static_cast<std::int64_t>(millis) * 1000};
}
simdjson::dom::array List(const element& value, const std::string& path) {
  simdjson::dom::array out;
  if (value.get(out) != simdjson::SUCCESS) Wrong(path, "a list");
  return out;
}
void ReadLimits(const object& root, Limits& out) {
  element value;
  if (root["limits"].get(value) != simdjson::SUCCESS) return;
  const object limits = Object(value, "limits");
  out.memory_mb = WholeOr(limits, "memory_mb", "limits.memory_mb", out.memory_mb);
  out.sockets = WholeOr(limits, "sockets", "limits.sockets", out.sockets);
  if (out.sockets < 64) Wrong("limits.sockets", "64 at least");
}

void ReadRoutes(const object& root, Http& out) {
  out.routes.resize(out.site.classes.size());
  std::size_t place = 0;
  for (const element one : List(Need(root, "routes", "routes"), "routes")) {
    const std::string path = "routes." + std::to_string(place++);
    const object route = Object(one, path);
    const std::string name = Text(Need(route, "class", path + ".class"), path + ".class");
    const auto found = std::find(out.site.classes.begin(), out.site.classes.end(), name);
    if (found == out.site.classes.end())
      Wrong(path + ".class", "a class of the settings, not '" + name + "'");
    Route& target = out.routes[static_cast<std::size_t>(found - out.site.classes.begin())];
    target.prefix = Text(Need(route, "path", path + ".path"), path + ".path");
    if (!target.prefix.starts_with('/') || target.prefix.starts_with("/-/")) {
      Wrong(path + ".path", "a path from '/', not under '/-/'");
    }
    try {
      target.access = Choose<Carrier>(TextOr(route, "access", path + ".access", "either"), path + ".access",
                                      {{"open", Carrier::kOpen},
                                       {"link", Carrier::kLink},
                                       {"token", Carrier::kToken},
                                       {"either", Carrier::kEither}});
    } catch (const Malformed& wrong) {
      Wrong(wrong.field, wrong.expected);
    }
  }
}

void ReadConsul(const object& root, const std::string& folder, Http& out) {
  const object consul = Object(Need(root, "consul", "consul"), "consul");
  out.consul = Address(Text(Need(consul, "address", "consul.address"), "consul.address"), "consul.address");
  const std::string token = TextOr(consul, "token_file", "consul.token_file", "");
  if (!token.empty()) out.consul_token = Trimmed(ReadFile("consul.token_file", folder + token));
  out.consul_wait = MillisOr(consul, "wait_ms", "consul.wait_ms", out.consul_wait);
  out.consul_zone = TextOr(consul, "zone", "consul.zone", "");
  const Names& zones = out.site.zones;
  if (!out.consul_zone.empty() && std::find(zones.begin(), zones.end(), out.consul_zone) == zones.end()) {
    Wrong("consul.zone", "a zone of the settings, not '" + out.consul_zone + "'");
  }
  std::size_t place = 0;
  for (const element one : List(Need(consul, "services", "consul.services"), "consul.services")) {
    const std::string path = "consul.services." + std::to_string(place++);
    const object service = Object(one, path);
    ConsulService entry{Text(Need(service, "name", path + ".name"), path + ".name"),
                        Text(Need(service, "kind", path + ".kind"), path + ".kind")};
    const Names& kinds = out.site.kinds;
    if (std::find(kinds.begin(), kinds.end(), entry.kind) == kinds.end()) {
      Wrong(path + ".kind", "a kind of the settings, not '" + entry.kind + "'");
    }
    const bool plain = std::all_of(entry.name.begin(), entry.name.end(), [](unsigned char c) {
      return std::isalnum(c) || c == '-' || c == '_' || c == '.';
    });
    if (entry.name.empty() || !plain) Wrong(path + ".name", "letters, digits, '-', '_' and '.'");
    out.consul_services.push_back(std::move(entry));
  }
  if (place == 0) Wrong("consul.services", "one service at least");
}

// Sizes in whole MB, ages in whole seconds, the sample as a share.
void ReadRecord(const object& root, const std::string& folder, Record& out) {
  element value;
  if (root["record"].get(value) != simdjson::SUCCESS) return;
  const object record = Object(value, "record");
  const std::string named = Text(Need(record, "folder", "record.folder"), "record.folder");
  if (named.empty()) Wrong("record.folder", "a folder");
  out.folder = named.front() == '/' ? named : folder + named;
  const auto whole = [&](const char* key, std::size_t absent, std::size_t least, std::size_t most) {
    const std::string path = std::string("record.") + key;
    const std::size_t told = WholeOr(record, key, path, absent);
    if (told < least || told > most) {
      Wrong(path, std::to_string(least) + " to " + std::to_string(most) + ", not " + std::to_string(told));
    }
    return told;
  };
  out.segment_bytes = std::uint64_t{whole("segment_mb", out.segment_bytes >> 20, 1, 1024)} << 20;
  out.total_bytes = std::uint64_t{whole("total_mb", out.total_bytes >> 20, 2, 1 << 20)} << 20;
  if (out.total_bytes < 2 * out.segment_bytes) Wrong("record.total_mb", "twice record.segment_mb at least");
  out.segment_age = Micros{static_cast<std::int64_t>(whole("segment_s", 600, 1, 86'400)) * 1'000'000};
  if (record["sample"].get(value) == simdjson::SUCCESS) {
    double share = 0;
    if (value.get(share) != simdjson::SUCCESS || !(share >= 0 && share <= 1)) {
      Wrong("record.sample", "a share from 0 to 1");
    }
    out.sample_ppm = static_cast<std::uint32_t>(share * 1e6 + 0.5);
  }
}

double NumberOr(const object& in, std::string_view key, const std::string& path, double absent) {
  element value;
  if (in[key].get(value) != simdjson::SUCCESS) return absent;
  double number = 0;
  if (value.get(number) != simdjson::SUCCESS) Wrong(path, "a number");
  return number;
}

bool Word(const std::string& text) {
  return !text.empty() && text.size() <= 64 && std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) || c == '-' || c == '_' || c == '.';
  });
}

// All checked here, so that a file that could not make a fleet view is turned down whole.
void ReadMembers(const object& root, Common& out) {
  element value;
  if (root["members"].get(value) != simdjson::SUCCESS) return;
  const object members = Object(value, "members");
  // It names this doorman in the fleet; what others would refuse is refused here.
  if (!Word(out.name)) Wrong("name", "1 to 64 letters, digits, '-', '_' or '.', for the fleet view");
  Members told;
  told.fleet = Text(Need(members, "fleet", "members.fleet"), "members.fleet");
  if (!Word(told.fleet)) Wrong("members.fleet", "1 to 64 letters, digits, '-', '_' or '.'");
  told.listen = Address(Text(Need(members, "listen", "members.listen"), "members.listen"), "members.listen");
  if (element advertise; members["advertise"].get(advertise) == simdjson::SUCCESS) {
    told.advertise = Address(Text(advertise, "members.advertise"), "members.advertise");
    if (told.advertise->port == 0) Wrong("members.advertise", "an address with a port above 0");
  }
  told.zone = TextOr(members, "zone", "members.zone", "");
  if (!told.zone.empty() && !Word(told.zone))
    Wrong("members.zone", "1 to 64 letters, digits, '-', '_' or '.'");
  if (element seeds; members["seeds"].get(seeds) == simdjson::SUCCESS) {
    std::size_t place = 0;
    for (const element one : List(seeds, "members.seeds")) {
      const std::string path = "members.seeds." + std::to_string(place++);
      told.seeds.push_back(Address(Text(one, path), path));
    }
  }
  told.probe = MillisOr(members, "probe_ms", "members.probe_ms", told.probe);
  if (told.probe < Micros{50'000} || told.probe > Micros{60'000'000})
    Wrong("members.probe_ms", "50 to 60000");
  told.probe_timeout = MillisOr(members, "probe_timeout_ms", "members.probe_timeout_ms", told.probe / 2);
  if (told.probe_timeout <= Micros{0} || told.probe_timeout >= told.probe) {
    Wrong("members.probe_timeout_ms", "above 0 and under members.probe_ms");
  }
  told.indirect = static_cast<int>(WholeOr(members, "indirect", "members.indirect", 3));
  if (told.indirect < 1 || told.indirect > 8) Wrong("members.indirect", "1 to 8");
  told.alpha = NumberOr(members, "suspicion_alpha", "members.suspicion_alpha", told.alpha);
  if (!(told.alpha > 0 && told.alpha <= 100)) Wrong("members.suspicion_alpha", "above 0, 100 at most");
  told.beta = NumberOr(members, "suspicion_beta", "members.suspicion_beta", told.beta);
  if (!(told.beta >= 1 && told.beta <= 100)) Wrong("members.suspicion_beta", "1 to 100");
  told.retransmit = static_cast<int>(WholeOr(members, "retransmit", "members.retransmit", 4));
  if (told.retransmit < 1 || told.retransmit > 16) Wrong("members.retransmit", "1 to 16");
  told.sync = MillisOr(members, "sync_ms", "members.sync_ms", told.sync);
  if (told.sync < told.probe) Wrong("members.sync_ms", "members.probe_ms at least");
  told.dead_keep = MillisOr(members, "dead_keep_ms", "members.dead_keep_ms", told.dead_keep);
  if (told.dead_keep < told.probe * 10) Wrong("members.dead_keep_ms", "ten times members.probe_ms at least");
  out.members = std::move(told);
}

// As above: a file whose voters could grant one duty twice is turned down whole.
void ReadLeases(const object& root, Common& out) {
  element value;
  if (root["leases"].get(value) != simdjson::SUCCESS) return;
  const object leases = Object(value, "leases");
  if (!out.members) Wrong("leases", "a file with `members`: leases stand on the fleet view");
  Leases told;
  std::size_t place = 0;
  for (const element one : List(Need(leases, "voters", "leases.voters"), "leases.voters")) {
    const std::string path = "leases.voters." + std::to_string(place++);
    std::string name = Text(one, path);
    if (!Word(name)) Wrong(path, "1 to 64 letters, digits, '-', '_' or '.'");
    if (std::find(told.voters.begin(), told.voters.end(), name) != told.voters.end()) {
      Wrong(path, "a name that is not there yet: each voter counts once");
    }
    told.voters.push_back(std::move(name));
  }
  if (told.voters.size() < 3 || told.voters.size() > 9 || told.voters.size() % 2 == 0) {
    Wrong("leases.voters", "3, 5, 7 or 9 names");
  }
  told.length = MillisOr(leases, "length_ms", "leases.length_ms", told.length);
  if (told.length < Micros{500'000} || told.length > Micros{600'000'000}) {
    Wrong("leases.length_ms", "500 to 600000");
  }
  told.drift = NumberOr(leases, "drift", "leases.drift", told.drift);
  if (!(told.drift >= 0 && told.drift <= 0.4)) Wrong("leases.drift", "0 to 0.4");
  told.candidates = WholeOr(leases, "candidates", "leases.candidates", told.candidates);
  if (told.candidates < 1 || told.candidates > 16) Wrong("leases.candidates", "1 to 16");
  if (leases["purge"].get(value) == simdjson::SUCCESS && value.get(told.purge) != simdjson::SUCCESS) {
    Wrong("leases.purge", "true or false");
  }
  if (leases["start_alone"].get(value) == simdjson::SUCCESS &&
      value.get(told.start_alone) != simdjson::SUCCESS) {
    Wrong("leases.start_alone", "true or false");
  }
  if (leases["publish"].get(value) == simdjson::SUCCESS) {
    const object publish = Object(value, "leases.publish");
    Leases::Publish& to = told.publish.emplace();
    to.store = Address(Text(Need(publish, "store", "leases.publish.store"), "leases.publish.store"),
                       "leases.publish.store");
    if (to.store.port == 0) Wrong("leases.publish.store", "an address with a port above 0");
    to.key = TextOr(publish, "key", "leases.publish.key", "tinspan/" + out.members->fleet + "/health");
    const bool plain = std::all_of(to.key.begin(), to.key.end(), [](unsigned char c) {
      return std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == '/';
    });
    if (to.key.empty() || to.key.size() > 256 || to.key.front() == '/' || !plain) {
      Wrong("leases.publish.key", "1 to 256 letters, digits, '-', '_', '.' or '/', not '/' first");
    }
    to.every = MillisOr(publish, "every_ms", "leases.publish.every_ms", to.every);
    if (to.every < Micros{100'000} || to.every > Micros{3'600'000'000}) {
      Wrong("leases.publish.every_ms", "100 to 3600000");
    }
  }
  if (!told.publish && !told.purge) Wrong("leases", "a duty: `publish` or `purge`");
  out.leases = std::move(told);
}

}  // namespace

std::string ReadFile(const std::string& key, const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) Wrong(key, "a file that can be read, not '" + path + "'");
  return {std::istreambuf_iterator<char>(in), {}};
}

Http ReadHttp(const std::string& path) {
  try {
    const std::string json = ReadFile("operator-file", path);
    const std::size_t slash = path.rfind('/');
    const std::string folder = slash == std::string::npos ? "" : path.substr(0, slash + 1);
    simdjson::dom::parser parser;
    element root_element;
    if (const auto error = parser.parse(simdjson::padded_string(json)).get(root_element)) {
      Wrong("file", std::string("JSON (") + simdjson::error_message(error) + ")");
    }
    const object root = Object(root_element, "file");
    const auto text = [&](const char* key) { return Text(Need(root, key, key), key); };
    Http out;
    out.path = path;
    out.name = text("name");
    out.listen = Address(text("listen"), "listen");
    out.seed = static_cast<std::uint64_t>(std::random_device{}()) << 32 | std::random_device{}();
    ReadLimits(root, out.limits);
    ReadSettings(Need(root, "settings", "settings"), out);
    // Answers are passed on while they come: a begun one has no deadline, and the module is told so.
    for (ClassSettings& one : out.site.settings.classes) one.is_streamed = true;
    out.slack = MillisOr(root, "slack_ms", "slack_ms", out.slack);
    out.origin = text("origin");
    const std::size_t scheme = out.origin.find("://");
    if (scheme == std::string::npos || out.origin.ends_with('/')) {
      Wrong("origin", "scheme and authority, like https://scans.example.is");
    }
    out.authority = out.origin.substr(scheme + 3);
    out.audience = text("audience");
    if ((out.audience + out.name).find_first_of("\"\\") != std::string::npos) Wrong("audience", "no quotes");
    out.keys_path = folder + text("keys_file");
    out.keys = ReadFile("keys_file", out.keys_path);
    out.signing_key = ReadFile("signing_key_file", folder + text("signing_key_file"));
    const std::string token = TextOr(root, "operator_token_file", "operator_token_file", "");
    if (!token.empty()) out.operator_token = Trimmed(ReadFile("operator_token_file", folder + token));
    if (!token.empty() && out.operator_token.size() < 16)
      Wrong("operator_token_file", "16 characters at least");
    out.leeway = MillisOr(root, "clock_leeway_ms", "clock_leeway_ms", out.leeway);
    out.stall = MillisOr(root, "stall_ms", "stall_ms", out.stall);
    out.most_body = WholeOr(root, "most_body_bytes", "most_body_bytes", out.most_body);
    if (out.most_body > (1 << 20)) Wrong("most_body_bytes", "1 MiB at most");
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

// "KEY: expected ..." becomes "KEY (line N): expected ...", N the line where the key's last part is first
// named in `text`; where it is not named (it is missing), the message stays as it is.
std::string WithLine(std::string_view text, const std::string& message) {
  const std::size_t colon = message.find(':');
  if (colon == std::string::npos) return message;
  const std::string key = message.substr(0, colon);
  std::string last = key.substr(key.rfind('.') == std::string::npos ? 0 : key.rfind('.') + 1);
  std::size_t at = std::string::npos;
  if (!last.empty() && std::all_of(last.begin(), last.end(), [](char c) { return c >= '0' && c <= '9'; })) {
    return message;  // a place in a list has no name of its own
  }
  // Of a class's key, the one after as many of the same name as the class's place.
  std::size_t nth = 0;
  if (const std::size_t lanes = key.find("lanes."); lanes != std::string::npos) {
    nth = std::strtoul(key.c_str() + lanes + 6, nullptr, 10);
  }
  const std::string quoted = "\"" + last + "\"";
  for (std::size_t from = 0, seen = 0; (from = text.find(quoted, from)) != std::string_view::npos; ++from) {
    if (seen++ == nth) {
      at = from;
      break;
    }
  }
  if (at == std::string::npos) return message;
  const auto line = 1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(at), '\n');
  return key + " (line " + std::to_string(line) + ")" + message.substr(colon);
}

Platform ReadPlatform() {
  const std::string path = Variable("PROXY_CONFIG");
  const std::string name = Variable("PROXY_NAME");
  const std::string listen = Variable("PROXY_LISTEN");
  try {
    return ParsePlatform(ReadFile("PROXY_CONFIG", path), name, listen);
  } catch (const Error& error) {
    throw Error("PROXY_CONFIG " + path + ": " + error.what());
  }
}

Platform ParsePlatformText(std::string_view json, const std::string& name, const std::string& listen);

Platform ParsePlatform(std::string_view json, const std::string& name, const std::string& listen) {
  try {
    return ParsePlatformText(json, name, listen);
  } catch (const Error& error) {
    throw Error(WithLine(json, error.what()));
  }
}

Platform ParsePlatformText(std::string_view json, const std::string& name, const std::string& listen) {
  if (json.find_first_not_of(" \t\r\n") == std::string_view::npos)
    Wrong("configuration", "a JSON object, not an empty file");
  simdjson::dom::parser parser;
  element root_element;
  if (const auto error = parser.parse(simdjson::padded_string(json)).get(root_element)) {
    Wrong("configuration", std::string("JSON (") + simdjson::error_message(error) + ")");
  }
  const object root = Object(root_element, "configuration");
  Platform out;
  out.name = name;
  out.listen = Address(listen, "PROXY_LISTEN");
  const std::string seed = Text(Need(root, "seed", "seed"), "seed");
  const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), out.seed, 16);
  if (error != std::errc{} || end != seed.data() + seed.size()) Wrong("seed", "hex digits");
  ReadLimits(root, out.limits);
  out.changelog = Address(Text(Need(root, "changelog", "changelog"), "changelog"), "changelog");
  const object known = Object(Need(root, "known", "known"), "known");
  out.known_seq = Whole(Need(known, "seq", "known.seq"), "known.seq");
  for (const element one : List(Need(known, "results", "known.results"), "known.results"))
    out.known.push_back(simdjson::minify(one));
  ReadSettings(Need(root, "settings", "settings"), out);
  if (const char* const told = std::getenv("PROXY_OPS"); told != nullptr && *told != '\0') {
    out.ops = Address(told, "PROXY_OPS");
  } else if (element ops; root["ops"].get(ops) == simdjson::SUCCESS) {
    out.ops = Address(Text(ops, "ops"), "ops");
  }
  ReadMembers(root, out);
  ReadLeases(root, out);
  return out;
}

}  // namespace tinspan::config
