// Encodes the messages of the membership protocol as datagrams and decodes them (src/members/members.proto).
// Performs no I/O.
//
// A datagram is at most `max_bytes` long: Encode drops updates from the end until the datagram fits (they are
// sent again later), and Decode rejects a longer datagram without parsing it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "members/message.hpp"

namespace tinspan::members {

constexpr std::uint8_t kProtocolVersion = 1;
constexpr std::size_t kMaxDatagramBytes = 1'400;  // below the path MTU, so that IP does not fragment

// Why a datagram was rejected.
enum class DecodeFailure : std::uint8_t {
  kOversized,
  kForeign,    // no header of this protocol, or another fleet's name
  kVersion,    // another version of this protocol
  kMalformed,  // the protobuf message does not parse, or a field is out of range
};
constexpr std::size_t kDecodeFailureCount = 4;

// The failure's name in logs.
const char* Name(DecodeFailure failure);

struct DecodeError {
  DecodeFailure failure = DecodeFailure::kMalformed;
  std::string detail;  // for the log; never contains bytes of the datagram
};

// Encodes `message` as a datagram of the fleet of that name.
std::string Encode(const Message& message, std::string_view fleet, std::size_t max_bytes = kMaxDatagramBytes);

// Decodes a datagram. The fields of the returned message are within the limits of members/types.hpp, and its
// names are valid by IsName. Returns an error for any other datagram.
tl::expected<Message, DecodeError> Decode(std::string_view bytes, std::string_view fleet,
                                          std::size_t max_bytes = kMaxDatagramBytes);

}  // namespace tinspan::members
