// The clients' remote procedure calls: decoding of calls and encoding of responses, without I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "core/events.hpp"
#include "front/platform/pending_request.hpp"
#include "front/platform/resp.hpp"
#include "setup/setup.hpp"

namespace tinspan::platform {

/// Maximum length of a field value, in bytes. Longer tags are truncated to it.
constexpr std::size_t kMaxFieldBytes = 256;

/// A valid call. The caller sets the connection number in `request` and the request id in `received`.
struct Call {
  PendingRequest request;
  core::RequestReceived received;
};

/// Why a call is rejected.
enum class CallError {
  kWrongElementCount,   // a call has four elements, or five with a body
  kInvalidTag,          // not a number
  kMalformedFields,     // a field without a name or without `=`
  kFieldTooLong,        // a value of more than kMaxFieldBytes
  kInvalidTimeLeft,     // not a number of milliseconds in range
  kMissingTimeLeft,     // a call must say how long its client waits
  kInvalidPart,         // not a number
  kInvalidGroup,        // not a number from 0 to 255
  kInvalidSize,         // not a number of KB in the range of object sizes
  kInvalidReference,    // not 16 hex digits
  kInvalidObject,       // not 16 hex digits
  kForbiddenCharacter,  // a value contains a separator of the cache protocol
  kUnknownClass,        // not in the settings
  kTooManyRequests,     // the connection has the maximum number of requests in flight
  kDuplicate            // the tag or the reference is in use
};

/// Decodes `RPC.CALL <tag> <class> <fields> [<body>]`. `classes` holds the class names; a name's last
/// position is its ClassId. Unknown fields are ignored.
tl::expected<Call, CallError> ParseCall(const RespMessage& message, const Names& classes);

/// Returns the part of a response that precedes the body. The caller writes CR LF after the body.
std::string EncodeResponseHead(std::string_view tag, std::string_view status, std::string_view fields,
                               std::size_t body_size);

}  // namespace tinspan::platform
