// Interfaces of the flight recorder: the observer of the core, and the feed of its records.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "core/commands.hpp"
#include "core/events.hpp"
#include "setup/unix_time.hpp"

namespace tinspan::core {

/// A change of the program's lifecycle state.
enum class LifecycleEvent {
  kStarted,
  kSignalReceived,
  kStopping,          // a graceful shutdown has begun
  kStopped,           // exited with all requests answered
  kShutdownTimedOut,  // exited with requests open
  kReloaded,
  kReloadRejected,  // the new configuration was invalid; the previous one stays in effect
  kServing,
};

/// The program's two clocks, read at the same time.
struct ClockReading {
  UnixTime wall{};  // wall clock, may step
  Micros now{0};    // the coordinator's monotonic clock
};

/// Notified after each round and of each lifecycle event. Implementations must not block or throw.
class Observer {
 public:
  Observer() = default;
  Observer(const Observer&) = delete;
  Observer& operator=(const Observer&) = delete;
  virtual ~Observer() = default;
  /// Called after RequestCoordinator::Handle and before the commands are executed. `open_requests`: the
  /// number of requests without a final response.
  virtual void OnRound(ClockReading clocks, std::span<const Event> events, const Commands& commands,
                       std::size_t open_requests) = 0;
  /// `signal`: the signal's number for kSignalReceived, otherwise 0.
  virtual void OnLifecycleEvent(ClockReading clocks, LifecycleEvent event, int signal, std::string_view text,
                                std::size_t open_requests) = 0;
  /// The longest allowed time from `now` until the next OnRound.
  virtual Micros MaxWait(Micros now) const = 0;
};

/// Recently recorded bytes, for remote consumers (record/recorder.hpp).
class RecordFeed {
 public:
  RecordFeed() = default;
  RecordFeed(const RecordFeed&) = delete;
  RecordFeed& operator=(const RecordFeed&) = delete;
  virtual ~RecordFeed() = default;
  /// Returns all bytes from `offset` on and sets `offset` to the position for the next call. If that range is
  /// no longer retained, or was never handed out, the result starts at the oldest retained record and
  /// includes all that is needed to decode it.
  virtual std::string Since(std::uint64_t& offset) const = 0;
};

}  // namespace tinspan::core
