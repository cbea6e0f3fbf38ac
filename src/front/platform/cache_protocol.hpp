// The line protocol of edge caches, parent caches and the origin: encoding of requests and decoding of
// responses, without I/O. A response is decoded in two steps: ReadResponseFrame splits the message into its
// parts, and ParseResponse interprets them.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "core/commands.hpp"
#include "front/platform/pending_request.hpp"
#include "tinspan/router.hpp"

namespace tinspan::platform {

/// Returns the line `REQ <reference> <fields> <body length>` including its CR LF. The caller writes the body
/// and another CR LF behind it. `fill_source` is the name of the server from which the cache fills a missing
/// object; empty means none. The time budget is what is left until the attempt expires, counted from `now`,
/// in milliseconds and at least 1.
std::string EncodeRequestLine(Micros now, const PendingRequest& request, const core::StartAttempt& attempt,
                              std::string_view fill_source);

/// Returns the line that cancels a request that has been written to the same connection.
std::string EncodeStop(std::string_view reference);

/// One message from a server: a response that is split but not interpreted, or an empty line, which servers
/// may send at any time. The string views point into the text passed to ReadResponseFrame.
struct ResponseFrame {
  bool is_empty_line = false;
  std::string_view reference{};  // of the request that this message responds to
  std::string_view status{};
  std::string_view fields{};
  std::string_view body{};
  std::size_t size = 0;  // of the whole message, in bytes
};

/// Why ReadResponseFrame returned no frame.
struct FrameError {
  enum class Kind {
    kIncomplete,        // more bytes are needed
    kLineTooLong,       // no CR LF within the maximum header length
    kMissingToken,      // the header has fewer than four tokens
    kInvalidLength,     // the body length is not a number or exceeds the maximum
    kMissingTerminator  // no CR LF after the body
  };

  Kind kind = Kind::kIncomplete;
  std::size_t bytes_needed = 0;  // with kIncomplete: size of the whole message; 0 if not known yet
};

/// Reads the first message in `unread`.
tl::expected<ResponseFrame, FrameError> ReadResponseFrame(std::string_view unread);

/// A decoded response of a server.
struct Response {
  Outcome outcome = Outcome::kServed;
  bool is_not_modified = false;  // the copy named by `entity` is current; the response has no body
  FillNote note = FillNote::kNone;
  std::optional<Micros> issued_at;
  LoadReport load;
  std::string_view entity;  // name of the copy served; empty if the server did not name it
};

/// Why ParseResponse rejected a frame.
enum class ResponseError { kUnknownStatus, kMalformedFields, kMalformedLoadReport };

/// Decodes a frame that is not an empty line. Unknown fields, unknown fill notes and invalid or out-of-range
/// timestamps are ignored. `Response::entity` points into the frame's text.
tl::expected<Response, ResponseError> ParseResponse(const ResponseFrame& frame);

}  // namespace tinspan::platform
