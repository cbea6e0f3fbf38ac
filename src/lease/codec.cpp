#include "lease/codec.hpp"

#include <algorithm>

#include "lease/lease.pb.h"
#include "members/types.hpp"

namespace tinspan::lease {
namespace {

constexpr std::uint32_t kFirstFan = 16;
constexpr std::uint64_t kMostSpan = 86'400'000'000;  // a day

}  // namespace

std::string Encode(const Message& message) {
  wire::Word word;
  word.set_version(kVersion);
  word.set_kind(static_cast<std::uint32_t>(message.kind));
  word.set_duty(message.duty);
  word.set_ballot(Number(message.ballot));
  word.set_seq(message.seq);
  word.set_holder(message.holder);
  word.set_left_us(static_cast<std::uint64_t>(std::max<std::int64_t>(message.left.count(), 0)));
  word.set_serving(message.serving);
  return word.SerializeAsString();
}

std::string Encode(const FanMessage& message) {
  wire::Word word;
  word.set_version(kVersion);
  word.set_kind(kFirstFan + static_cast<std::uint32_t>(message.kind));
  word.set_duty(kPurge);
  word.set_ballot(Number(message.token));
  word.set_job(message.job.id);
  word.set_group(message.job.group);
  if (message.job.object) word.set_object(*message.job.object);
  word.set_age_us(static_cast<std::uint64_t>(std::max<std::int64_t>(message.job.age.count(), 0)));
  return word.SerializeAsString();
}

std::optional<AnyMessage> Decode(std::string_view bytes, const std::string& from, std::string& refused) {
  const auto no = [&](std::string why) {
    refused = std::move(why);
    return std::nullopt;
  };
  wire::Word word;
  if (!word.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return no("not a word");
  if (word.version() != kVersion) return no("version " + std::to_string(word.version()));
  const bool fan = word.kind() >= kFirstFan;
  const std::uint32_t last =
      fan ? kFirstFan + static_cast<std::uint32_t>(FanKind::kOlder) : static_cast<std::uint32_t>(Kind::kMark);
  if (word.kind() > last) return no("kind " + std::to_string(word.kind()));
  if (!members::IsName(word.duty())) return no("duty: 1 to 64 letters, digits, '-', '_' or '.'");
  if (!word.holder().empty() && !members::IsName(word.holder()))
    return no("holder: 1 to 64 letters, digits, '-', '_' or '.'");
  if (word.ballot() > Number(kMostToken)) return no("ballot: 2^62 at most");
  if (fan) {
    const std::size_t slash = word.job().find('/');
    const std::string_view id(word.job());
    if (id.size() > Fanout::kMostJobId || slash == std::string::npos ||
        !members::IsName(id.substr(0, slash)) || !members::IsName(id.substr(slash + 1))) {
      return no("job: an id ORIGIN/NUMBER of 96 bytes at most");
    }
    if (word.age_us() > kMostSpan) return no("age_us: a day at most");
    FanMessage message;
    message.kind = static_cast<FanKind>(word.kind() - kFirstFan);
    message.from = from;
    message.token = Token{word.ballot()};
    message.job = {word.job(), word.group(), std::nullopt, Micros{static_cast<std::int64_t>(word.age_us())}};
    if (word.has_object()) message.job.object = word.object();
    return message;
  }
  if (word.left_us() > kMostSpan) return no("left_us: a day at most");
  Message message;
  message.kind = static_cast<Kind>(word.kind());
  message.duty = word.duty();
  message.from = from;
  message.ballot = Token{word.ballot()};
  message.seq = word.seq();
  message.holder = word.holder();
  message.left = Micros{static_cast<std::int64_t>(word.left_us())};
  message.serving = word.serving();
  return message;
}

}  // namespace tinspan::lease
