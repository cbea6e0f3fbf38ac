#include "front/platform/cache_protocol.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <utility>

#include "core/attempt_outcome.hpp"
#include "front/platform/fields.hpp"
#include "net/clock.hpp"
#include "setup/setup.hpp"

namespace tinspan::platform {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::size_t kMaxHeaderBytes = 4096;
constexpr std::size_t kMaxBodyBytes = 512 << 10;                  // objects have at most 240,000 bytes
constexpr std::int64_t kMaxUnixMilliseconds = 4'000'000'000'000;  // the year 2096

constexpr std::size_t kHeaderTokens = 4;  // reference, status, fields, body length

constexpr std::array<std::pair<std::string_view, FillNote>, 4> kFillNotes{{{"local", FillNote::kHit},
                                                                           {"pulled", FillNote::kFilled},
                                                                           {"rode", FillNote::kJoined},
                                                                           {"expired", FillNote::kStaleHit}}};

struct Status {
  std::string_view text;
  core::AttemptEnding::Kind ending;
};
constexpr std::string_view kNotModified = "SAME";
constexpr std::array<Status, 6> kStatuses{{{"OK", core::AttemptEnding::Kind::kServed},
                                           {kNotModified, core::AttemptEnding::Kind::kServed},
                                           {"MISS", core::AttemptEnding::Kind::kMiss},
                                           {"BUSY", core::AttemptEnding::Kind::kBusy},
                                           {"ERR", core::AttemptEnding::Kind::kError},
                                           {"VOID", core::AttemptEnding::Kind::kObsolete}}};

std::string FormatMilliseconds(Micros time) {
  return std::to_string(std::max<std::int64_t>(1, time.count() / 1000));
}

void AppendField(std::string& line, std::string_view name, std::string_view value) {
  if (!value.empty()) line.append(",").append(name).append("=").append(value);
}

// Returns the names of the flags that are set for the attempt, joined by plus signs.
std::string FormatFlags(const SendAttempt& action) {
  std::string flags;
  for (const auto& [is_set, name] : {std::pair{action.join_fill, "share"},
                                     {action.source_cached_only, "peek"},
                                     {action.bypass_parent, "pass"},
                                     {action.revalidate, "swr"}}) {
    if (is_set) flags.append(flags.empty() ? "" : "+").append(name);
  }
  return flags;
}

tl::unexpected<FrameError> MakeFrameError(FrameError::Kind kind, std::size_t bytes_needed = 0) {
  return tl::unexpected(FrameError{kind, bytes_needed});
}

// Splits a header at its first three spaces; the last token is the rest of the line. Returns nullopt if there
// are fewer spaces.
std::optional<std::array<std::string_view, kHeaderTokens>> SplitHeader(std::string_view header) {
  std::array<std::string_view, kHeaderTokens> tokens;
  for (std::size_t index = 0; index + 1 < kHeaderTokens; ++index) {
    const std::size_t space = header.find(' ');
    if (space == std::string_view::npos) return std::nullopt;
    tokens[index] = header.substr(0, space);
    header.remove_prefix(space + 1);
  }
  tokens.back() = header;
  return tokens;
}

FillNote ParseFillNote(std::string_view text) {
  const auto* const note = std::find_if(kFillNotes.begin(), kFillNotes.end(),
                                        [text](const auto& entry) { return entry.first == text; });
  return note == kFillNotes.end() ? FillNote::kNone : note->second;
}

std::optional<UnixTime> ParseUnixMilliseconds(std::string_view text) {
  const auto milliseconds = ReadNumber<std::int64_t>(text);
  if (!milliseconds || *milliseconds < 0 || *milliseconds >= kMaxUnixMilliseconds) return std::nullopt;
  return UnixTime(Micros{*milliseconds * 1000});
}

}  // namespace

