#include "lease/codec.hpp"

#include <algorithm>

#include "lease/lease.pb.h"

namespace tinspan::lease {

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

std::optional<Message> Decode(std::string_view bytes, const std::string& from, std::string& refused) {
  const auto no = [&](std::string why) {
    refused = std::move(why);
    return std::nullopt;
  };
  wire::Word word;
  if (!word.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return no("not a word");
  if (word.version() != kVersion) return no("version " + std::to_string(word.version()));
  if (word.kind() > static_cast<std::uint32_t>(Kind::kMark)) return no("kind " + std::to_string(word.kind()));
  if (word.duty().empty() || word.duty().size() > kMostName) return no("duty: a name of 1 to 64 bytes");
  if (word.holder().size() > kMostName) return no("holder: 64 bytes at most");
  if (word.ballot() > Number(kMostToken)) return no("ballot: 2^62 at most");
  if (word.left_us() > 86'400'000'000ull) return no("left_us: a day at most");
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
