// The program's loop, the same for either front: gather what is ready, hand it to the core in one go, carry
// out what came back.
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

// SIGTERM, SIGINT and SIGHUP as events of the loop. Made before the program says that it serves: a signal
// sent on that word must not meet the default action, which ends the process. Throws std::system_error.
class Signals final : public net::EventLoop::Sink {
 public:
  explicit Signals(net::EventLoop& loop);
  ~Signals();
  Signals(const Signals&) = delete;
  Signals& operator=(const Signals&) = delete;
  void OnReady(std::uint32_t events) override;
  bool stop = false;
  bool reload = false;
  int last = 0;  // the number of the signal that came last

 private:
  net::EventLoop& loop_;
  net::Fd fd_;
  net::EventLoop::Handle handle_ = 0;
};

class Front {
 public:
  virtual ~Front() = default;
  virtual void Carry(net::Micros now, const core::Command& command) = 0;
  // Once a round, after all commands: slices handed out in it end here.
  virtual void EndRound(net::Micros now) = 0;
  // The stop has begun: go on accepting until `accept_until`, then close what is idle.
  virtual void Drain(net::Micros accept_until) = 0;
  virtual bool Reload() { return true; }  // SIGHUP; false: what holds stays as it was, and the log says why
  virtual bool Drained() const = 0;       // nothing taken is left unanswered or unwritten
};

// Parts that run beside a front (the fleet view, leases): what the operators' door shows of them, their
// figures in `stats`, and what they are told by the front. Each may be empty.
struct AttachedServices {
  ops::Views views;
  std::function<void(ops::Figures&)> figures;
  std::function<void()> on_drain;                           // SIGTERM came
  std::function<void(std::vector<std::uint64_t>)> failing;  // servers seen fail lately, once a second
  std::function<void(const core::PurgeReceived&)> purged;   // an operator's purge was taken here
};

struct StopTimes {
  net::Micros accept{700'000};    // how long clients may still come after SIGTERM
  net::Micros most{6'600'000};    // after which the program ends whatever is left
  net::Micros killed{3'700'000};  // after which SIGKILL may come
};

// Runs until SIGTERM or SIGINT and what was taken is finished. `events` is where the front's parts put what
// they gather; `observer` may be none.
void Run(net::EventLoop& loop, Signals& signals, core::RequestCoordinator& coordinator, Front& front,
         std::vector<core::Event>& events, StopTimes times, core::Observer* observer);

}  // namespace tinspan::front
