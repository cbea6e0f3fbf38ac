// RESP (the Redis serialization protocol): arrays of bulk strings, parsed as slices of the buffer and written
// as a head in front of a body.
#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace tinspan::platform {

/// One array. Its words point into the text that was parsed.
struct RespMessage {
  static constexpr std::size_t kMaxWords = 8;
  std::array<std::string_view, kMaxWords> words;
  std::size_t count = 0;  // of the words; 1 at least
  std::size_t size = 0;   // bytes of the whole message
};

/// Why no message could be read.
struct RespError {
  enum class Kind {
    kIncomplete,  // more bytes are needed
    kMalformed    // no array, or longer than is allowed: where the next message begins is not known
  };

  Kind kind = Kind::kIncomplete;
  std::size_t bytes_needed = 0;  // kIncomplete: how many bytes the message has at least
};

/// Reads the message at the front of `text`, of `max_bytes` at most.
tl::expected<RespMessage, RespError> ParseResp(std::string_view text, std::size_t max_bytes);

/// Appends `word` as a bulk string.
void AppendBulk(std::string& out, std::string_view word);

}  // namespace tinspan::platform
