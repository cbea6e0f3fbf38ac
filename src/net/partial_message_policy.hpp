// Decides which partly received messages make room while others wait for memory. Without I/O.
#pragma once

#include <optional>

#include "net/clock.hpp"
#include "net/connection.hpp"

namespace tinspan::net {

/// How long a message may take while others wait for the memory that it holds.
inline constexpr Micros kPartialMessageTimeout{600'000};

/// Whether a connection has held counted memory for longer than that for a message that is incomplete since
/// `partial_since`; empty: none is.
inline bool HoldsMemoryTooLong(const Connection& connection, std::optional<Micros> partial_since,
                               Micros now) {
  if (connection.ReservedReadBytes() == 0 || !partial_since) return false;
  return now - *partial_since >= kPartialMessageTimeout;
}

}  // namespace tinspan::net
