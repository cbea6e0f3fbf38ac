#include "members/codec.hpp"

#include "members/members.pb.h"

namespace tinspan::members {
namespace {

constexpr char kHeader[3] = {'T', 'S', 'M'};

Decoded Refused(Refusal refusal, std::string detail) {
  Decoded out;
  out.refusal = refusal;
  out.detail = std::move(detail);
  return out;
}

constexpr const char* kNames = "1 to 64 letters, digits, '-', '_' or '.'";

}  // namespace

const char* Name(Refusal refusal) {
  switch (refusal) {
    case Refusal::kNone:
      return "none";
    case Refusal::kOversized:
      return "oversized";
    case Refusal::kForeign:
      return "foreign";
    case Refusal::kVersion:
      return "version";
    case Refusal::kMalformed:
      return "malformed";
  }
  return "?";
}

std::string Encode(const Message& message, std::string_view fleet, std::size_t most) {
  wire::Envelope envelope;
  envelope.set_fleet(std::string(fleet));
  envelope.set_kind(static_cast<std::uint32_t>(message.kind));
  envelope.set_from(message.from);
  envelope.set_from_ip(message.from_address.ip);
  envelope.set_from_port(message.from_address.port);
  envelope.set_seq(message.seq);
  envelope.set_target(message.target);
  envelope.set_target_ip(message.target_address.ip);
  envelope.set_target_port(message.target_address.port);
  envelope.set_more(message.more);
  envelope.set_carried(message.carried);
  if (message.digest) {
    for (const std::uint64_t bucket : *message.digest) envelope.add_digest(bucket);
  }
  for (const Update& update : message.updates) {
    wire::Update& one = *envelope.add_updates();
    one.set_name(update.name);
    one.set_ip(update.address.ip);
    one.set_port(update.address.port);
    one.set_zone(update.zone);
    one.set_incarnation(update.incarnation);
    one.set_state(static_cast<std::uint32_t>(update.state));
    one.set_age_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(update.age.count() / 1000, 0)));
    one.set_by(update.by);
    one.set_report(update.report);
    for (const std::uint64_t server : update.failing) one.add_failing(server);
    for (const Claim& claim : update.duties) {
      wire::Claim& said = *one.add_duties();
      said.set_duty(claim.duty);
      said.set_token(claim.token);
    }
  }
  // Too large: updates from the end stay out; they are said again in later datagrams.
  while (envelope.ByteSizeLong() + sizeof kHeader + 1 > most && envelope.updates_size() > 0) {
    envelope.mutable_updates()->RemoveLast();
  }
  std::string out(kHeader, sizeof kHeader);
  out.push_back(static_cast<char>(kVersion));
  envelope.AppendToString(&out);
  return out;
}

Decoded Decode(std::string_view bytes, std::string_view fleet, std::size_t most) {
  if (bytes.size() > most) return Refused(Refusal::kOversized, std::to_string(bytes.size()) + " bytes");
  if (bytes.size() < sizeof kHeader + 1 || bytes.substr(0, sizeof kHeader) != std::string_view(kHeader, 3)) {
    return Refused(Refusal::kForeign, "no header of the fleet view");
  }
  if (static_cast<std::uint8_t>(bytes[3]) != kVersion) {
    return Refused(Refusal::kVersion, "version " + std::to_string(static_cast<std::uint8_t>(bytes[3])));
  }
  wire::Envelope envelope;
  if (!envelope.ParseFromArray(bytes.data() + 4, static_cast<int>(bytes.size() - 4))) {
    return Refused(Refusal::kMalformed, "not an envelope");
  }
  if (envelope.fleet() != fleet) return Refused(Refusal::kForeign, "another fleet");
  if (envelope.kind() > static_cast<std::uint32_t>(Kind::kCarried)) {
    return Refused(Refusal::kMalformed, "kind " + std::to_string(envelope.kind()));
  }
  if (!IsName(envelope.from())) return Refused(Refusal::kMalformed, std::string("from: ") + kNames);
  if (!envelope.target().empty() && !IsName(envelope.target()))
    return Refused(Refusal::kMalformed, std::string("target: ") + kNames);
  if (envelope.from_port() > 65535 || envelope.target_port() > 65535) {
    return Refused(Refusal::kMalformed, "a port above 65535");
  }
  if (envelope.digest_size() != 0 && envelope.digest_size() != static_cast<int>(kBuckets)) {
    return Refused(Refusal::kMalformed, "digest: 0 or 64 buckets");
  }
  if (envelope.updates_size() > static_cast<int>(kMostUpdates))
    return Refused(Refusal::kMalformed, "updates: 64 at most");
  if (envelope.carried().size() > kMostCarried)
    return Refused(Refusal::kMalformed, "carried: 1000 bytes at most");
  Message message;
  message.kind = static_cast<Kind>(envelope.kind());
  message.from = envelope.from();
  message.from_address = {envelope.from_ip(), static_cast<std::uint16_t>(envelope.from_port())};
  message.seq = envelope.seq();
  message.target = envelope.target();
  message.target_address = {envelope.target_ip(), static_cast<std::uint16_t>(envelope.target_port())};
  message.more = envelope.more();
  message.carried = envelope.carried();
  if (envelope.digest_size() == static_cast<int>(kBuckets)) {
    Digest digest{};
    for (std::size_t b = 0; b < kBuckets; ++b) digest[b] = envelope.digest(static_cast<int>(b));
    message.digest = digest;
  }
  for (const wire::Update& one : envelope.updates()) {
    if (!IsName(one.name())) return Refused(Refusal::kMalformed, std::string("update: name: ") + kNames);
    if (one.port() > 65535) return Refused(Refusal::kMalformed, "update: a port above 65535");
    if (one.state() > static_cast<std::uint32_t>(State::kLeft))
      return Refused(Refusal::kMalformed, "update: state");
    if (one.failing_size() > static_cast<int>(kMostFailing))
      return Refused(Refusal::kMalformed, "update: 32 servers at most");
    if (one.duties_size() > static_cast<int>(kMostDuties))
      return Refused(Refusal::kMalformed, "update: 8 duties at most");
    for (const wire::Claim& claim : one.duties()) {
      if (!IsName(claim.duty())) return Refused(Refusal::kMalformed, std::string("update: duty: ") + kNames);
    }
    for (const std::string* text : {&one.zone(), &one.by()}) {
      if (!text->empty() && !IsName(*text))
        return Refused(Refusal::kMalformed, std::string("update: zone or accuser: ") + kNames);
    }
    // Far above any clock: one more of it, said in refutation, must not run over to 0.
    if (one.incarnation() > kMostIncarnation)
      return Refused(Refusal::kMalformed, "update: an incarnation above 2^62");
    if (one.age_ms() > 365ull * 86'400'000) return Refused(Refusal::kMalformed, "update: an age over a year");
    Update update;
    update.name = one.name();
    update.address = {one.ip(), static_cast<std::uint16_t>(one.port())};
    update.zone = one.zone();
    update.incarnation = one.incarnation();
    update.state = static_cast<State>(one.state());
    update.age = Micros{static_cast<std::int64_t>(one.age_ms()) * 1000};
    update.by = one.by();
    update.report = one.report();
    update.failing.assign(one.failing().begin(), one.failing().end());
    for (const wire::Claim& claim : one.duties()) update.duties.push_back({claim.duty(), claim.token()});
    message.updates.push_back(std::move(update));
  }
  Decoded out;
  out.message = std::move(message);
  return out;
}

}  // namespace tinspan::members
