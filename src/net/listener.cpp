#include "net/listener.hpp"

#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <utility>

namespace tinspan::net {
namespace {

// Delays before a failed accept is retried; doubled with each failure.
constexpr Micros kMinRetryDelay{5'000};
constexpr Micros kMaxRetryDelay{100'000};
// A closing listener waits at most this long for accept to succeed again.
constexpr Micros kMaxCloseDelay{300'000};
// Maximum consecutive connections that failed in the backlog, before other sinks of the loop get their turn.
constexpr int kMaxConsecutiveFailures = 64;

Fd OpenReserveFd() { return Fd(::open("/dev/null", O_RDONLY | O_CLOEXEC)); }

bool SetOption(const Fd& fd, int option) {
  const int enabled = 1;
  return ::setsockopt(fd.Get(), SOL_SOCKET, option, &enabled, sizeof enabled) == 0;
}

bool BindAndListen(const Fd& fd, const Endpoint& endpoint) {
  const sockaddr_in address = endpoint.Socket();
  if (::bind(fd.Get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return false;
  return ::listen(fd.Get(), SOMAXCONN) == 0;
}

}  // namespace

Listener::Listener(EventLoop& loop, const Endpoint& address, AcceptCallback on_accept, bool shared)
    : loop_(loop),
      on_accept_(std::move(on_accept)),
      fd_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      reserve_fd_(OpenReserveFd()) {
  // SO_REUSEADDR: a restarted process can bind its address while old connections are in TIME_WAIT.
  if (!fd_ || !SetOption(fd_, SO_REUSEADDR) || (shared && !SetOption(fd_, SO_REUSEPORT)) ||
      !BindAndListen(fd_, address)) {
    throw std::system_error(errno, std::generic_category(), "listening at " + address.Text());
  }
  handle_ = loop_.Add(fd_.Get(), EPOLLIN, *this);
}

void Listener::CloseAfterAccepting() {
  OnReady(EPOLLIN);
  const Micros now = Now();
  if (!closing_since_) closing_since_ = now;
  if (retry_timer_ && now - *closing_since_ < kMaxCloseDelay) return;
  Close();
}

void Listener::Close() {
  if (!fd_) return;
  if (retry_timer_) loop_.Timers().Cancel(*retry_timer_);
  retry_timer_.reset();
  loop_.Remove(handle_, fd_.Get());
  fd_.Reset();
}

std::uint16_t Listener::Port() const {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd_.Get(), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

void Listener::OnReady(std::uint32_t) {
  int failures = 0;
  while (fd_) {
    Fd accepted(::accept4(fd_.Get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (accepted) {
      retry_delay_ = kMinRetryDelay;
      on_accept_(std::move(accepted));
      continue;
    }
    const int error = errno;
    if (error == EAGAIN) return;
    if (error == EINTR) continue;
    loop_.SocketErrors().Add(ClassifySocketError(error));
    if (error == EMFILE && RejectOne()) continue;
    // An error of the first connection removes it from the backlog; a local error leaves it there.
    const bool is_local = ClassifySocketError(error) == SocketErrorKind::kLocalTransient;
    if (error == EMFILE || is_local || ++failures >= kMaxConsecutiveFailures) return RetryLater();
  }
}

// Connections that already wait in the backlog cause no further edge, so accept is retried by a timer.
void Listener::RetryLater() {
  if (retry_timer_) return;
  retry_delay_ = std::clamp(2 * retry_delay_, kMinRetryDelay, kMaxRetryDelay);
  retry_timer_ = loop_.Timers().Set(Now() + retry_delay_, [this](Micros) {
    retry_timer_.reset();
    OnReady(EPOLLIN);
  });
}

// Accepts one connection with the reserved descriptor and closes it, so that its client is notified
// immediately. Otherwise it would stay in the backlog, and no further edge would report it. Returns false if
// there was no connection, or no descriptor to accept it with.
bool Listener::RejectOne() {
  if (!reserve_fd_) reserve_fd_ = OpenReserveFd();
  if (!reserve_fd_) return false;
  reserve_fd_.Reset();
  // The accepted socket is closed before the reserve is reopened: both need the same free descriptor.
  const bool accepted = static_cast<bool>(Fd(::accept4(fd_.Get(), nullptr, nullptr, SOCK_CLOEXEC)));
  reserve_fd_ = OpenReserveFd();
  return accepted;
}

}  // namespace tinspan::net
