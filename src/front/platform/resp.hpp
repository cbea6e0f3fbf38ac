// RESP arrays of bulk strings: parsed as slices of the buffer, written as heads round a body.
#pragma once

#include <array>
#include <string>
#include <string_view>

namespace tinspan::platform {

struct RespMessage {
  static constexpr std::size_t kMost = 8;
  std::array<std::string_view, kMost> words;
  std::size_t count = 0;
};

enum class RespState { kWhole, kPartial, kMalformed };

// Reads one message from the front of `text`. kWhole: `used` bytes made it up. kPartial: `used` tells how
// many bytes are needed at least.
RespState ParseResp(std::string_view text, std::size_t most_bytes, RespMessage& out, std::size_t& used);

void AppendBulk(std::string& out, std::string_view word);

}  // namespace tinspan::platform
