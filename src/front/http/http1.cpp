#include "front/http/http1.hpp"

#include <algorithm>
#include <charconv>

namespace tinspan::http {
namespace {

char Lower(char octet) { return octet >= 'A' && octet <= 'Z' ? static_cast<char>(octet + 32) : octet; }

bool IsTokenChar(char octet) {
  return (octet >= '0' && octet <= '9') || (Lower(octet) >= 'a' && Lower(octet) <= 'z') ||
         std::string_view("!#$%&'*+-.^_`|~").find(octet) != std::string_view::npos;
}
bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenChar);
}

std::string_view Trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

std::optional<std::uint64_t> ParseDecimal(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

// Parses the header fields, which start at `position`. Returns false for a folded line, white space in a
// name, a bare CR or another control character: parsers differ in how they read these. Stops after one field
// more than kMaxFields.
bool ReadFields(std::string_view head, std::size_t position, Head& out) {
  while (position < head.size() && out.fields.size() <= kMaxFields) {
    const std::size_t end = head.find("\r\n", position);
    const std::string_view line = head.substr(position, end - position);
    position = end + 2;
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !IsToken(line.substr(0, colon))) return false;
    const std::string_view value = Trimmed(line.substr(colon + 1));
    if (std::any_of(value.begin(), value.end(),
                    [](unsigned char octet) { return (octet < 0x20 && octet != '\t') || octet == 0x7f; })) {
      return false;
    }
    out.fields.emplace_back(line.substr(0, colon), value);
  }
  return true;
}

// Sets `end` to the length of the head including the empty line and returns 0. Returns -1 if the head is
// incomplete, and a status if it is too long.
int FindHeadEnd(std::string_view buffer, std::size_t& end) {
  const std::size_t line = buffer.find('\n');
  if (std::min(line, buffer.size()) > kMaxRequestLineBytes) return 414;
  const std::size_t found = buffer.find("\r\n\r\n");
  if (found == std::string_view::npos) return buffer.size() > kMaxHeadBytes ? 431 : -1;
  if (found > kMaxHeadBytes) return 431;
  end = found + 4;
  return 0;
}

}  // namespace

bool EqualsIgnoreCase(std::string_view left, std::string_view right) {
  return std::equal(
      left.begin(), left.end(), right.begin(), right.end(),
      [](char left_octet, char right_octet) { return Lower(left_octet) == Lower(right_octet); });
}

bool ListContainsToken(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const std::size_t comma = list.find(',');
    if (EqualsIgnoreCase(Trimmed(list.substr(0, comma)), token)) return true;
    list.remove_prefix(comma == std::string_view::npos ? list.size() : comma + 1);
  }
  return false;
}

std::string_view Head::Field(std::string_view name) const {
  for (const auto& [key, value] : fields) {
    if (EqualsIgnoreCase(key, name)) return value;
  }
  return {};
}
std::size_t Head::FieldCount(std::string_view name) const {
  return static_cast<std::size_t>(std::count_if(
      fields.begin(), fields.end(), [&](auto& field) { return EqualsIgnoreCase(field.first, name); }));
}

int ParseRequestHead(std::string_view buffer, Head& out) {
  std::size_t end = 0;
  if (const int status = FindHeadEnd(buffer, end)) return status;
  const std::size_t line_end = buffer.find("\r\n");
  const std::string_view line = buffer.substr(0, line_end);
  const std::size_t first = line.find(' '), last = line.rfind(' ');
  if (first == std::string_view::npos || first == last) return 400;
  out.method = line.substr(0, first);
  out.target = line.substr(first + 1, last - first - 1);
  const std::string_view version = line.substr(last + 1);
  if (!IsToken(out.method) || out.target.empty()) return 400;
  if (std::any_of(out.target.begin(), out.target.end(),
                  [](unsigned char octet) { return octet <= 0x20 || octet >= 0x7f; })) {
    return 400;
  }
  if (!version.starts_with("HTTP/") || version.size() != 8) return 400;
  if (version != "HTTP/1.1") return 505;
  if (!ReadFields(buffer.substr(0, end - 2), line_end + 2, out)) return 400;
  if (out.fields.size() > kMaxFields) return 431;
  if (out.FieldCount("Host") != 1) return 400;
  out.length = end;
  return 0;
}

int ParseResponseHead(std::string_view buffer, Head& out) {
  std::size_t end = 0;
  if (const int status = FindHeadEnd(buffer, end)) return status;
  const std::size_t line_end = buffer.find("\r\n");
  const std::string_view line = buffer.substr(0, line_end);
  if (!line.starts_with("HTTP/1.1 ") || line.size() < 12) return 502;
  const auto status = ParseDecimal(line.substr(9, 3));
  if (!status || *status < 100 || (line.size() > 12 && line[12] != ' ')) return 502;
  out.status = static_cast<int>(*status);
  if (!ReadFields(buffer.substr(0, end - 2), line_end + 2, out) || out.fields.size() > kMaxFields) return 502;
  out.length = end;
  return 0;
}

BodyReader::Framing RequestFraming(const Head& head, std::uint64_t& length, int& status) {
  length = 0;
  status = 0;
  if (head.FieldCount("Transfer-Encoding") > 0) {
    // With Content-Length as well, the two could disagree. Without it, a length is required.
    status = head.FieldCount("Content-Length") > 0 ? 400 : 411;
    return BodyReader::Framing::kNone;
  }
  if (head.FieldCount("Content-Length") == 0) return BodyReader::Framing::kNone;
  const auto declared = ParseDecimal(head.Field("Content-Length"));
  if (!declared || head.FieldCount("Content-Length") > 1) {
    status = 400;
    return BodyReader::Framing::kNone;
  }
  length = *declared;
  return BodyReader::Framing::kLength;
}

