// Encodes and decodes the lease module's messages (src/lease/lease.proto); does no I/O. The codec maps the
// wire's field names (duty, left_us, job) to the code's terms (lease, remaining, purge).
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>

#include "lease/messages.hpp"
#include "lease/purge_messages.hpp"

namespace tinspan::lease {

/// The version that is sent. Messages with another version are rejected.
constexpr std::uint32_t kWireVersion = 1;

/// Why bytes were not decoded.
struct DecodeError {
  enum class Code {
    kMalformed,           // not parsable as protobuf
    kUnsupportedVersion,  // not kWireVersion
    kUnknownKind,
    kInvalidName,      // the lease or holder is not 1 to 64 letters, digits, '-', '_' or '.'
    kBallotTooHigh,    // above kMaxToken
    kDurationTooLong,  // more than a day
    kInvalidPurgeId,   // not SUBMITTER/NUMBER of at most kMaxPurgeIdBytes
  };
  Code code;
  std::string detail;  // for the log: the field and the expected value, without the received bytes
};

/// A lease message or a purge message.
using AnyMessage = std::variant<Message, PurgeMessage>;

/// Encodes the message without its sender, which the transport identifies.
std::string Encode(const Message& message);
std::string Encode(const PurgeMessage& message);
/// Decodes a message that was received from `sender`; returns the reason if it is not valid.
tl::expected<AnyMessage, DecodeError> Decode(std::string_view bytes, const std::string& sender);

}  // namespace tinspan::lease
