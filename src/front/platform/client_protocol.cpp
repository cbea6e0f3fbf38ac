#include "front/platform/client_protocol.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

#include "front/platform/fields.hpp"
#include "setup/reload.hpp"

namespace tinspan::platform {
namespace {

constexpr std::size_t kCallElements = 4;
constexpr std::size_t kCallElementsWithBody = 5;
constexpr std::size_t kIdDigits = 16;  // of a reference and of an object id
constexpr int kHexadecimal = 16;
constexpr double kMaxSizeKb = 1e6;  // of a part; far above the largest object that is served
constexpr double kTimeLeftLimitMilliseconds = 1e9;
constexpr std::uint32_t kMaxGroup = 255;
constexpr std::string_view kForbiddenCharacters = " \r\n,=";  // separators of the cache protocol

bool IsId(std::string_view text) {
  return text.size() == kIdDigits && std::all_of(text.begin(), text.end(), [](char digit) {
           return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f') ||
                  (digit >= 'A' && digit <= 'F');
         });
}

// Decodes the fields of a call into `call` and keeps the first error. Fields after an error are skipped.
class FieldReader {
 public:
  explicit FieldReader(Call& call) : call_(call) {}

  void Read(std::string_view name, std::string_view value) {
    if (error_) return;
    if (value.size() > kMaxFieldBytes) {
      error_ = CallError::kFieldTooLong;
    } else if (name == "allow") {
      ReadTimeLeft(value);
    } else if (name == "block") {
      ReadPart(value);
    } else if (name == "family") {
      ReadGroup(value);
    } else if (name == "room") {
      ReadSize(value);
    } else {
      ReadText(name, value);
    }
  }
  std::optional<CallError> Error() const {
    if (error_) return error_;
    return has_time_left_ ? std::nullopt : std::optional(CallError::kMissingTimeLeft);
  }

 private:
  void ReadTimeLeft(std::string_view value) {
    const auto milliseconds = ReadNumber<double>(value);
    if (milliseconds && *milliseconds >= 0 && *milliseconds < kTimeLeftLimitMilliseconds) {
      call_.received.time_left = Micros{static_cast<std::int64_t>(*milliseconds * 1000)};
      has_time_left_ = true;
    } else {
      error_ = CallError::kInvalidTimeLeft;
    }
  }
  void ReadPart(std::string_view value) {
    const auto part = ReadNumber<std::uint32_t>(value);
    if (!part) error_ = CallError::kInvalidPart;
    call_.received.part = part.value_or(0);
    call_.request.part = value;
  }
  void ReadGroup(std::string_view value) {
    const auto group = ReadNumber<std::uint32_t>(value);
    if (!group || *group > kMaxGroup) error_ = CallError::kInvalidGroup;
    call_.received.group = GroupId{group.value_or(0)};
  }
  void ReadSize(std::string_view value) {
    const auto size_kb = ReadNumber<double>(value);
    if (size_kb && *size_kb >= 0 && *size_kb <= kMaxSizeKb) {
      call_.received.size_kb = *size_kb;
      call_.request.size_kb = *size_kb;
    } else {
      error_ = CallError::kInvalidSize;
    }
  }
  void ReadText(std::string_view name, std::string_view value) {
    if (name == "ref") call_.request.reference = value;
    if (name == "replay") call_.request.idempotency_key = value;
    if (name == "lookup") call_.request.object = value;
    if (name == "cached") call_.request.cached_copy = value;
  }

  Call& call_;
  std::optional<CallError> error_;
  bool has_time_left_ = false;
};

// These values are copied into the request line to a server. A separator in one of them would change the
// meaning of that line.
bool HasForbiddenCharacter(const PendingRequest& request) {
  const auto is_forbidden = [](const std::string& value) {
    return value.find_first_of(kForbiddenCharacters) != std::string::npos;
  };
  return is_forbidden(request.class_name) || is_forbidden(request.object) || is_forbidden(request.part) ||
         is_forbidden(request.idempotency_key) || is_forbidden(request.cached_copy);
}

std::optional<CallError> ReadFields(std::string_view fields, Call& call) {
  FieldReader reader(call);
  const FieldListStatus status = ForEachField(
      fields, [&reader](std::string_view name, std::string_view value) { reader.Read(name, value); });
  if (status == FieldListStatus::kMalformed) return CallError::kMalformedFields;
  return reader.Error();
}

}  // namespace

tl::expected<Call, CallError> ParseCall(const RespMessage& message, const Names& classes) {
  if (message.count < kCallElements || message.count > kCallElementsWithBody)
    return tl::unexpected(CallError::kWrongElementCount);
  const std::string_view tag = message.elements[1];
  if (!ReadNumber<std::uint64_t>(tag)) return tl::unexpected(CallError::kInvalidTag);
  Call call;
  call.request.tag = tag;
  call.request.class_name = message.elements[2];
  if (message.count == kCallElementsWithBody) call.request.body = message.elements[4];
  if (const auto error = ReadFields(message.elements[3], call)) return tl::unexpected(*error);
  if (!IsId(call.request.reference)) return tl::unexpected(CallError::kInvalidReference);
  if (HasForbiddenCharacter(call.request)) return tl::unexpected(CallError::kForbiddenCharacter);
  const bool has_key = !call.request.idempotency_key.empty();
  call.received.operation =
      core::MakeOperationId(has_key ? call.request.idempotency_key : call.request.reference);
  if (!call.request.object.empty()) {
    if (!IsId(call.request.object)) return tl::unexpected(CallError::kInvalidObject);
    call.received.object = ObjectId{*ReadNumber<std::uint64_t>(call.request.object, kHexadecimal)};
  }
  std::size_t class_position = 0;
  if (!FindClass(classes, call.request.class_name, class_position))
    return tl::unexpected(CallError::kUnknownClass);
  call.received.class_id = ClassId{static_cast<std::uint32_t>(class_position)};
  return call;
}

std::string EncodeResponseHead(std::string_view tag, std::string_view status, std::string_view fields,
                               std::size_t body_size) {
  std::string head = "*4\r\n";
  AppendBulk(head, tag);
  AppendBulk(head, status);
  AppendBulk(head, fields);
  head.append("$").append(std::to_string(body_size)).append("\r\n");
  return head;
}

}  // namespace tinspan::platform
