// Who looks on while the core works: it is told each round and each turn in the program's life, and answers
// nothing. It must not block and must not throw.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "core/request_coordinator.hpp"

namespace tinspan::core {

enum class LifecycleEvent {
  kStarted,
  kSignalReceived,
  kStopping,
  kStopped,
  kShutdownTimedOut,
  kReloaded,
  kReloadRejected,
  kServing
};

class Observer {
 public:
  virtual ~Observer() = default;
  // After RequestCoordinator::Handle, and before the commands are carried out. `now`: the wall clock.
  virtual void OnRound(Micros now, std::span<const Event> events, const Commands& commands,
                       std::size_t open) = 0;
  // `signal`: its number with kSignalled; `open`: requests without their final answer.
  virtual void OnLifecycleEvent(Micros now, LifecycleEvent event, int signal, std::string_view text,
                                std::size_t open) = 0;
  // The longest that it may be until the next OnRound.
  virtual Micros MaxWait(Micros now) const = 0;
};

// What has been observed lately, as bytes for whoever looks on from afar (record/recorder.hpp).
class RecordFeed {
 public:
  virtual ~RecordFeed() = default;
  // All since `offset`, which becomes the offset to ask from next; where that much is not kept any more (or
  // it was never given out), from the oldest that is, and with all that is needed to read it.
  virtual std::string Since(std::uint64_t& offset) const = 0;
};

}  // namespace tinspan::core
