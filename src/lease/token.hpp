// Fencing tokens and the unit of time used throughout the lease module.
#pragma once

#include <chrono>
#include <cstdint>

namespace tinspan::lease {

/// Time points and durations of a monotonic clock, which may run faster or slower than true time by up to
/// LeaseOptions::max_clock_drift but never steps back.
using Micros = std::chrono::microseconds;

/// The number of a ballot, which is also the fencing token of the grant that the ballot won. Every later
/// grant of the same lease has a higher token (Kleppmann, "How to do distributed locking", 2016).
enum class Token : std::uint64_t {};

/// No ballot and no grant.
constexpr Token kNoToken{0};

/// The highest valid token: far above any wall-clock time in milliseconds, and low enough that adding one
/// cannot overflow.
constexpr Token kMaxToken{std::uint64_t{1} << 62};

/// The token as an integer, for the wire, logs and records.
constexpr std::uint64_t ToNumber(Token token) { return static_cast<std::uint64_t>(token); }

}  // namespace tinspan::lease
