#include "net/listener.hpp"

#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <cerrno>
#include <system_error>

namespace tinspan::net {
namespace {
Fd Reserve() { return Fd(::open("/dev/null", O_RDONLY | O_CLOEXEC)); }
}  // namespace

Listener::Listener(EventLoop& loop, const Endpoint& at, Taker taker, bool shared)
    : loop_(loop), taker_(std::move(taker)), reserve_(Reserve()) {
  fd_ = Fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int one = 1;
  const sockaddr_in address = at.Socket();
  // SO_REUSEADDR: a doorman that comes back takes its address while old connections still linger.
  if (!fd_ || ::setsockopt(fd_.Get(), SOL_SOCKET, SO_REUSEADDR, &one, sizeof one) != 0 ||
      (shared && ::setsockopt(fd_.Get(), SOL_SOCKET, SO_REUSEPORT, &one, sizeof one) != 0) ||
      ::bind(fd_.Get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd_.Get(), SOMAXCONN) != 0) {
    throw std::system_error(errno, std::generic_category(), "listening at " + at.Text());
  }
  handle_ = loop_.Add(fd_.Get(), EPOLLIN, *this);
}

void Listener::CloseTakingAll() {
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
      taker_(std::move(accepted));
    } else if (errno == EMFILE || errno == ENFILE) {
      // Left alone, the connection would wait in the backlog and no edge would ever tell of it again. With
      // the reserve it is taken and closed, so that the client learns of it at once.
      if (!reserve_) reserve_ = Reserve();
      if (!reserve_) return;
      reserve_.Reset();
      // Closed before the reserve is taken back: both need the one descriptor.
      const bool none = !Fd(::accept4(fd_.Get(), nullptr, nullptr, SOCK_CLOEXEC));
      reserve_ = Reserve();
      if (none) return;
    } else if (errno != EINTR && errno != ECONNABORTED) {
      return;
    }
  }
}

}  // namespace tinspan::net
