// The messages that distribute operators' purges through the fleet, one type for each kind.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "lease/token.hpp"

namespace tinspan::lease {

/// The length limit of a purge's id.
constexpr std::size_t kMaxPurgeIdBytes = 96;

/// An operator's purge of a group of objects or of one object in it.
struct Purge {
  std::string id;  // ORIGIN/NUMBER, at most kMaxPurgeIdBytes; unique in the fleet
  std::uint64_t group = 0;
  std::optional<std::uint64_t> object;  // none: the whole group
  Micros age{0};                        // time since it was submitted; wall clocks may differ between members
};

/// Origin to holder: asks it to distribute the purge.
struct HandOverPurge {
  Purge purge;
};

/// Holder to origin: the purge is being distributed.
struct HandOverAccepted {
  Token token = kNoToken;  // the holder's
  std::string purge_id;
};

/// Holder to member: asks it to apply the purge.
struct ApplyPurge {
  Token token = kNoToken;  // the holder's
  Purge purge;
};

/// Member to holder: the purge is applied.
struct PurgeApplied {
  Token token = kNoToken;  // the holder's
  std::string purge_id;
};

/// Member to holder: the holder's token is stale, nothing was applied.
struct TokenSuperseded {
  Token newer_token = kNoToken;
  std::string purge_id;
};

using PurgeMessageBody =
    std::variant<HandOverPurge, HandOverAccepted, ApplyPurge, PurgeApplied, TokenSuperseded>;

struct PurgeMessage {
  std::string sender;  // a member's name
  PurgeMessageBody body;
};

/// A message and the member it is to be sent to.
struct OutboundPurgeMessage {
  std::string recipient;
  PurgeMessage message;
};

}  // namespace tinspan::lease
