#include "front/platform/resp.hpp"

#include <cstdint>

#include "front/platform/fields.hpp"

namespace tinspan::platform {
namespace {

using Kind = RespError::Kind;

constexpr std::size_t kMaxLengthLine = 16;  // bytes of marker, digits and CR; a longer line is malformed
constexpr std::string_view kLineEnd = "\r\n";

tl::unexpected<RespError> Malformed() { return tl::unexpected(RespError{.kind = Kind::kMalformed}); }

tl::unexpected<RespError> Incomplete(std::size_t bytes_needed) {
  return tl::unexpected(RespError{.kind = Kind::kIncomplete, .bytes_needed = bytes_needed});
}

// Parses the line `<marker>N\r\n` at `position` and returns N. On success `position` is moved to the end of
// the line.
tl::expected<std::size_t, RespError> ReadLength(std::string_view text, char marker, std::size_t& position) {
  if (position >= text.size()) return Incomplete(text.size() + 1);
  if (text[position] != marker) return Malformed();
  const std::size_t end = text.find('\n', position);
  if (end == std::string_view::npos) {
    if (text.size() - position > kMaxLengthLine) return Malformed();
    return Incomplete(text.size() + 1);
  }
  if (end - position > kMaxLengthLine || text[end - 1] != '\r') return Malformed();
  const auto length = ReadNumber<std::uint32_t>(text.substr(position + 1, end - position - 2));
  if (!length) return Malformed();
  position = end + 1;
  return *length;
}

}  // namespace

tl::expected<RespMessage, RespError> ParseResp(std::string_view text, std::size_t max_bytes) {
  RespMessage message;
  std::size_t position = 0;
  const auto count = ReadLength(text, '*', position);
  if (!count) return tl::unexpected(count.error());
  if (*count == 0 || *count > RespMessage::kMaxElements) return Malformed();
  message.count = *count;
  for (std::size_t index = 0; index < message.count; ++index) {
    const auto length = ReadLength(text, '$', position);
    if (!length) return tl::unexpected(length.error());
    const std::size_t element_end = position + *length;
    const std::size_t next = element_end + kLineEnd.size();
    if (*length > max_bytes || next > max_bytes) return Malformed();
    if (next > text.size()) return Incomplete(next);
    if (text.substr(element_end, kLineEnd.size()) != kLineEnd) return Malformed();
    message.elements[index] = text.substr(position, *length);
    position = next;
  }
  message.size = position;
  return message;
}

void AppendBulk(std::string& out, std::string_view value) {
  out.append("$").append(std::to_string(value.size())).append("\r\n").append(value).append("\r\n");
}

}  // namespace tinspan::platform
