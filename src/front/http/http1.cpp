#include "front/http/http1.hpp"

#include <algorithm>
#include <charconv>

namespace tinspan::http {
namespace {

char Lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

bool IsTokenChar(char c) {
  return (c >= '0' && c <= '9') || (Lower(c) >= 'a' && Lower(c) <= 'z') ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}
bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenChar);
}

std::string_view Trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

std::optional<std::uint64_t> Digits(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

// The fields after the first line, which ends at `at`. False: a line folded, a name with a blank, a bare CR
// or another control character: readers disagree on these.
bool ReadFields(std::string_view head, std::size_t at, Head& out) {
  while (at < head.size()) {
    const std::size_t end = head.find("\r\n", at);
    const std::string_view line = head.substr(at, end - at);
    at = end + 2;
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !IsToken(line.substr(0, colon))) return false;
    const std::string_view value = Trimmed(line.substr(colon + 1));
    if (std::any_of(value.begin(), value.end(),
                    [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7f; })) {
      return false;
    }
    out.fields.emplace_back(line.substr(0, colon), value);
  }
  return true;
}

// The length of the head with its last empty line, -1 while it is not whole, else a status.
int HeadEnd(std::string_view buffer, std::size_t& end) {
  const std::size_t line = buffer.find('\n');
  if (std::min(line, buffer.size()) > kMostRequestLine) return 414;
  const std::size_t found = buffer.find("\r\n\r\n");
  if (found == std::string_view::npos) return buffer.size() > kMostHead ? 431 : -1;
  if (found > kMostHead) return 431;
  end = found + 4;
  return 0;
}

}  // namespace

bool SameName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

bool HasToken(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const std::size_t comma = list.find(',');
    if (SameName(Trimmed(list.substr(0, comma)), token)) return true;
    list.remove_prefix(comma == std::string_view::npos ? list.size() : comma + 1);
  }
  return false;
}

std::string_view Head::Field(std::string_view name) const {
  for (const auto& [key, value] : fields) {
    if (SameName(key, name)) return value;
  }
  return {};
}
std::size_t Head::Count(std::string_view name) const {
  return static_cast<std::size_t>(
      std::count_if(fields.begin(), fields.end(), [&](auto& one) { return SameName(one.first, name); }));
}

int ReadRequest(std::string_view buffer, Head& out) {
  std::size_t end = 0;
  if (const int status = HeadEnd(buffer, end)) return status;
  const std::size_t line_end = buffer.find("\r\n");
  const std::string_view line = buffer.substr(0, line_end);
  const std::size_t first = line.find(' '), last = line.rfind(' ');
  if (first == std::string_view::npos || first == last) return 400;
  out.method = line.substr(0, first);
  out.target = line.substr(first + 1, last - first - 1);
  const std::string_view version = line.substr(last + 1);
  if (!IsToken(out.method) || out.target.empty()) return 400;
  if (std::any_of(out.target.begin(), out.target.end(),
                  [](unsigned char c) { return c <= 0x20 || c >= 0x7f; })) {
    return 400;
  }
  if (!version.starts_with("HTTP/") || version.size() != 8) return 400;
  if (version != "HTTP/1.1") return 505;
  if (!ReadFields(buffer.substr(0, end - 2), line_end + 2, out) || out.Count("Host") != 1) return 400;
  out.length = end;
  return 0;
}

int ReadResponse(std::string_view buffer, Head& out) {
  std::size_t end = 0;
  if (const int status = HeadEnd(buffer, end)) return status;
  const std::size_t line_end = buffer.find("\r\n");
  const std::string_view line = buffer.substr(0, line_end);
  if (!line.starts_with("HTTP/1.1 ") || line.size() < 12) return 502;
  const auto status = Digits(line.substr(9, 3));
  if (!status || *status < 100 || (line.size() > 12 && line[12] != ' ')) return 502;
  out.status = static_cast<int>(*status);
  if (!ReadFields(buffer.substr(0, end - 2), line_end + 2, out)) return 502;
  out.length = end;
  return 0;
}

BodyReader::Framing RequestFraming(const Head& head, std::uint64_t& length, int& status) {
  length = 0;
  status = 0;
  if (head.Count("Transfer-Encoding") > 0) {
    // With a length as well the two may disagree; without, the length is asked for.
    status = head.Count("Content-Length") > 0 ? 400 : 411;
    return BodyReader::Framing::kNone;
  }
  if (head.Count("Content-Length") == 0) return BodyReader::Framing::kNone;
  const auto told = Digits(head.Field("Content-Length"));
  if (!told || head.Count("Content-Length") > 1) {
    status = 400;
    return BodyReader::Framing::kNone;
  }
  length = *told;
  return BodyReader::Framing::kLength;
}

