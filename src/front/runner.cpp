#include "front/runner.hpp"

#include <sys/epoll.h>
#include <sys/signalfd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <optional>
#include <system_error>
#include <utility>

#include "log/log.hpp"

namespace tinspan::front {
using net::Micros;

Signals::Signals(net::EventLoop& loop) : loop_(loop) {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGHUP);
  ::sigprocmask(SIG_BLOCK, &set, nullptr);
  fd_ = net::Fd(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
  if (!fd_) throw std::system_error(errno, std::generic_category(), "signalfd");
  handle_ = loop_.Add(fd_.Get(), EPOLLIN, *this);
}
Signals::~Signals() { loop_.Remove(handle_, fd_.Get()); }

void Signals::OnReady(std::uint32_t) {
  signalfd_siginfo info;
  while (::read(fd_.Get(), &info, sizeof info) == sizeof info) {
    (info.ssi_signo == SIGHUP ? reload : stop) = true;
    last = static_cast<int>(info.ssi_signo);
  }
}

void Run(net::EventLoop& loop, Signals& signals, core::RequestCoordinator& coordinator, Front& front,
         std::vector<core::Event>& events, StopTimes times, core::Observer* observer) {
  const auto tell = [&](Micros now, core::LifecycleEvent what, int signal = 0) {
    if (observer != nullptr) observer->OnLifecycleEvent(now, what, signal, {}, coordinator.OpenRequests());
  };
  std::optional<Micros> stopping;
  core::Commands commands;
  std::vector<core::Event> batch;
  bool first = true;  // what was known at the start is handled before any client is heard
  while (true) {
    Micros wait{stopping ? 20'000 : 1'000'000};
    const Micros before = net::Now();
    for (const auto& next : {coordinator.NextDeadline(), loop.Timers().Next()}) {
      if (next) wait = std::min(wait, std::max(*next - before, Micros{0}));
    }
    if (observer != nullptr) wait = std::min(wait, observer->MaxWait(before));
    if (!std::exchange(first, false)) loop.Poll(events.empty() ? wait : Micros{0});
    const Micros now = net::Now();
    loop.Timers().Run(now);
    batch.clear();
    batch.swap(events);
    commands.clear();
    coordinator.Handle(now, batch, commands);
    if (observer != nullptr) observer->OnRound(now, batch, commands, coordinator.OpenRequests());
    for (const core::Command& command : commands) front.Carry(now, command);
    front.EndRound(now);

    if (signals.last != 0) tell(now, core::LifecycleEvent::kSignalReceived, std::exchange(signals.last, 0));
    if (std::exchange(signals.reload, false)) {
      tell(now, front.Reload() ? core::LifecycleEvent::kReloaded : core::LifecycleEvent::kReloadRejected);
    }
    if (signals.stop && !stopping) {
      stopping = now;
      log::Info("stop.begun", {{"open", coordinator.OpenRequests()}}, "stopping: {} requests open",
                coordinator.OpenRequests());
      tell(now, core::LifecycleEvent::kStopping);
      coordinator.SetShutdownDeadline(now + times.killed);
      front.Drain(now + times.accept);
    }
    if (stopping && now - *stopping >= times.accept && coordinator.OpenRequests() == 0 && events.empty() &&
        front.Drained()) {
      log::Info("stop.done", {{"open", 0}}, "stopped, all that was taken is answered");
      tell(now, core::LifecycleEvent::kStopped);
      return;
    }
    if (stopping && now - *stopping >= times.most) {
      tell(now, core::LifecycleEvent::kShutdownTimedOut);
      log::Warn("stop.cut", {{"open", coordinator.OpenRequests()}}, "stopped with {} requests open",
                coordinator.OpenRequests());
      return;
    }
  }
}

}  // namespace tinspan::front
