// Parsing of the endpoint watch's events, without I/O. Each event is a JSON object that changes the endpoint
// list or purges an object or a group.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "core/events.hpp"
#include "net/endpoint.hpp"
#include "setup/setup.hpp"

namespace simdjson::dom {
class parser;
}

namespace tinspan::platform {

/// A change of the endpoint list: the endpoints added, changed or removed, or the complete list.
struct EndpointListChange {
  core::EndpointsUpdated update;
  std::vector<std::optional<net::Endpoint>> addresses;  // parallel to update.endpoints; nullopt if not given
};

/// One event of the watch. The discovery service assigns the sequence numbers; they increase.
struct WatchEvent {
  std::uint64_t sequence = 0;
  std::variant<std::monostate, EndpointListChange, core::PurgeReceived> change;  // monostate: another type
};

/// Parses events one at a time and reuses the JSON parser's buffers between them. Not thread-safe.
class WatchEventParser {
 public:
  /// `site` lists the kinds and zones that an endpoint may have. It must outlive the parser.
  explicit WatchEventParser(const NamedSettings& site);
  WatchEventParser(const WatchEventParser&) = delete;
  WatchEventParser& operator=(const WatchEventParser&) = delete;
  WatchEventParser(WatchEventParser&&) = delete;
  WatchEventParser& operator=(WatchEventParser&&) = delete;
  ~WatchEventParser();

  /// Parses one event. Returns nullopt if its sequence number is not greater than `last_sequence`; the rest
  /// of such an event is not validated. Throws Malformed, which names the invalid field.
  std::optional<WatchEvent> Parse(std::string_view json, std::uint64_t last_sequence);

 private:
  const NamedSettings& site_;
  std::unique_ptr<simdjson::dom::parser> parser_;
};

}  // namespace tinspan::platform
