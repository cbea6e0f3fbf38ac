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
#include "net/heap_trim_policy.hpp"
#include "net/process_memory.hpp"

namespace tinspan::front {
namespace {

using net::Micros;

constexpr Micros kMaxWait{1'000'000};
constexpr Micros kMaxWaitWhileStopping{20'000};
constexpr Micros kHeapCheckInterval{100'000};
// An unfinished shutdown exits 0.1 s before the latest time at which SIGKILL can come, on either reading of
// the operators' rule: deadlines longer than 3 s count in full here, and shorter ones count as 3 s.
constexpr Micros kMinForcedExitDeadline{3'000'000};
constexpr Micros kForcedExitMargin{600'000};

// Runs the loop from the start of the program to the end of a graceful shutdown.
class Runner {
 public:
  Runner(net::EventLoop& loop, Signals& signals, core::RequestCoordinator& coordinator, Front& front,
         std::vector<core::Event>& events, core::Observer* observer)
      : loop_(loop),
        signals_(signals),
        coordinator_(coordinator),
        front_(front),
        events_(events),
        observer_(observer) {}

  void Run() {
    // Handle the events that exist at the start before the first input from clients.
    RunRound();
    while (!IsFinished()) {
      const Micros wait = NextWait();
      loop_.Poll(events_.empty() ? wait : Micros{0});
      RunRound();
    }
  }

 private:
  Micros NextWait() const;
  void RunRound();
  void ReturnFreeMemory();
  void HandleSignals();
  void BeginShutdown();
  bool IsFinished();
  void NotifyObserver(core::LifecycleEvent event, int signal = 0) const;

  net::EventLoop& loop_;
  Signals& signals_;
  core::RequestCoordinator& coordinator_;
  Front& front_;
  std::vector<core::Event>& events_;
  core::Observer* observer_;
  Micros now_{0};  // start of the current round
  std::optional<core::DrainTimetable> shutdown_;
  Micros forced_exit_at_{0};  // during a shutdown: the program exits at this time even with requests open
  core::Commands commands_;
  std::vector<core::Event> batch_;
  net::HeapTrimPolicy heap_trim_policy_;
  Micros next_heap_check_at_{0};
};

Micros Runner::NextWait() const {
  Micros wait = shutdown_ ? kMaxWaitWhileStopping : kMaxWait;
  const Micros now = net::Now();
  for (const auto& next : {coordinator_.NextDeadline(), loop_.Timers().Next()}) {
    if (next) wait = std::min(wait, std::max(*next - now, Micros{0}));
  }
  return observer_ == nullptr ? wait : std::min(wait, observer_->MaxWait(now));
}

void Runner::RunRound() {
  now_ = net::Now();
  loop_.Timers().Run(now_);
  batch_.clear();
  batch_.swap(events_);
  commands_.clear();
  coordinator_.Handle(now_, batch_, commands_);
  if (observer_ != nullptr)
    observer_->OnRound({net::UnixNow(), now_}, batch_, commands_, coordinator_.OpenRequests());
  for (const core::Command& command : commands_) front_.Execute(now_, command);
  front_.EndRound(now_);
  ReturnFreeMemory();
  HandleSignals();
}

void Runner::ReturnFreeMemory() {
  if (now_ < next_heap_check_at_) return;
  next_heap_check_at_ = now_ + kHeapCheckInterval;
  if (!heap_trim_policy_.ShouldTrim(net::ReadProcessMemory())) return;
  net::TrimHeap();
  heap_trim_policy_.OnTrimmed(net::ReadProcessMemory());
}

void Runner::HandleSignals() {
  if (signals_.last_signal != 0) {
    NotifyObserver(core::LifecycleEvent::kSignalReceived, std::exchange(signals_.last_signal, 0));
  }
  if (std::exchange(signals_.reload_requested, false)) {
    const bool reloaded = front_.Reload();
    NotifyObserver(reloaded ? core::LifecycleEvent::kReloaded : core::LifecycleEvent::kReloadRejected);
  }
  if (signals_.stop_requested && !shutdown_) BeginShutdown();
}

void Runner::BeginShutdown() {
  log::Info("stop.begun", {{"open", coordinator_.OpenRequests()}}, "stopping: {} requests open",
            coordinator_.OpenRequests());
  NotifyObserver(core::LifecycleEvent::kStopping);
  const Micros longest_deadline = front_.LongestDeadline();
  shutdown_ = core::ShutdownTimetable(now_, longest_deadline);
  if (coordinator_.Drain()) shutdown_ = core::Earliest(*coordinator_.Drain(), *shutdown_);
  forced_exit_at_ = now_ + std::max(longest_deadline, kMinForcedExitDeadline) + kForcedExitMargin;
  coordinator_.StartDrain(*shutdown_);
  front_.Drain(*shutdown_);
}

bool Runner::IsFinished() {
  if (!shutdown_) return false;
  const bool is_idle = coordinator_.OpenRequests() == 0 && events_.empty() && front_.IsDrained();
  if (now_ >= shutdown_->accept_until && is_idle) {
    log::Info("stop.done", {{"open", 0}}, "stopped, all that was taken is answered");
    NotifyObserver(core::LifecycleEvent::kStopped);
    return true;
  }
  if (now_ >= forced_exit_at_) {
    NotifyObserver(core::LifecycleEvent::kShutdownTimedOut);
    log::Warn("stop.cut", {{"open", coordinator_.OpenRequests()}},
              "graceful shutdown timed out; exiting with {} requests open", coordinator_.OpenRequests());
    return true;
  }
  return false;
}

void Runner::NotifyObserver(core::LifecycleEvent event, int signal) const {
  if (observer_ != nullptr) {
    observer_->OnLifecycleEvent({net::UnixNow(), now_}, event, signal, {}, coordinator_.OpenRequests());
  }
}

}  // namespace

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
  while (true) {
    const ssize_t size = ::read(fd_.Get(), &info, sizeof info);
    if (size < 0 && errno == EINTR) continue;
    if (size != static_cast<ssize_t>(sizeof info)) return;
    (info.ssi_signo == SIGHUP ? reload_requested : stop_requested) = true;
    last_signal = static_cast<int>(info.ssi_signo);
  }
}

void Run(net::EventLoop& loop, Signals& signals, core::RequestCoordinator& coordinator, Front& front,
         std::vector<core::Event>& events, core::Observer* observer) {
  Runner(loop, signals, coordinator, front, events, observer).Run();
}

}  // namespace tinspan::front
