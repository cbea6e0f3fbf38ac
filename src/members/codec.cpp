#include "members/codec.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <variant>

#include "members/members.pb.h"
#include "members/message.hpp"
#include "members/types.hpp"

namespace tinspan::members {
namespace {

constexpr std::string_view kMagic = "TSM";
constexpr std::size_t kHeaderBytes = kMagic.size() + 1;  // the magic and the version
constexpr std::uint32_t kMaxPort = std::numeric_limits<std::uint16_t>::max();
constexpr std::uint64_t kMaxAgeMillis = 365ULL * 86'400'000;  // one year
constexpr std::int64_t kMicrosPerMilli = 1'000;
constexpr const char* kNameRule = "expected 1 to 64 letters, digits, '-', '_' or '.'";

// The values of Envelope.kind.
enum class WireKind : std::uint8_t {
  kPing = 0,
  kPingRequest = 1,
  kAck = 2,
  kNack = 3,
  kSync = 4,
  kSyncReply = 5,
  kSyncPush = 6,
  kPayload = 7
};

using Check = tl::expected<void, DecodeError>;

tl::unexpected<DecodeError> Malformed(std::string detail) {
  return tl::make_unexpected(DecodeError{DecodeFailure::kMalformed, std::move(detail)});
}
tl::unexpected<DecodeError> Failed(DecodeFailure failure, std::string detail) {
  return tl::make_unexpected(DecodeError{failure, std::move(detail)});
}

void SetKind(WireKind kind, wire::Envelope& envelope) { envelope.set_kind(static_cast<std::uint32_t>(kind)); }

void SetDigest(const std::optional<Digest>& digest, wire::Envelope& envelope) {
  if (!digest) return;
  for (const std::uint64_t bucket : *digest) envelope.add_digest(bucket);
}

// Sets the envelope's fields for the body of a message.
class BodyEncoder {
 public:
  explicit BodyEncoder(wire::Envelope& envelope) : envelope_(envelope) {}

  void operator()(const Ping& ping) const {
    SetKind(WireKind::kPing, envelope_);
    envelope_.set_seq(ping.sequence);
    envelope_.set_target(ping.target);
  }
  void operator()(const PingRequest& request) const {
    SetKind(WireKind::kPingRequest, envelope_);
    envelope_.set_seq(request.sequence);
    envelope_.set_target(request.target);
    envelope_.set_target_ip(request.target_address.ip);
    envelope_.set_target_port(request.target_address.port);
  }
  void operator()(const Ack& ack) const {
    SetKind(WireKind::kAck, envelope_);
    envelope_.set_seq(ack.sequence);
  }
  void operator()(const Nack& nack) const {
    SetKind(WireKind::kNack, envelope_);
    envelope_.set_seq(nack.sequence);
  }
  void operator()(const Sync& sync) const {
    SetKind(WireKind::kSync, envelope_);
    SetDigest(sync.digest, envelope_);
  }
  void operator()(const SyncReply& reply) const {
    SetKind(WireKind::kSyncReply, envelope_);
    SetDigest(reply.digest, envelope_);
    envelope_.set_more(reply.is_truncated);
  }
  void operator()(const SyncPush&) const { SetKind(WireKind::kSyncPush, envelope_); }
  void operator()(const Payload& payload) const {
    SetKind(WireKind::kPayload, envelope_);
    envelope_.set_carried(payload.bytes);
  }

 private:
  wire::Envelope& envelope_;
};

void EncodeUpdate(const MemberUpdate& update, wire::Update& encoded) {
  const std::int64_t age_millis = update.age.count() / kMicrosPerMilli;
  encoded.set_name(update.name);
  encoded.set_ip(update.address.ip);
  encoded.set_port(update.address.port);
  encoded.set_zone(update.zone);
  encoded.set_incarnation(update.incarnation);
  encoded.set_state(static_cast<std::uint32_t>(update.state));
  encoded.set_age_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(age_millis, 0)));
  encoded.set_by(update.suspected_by);
  encoded.set_report(update.report_version);
  for (const std::uint64_t server : update.failing_servers) encoded.add_failing(server);
  for (const LeaseClaim& claim : update.lease_claims) {
    wire::Claim& encoded_claim = *encoded.add_duties();
    encoded_claim.set_duty(claim.lease);
    encoded_claim.set_token(claim.token);
  }
}