std::optional<BodyReader::Framing> ResponseFraming(const Head& head, bool to_head, std::uint64_t& length) {
  length = 0;
  if (to_head || head.status == 204 || head.status == 304) return BodyReader::Framing::kNone;
  const std::size_t lengths = head.Count("Content-Length"), codings = head.Count("Transfer-Encoding");
  if (codings == 1 && lengths == 0 && SameName(head.Field("Transfer-Encoding"), "chunked")) {
    return BodyReader::Framing::kChunked;
  }
  if (codings > 0 || lengths != 1) return std::nullopt;
  const auto told = Digits(head.Field("Content-Length"));
  if (!told) return std::nullopt;
  length = *told;
  return BodyReader::Framing::kLength;
}

std::optional<std::size_t> BodyReader::Take(std::string_view bytes) {
  constexpr std::size_t kMostLine = 1024;
  std::size_t at = 0;
  if (framing_ == Framing::kLength) {
    at = static_cast<std::size_t>(std::min<std::uint64_t>(left_, bytes.size()));
    left_ -= at;
    whole_ = left_ == 0;
    return at;
  }
  while (!whole_ && at < bytes.size()) {
    if (state_ == State::kData) {
      const auto part = static_cast<std::size_t>(std::min<std::uint64_t>(left_, bytes.size() - at));
      at += part;
      left_ -= part;
      if (left_ == 0) state_ = State::kDataEnd;
      continue;
    }
    const char c = bytes[at++];
    if (++line_ > kMostLine) return std::nullopt;
    switch (state_) {
      case State::kSize: {
        const std::string_view digits = "0123456789abcdef";
        const std::size_t value = digits.find(Lower(c));
        if (value != std::string_view::npos && left_ < (std::uint64_t{1} << 48)) {
          left_ = left_ * 16 + value;
        } else if (line_ > 1 && (c == ';' || c == '\r')) {
          state_ = c == ';' ? State::kExtension : State::kSizeEnd;
        } else {
          return std::nullopt;
        }
        break;
      }
      case State::kExtension:
        if (c == '\n') return std::nullopt;
        if (c == '\r') state_ = State::kSizeEnd;
        break;
      case State::kSizeEnd:
        if (c != '\n') return std::nullopt;
        line_ = 0;
        state_ = left_ > 0 ? State::kData : State::kTrailer;
        break;
      case State::kDataEnd:
        if (c != '\r') return std::nullopt;
        state_ = State::kDataLf;
        break;
      case State::kDataLf:
        if (c != '\n') return std::nullopt;
        line_ = 0;
        state_ = State::kSize;
        break;
      case State::kTrailer:  // a line of its own each; an empty one is the end
        if (c == '\n') return std::nullopt;
        if (c == '\r') state_ = State::kTrailerLf;
        break;
      case State::kTrailerLf:
        if (c != '\n') return std::nullopt;
        whole_ = line_ == 2;
        line_ = 0;
        state_ = State::kTrailer;
        break;
      case State::kData:
        break;
    }
  }
  return at;
}

std::string Dechunked(std::string_view body) {
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

Taken TakeResponse(std::string_view buffer, Response& out, std::size_t& expect) {
  expect = 0;
  Head head;
  const int refused = ReadResponse(buffer, head);
  if (refused < 0) return Taken::kMore;
  std::uint64_t length = 0;
  const auto framing = refused == 0 ? ResponseFraming(head, false, length) : std::nullopt;
  if (!framing) return Taken::kUnreadable;
  BodyReader reader;
  reader.Start(*framing, length);
  const auto taken = reader.Take(buffer.substr(head.length));
  if (!taken) return Taken::kUnreadable;
  if (!reader.IsWhole()) {
    if (*framing == BodyReader::Framing::kLength) expect = head.length + length;
    return Taken::kMore;
  }
  const std::string_view raw = buffer.substr(head.length, *taken);
  out.status = head.status;
  out.body = *framing == BodyReader::Framing::kChunked ? Dechunked(raw) : std::string(raw);
  out.keep = !HasToken(head.Field("Connection"), "close");
  out.length = head.length + *taken;
  const std::string_view index = head.Field("X-Consul-Index");
  out.index = 0;
  std::from_chars(index.data(), index.data() + index.size(), out.index);
  return Taken::kWhole;
}

}  // namespace tinspan::http
