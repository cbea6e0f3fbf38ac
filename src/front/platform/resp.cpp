#include "front/platform/resp.hpp"

#include "front/platform/fields.hpp"

namespace tinspan::platform {
namespace {

constexpr std::size_t kLengthLine = 16;  // a marker, digits, CR LF: longer is no length

// The number of a line `<marker>N\r\n` at `at`, which moves behind it.
RespState ReadLength(std::string_view text, char marker, std::size_t& at, std::size_t& number) {
  if (at >= text.size()) return RespState::kPartial;
  if (text[at] != marker) return RespState::kMalformed;
  const std::size_t end = text.find('\n', at);
  if (end == std::string_view::npos) {
    return text.size() - at > kLengthLine ? RespState::kMalformed : RespState::kPartial;
  }
  if (end - at > kLengthLine || text[end - 1] != '\r') return RespState::kMalformed;
  const auto value = ReadNumber<std::uint32_t>(text.substr(at + 1, end - at - 2));
  if (!value) return RespState::kMalformed;
  number = *value;
  at = end + 1;
  return RespState::kWhole;
}

}  // namespace

RespState ParseResp(std::string_view text, std::size_t most_bytes, RespMessage& out, std::size_t& used) {
  std::size_t at = 0;
  used = text.size() + 1;
  RespState state = ReadLength(text, '*', at, out.count);
  if (state != RespState::kWhole) return state;
  if (out.count == 0 || out.count > RespMessage::kMost) return RespState::kMalformed;
  for (std::size_t i = 0; i < out.count; ++i) {
    std::size_t length = 0;
    state = ReadLength(text, '$', at, length);
    if (state != RespState::kWhole) return state;
    if (length > most_bytes || at + length + 2 > most_bytes) return RespState::kMalformed;
    if (at + length + 2 > text.size()) {
      used = at + length + 2;
      return RespState::kPartial;
    }
    if (text[at + length] != '\r' || text[at + length + 1] != '\n') return RespState::kMalformed;
    out.words[i] = text.substr(at, length);
    at += length + 2;
  }
  used = at;
  return RespState::kWhole;
}

void AppendBulk(std::string& out, std::string_view word) {
  out.append("$").append(std::to_string(word.size())).append("\r\n").append(word).append("\r\n");
}

}  // namespace tinspan::platform