std::optional<BodyReader::Framing> ResponseFraming(const Head& head, bool is_head_request,
                                                   std::uint64_t& length) {
  length = 0;
  if (is_head_request || head.status == 204 || head.status == 304) return BodyReader::Framing::kNone;
  const std::size_t lengths = head.FieldCount("Content-Length"),
                    codings = head.FieldCount("Transfer-Encoding");
  if (codings == 1 && lengths == 0 && EqualsIgnoreCase(head.Field("Transfer-Encoding"), "chunked")) {
    return BodyReader::Framing::kChunked;
  }
  if (codings > 0 || lengths != 1) return std::nullopt;
  const auto declared = ParseDecimal(head.Field("Content-Length"));
  if (!declared) return std::nullopt;
  length = *declared;
  return BodyReader::Framing::kLength;
}

std::optional<std::size_t> BodyReader::Advance(std::string_view bytes) {
  constexpr std::size_t kMaxLineBytes = 1024;
  std::size_t position = 0;
  if (framing_ == Framing::kLength) {
    position = static_cast<std::size_t>(std::min<std::uint64_t>(remaining_, bytes.size()));
    remaining_ -= position;
    is_complete_ = remaining_ == 0;
    return position;
  }
  while (!is_complete_ && position < bytes.size()) {
    if (state_ == State::kChunkData) {
      const auto part =
          static_cast<std::size_t>(std::min<std::uint64_t>(remaining_, bytes.size() - position));
      position += part;
      remaining_ -= part;
      if (remaining_ == 0) state_ = State::kChunkDataCr;
      continue;
    }
    const char octet = bytes[position++];
    if (++line_length_ > kMaxLineBytes) return std::nullopt;
    switch (state_) {
      case State::kChunkSize: {
        const std::string_view digits = "0123456789abcdef";
        const std::size_t value = digits.find(Lower(octet));
        if (value != std::string_view::npos && remaining_ < (std::uint64_t{1} << 48)) {
          remaining_ = remaining_ * 16 + value;
        } else if (line_length_ > 1 && (octet == ';' || octet == '\r')) {
          state_ = octet == ';' ? State::kChunkExtension : State::kChunkSizeLf;
        } else {
          return std::nullopt;
        }
        break;
      }
      case State::kChunkExtension:
        if (octet == '\n') return std::nullopt;
        if (octet == '\r') state_ = State::kChunkSizeLf;
        break;
      case State::kChunkSizeLf:
        if (octet != '\n') return std::nullopt;
        line_length_ = 0;
        state_ = remaining_ > 0 ? State::kChunkData : State::kTrailer;
        break;
      case State::kChunkDataCr:
        if (octet != '\r') return std::nullopt;
        state_ = State::kChunkDataLf;
        break;
      case State::kChunkDataLf:
        if (octet != '\n') return std::nullopt;
        line_length_ = 0;
        state_ = State::kChunkSize;
        break;
      case State::kTrailer:  // each field is one line; an empty line ends the body
        if (octet == '\n') return std::nullopt;
        if (octet == '\r') state_ = State::kTrailerLf;
        break;
      case State::kTrailerLf:
        if (octet != '\n') return std::nullopt;
        is_complete_ = line_length_ == 2;
        line_length_ = 0;
        state_ = State::kTrailer;
        break;
      case State::kChunkData:
        break;
    }
  }
  return position;
}

std::string DecodeChunked(std::string_view body) {
  std::string out;
  while (true) {
    std::uint64_t size = 0;
    const std::size_t line = body.find("\r\n");
    std::from_chars(body.data(), body.data() + body.size(), size, 16);
    if (size == 0 || line == std::string_view::npos || line + 4 + size > body.size()) return out;
    out.append(body.substr(line + 2, size));
    body.remove_prefix(line + 4 + size);
  }
}

ParseResult ParseResponse(std::string_view buffer, Response& out, std::size_t& expect) {
  expect = 0;
  Head head;
  const int error_status = ParseResponseHead(buffer, head);
  if (error_status < 0) return ParseResult::kIncomplete;
  std::uint64_t length = 0;
  const auto framing = error_status == 0 ? ResponseFraming(head, false, length) : std::nullopt;
  if (!framing) return ParseResult::kMalformed;
  BodyReader reader;
  reader.Start(*framing, length);
  const auto body_bytes = reader.Advance(buffer.substr(head.length));
  if (!body_bytes) return ParseResult::kMalformed;
  if (!reader.IsComplete()) {
    if (*framing == BodyReader::Framing::kLength) expect = head.length + length;
    return ParseResult::kIncomplete;
  }
  const std::string_view raw = buffer.substr(head.length, *body_bytes);
  out.status = head.status;
  out.body = *framing == BodyReader::Framing::kChunked ? DecodeChunked(raw) : std::string(raw);
  out.can_reuse_connection = !ListContainsToken(head.Field("Connection"), "close");
  out.length = head.length + *body_bytes;
  const std::string_view index = head.Field("X-Consul-Index");
  out.consul_index = 0;
  std::from_chars(index.data(), index.data() + index.size(), out.consul_index);
  return ParseResult::kComplete;
}

}  // namespace tinspan::http
