// The lease module's messages as bytes and back (src/lease/lease.proto). Without I/O. This is where the
// wire's field names (duty, left_us, job) meet the code's terms (lease, remaining, purge).
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>

#include "lease/messages.hpp"
#include "lease/purge_messages.hpp"

namespace tinspan::lease {

/// The version that is sent; messages of another one are rejected.
constexpr std::uint32_t kWireVersion = 1;

/// Why bytes are not a usable message.
struct DecodeError {
  enum class Code {
    kMalformed,           // protobuf that does not parse
    kUnsupportedVersion,  // not kWireVersion
    kUnknownKind,
    kInvalidName,      // of the lease or its holder: not 1 to 64 letters, digits, '-', '_' or '.'
    kBallotTooHigh,    // above kMaxToken
    kDurationTooLong,  // over a day
    kInvalidPurgeId,   // not ORIGIN/NUMBER of at most kMaxPurgeIdBytes
  };
  Code code;
  std::string detail;  // for the log: the field and what was expected, without the bytes
};

using AnyMessage = std::variant<Message, PurgeMessage>;

/// The message as bytes. The sender is not part of them: whatever carries the bytes names it.
std::string Encode(const Message& message);
std::string Encode(const PurgeMessage& message);
/// The message that `sender` encoded, or why it cannot be used.
tl::expected<AnyMessage, DecodeError> Decode(std::string_view bytes, const std::string& sender);

}  // namespace tinspan::lease
