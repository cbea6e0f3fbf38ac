// Events of the endpoint watch as JSON lines, without I/O: changes of the endpoint list, and purges.
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

/// Endpoints that were added, changed or removed, or the complete list.
struct EndpointListChange {
  core::EndpointsUpdated update;
  std::vector<std::optional<net::Endpoint>> addresses;  // of the endpoint at the same position
};

/// One event of the watch. The sequence number is the source's own and grows with each event.
struct WatchEvent {
  std::uint64_t sequence = 0;
  std::variant<std::monostate, EndpointListChange, core::PurgeReceived> change;  // monostate: of no interest
};

/// Parses events one at a time; it keeps the JSON parser's buffers between them.
class WatchEventParser {
 public:
  /// `site` names the kinds and zones that an endpoint may have; it must outlive the parser.
  explicit WatchEventParser(const Site& site);
  WatchEventParser(const WatchEventParser&) = delete;
  WatchEventParser& operator=(const WatchEventParser&) = delete;
  WatchEventParser(WatchEventParser&&) = delete;
  WatchEventParser& operator=(WatchEventParser&&) = delete;
  ~WatchEventParser();

  /// The event in `json`; nothing if its number is not above `last_sequence`, whatever else is in it. Throws
  /// Malformed, which names the field at fault.
  std::optional<WatchEvent> Parse(std::string_view json, std::uint64_t last_sequence);

 private:
  const Site& site_;
  std::unique_ptr<simdjson::dom::parser> parser_;
};

}  // namespace tinspan::platform
