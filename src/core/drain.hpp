// The rule by which an instance lets its clients go (standby, shutdown): by when each connection has ended
// and what is done before. Pure: the clock is passed in, and the caller carries out what is decided here.
#pragma once

#include <cstddef>
#include <cstdint>

#include "tinspan/router.hpp"

namespace tinspan::core {

/// The timetable of one drain; all are points of the caller's clock, in this order but for `accept_until`.
struct DrainTimetable {
  /// New connections are accepted until then.
  Micros accept_until = Micros::max();
  /// A connection is ended from here on as soon as it rests.
  Micros rest_from{0};
  /// A request that arrives from here on is rejected at once, unsent: a connection whose client overlaps its
  /// requests comes to rest by this alone.
  Micros reject_from{0};
  /// A request that is open then gets its answer: a rejection where its class allows one.
  Micros answer_by{0};
  /// Every connection without a request in flight ends then, also one that is being written to.
  Micros close_by{0};
  /// Whether a request that cannot be rejected fails at `answer_by`. Else it is finished.
  bool fails_open_requests = false;
};

/// Standby, called at `now`: the operators look after 4 s and allow no connection that is idle or carries a
/// request of the last 2 s.
DrainTimetable StandbyTimetable(Micros now);

/// Shutdown, begun at `now`: SIGKILL comes 0.7 s after the longest deadline of a class, or after 3.7 s if
/// that is sooner.
DrainTimetable ShutdownTimetable(Micros now, Micros longest_deadline);

/// The earlier end of each step: a shutdown during a standby.
DrainTimetable Earliest(const DrainTimetable& first, const DrainTimetable& second);

/// What a drain has to know of a client's connection.
struct ConnectionActivity {
  Micros opened_at{0};
  Micros last_received_at{0};
  std::size_t in_flight = 0;         // requests without their answer
  std::size_t backlog_bytes = 0;     // of answers that the client has yet to take
  bool has_response = false;         // some answer was written to it
  bool has_partial_message = false;  // the front of a message has come, the rest has not
  bool has_pending_input = false;    // bytes wait in the socket that were not read yet
  int looks_past_close = 0;          // how often it was looked at since `close_by`, this time not counted
};

enum class EndReason : std::uint8_t {
  kNone,    // the connection stays
  kRested,  // nothing was open on it
  kTimeUp,  // nothing was in flight at `close_by`, but its client was writing
};

/// What to do with a connection, and when to ask again at the latest.
struct EndDecision {
  EndReason reason = EndReason::kNone;
  Micros ask_again_at = Micros::max();
};

/// Whether a connection is to be ended now.
EndDecision DecideEnd(const DrainTimetable& timetable, const ConnectionActivity& activity, Micros now);

}  // namespace tinspan::core
