#include "lease/codec.hpp"

#include <algorithm>
#include <optional>

#include "lease/lease.pb.h"
#include "lease/options.hpp"
#include "members/types.hpp"

namespace tinspan::lease {
namespace {

// The numbers of the message kinds on the wire.
enum class WireKind : std::uint32_t {
  kPrepare = 0,
  kPromise = 1,
  kPropose = 2,
  kAccept = 3,
  kReject = 4,
  kRelease = 5,
  kLeaseFreed = 6,
  kRecoveryQuery = 7,
  kRecoveryReply = 8,
  kHandOverPurge = 16,
  kHandOverAccepted = 17,
  kApplyPurge = 18,
  kPurgeApplied = 19,
  kTokenSuperseded = 20,
};

constexpr std::uint64_t kMaxDurationMicros = 86'400'000'000;  // a day

std::uint64_t ToWireMicros(Micros span) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(span.count(), 0));
}

Micros FromWireMicros(std::uint64_t count) { return Micros{static_cast<std::int64_t>(count)}; }

wire::Envelope MakeEnvelope(const std::string& lease) {
  wire::Envelope envelope;
  envelope.set_version(kWireVersion);
  envelope.set_duty(lease);
  return envelope;
}

void SetKind(wire::Envelope& envelope, WireKind kind) { envelope.set_kind(static_cast<std::uint32_t>(kind)); }

void SetRequest(wire::Envelope& envelope, WireKind kind, Token ballot, RequestId request_id) {
  SetKind(envelope, kind);
  envelope.set_ballot(ToNumber(ballot));
  envelope.set_seq(request_id);
}

// Fills the fields of each kind of lease message.
class MessageWriter {
 public:
  explicit MessageWriter(wire::Envelope& envelope) : envelope_(envelope) {}

  void operator()(const Prepare& body) const {
    SetRequest(envelope_, WireKind::kPrepare, body.ballot, body.request_id);
  }
  void operator()(const Promise& body) const {
    SetRequest(envelope_, WireKind::kPromise, body.ballot, body.request_id);
  }
  void operator()(const Propose& body) const {
    SetRequest(envelope_, WireKind::kPropose, body.ballot, body.request_id);
  }
  void operator()(const Accept& body) const {
    SetRequest(envelope_, WireKind::kAccept, body.ballot, body.request_id);
  }
  void operator()(const Reject& body) const {
    SetRequest(envelope_, WireKind::kReject, body.highest_ballot, body.request_id);
    envelope_.set_holder(body.holder);
    envelope_.set_left_us(ToWireMicros(body.remaining));
  }
  void operator()(const Release& body) const {
    SetKind(envelope_, WireKind::kRelease);
    envelope_.set_ballot(ToNumber(body.ballot));
  }
  void operator()(const LeaseFreed& body) const {
    SetKind(envelope_, WireKind::kLeaseFreed);
    envelope_.set_ballot(ToNumber(body.highest_ballot));
  }
  void operator()(const RecoveryQuery& body) const {
    SetKind(envelope_, WireKind::kRecoveryQuery);
    envelope_.set_seq(body.request_id);
  }
  void operator()(const RecoveryReply& body) const {
    SetRequest(envelope_, WireKind::kRecoveryReply, body.granted, body.request_id);
    envelope_.set_holder(body.holder);
    envelope_.set_serving(body.is_serving);
  }

 private:
  wire::Envelope& envelope_;
};

// Fills the fields of each kind of purge message.
class PurgeMessageWriter {
 public:
  explicit PurgeMessageWriter(wire::Envelope& envelope) : envelope_(envelope) {}

  void operator()(const HandOverPurge& body) const {
    SetPurge(WireKind::kHandOverPurge, kNoToken, body.purge);
  }
  void operator()(const HandOverAccepted& body) const {
    SetReply(WireKind::kHandOverAccepted, body.token, body.purge_id);
  }
  void operator()(const ApplyPurge& body) const { SetPurge(WireKind::kApplyPurge, body.token, body.purge); }
  void operator()(const PurgeApplied& body) const {
    SetReply(WireKind::kPurgeApplied, body.token, body.purge_id);
  }
  void operator()(const TokenSuperseded& body) const {
    SetReply(WireKind::kTokenSuperseded, body.newer_token, body.purge_id);
  }

 private:
  void SetReply(WireKind kind, Token token, const std::string& purge_id) const {
    SetKind(envelope_, kind);
    envelope_.set_ballot(ToNumber(token));
    envelope_.set_job(purge_id);
  }
  void SetPurge(WireKind kind, Token token, const Purge& purge) const {
    SetReply(kind, token, purge.id);
    envelope_.set_group(purge.group);
    if (purge.object) envelope_.set_object(*purge.object);
    envelope_.set_age_us(ToWireMicros(purge.age));
  }

  wire::Envelope& envelope_;
};

Token BallotIn(const wire::Envelope& envelope) { return Token{envelope.ballot()}; }

Purge ReadPurge(const wire::Envelope& envelope) {
  Purge purge{envelope.job(), envelope.group(), std::nullopt, FromWireMicros(envelope.age_us())};
  if (envelope.has_object()) purge.object = envelope.object();
  return purge;
}

