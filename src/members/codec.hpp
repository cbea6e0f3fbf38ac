// A fleet view's message as a datagram and back (src/members/members.proto). Without I/O.
//
// A datagram is at most `most` bytes: Encode leaves out updates from the end until it fits (they go again
// later), Decode refuses a longer one unread. Refused, and named: oversized, foreign (no header of ours, or
// another fleet's name), version (a header of ours with another version), malformed (protobuf that does not
// parse, or fields out of range: names that IsName refuses, 64 updates, 32 servers, a digest of 0 or 64, 8
// duties, 1,000 bytes carried).
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "members/membership_view.hpp"

namespace tinspan::members {

constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kMostDatagram = 1'400;  // below a path's MTU, so that nothing is cut into fragments

enum class Refusal { kNone, kOversized, kForeign, kVersion, kMalformed };
const char* Name(Refusal refusal);

struct Decoded {
  std::optional<Message> message;
  Refusal refusal = Refusal::kNone;
  std::string detail;  // what was wrong, without the bytes
};

std::string Encode(const Message& message, std::string_view fleet, std::size_t most = kMostDatagram);
Decoded Decode(std::string_view bytes, std::string_view fleet, std::size_t most = kMostDatagram);

}  // namespace tinspan::members
