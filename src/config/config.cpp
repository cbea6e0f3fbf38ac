#include "config/config.hpp"

#include <simdjson.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <iterator>
#include <sstream>

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
  out.longest = Micros{0};
  for (const ClassSettings& one : out.site.settings.classes)
    out.longest = std::max(out.longest, one.deadline);
}

std::string Variable(const char* name) {
  const char* const value = std::getenv(name);
  if (value == nullptr || *value == '\0') Wrong(name, "to be set");
  return value;
}

std::string ReadFile(const std::string& key, const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) Wrong(key, "a file that can be read, not '" + path + "'");
  return {std::istreambuf_iterator<char>(in), {}};
}

}  // namespace

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

Platform ParsePlatform(std::string_view json, const std::string& name, const std::string& listen) {
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
  element limits_element;
  if (root["limits"].get(limits_element) == simdjson::SUCCESS) {
    const object limits = Object(limits_element, "limits");
    out.limits.memory_mb = WholeOr(limits, "memory_mb", "limits.memory_mb", out.limits.memory_mb);
    out.limits.sockets = WholeOr(limits, "sockets", "limits.sockets", out.limits.sockets);
    if (out.limits.sockets < 64) Wrong("limits.sockets", "64 at least");
  }
  out.changelog = Address(Text(Need(root, "changelog", "changelog"), "changelog"), "changelog");
  const object known = Object(Need(root, "known", "known"), "known");
  out.known_seq = Whole(Need(known, "seq", "known.seq"), "known.seq");
  simdjson::dom::array results;
  if (Need(known, "results", "known.results").get(results) != simdjson::SUCCESS) {
    Wrong("known.results", "a list");
  }
  for (const element one : results) out.known.push_back(simdjson::minify(one));
  ReadSettings(Need(root, "settings", "settings"), out);
  return out;
}

}  // namespace tinspan::config
