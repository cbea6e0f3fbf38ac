// The clients' remote procedure calls, without I/O: what a call asks for, and how a response is written.
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

/// Longest value of a field, in bytes; longer tags are cut.
constexpr std::size_t kMaxFieldBytes = 256;

/// A valid call. Neither part has the numbers of its connection and request yet.
struct Call {
  PendingRequest request;
  core::RequestReceived received;
};

/// Why a call is rejected.
enum class CallError {
  kWrongWordCount,      // a call has four words, or five with a body
  kInvalidTag,          // no number
  kMalformedFields,     // a field without a name
  kFieldTooLong,        // more than kMaxFieldBytes
  kInvalidTimeLeft,     // no number of milliseconds
  kMissingTimeLeft,     // a call must say how long its client waits
  kInvalidPart,         // no number
  kInvalidGroup,        // no number up to 255
  kInvalidSize,         // no number of KB that an object may have
  kInvalidReference,    // not 16 hex digits
  kInvalidObject,       // not 16 hex digits
  kForbiddenCharacter,  // a value that would not stay one word on a server's line
  kUnknownClass,        // not in the settings
  kTooManyRequests,     // in flight on the connection
  kDuplicate            // the tag or the reference is in use
};

/// Decodes `RPC.CALL <tag> <class> <fields> [<body>]`. `classes` are the names of the classes by position.
tl::expected<Call, CallError> ParseCall(const RespMessage& message, const Names& classes);

/// What is written in front of a response's body; CR LF follows the body.
std::string EncodeResponseHead(std::string_view tag, std::string_view status, std::string_view fields,
                               std::size_t body_size);

}  // namespace tinspan::platform
