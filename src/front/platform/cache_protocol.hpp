// The line protocol of edge caches, parent caches and the origin, without I/O: requests are encoded,
// responses are decoded in two steps, first the frame and then what it says.
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

/// The line `REQ <reference> <fields> <body length>`, with its line end; the body and one more line end
/// follow it. `fill_source` is the server that the cache fills from, empty: none. The time budget counts from
/// `now` in milliseconds, 1 at least.
std::string EncodeRequestLine(Micros now, const PendingRequest& request, const core::StartAttempt& attempt,
                              std::string_view fill_source);

/// The line that cancels a request which was written before.
std::string EncodeStop(std::string_view reference);

/// One message at the front of the bytes received: a response whose text is not yet looked at, or an empty
/// line, which servers may send at any time. Its slices point into the text that was read.
struct ResponseFrame {
  bool is_empty_line = false;
  std::string_view reference{};
  std::string_view status{};
  std::string_view fields{};
  std::string_view body{};
  std::size_t size = 0;  // bytes of the whole message
};

/// Why no frame could be read.
struct FrameError {
  enum class Kind {
    kIncomplete,        // more bytes are needed
    kLineTooLong,       // no line end within the longest header
    kMissingWord,       // fewer than four words in the header
    kInvalidLength,     // the body's length is no number, or more than any object has
    kMissingTerminator  // no line end behind the body
  };

  Kind kind = Kind::kIncomplete;
  std::size_t bytes_needed = 0;  // kIncomplete: size of the whole message; 0: not known yet
};

/// Reads the message at the front of `unread`.
tl::expected<ResponseFrame, FrameError> ReadResponseFrame(std::string_view unread);

/// What a server says of a request.
struct Response {
  Outcome outcome = Outcome::kServed;
  bool is_not_modified = false;  // the copy named by `entity` is current; without a body
  FillNote note = FillNote::kNone;
  std::optional<Micros> issued_at;
  LoadReport load;
  std::string_view entity;  // the copy served, by its name; empty: not named
};

/// Why a frame is no response.
enum class ResponseError { kUnknownStatus, kMalformedFields, kMalformedLoadReport };

/// Decodes a frame that is no empty line. Unknown fields, and notes and points in time out of their range,
/// are ignored. `Response::entity` points into the frame's text.
tl::expected<Response, ResponseError> ParseResponse(const ResponseFrame& frame);

}  // namespace tinspan::platform
