// Fencing tokens and the time unit that all parts of the lease module share.
#pragma once

#include <chrono>
#include <cstdint>

namespace tinspan::lease {

/// Points and spans of a monotonic clock. A clock may run up to LeaseOptions::max_clock_drift faster or
/// slower than true time; it never steps back.
using Micros = std::chrono::microseconds;

/// The number of a ballot, and the fencing token of the grant that the ballot won: every later grant of the
/// same lease has a higher one (Kleppmann, "How to do distributed locking", 2016).
enum class Token : std::uint64_t {};

/// No ballot and no grant.
constexpr Token kNoToken{0};

/// The highest token accepted from anyone: far above the milliseconds of any clock, and far enough below the
/// type's maximum that adding one cannot overflow.
constexpr Token kMaxToken{std::uint64_t{1} << 62};

/// The token as a plain number, for the wire, logs and records.
constexpr std::uint64_t ToNumber(Token token) { return static_cast<std::uint64_t>(token); }

}  // namespace tinspan::lease
