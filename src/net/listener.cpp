#include "net/listener.hpp"

#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <cerrno>
#include <system_error>
#include <utility>

namespace tinspan::net {
namespace {

Fd OpenReserve() { return Fd(::open("/dev/null", O_RDONLY | O_CLOEXEC)); }

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
      reserve_(OpenReserve()) {
  // SO_REUSEADDR: a process that comes back takes its address while old connections still linger.
  if (!fd_ || !SetOption(fd_, SO_REUSEADDR) || (shared && !SetOption(fd_, SO_REUSEPORT)) ||
      !BindAndListen(fd_, address)) {
    throw std::system_error(errno, std::generic_category(), "listening at " + address.Text());
  }
  handle_ = loop_.Add(fd_.Get(), EPOLLIN, *this);
}

void Listener::CloseAfterAccepting() {
  OnReady(EPOLLIN);
  Close();
}

void Listener::Close() {
  if (!fd_) return;
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
  while (fd_) {
    Fd accepted(::accept4(fd_.Get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (accepted) {
      on_accept_(std::move(accepted));
    } else if (errno == EMFILE || errno == ENFILE) {
      if (!RejectOne()) return;
    } else if (errno != EINTR && errno != ECONNABORTED) {
      return;
    }
  }
}

// Accepts one connection with the reserved descriptor and closes it, so that its client learns of it at once:
// left alone it would wait in the backlog, and no edge would ever tell of it again. False: there was none, or
// no descriptor to do it with.
bool Listener::RejectOne() {
  if (!reserve_) reserve_ = OpenReserve();
  if (!reserve_) return false;
  reserve_.Reset();
  // Closed before the reserve is taken back: both need the one descriptor.
  const bool accepted = static_cast<bool>(Fd(::accept4(fd_.Get(), nullptr, nullptr, SOCK_CLOEXEC)));
  reserve_ = OpenReserve();
  return accepted;
}

}  // namespace tinspan::net
