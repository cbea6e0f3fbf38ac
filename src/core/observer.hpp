// Who is notified of what the core does: the flight recorder.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "core/commands.hpp"
#include "core/events.hpp"
#include "setup/unix_time.hpp"

namespace tinspan::core {

/// A turn in the life of the program.
enum class LifecycleEvent {
  kStarted,
  kSignalReceived,
  kStopping,          // a graceful shutdown has begun
  kStopped,           // all requests were answered
  kShutdownTimedOut,  // it ended with requests open
  kReloaded,
  kReloadRejected,  // the configuration could not be used; the one before holds
  kServing,
};

/// Both clocks of the program at one moment.
struct ClockReading {
  UnixTime wall{};  // may step
  Micros now{0};    // the coordinator's clock, which does not
};

/// Is notified after each round and at each turn. It answers nothing, must not block and must not throw.
class Observer {
 public:
  Observer() = default;
  Observer(const Observer&) = delete;
  Observer& operator=(const Observer&) = delete;
  virtual ~Observer() = default;
  /// Called after RequestCoordinator::Handle and before the commands are carried out. `open_requests`
  /// have no final answer yet.
  virtual void OnRound(ClockReading clocks, std::span<const Event> events, const Commands& commands,
                       std::size_t open_requests) = 0;
  /// `signal` is the signal's number with kSignalReceived, else 0.
  virtual void OnLifecycleEvent(ClockReading clocks, LifecycleEvent event, int signal, std::string_view text,
                                std::size_t open_requests) = 0;
  /// The longest that it may be until the next OnRound.
  virtual Micros MaxWait(Micros now) const = 0;
};

/// What was observed lately, as bytes for who watches from elsewhere (record/recorder.hpp).
class RecordFeed {
 public:
  RecordFeed() = default;
  RecordFeed(const RecordFeed&) = delete;
  RecordFeed& operator=(const RecordFeed&) = delete;
  virtual ~RecordFeed() = default;
  /// Everything since `offset`, which becomes the offset to ask from next. Where that much is not kept any
  /// more (or was never given out): from the oldest that is, with all that is needed to read it.
  virtual std::string Since(std::uint64_t& offset) const = 0;
};

}  // namespace tinspan::core
