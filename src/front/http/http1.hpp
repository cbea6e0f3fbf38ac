// HTTP/1.1 messages (RFC 9112), read strictly as slices of the buffer: where two readers could disagree on
// where a message ends, it is refused.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tinspan::http {

constexpr std::size_t kMostRequestLine = 8 << 10;
constexpr std::size_t kMostHead = 24 << 10;

struct Head {
  // A request's or a response's; which are set says which it is.
  std::string_view method, target;
  int status = 0;
  std::vector<std::pair<std::string_view, std::string_view>> fields;
  std::size_t length = 0;  // of the whole head in the buffer

  std::string_view Field(std::string_view name) const;  // the first so named, or empty
  std::size_t Count(std::string_view name) const;
};

// 0: read. -1: more bytes are needed. Else the status that refuses it.
int ReadRequest(std::string_view buffer, Head& out);
// As above; any positive number says that it cannot be read.
int ReadResponse(std::string_view buffer, Head& out);

bool SameName(std::string_view a, std::string_view b);         // case aside
bool HasToken(std::string_view list, std::string_view token);  // in a comma list, case aside

// Where a message's body ends.
class BodyReader {
 public:
  enum class Framing { kNone, kLength, kChunked };
  void Start(Framing framing, std::uint64_t length) {
    framing_ = framing;
    left_ = length;
    state_ = State::kSize;
    line_ = 0;
    whole_ = framing == Framing::kNone || (framing == Framing::kLength && length == 0);
  }
  bool IsWhole() const { return whole_; }
  // How many of these bytes belong to the body (framing included); nothing if they cannot be read.
  std::optional<std::size_t> Take(std::string_view bytes);

 private:
  enum class State { kSize, kExtension, kSizeEnd, kData, kDataEnd, kDataLf, kTrailer, kTrailerLf };
  Framing framing_ = Framing::kNone;
  State state_ = State::kSize;
  std::uint64_t left_ = 0;
  std::size_t line_ = 0;  // characters of the size, extension or trailer line so far
  bool whole_ = true;
};

// The framing of a request's body (`status` refuses it if not 0) or of a response's (nothing: it has none
// that shows its end, or two that disagree).
BodyReader::Framing RequestFraming(const Head& head, std::uint64_t& length, int& status);
std::optional<BodyReader::Framing> ResponseFraming(const Head& head, bool to_head, std::uint64_t& length);

// The data of a whole chunked body.
std::string Dechunked(std::string_view body);

// A response with its whole body, as one that asks and waits takes it.
struct Response {
  int status = 0;
  std::uint64_t index = 0;  // X-Consul-Index; 0: none
  std::string body;         // without its framing
  bool keep = false;        // the connection may be used again
  std::size_t length = 0;   // of it all in the buffer
};
enum class Taken { kMore, kWhole, kUnreadable };
// `expect`: bytes that the buffer has to hold for the whole of it, where that is known already; else 0.
Taken TakeResponse(std::string_view buffer, Response& out, std::size_t& expect);

}  // namespace tinspan::http
