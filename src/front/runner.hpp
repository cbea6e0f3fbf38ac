// The program's main loop, common to both fronts, and their interface.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "core/observer.hpp"
#include "core/request_coordinator.hpp"
#include "net/event_loop.hpp"
#include "net/fd.hpp"
#include "ops/ops.hpp"

namespace tinspan::front {

/// Receives SIGTERM, SIGINT and SIGHUP as events of the loop. Must be constructed before the program reports
/// that it is serving: a signal sent in response to that report would otherwise have its default action,
/// which ends the process.
class Signals final : public net::EventLoop::Sink {
 public:
  /// Throws std::system_error if signalfd or the registration fails.
  explicit Signals(net::EventLoop& loop);
  Signals(const Signals&) = delete;
  Signals& operator=(const Signals&) = delete;
  ~Signals();

  void OnReady(std::uint32_t events) override;

  bool stop_requested = false;
  bool reload_requested = false;
  int last_signal = 0;  // number of the last signal; 0: none since the last reset

 private:
  net::EventLoop& loop_;
  net::Fd fd_;
  net::EventLoop::Handle handle_ = 0;
};

/// The I/O side of a RequestCoordinator: reports input as events and executes commands.
class Front {
 public:
  Front() = default;
  Front(const Front&) = delete;
  Front& operator=(const Front&) = delete;
  virtual ~Front() = default;
  /// Executes one command.
  virtual void Execute(net::Micros now, const core::Command& command) = 0;
  /// Called once per round after all commands. Views of buffers handed out during the round end here.
  virtual void EndRound(net::Micros now) = 0;
  /// The longest deadline of a request; the time between SIGTERM and SIGKILL depends on it.
  virtual net::Micros LongestDeadline() const = 0;
  /// Starts a graceful shutdown.
  virtual void Drain(const core::DrainTimetable& timetable) = 0;
  /// Reloads the configuration on SIGHUP. Returns false if it is invalid: the current one stays in effect,
  /// and the log has the reason.
  virtual bool Reload() { return true; }
  /// Whether all accepted requests are answered and all responses are written.
  virtual bool IsDrained() const = 0;
};

/// Hooks of the services attached to a front (fleet membership, leases): their admin views, their statistics,
/// and the notifications that they get from the front. Each may be empty.
struct AttachedServices {
  ops::AdminViews views;
  std::function<void(ops::Statistics&)> add_stats;
  /// Called at the start of a graceful shutdown.
  std::function<void()> on_drain;
  /// Called once per second with the servers that failed recently.
  std::function<void(std::vector<std::uint64_t>)> on_failing_servers;
  /// Called for a purge that an operator sends to this instance, before it is applied here. Returns nullopt
  /// if it will reach every instance, and otherwise after which time the operator may try again: the purge is
  /// then rejected.
  std::function<std::optional<net::Micros>(const core::PurgeReceived&)> on_purge;
};

/// Runs rounds of the loop until a graceful shutdown has ended: collect ready input, pass it to the
/// coordinator as one batch of events, execute the resulting commands. The front adds its events to `events`.
/// `observer` may be null.
void Run(net::EventLoop& loop, Signals& signals, core::RequestCoordinator& coordinator, Front& front,
         std::vector<core::Event>& events, core::Observer* observer);

}  // namespace tinspan::front
