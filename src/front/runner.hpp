// The program's event loop, the same for either front.
#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "core/observer.hpp"
#include "core/request_coordinator.hpp"
#include "net/event_loop.hpp"
#include "net/fd.hpp"
#include "ops/ops.hpp"

namespace tinspan::front {

/// SIGTERM, SIGINT and SIGHUP as events of the loop. Made before the program says that it serves: a signal
/// sent on that word must not meet the default action, which ends the process.
class Signals final : public net::EventLoop::Sink {
 public:
  /// Throws std::system_error.
  explicit Signals(net::EventLoop& loop);
  Signals(const Signals&) = delete;
  Signals& operator=(const Signals&) = delete;
  ~Signals();

  void OnReady(std::uint32_t events) override;

  bool stop_requested = false;
  bool reload_requested = false;
  int last_signal = 0;  // the number of the signal that came last; 0: none since it was read

 private:
  net::EventLoop& loop_;
  net::Fd fd_;
  net::EventLoop::Handle handle_ = 0;
};

/// The wire round a RequestCoordinator: it reports what comes in as events and carries commands out.
class Front {
 public:
  Front() = default;
  Front(const Front&) = delete;
  Front& operator=(const Front&) = delete;
  virtual ~Front() = default;
  virtual void Execute(net::Micros now, const core::Command& command) = 0;
  /// Called once a round, after all commands: slices of buffers handed out in the round end here.
  virtual void EndRound(net::Micros now) = 0;
  /// The longest deadline that a client may count on; SIGKILL follows SIGTERM by it.
  virtual net::Micros LongestDeadline() const = 0;
  /// Begins a graceful shutdown.
  virtual void Drain(const core::DrainTimetable& timetable) = 0;
  /// SIGHUP. False: what holds stays as it was, and the log says why.
  virtual bool Reload() { return true; }
  /// Whether nothing that was accepted is left unanswered or unwritten.
  virtual bool IsDrained() const = 0;
};

/// Services that run beside a front (fleet membership, leases): what the admin listener shows of them, their
/// statistics, and what the front tells them. Each may be empty.
struct AttachedServices {
  ops::Views views;
  std::function<void(ops::Figures&)> add_stats;
  std::function<void()> on_drain;                                      // a graceful shutdown began
  std::function<void(std::vector<std::uint64_t>)> on_failing_servers;  // seen lately, once a second
  std::function<void(const core::PurgeReceived&)> on_purge;            // an operator's, taken here
};

/// Runs rounds of the loop (gather what is ready, hand it to the coordinator in one go, carry out what comes
/// back) until a graceful shutdown is done. `events` is where the front's parts put what they gather.
/// `observer` may be null.
void Run(net::EventLoop& loop, Signals& signals, core::RequestCoordinator& coordinator, Front& front,
         std::vector<core::Event>& events, core::Observer* observer);

}  // namespace tinspan::front