// Returns nullopt if the kind is not one of the lease messages.
std::optional<MessageBody> ReadBody(const wire::Envelope& envelope) {
  const Token ballot = BallotIn(envelope);
  const RequestId request_id = envelope.seq();
  switch (static_cast<WireKind>(envelope.kind())) {
    case WireKind::kPrepare:
      return Prepare{ballot, request_id};
    case WireKind::kPromise:
      return Promise{ballot, request_id};
    case WireKind::kPropose:
      return Propose{ballot, request_id};
    case WireKind::kAccept:
      return Accept{ballot, request_id};
    case WireKind::kReject:
      return Reject{ballot, request_id, envelope.holder(), FromWireMicros(envelope.left_us())};
    case WireKind::kRelease:
      return Release{ballot};
    case WireKind::kLeaseFreed:
      return LeaseFreed{ballot};
    case WireKind::kRecoveryQuery:
      return RecoveryQuery{request_id};
    case WireKind::kRecoveryReply:
      return RecoveryReply{ballot, request_id, envelope.holder(), envelope.serving()};
    default:
      return std::nullopt;
  }
}

// Returns nullopt if the kind is not one of the purge messages.
std::optional<PurgeMessageBody> ReadPurgeBody(const wire::Envelope& envelope) {
  const Token token = BallotIn(envelope);
  switch (static_cast<WireKind>(envelope.kind())) {
    case WireKind::kHandOverPurge:
      return HandOverPurge{ReadPurge(envelope)};
    case WireKind::kHandOverAccepted:
      return HandOverAccepted{token, envelope.job()};
    case WireKind::kApplyPurge:
      return ApplyPurge{token, ReadPurge(envelope)};
    case WireKind::kPurgeApplied:
      return PurgeApplied{token, envelope.job()};
    case WireKind::kTokenSuperseded:
      return TokenSuperseded{token, envelope.job()};
    default:
      return std::nullopt;
  }
}

using Code = DecodeError::Code;

bool IsPurgeId(std::string_view text) {
  const std::size_t slash = text.find('/');
  if (text.size() > kMaxPurgeIdBytes || slash == std::string_view::npos) return false;
  return members::IsName(text.substr(0, slash)) && members::IsName(text.substr(slash + 1));
}

// Validates the fields that both families of messages share; returns nullopt if they are valid.
std::optional<DecodeError> CheckCommonFields(const wire::Envelope& envelope) {
  if (!members::IsName(envelope.duty())) {
    return DecodeError{Code::kInvalidName, "duty: expected 1 to 64 letters, digits, '-', '_' or '.'"};
  }
  if (!envelope.holder().empty() && !members::IsName(envelope.holder())) {
    return DecodeError{Code::kInvalidName, "holder: expected 1 to 64 letters, digits, '-', '_' or '.'"};
  }
  if (envelope.ballot() > ToNumber(kMaxToken)) {
    return DecodeError{Code::kBallotTooHigh, "ballot: expected at most 2^62"};
  }
  return std::nullopt;
}

std::optional<DecodeError> CheckPurgeFields(const wire::Envelope& envelope) {
  if (!IsPurgeId(envelope.job())) {
    return DecodeError{Code::kInvalidPurgeId, "job: expected SUBMITTER/NUMBER of at most 96 bytes"};
  }
  if (envelope.age_us() > kMaxDurationMicros) {
    return DecodeError{Code::kDurationTooLong, "age_us: expected at most 24 h"};
  }
  return std::nullopt;
}

std::optional<DecodeError> CheckLeaseFields(const wire::Envelope& envelope) {
  if (envelope.left_us() > kMaxDurationMicros) {
    return DecodeError{Code::kDurationTooLong, "left_us: expected at most 24 h"};
  }
  return std::nullopt;
}

}  // namespace

std::string Encode(const Message& message) {
  wire::Envelope envelope = MakeEnvelope(message.lease);
  std::visit(MessageWriter(envelope), message.body);
  return envelope.SerializeAsString();
}

std::string Encode(const PurgeMessage& message) {
  wire::Envelope envelope = MakeEnvelope(kPurgeLease);
  std::visit(PurgeMessageWriter(envelope), message.body);
  return envelope.SerializeAsString();
}

tl::expected<AnyMessage, DecodeError> Decode(std::string_view bytes, const std::string& sender) {
  wire::Envelope envelope;
  if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return tl::unexpected(DecodeError{Code::kMalformed, "not a lease message"});
  }
  if (envelope.version() != kWireVersion) {
    return tl::unexpected(
        DecodeError{Code::kUnsupportedVersion, "version " + std::to_string(envelope.version())});
  }
  std::optional<MessageBody> body = ReadBody(envelope);
  std::optional<PurgeMessageBody> purge_body = ReadPurgeBody(envelope);
  if (!body && !purge_body) {
    return tl::unexpected(DecodeError{Code::kUnknownKind, "kind " + std::to_string(envelope.kind())});
  }
  if (auto error = CheckCommonFields(envelope)) return tl::unexpected(*std::move(error));
  if (auto error = body ? CheckLeaseFields(envelope) : CheckPurgeFields(envelope)) {
    return tl::unexpected(*std::move(error));
  }
  if (body) return Message{envelope.duty(), sender, *std::move(body)};
  return PurgeMessage{sender, *std::move(purge_body)};
}

}  // namespace tinspan::lease