Check CheckHeader(std::string_view bytes, std::size_t max_bytes) {
  if (bytes.size() > max_bytes) {
    return Failed(DecodeFailure::kOversized, std::to_string(bytes.size()) + " bytes");
  }
  if (bytes.size() < kHeaderBytes || !bytes.starts_with(kMagic)) {
    return Failed(DecodeFailure::kForeign, "no header of the membership protocol");
  }
  const auto version = static_cast<std::uint8_t>(bytes[kMagic.size()]);
  if (version != kProtocolVersion) {
    return Failed(DecodeFailure::kVersion, "version " + std::to_string(version));
  }
  return {};
}

Check CheckEnvelope(const wire::Envelope& envelope, std::string_view fleet) {
  if (envelope.fleet() != fleet) return Failed(DecodeFailure::kForeign, "another fleet");
  if (envelope.kind() > static_cast<std::uint32_t>(WireKind::kPayload)) {
    return Malformed("kind " + std::to_string(envelope.kind()));
  }
  if (!IsName(envelope.from())) return Malformed(std::string("from: ") + kNameRule);
  if (!envelope.target().empty() && !IsName(envelope.target())) {
    return Malformed(std::string("target: ") + kNameRule);
  }
  if (envelope.from_port() > kMaxPort || envelope.target_port() > kMaxPort) {
    return Malformed("sender or target port above 65535");
  }
  if (envelope.digest_size() != 0 && envelope.digest_size() != static_cast<int>(kDigestBuckets)) {
    return Malformed("digest: expected 0 or 64 buckets");
  }
  if (envelope.updates_size() > static_cast<int>(kMaxUpdatesPerMessage)) {
    return Malformed("updates: expected 64 at most");
  }
  if (envelope.carried().size() > kMaxPayloadBytes) return Malformed("payload: expected 1000 bytes at most");
  return {};
}

Check CheckClaims(const wire::Update& update) {
  if (update.duties_size() > static_cast<int>(kMaxLeaseClaims)) {
    return Malformed("update: expected 8 lease claims at most");
  }
  for (const wire::Claim& claim : update.duties()) {
    if (!IsName(claim.duty())) return Malformed(std::string("update: lease: ") + kNameRule);
  }
  return {};
}

Check CheckUpdate(const wire::Update& update) {
  if (!IsName(update.name())) return Malformed(std::string("update: name: ") + kNameRule);
  if (update.port() > kMaxPort) return Malformed("update: port above 65535");
  if (update.state() > static_cast<std::uint32_t>(State::kLeft)) return Malformed("update: state");
  if (update.failing_size() > static_cast<int>(kMaxFailingServers)) {
    return Malformed("update: expected 32 failing servers at most");
  }
  if (Check claims = CheckClaims(update); !claims) return claims;
  for (const std::string* text : {&update.zone(), &update.by()}) {
    if (!text->empty() && !IsName(*text)) {
      return Malformed(std::string("update: zone or suspector: ") + kNameRule);
    }
  }
  if (update.incarnation() > kMaxIncarnation) return Malformed("update: incarnation above 2^62");
  if (update.age_ms() > kMaxAgeMillis) return Malformed("update: age above one year");
  return {};
}

Address DecodeAddress(std::uint32_t address, std::uint32_t port) {
  return {address, static_cast<std::uint16_t>(port)};
}

std::optional<Digest> DecodeDigest(const wire::Envelope& envelope) {
  if (envelope.digest_size() == 0) return std::nullopt;
  Digest digest{};
  std::copy(envelope.digest().begin(), envelope.digest().end(), digest.begin());
  return digest;
}

