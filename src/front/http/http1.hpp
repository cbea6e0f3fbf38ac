// A strict parser of HTTP/1.1 messages (RFC 9112). It rejects every message whose end two parsers could
// determine differently, which prevents request smuggling. Parsed parts are views of the input buffer.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tinspan::http {

constexpr std::size_t kMaxRequestLineBytes = 8 << 10;
constexpr std::size_t kMaxHeadBytes = 24 << 10;
constexpr std::size_t kHeadEndBytes = 4;  // the empty line at the end of a head
constexpr std::size_t kMaxFields = 100;   // the cost of a request grows with the square of its fields

/// The start line and header fields of a request or a response. A request sets `method` and `target`, a
/// response `status`. The views point into the parsed buffer.
struct Head {
  std::string_view method, target;
  int status = 0;
  std::vector<std::pair<std::string_view, std::string_view>> fields;
  std::size_t length = 0;  // bytes of the head, including the empty line at its end

  /// Returns the value of the first field of that name; empty if there is none.
  std::string_view Field(std::string_view name) const;
  /// Returns the number of field lines of that name.
  std::size_t FieldCount(std::string_view name) const;
};

/// Parses the head of a request. Returns 0 on success, -1 if more bytes are needed, else the status of the
/// response that rejects the request.
int ParseRequestHead(std::string_view buffer, Head& out);
/// Parses the head of a response. Returns 0 on success, -1 if more bytes are needed, and a positive number if
/// it is malformed.
int ParseResponseHead(std::string_view buffer, Head& out);

/// Compares without regard to the case of ASCII letters.
bool EqualsIgnoreCase(std::string_view left, std::string_view right);
/// Whether a comma-separated list contains the token, without regard to case.
bool ListContainsToken(std::string_view list, std::string_view token);

/// Finds the end of a message body.
class BodyReader {
 public:
  /// How the length of the body is determined: no body, Content-Length, or the chunked transfer coding.
  enum class Framing { kNone, kLength, kChunked };
  /// Begins a body; `length` is used with kLength only.
  void Start(Framing framing, std::uint64_t length) {
    framing_ = framing;
    remaining_ = length;
    state_ = State::kChunkSize;
    line_length_ = 0;
    is_complete_ = framing == Framing::kNone || (framing == Framing::kLength && length == 0);
  }
  bool IsComplete() const { return is_complete_; }
  /// Returns how many of the next bytes of the message belong to the body, chunk framing included; nothing if
  /// they are malformed.
  std::optional<std::size_t> Advance(std::string_view bytes);

 private:
  enum class State {
    kChunkSize,
    kChunkExtension,
    kChunkSizeLf,
    kChunkData,
    kChunkDataCr,
    kChunkDataLf,
    kTrailer,
    kTrailerLf
  };
  Framing framing_ = Framing::kNone;
  State state_ = State::kChunkSize;
  std::uint64_t remaining_ = 0;
  std::size_t line_length_ = 0;  // octets of the current chunk-size or trailer line
  bool is_complete_ = true;
};

/// Returns the framing of a request body. Sets `status` to the status that rejects the request, or 0.
BodyReader::Framing RequestFraming(const Head& head, std::uint64_t& length, int& status);
/// Returns the framing of a response body; nothing if it is delimited only by the end of the connection, or
/// by both Content-Length and Transfer-Encoding.
std::optional<BodyReader::Framing> ResponseFraming(const Head& head, bool is_head_request,
                                                   std::uint64_t& length);

/// Returns the data of a complete body in chunked transfer coding.
std::string DecodeChunked(std::string_view body);

/// A response with its complete body.
struct Response {
  int status = 0;
  std::uint64_t consul_index = 0;     // X-Consul-Index; 0: none
  std::string body;                   // without its framing
  bool can_reuse_connection = false;  // the connection is persistent and may be reused
  std::size_t length = 0;             // bytes of head and body in the buffer
};
enum class ParseResult { kIncomplete, kComplete, kMalformed };
/// Parses a complete response. If more bytes are needed, `expect` is set to the total length of the response
/// if it is known, else to 0.
ParseResult ParseResponse(std::string_view buffer, Response& out, std::size_t& expect);

}  // namespace tinspan::http
