// A lease peer's message as bytes and back (src/lease/lease.proto). Without I/O. Refused, and named: bytes
// that do not parse, another version, an unknown kind, names not of 1 to 64 bytes, a ballot above kMostToken,
// a span of over a day.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "lease/purge_distributor.hpp"
#include "lease/lease_node.hpp"

namespace tinspan::lease {

constexpr std::uint32_t kVersion = 1;

// Who sent it is told by what carries it.
std::string Encode(const Message& message);
std::string Encode(const FanMessage& message);
// Nothing, and why in `refused`, where it cannot be used.
using AnyMessage = std::variant<Message, FanMessage>;
std::optional<AnyMessage> Decode(std::string_view bytes, const std::string& from, std::string& refused);

}  // namespace tinspan::lease
