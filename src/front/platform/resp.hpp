// RESP (the Redis serialization protocol): parsing of arrays of bulk strings without copying them, and
// encoding of bulk strings.
#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace tinspan::platform {

/// One array of bulk strings. The elements point into the text that was parsed.
struct RespMessage {
  static constexpr std::size_t kMaxElements = 8;
  std::array<std::string_view, kMaxElements> elements;
  std::size_t count = 0;  // number of elements, at least 1
  std::size_t size = 0;   // of the whole message, in bytes
};

/// Why ParseResp returned no message.
struct RespError {
  enum class Kind {
    kIncomplete,  // more bytes are needed
    kMalformed    // not an array of bulk strings, or too long; the start of the next message is unknown
  };

  Kind kind = Kind::kIncomplete;
  std::size_t bytes_needed = 0;  // with kIncomplete: lower bound of the message size
};

/// Parses the first message in `text`. A message of more than `max_bytes` is malformed.
tl::expected<RespMessage, RespError> ParseResp(std::string_view text, std::size_t max_bytes);

/// Appends `value` to `out` as a bulk string.
void AppendBulk(std::string& out, std::string_view value);

}  // namespace tinspan::platform
