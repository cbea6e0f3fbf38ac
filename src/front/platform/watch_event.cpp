#include "front/platform/watch_event.hpp"

#include <simdjson.h>

#include <string>
#include <utility>

#include "net/clock.hpp"

namespace tinspan::platform {
namespace {

using simdjson::dom::element;

constexpr std::int64_t kMicrosPerMillisecond = 1000;

// Returns the value of `key`. Throws Malformed if it is missing or of another type.
template <class Value>
Value Get(const element& object, std::string_view key) {
  Value value{};
  if (object[key].get(value) != simdjson::SUCCESS)
    throw Malformed{std::string(key), "a value of the required type"};
  return value;
}

// Returns the value of `key`, or `absent` if it is missing or of another type.
template <class Value>
Value GetOr(const element& object, std::string_view key, Value absent) {
  Value value{};
  return object[key].get(value) == simdjson::SUCCESS ? value : absent;
}

Availability ParseAvailability(std::string_view state) {
  return ParseEnum<Availability>(state, "state",
                                 {{"up", Availability::kUp},
                                  {"draining", Availability::kDraining},
                                  {"removed", Availability::kRemoved}});
}

// The id is a hash of the name, not of the address, since a new server may reuse the address of a removed
// one.
EndpointInfo ParseEndpointInfo(const element& server, std::string_view name, const NamedSettings& site) {
  EndpointInfo info;
  info.id = HashName(name);
  info.weight = GetOr(server, "weight", 0.0);
  info.cell = static_cast<std::uint32_t>(GetOr<std::uint64_t>(server, "cell", 0));
  info.kind = KindId{IndexOf(site.kinds, Get<std::string_view>(server, "kind"), "kind")};
  info.zone = ZoneId{IndexOf(site.zones, Get<std::string_view>(server, "zone"), "zone")};
  const Micros started_at{GetOr<std::int64_t>(server, "started_ms", 0) * kMicrosPerMillisecond};
  info.started_at = net::ToProgramTime(UnixTime(started_at));  // 0 or not given: started long ago
  info.availability = ParseAvailability(Get<std::string_view>(server, "state"));
  return info;
}

void AddServer(const element& server, const NamedSettings& site, EndpointListChange& change) {
  const auto name = Get<std::string_view>(server, "id");
  const EndpointInfo info = ParseEndpointInfo(server, name, site);
  const auto address = net::Endpoint::Parse(GetOr<std::string_view>(server, "addr", ""));
  if (!address && info.availability == Availability::kUp) throw Malformed{"addr", "an address and port"};
  change.update.endpoints.push_back(info);
  change.update.names.push_back({std::string(name), address ? address->Text() : std::string()});
  change.addresses.push_back(address);
}

EndpointListChange ParseEndpointList(const element& fleet, const NamedSettings& site) {
  EndpointListChange change;
  change.update.source = "changelog";
  change.update.version = GetOr<std::uint64_t>(fleet, "version", 0);
  change.update.kind =
      GetOr(fleet, "full", false) ? EndpointsEvent::Kind::kFull : EndpointsEvent::Kind::kDelta;
  for (const element server : Get<simdjson::dom::array>(fleet, "servers")) AddServer(server, site, change);
  return change;
}

core::PurgeReceived ParsePurge(const element& invalidation) {
  core::PurgeReceived purge;
  purge.purged_at =
      net::ToProgramTime(UnixTime(Micros{Get<std::int64_t>(invalidation, "time") * kMicrosPerMillisecond}));
  std::string_view object;
  if (invalidation["object"].get(object) == simdjson::SUCCESS) {
    purge.object = ParseObject(object, "object");
  } else {
    purge.group = GroupId{Get<std::uint64_t>(invalidation, "bucket")};
  }
  return purge;
}

}  // namespace

WatchEventParser::WatchEventParser(const NamedSettings& site)
    : site_(site), parser_(std::make_unique<simdjson::dom::parser>()) {}

WatchEventParser::~WatchEventParser() = default;

std::optional<WatchEvent> WatchEventParser::Parse(std::string_view json, std::uint64_t last_sequence) {
  element root;
  if (parser_->parse(json.data(), json.size()).get(root) != simdjson::SUCCESS)
    throw Malformed{"event", "JSON"};
  WatchEvent event;
  event.sequence = Get<std::uint64_t>(root, "seq");
  if (event.sequence <= last_sequence) return std::nullopt;
  element change;
  if (root["fleet"].get(change) == simdjson::SUCCESS) {
    event.change = ParseEndpointList(change, site_);
  } else if (root["invalidate"].get(change) == simdjson::SUCCESS) {
    event.change = ParsePurge(change);
  }
  return event;
}

}  // namespace tinspan::platform