std::string EncodeRequestLine(Micros now, const PendingRequest& request, const core::StartAttempt& attempt,
                              std::string_view fill_source) {
  const SendAttempt& action = attempt.action;
  std::string line = "REQ " + request.reference + " queue=" + request.class_name;
  AppendField(line, "path", request.object);
  AppendField(line, "blk", request.part);
  AppendField(line, "budget", FormatMilliseconds(action.expires_at - now));
  AppendField(line, "uniq", request.idempotency_key);
  AppendField(line, "miss", fill_source);
  if (action.cache_rank > 0) AppendField(line, "prio", std::to_string(action.cache_rank));
  if (action.max_age > Micros{0}) AppendField(line, "within", FormatMilliseconds(action.max_age));
  AppendField(line, "f", FormatFlags(action));
  AppendField(line, "mine", request.cached_copy);
  line.append(" ").append(std::to_string(request.body.size())).append(kLineEnd);
  return line;
}

std::string EncodeStop(std::string_view reference) {
  return std::string("STOP ").append(reference).append(kLineEnd);
}

tl::expected<ResponseFrame, FrameError> ReadResponseFrame(std::string_view unread) {
  using Kind = FrameError::Kind;
  if (unread.starts_with(kLineEnd)) return ResponseFrame{.is_empty_line = true, .size = kLineEnd.size()};
  if (unread == "\r") return MakeFrameError(Kind::kIncomplete);
  const std::size_t header_size = unread.find(kLineEnd);
  if (header_size == std::string_view::npos)
    return MakeFrameError(unread.size() > kMaxHeaderBytes ? Kind::kLineTooLong : Kind::kIncomplete);
  const auto tokens = SplitHeader(unread.substr(0, header_size));
  if (!tokens) return MakeFrameError(Kind::kMissingToken);
  const auto& [reference, status, fields, length_text] = *tokens;
  const auto length = ReadNumber<std::uint32_t>(length_text);
  if (!length || *length > kMaxBodyBytes) return MakeFrameError(Kind::kInvalidLength);
  const std::size_t body_start = header_size + kLineEnd.size();
  const std::size_t size = body_start + *length + kLineEnd.size();
  if (unread.size() < size) return MakeFrameError(Kind::kIncomplete, size);
  if (unread.substr(size - kLineEnd.size(), kLineEnd.size()) != kLineEnd)
    return MakeFrameError(Kind::kMissingTerminator);
  return ResponseFrame{.reference = reference,
                       .status = status,
                       .fields = fields,
                       .body = unread.substr(body_start, *length),
                       .size = size};
}

tl::expected<Response, ResponseError> ParseResponse(const ResponseFrame& frame) {
  const auto* const status = std::find_if(kStatuses.begin(), kStatuses.end(),
                                          [&](const Status& entry) { return entry.text == frame.status; });
  if (status == kStatuses.end()) return tl::unexpected(ResponseError::kUnknownStatus);
  Response response;
  response.outcome = core::OutcomeOf({}, {.kind = status->ending});  // the words say it for every effect
  response.is_not_modified = status->text == kNotModified;
  std::string_view load_report;
  const FieldListStatus fields_status =
      ForEachField(frame.fields, [&](std::string_view name, std::string_view value) {
        if (name == "detail") {
          const FillNote note = ParseFillNote(value);
          if (note != FillNote::kNone) response.note = note;
        } else if (name == "issued") {
          const auto issued_at = ParseUnixMilliseconds(value);
          if (issued_at) response.issued_at = net::ToProgramTime(*issued_at);
        } else if (name == "use") {
          load_report = value;
        } else if (name == "entity") {
          response.entity = value;
        }
      });
  if (fields_status == FieldListStatus::kMalformed) return tl::unexpected(ResponseError::kMalformedFields);
  try {
    response.load = ParseLoadReport(load_report, ';');
  } catch (const tinspan::Malformed&) {
    return tl::unexpected(ResponseError::kMalformedLoadReport);
  }
  return response;
}

}  // namespace tinspan::platform