MessageBody DecodeBody(const wire::Envelope& envelope) {
  const std::uint64_t sequence = envelope.seq();
  switch (static_cast<WireKind>(envelope.kind())) {
    case WireKind::kPing:
      return Ping{sequence, envelope.target()};
    case WireKind::kPingRequest:
      return PingRequest{sequence, envelope.target(),
                         DecodeAddress(envelope.target_ip(), envelope.target_port())};
    case WireKind::kAck:
      return Ack{sequence};
    case WireKind::kNack:
      return Nack{sequence};
    case WireKind::kSync:
      return Sync{DecodeDigest(envelope)};
    case WireKind::kSyncReply:
      return SyncReply{DecodeDigest(envelope), envelope.more()};
    case WireKind::kSyncPush:
      return SyncPush{};
    case WireKind::kPayload:
      break;
  }
  return Payload{envelope.carried()};
}

MemberUpdate DecodeUpdate(const wire::Update& encoded) {
  MemberUpdate update;
  update.name = encoded.name();
  update.address = DecodeAddress(encoded.ip(), encoded.port());
  update.zone = encoded.zone();
  update.incarnation = encoded.incarnation();
  update.state = static_cast<State>(encoded.state());
  update.age = Micros{static_cast<std::int64_t>(encoded.age_ms()) * kMicrosPerMilli};
  update.suspected_by = encoded.by();
  update.report_version = encoded.report();
  update.failing_servers.assign(encoded.failing().begin(), encoded.failing().end());
  for (const wire::Claim& claim : encoded.duties()) {
    update.lease_claims.push_back({claim.duty(), claim.token()});
  }
  return update;
}

}  // namespace

const char* Name(DecodeFailure failure) {
  switch (failure) {
    case DecodeFailure::kOversized:
      return "oversized";
    case DecodeFailure::kForeign:
      return "foreign";
    case DecodeFailure::kVersion:
      return "version";
    case DecodeFailure::kMalformed:
      return "malformed";
  }
  return "?";
}

std::string Encode(const Message& message, std::string_view fleet, std::size_t max_bytes) {
  wire::Envelope envelope;
  envelope.set_fleet(std::string(fleet));
  envelope.set_from(message.from);
  envelope.set_from_ip(message.from_address.ip);
  envelope.set_from_port(message.from_address.port);
  std::visit(BodyEncoder(envelope), message.body);
  for (const MemberUpdate& update : message.updates) EncodeUpdate(update, *envelope.add_updates());
  while (envelope.ByteSizeLong() + kHeaderBytes > max_bytes && envelope.updates_size() > 0) {
    envelope.mutable_updates()->RemoveLast();
  }
  std::string bytes(kMagic);
  bytes.push_back(static_cast<char>(kProtocolVersion));
  envelope.AppendToString(&bytes);
  return bytes;
}

tl::expected<Message, DecodeError> Decode(std::string_view bytes, std::string_view fleet,
                                          std::size_t max_bytes) {
  if (const Check header = CheckHeader(bytes, max_bytes); !header) {
    return tl::make_unexpected(header.error());
  }
  const std::string_view body = bytes.substr(kHeaderBytes);
  wire::Envelope envelope;
  if (!envelope.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
    return Malformed("does not parse as an Envelope");
  }
  if (const Check check = CheckEnvelope(envelope, fleet); !check) {
    return tl::make_unexpected(check.error());
  }
  Message message;
  message.from = envelope.from();
  message.from_address = DecodeAddress(envelope.from_ip(), envelope.from_port());
  message.body = DecodeBody(envelope);
  for (const wire::Update& encoded : envelope.updates()) {
    if (const Check check = CheckUpdate(encoded); !check) return tl::make_unexpected(check.error());
    message.updates.push_back(DecodeUpdate(encoded));
  }
  return message;
}

}  // namespace tinspan::members
