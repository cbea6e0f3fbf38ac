#include "core/drain.hpp"

#include <algorithm>

namespace tinspan::core {
namespace {

// Standby. Requests are served for a second, within which most connections come to rest by themselves. What
// is served at last has two seconds for its answer, and the look at 4 s finds nothing younger than 3 s.
constexpr Micros kStandbyServeTime{1'000'000};
constexpr Micros kStandbyAnswerTime{3'000'000};
constexpr Micros kStandbyCloseTime{3'400'000};

// Shutdown. The operators: "the longest deadline, taken as 3 s where it is longer, plus 0.7 s".
constexpr Micros kMaxDeadlineBeforeKill{3'000'000};
constexpr Micros kKillMargin{700'000};
constexpr Micros kAcceptTime{700'000};
// Before SIGKILL: for the last answers to be written, and for the clients to read them and close.
constexpr Micros kLastWriteTime{150'000};
constexpr Micros kLastCloseTime{100'000};
// What was on its way when accepting ended is served, also a request that comes in pieces; then connections
// whose clients overlap their requests are brought to rest.
constexpr Micros kLateServeTime{600'000};
// Between the end of accepting and the last answers, so that what came last can be served.
constexpr Micros kMinServeTime{100'000};

// A new client is given the moment in which its first request comes, one that is writing the time for the
// rest: closed before it, the request would cross the close.
constexpr Micros kNewClientTime{50'000};
constexpr Micros kPartialMessageTime{300'000};
// Input that is seen but not read yet comes in the next round; this is asked again then.
constexpr Micros kPendingInputTime{1'000};
// After `close_by` what has arrived (while the process was stopped, say) is still read, in so many rounds:
// all that a client may have in flight. Who writes on is not waited for.
constexpr int kMaxLooksPastClose = 32;

Micros RestsAt(const ConnectionActivity& activity, Micros now) {
  if (activity.has_partial_message) return activity.last_received_at + kPartialMessageTime;
  if (activity.has_response) return now;
  return std::max(activity.opened_at, activity.last_received_at) + kNewClientTime;
}

}  // namespace

DrainTimetable StandbyTimetable(Micros now) {
  DrainTimetable timetable;
  timetable.rest_from = now;
  timetable.reject_from = now + kStandbyServeTime;
  timetable.answer_by = now + kStandbyAnswerTime;
  timetable.close_by = now + kStandbyCloseTime;
  return timetable;
}

DrainTimetable ShutdownTimetable(Micros now, Micros longest_deadline) {
  const Micros killed_at = now + std::min(longest_deadline, kMaxDeadlineBeforeKill) + kKillMargin;
  DrainTimetable timetable;
  timetable.answer_by = killed_at - kLastWriteTime;
  timetable.close_by = killed_at - kLastCloseTime;
  timetable.accept_until = std::min(now + kAcceptTime, timetable.answer_by - kMinServeTime);
  timetable.rest_from = timetable.accept_until;
  const Micros answer_time = timetable.answer_by - timetable.accept_until;
  timetable.reject_from = timetable.accept_until + std::min(kLateServeTime, answer_time / 2);
  timetable.fails_open_requests = true;
  return timetable;
}

DrainTimetable Earliest(const DrainTimetable& first, const DrainTimetable& second) {
  return {.accept_until = std::min(first.accept_until, second.accept_until),
          .rest_from = std::min(first.rest_from, second.rest_from),
          .reject_from = std::min(first.reject_from, second.reject_from),
          .answer_by = std::min(first.answer_by, second.answer_by),
          .close_by = std::min(first.close_by, second.close_by),
          .fails_open_requests = first.fails_open_requests || second.fails_open_requests};
}

EndDecision DecideEnd(const DrainTimetable& timetable, const ConnectionActivity& activity, Micros now) {
  if (now < timetable.rest_from) return {.ask_again_at = timetable.rest_from};
  // Its answer, or the client that takes it, brings the next look.
  if (activity.in_flight > 0 || activity.backlog_bytes > 0) return {};
  if (now >= timetable.close_by) {
    const bool is_read_on = activity.has_pending_input && activity.looks_past_close < kMaxLooksPastClose;
    if (is_read_on) return {.ask_again_at = now + kPendingInputTime};
    const bool is_busy = activity.has_partial_message || activity.has_pending_input;
    return {.reason = is_busy ? EndReason::kTimeUp : EndReason::kRested};
  }
  const Micros rests_at = RestsAt(activity, now);
  if (now < rests_at) return {.ask_again_at = std::min(rests_at, timetable.close_by)};
  if (activity.has_pending_input) return {.ask_again_at = now + kPendingInputTime};
  return {.reason = EndReason::kRested};
}

}  // namespace tinspan::core
