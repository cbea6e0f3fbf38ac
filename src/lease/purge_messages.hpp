// The messages that distribute operators' purges through the fleet, one type per kind. The submitter is
// the member at which an operator submitted the purge.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "lease/token.hpp"

namespace tinspan::lease {

/// The maximum length of a purge id.
constexpr std::size_t kMaxPurgeIdBytes = 96;

/// An operator's purge of a group of objects or of one object in it.
struct Purge {
  std::string id;  // SUBMITTER/NUMBER, at most kMaxPurgeIdBytes; unique in the fleet
  std::uint64_t group = 0;
  std::optional<std::uint64_t> object;  // if unset, the whole group is purged
  Micros age{0};  // time since it was submitted; not a wall-clock time, because members' clocks may differ
};

/// Submitter to holder: asks it to distribute the purge.
struct HandOverPurge {
  Purge purge;
};

/// Holder to submitter: the purge is being distributed.
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

/// Member to holder: the holder's token is stale, and the purge was not applied.
struct TokenSuperseded {
  Token newer_token = kNoToken;
  std::string purge_id;
};

using PurgeMessageBody =
    std::variant<HandOverPurge, HandOverAccepted, ApplyPurge, PurgeApplied, TokenSuperseded>;

/// A message about a purge.
struct PurgeMessage {
  std::string sender;  // name of the sending member
  PurgeMessageBody body;
};

/// A message and its recipient's member name.
struct OutboundPurgeMessage {
  std::string recipient;
  PurgeMessage message;
};

}  // namespace tinspan::lease
