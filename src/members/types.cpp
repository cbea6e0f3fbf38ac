#include "members/types.hpp"

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace tinspan::members {
namespace {

// Estimated encoded sizes of the parts of an update.
constexpr std::size_t kFixedUpdateBytes = 24;
constexpr std::size_t kFailingServerBytes = 9;
constexpr std::size_t kLeaseClaimBytes = 24;

bool IsNameCharacter(char character) {
  return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || character == '-' || character == '_' || character == '.';
}

}  // namespace

const char* Name(State state) {
  switch (state) {
    case State::kAlive:
      return "alive";
    case State::kSuspect:
      return "suspect";
    case State::kDead:
      return "dead";
    case State::kLeft:
      return "left";
  }
  return "?";
}

bool IsDeparted(State state) { return state == State::kDead || state == State::kLeft; }

int Precedence(State state) {
  if (IsDeparted(state)) return 2;
  return state == State::kSuspect ? 1 : 0;
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength && std::ranges::all_of(text, IsNameCharacter);
}

std::size_t EstimatedSize(const MemberUpdate& update) {
  return kFixedUpdateBytes + update.name.size() + update.zone.size() + update.suspected_by.size() +
         (kFailingServerBytes * update.failing_servers.size()) +
         (kLeaseClaimBytes * update.lease_claims.size());
}

}  // namespace tinspan::members
