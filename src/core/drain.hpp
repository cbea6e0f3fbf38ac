// The rules for draining client connections in standby and during a shutdown: when each connection is closed
// and what happens before. Pure functions: the clock is passed in, and the caller executes the decisions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "tinspan/router.hpp"

namespace tinspan::core {

/// The timetable of one drain. All times are on the caller's clock and in ascending order, except
/// `accept_until`.
struct DrainTimetable {
  /// New connections are accepted until this time.
  Micros accept_until = Micros::max();
  /// From this time on a connection is closed as soon as it is idle.
  Micros close_idle_from{0};
  /// A request that arrives from this time on is rejected immediately without being sent to a server. Without
  /// this, a connection whose client overlaps its requests would never become idle.
  Micros reject_from{0};
  /// At this time every open request gets its final response: a rejection where its class allows one.
  Micros answer_by{0};
  /// At this time every connection without a request in flight is closed, even if its client is still
  /// sending.
  Micros close_by{0};
  /// Whether a request that cannot be rejected fails at `answer_by`. Otherwise it runs to its end.
  bool fails_open_requests = false;
};

/// The timetable of a standby that starts at `now`. After 4 s the operators check that no connection is idle
/// or has an open request that arrived within the last 2 s.
DrainTimetable StandbyTimetable(Micros now);

/// The timetable of a shutdown that starts at `now`. SIGKILL follows 0.7 s after the longest deadline of a
/// class, or after 3.7 s if that is sooner.
DrainTimetable ShutdownTimetable(Micros now, Micros longest_deadline);

/// Combines two timetables by taking the earlier time of each step, for a shutdown during a standby.
DrainTimetable Earliest(const DrainTimetable& first, const DrainTimetable& second);

/// The state of a client connection that a drain decides on.
struct ConnectionActivity {
  Micros opened_at{0};
  Micros last_received_at{0};
  std::size_t in_flight = 0;      // requests without a final response
  std::size_t backlog_bytes = 0;  // response bytes that the socket has not accepted
  // When the socket was last seen to hold response bytes that it could not transmit; empty: never.
  std::optional<Micros> last_unsent_at{};
  bool has_response = false;         // at least one response was written
  bool has_partial_message = false;  // the beginning of a message was received
  bool has_pending_input = false;    // the socket holds unread bytes
  int checks_past_close = 0;         // earlier checks since `close_by`
};

/// Why a connection is closed.
enum class EndReason : std::uint8_t {
  kNone,         // the connection stays open
  kIdle,         // the connection was idle
  kTimedOut,     // no request in flight at `close_by`, but the client was still sending
  kUndelivered,  // no request in flight at `close_by`, but the client was still receiving responses
};

/// Whether to close a connection, and when to check it again at the latest.
struct EndDecision {
  EndReason reason = EndReason::kNone;
  Micros recheck_at = Micros::max();
};

/// Decides whether a connection is closed at `now`.
EndDecision DecideEnd(const DrainTimetable& timetable, const ConnectionActivity& activity, Micros now);

}  // namespace tinspan::core
