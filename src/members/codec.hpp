// Messages of the membership protocol as datagrams and back (src/members/members.proto). Without I/O.
//
// A datagram is at most `max_bytes` long: Encode leaves out updates from the end until it fits (they are sent
// again later), Decode rejects a longer one unread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "members/message.hpp"

namespace tinspan::members {

constexpr std::uint8_t kProtocolVersion = 1;
constexpr std::size_t kMaxDatagramBytes = 1'400;  // below a path's MTU, so that IP fragments nothing

// Why a datagram was rejected.
enum class DecodeFailure : std::uint8_t {
  kOversized,
  kForeign,    // no header of this protocol, or another fleet's name
  kVersion,    // a header of this protocol with another version
  kMalformed,  // protobuf that does not parse, or fields out of range
};
constexpr std::size_t kDecodeFailureCount = 4;

// The failure's word in logs.
const char* Name(DecodeFailure failure);

struct DecodeError {
  DecodeFailure failure = DecodeFailure::kMalformed;
  std::string detail;  // what was wrong, without the datagram's bytes
};

// The datagram of `message` in the fleet of that name.
std::string Encode(const Message& message, std::string_view fleet, std::size_t max_bytes = kMaxDatagramBytes);

// The message in a datagram. Its fields are within the limits of members/types.hpp, and its names pass
// IsName.
tl::expected<Message, DecodeError> Decode(std::string_view bytes, std::string_view fleet,
                                          std::size_t max_bytes = kMaxDatagramBytes);

}  // namespace tinspan::members
