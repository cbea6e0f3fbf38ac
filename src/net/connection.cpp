#include "net/connection.hpp"

#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace tinspan::net {
namespace {
constexpr std::size_t kFirstBuffer = 4096;
constexpr std::size_t kReadRound =
    1 << 20;  // read from one connection in a round, so that none starves others
constexpr std::size_t kKeptBuffer = 64 << 10;  // an empty buffer larger than this gives its memory back
}  // namespace

Connection::Connection(EventLoop& loop, Fd accepted, Owner& owner, Limits limits)
    : loop_(loop), owner_(owner), limits_(limits), fd_(std::move(accepted)), state_(State::kOpen) {
  Register();
}

Connection::Connection(EventLoop& loop, const Endpoint& to, Owner& owner, Limits limits)
    : loop_(loop), owner_(owner), limits_(limits), state_(State::kConnecting) {
  fd_ = Fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  unmade_ = !fd_ && (errno == EMFILE || errno == ENFILE);
  since_ = heard_ = Now();
  const sockaddr_in address = to.Socket();
  const bool begun =
      fd_ && (::connect(fd_.Get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 ||
              errno == EINPROGRESS);
  if (begun) {
    Register();
    return;
  }
  // No descriptor left, or refused before the call returned: told in the next round like any other failure.
  failing_ = loop_.Timers().Set(Micros{0}, [this](Micros) { Fail(); });
}

void Connection::Register() {
  const int one = 1;
  ::setsockopt(fd_.Get(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  since_ = heard_ = Now();
  handle_ = loop_.Add(fd_.Get(), EPOLLIN | EPOLLOUT | EPOLLRDHUP, *this);
}

void Connection::OnReady(std::uint32_t events) {
  if (state_ == State::kConnecting) {
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd_.Get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0 || (events & (EPOLLERR | EPOLLHUP)) != 0) return Fail();
    if ((events & EPOLLOUT) == 0) return;
    state_ = State::kOpen;
    heard_ = Now();
    owner_.OnOpen(*this);
    if (state_ != State::kOpen || !Flush()) return;
  }
  hung_up_ = hung_up_ || (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
  // Also while nothing is read (held back, or a full buffer): what its client has left behind must not be
  // acted on.
  if (limits_.gone_at_end && !closing_ && hung_up_) return Fail();
  if (state_ == State::kOpen && (events & EPOLLOUT) != 0 && !Flush()) return;
  if (state_ == State::kOpen && (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) {
    more_ = true;
    lingering_ ? Linger() : Read();
  }
}

void Connection::Read() {
  std::size_t got = 0;
  bool failed = false;
  while (more_ && !held_ && !closing_ && got < kReadRound) {
    const std::size_t limit = std::max(limits_.read, expected_);
    if (filled_ == buffer_.size()) {
      if (start_ > 0) {
        buffer_.erase(0, start_);
        filled_ -= start_;
        start_ = 0;
      }
      const std::size_t wanted = std::max({kFirstBuffer, filled_ * 2, std::min(expected_, limit)});
      if (filled_ >= limit) break;  // full: the rest stays in the socket until the owner has consumed some
      buffer_.resize(std::min(wanted, limit));
    }
    const ssize_t count = ::recv(fd_.Get(), buffer_.data() + filled_, buffer_.size() - filled_, 0);
    if (count > 0) {
      filled_ += static_cast<std::size_t>(count);
      got += static_cast<std::size_t>(count);
    } else if (count < 0 && errno == EINTR) {
      continue;
    } else {
      more_ = false;
      failed = count < 0 && errno != EAGAIN;
      ended_ = ended_ || count == 0;
    }
  }
  if (got > 0) spoke_ = heard_ = Now();
  if (!held_ && (std::exchange(resume_, false) || got > 0)) owner_.OnBytes(*this);
  if (state_ != State::kOpen) return;
  if (failed || ended_) return Fail();
  // A full buffer waits for Consume: told again and again meanwhile, the loop would spin.
  const bool full = filled_ - start_ >= std::max(limits_.read, expected_);
  if (more_ && !held_ && !closing_ && !full) loop_.Again(handle_);
}

void Connection::Consume(std::size_t bytes) {
  start_ += bytes;
  if (bytes > 0 && more_ && !held_ && !closing_ && state_ == State::kOpen) loop_.Again(handle_);
  if (start_ < filled_) return;
  start_ = filled_ = 0;
  expected_ = 0;
  if (buffer_.size() > kKeptBuffer) {
    buffer_.clear();
    buffer_.shrink_to_fit();
  }
}

void Connection::Resume() {
  resume_ = true;
  if (state_ == State::kOpen) loop_.Again(handle_);
}

void Connection::HoldReading(bool hold) {
  if (held_ && !hold && (more_ || resume_) && state_ == State::kOpen) loop_.Again(handle_);
  held_ = hold;
}

bool Connection::Write(std::string_view head, std::string_view body, std::string_view tail) {
  if (state_ == State::kClosed) return false;
  const std::size_t total = head.size() + body.size() + tail.size();
  std::size_t sent = 0;
  if (state_ == State::kOpen && Backlog() == 0) {
    iovec parts[3] = {{const_cast<char*>(head.data()), head.size()},
                      {const_cast<char*>(body.data()), body.size()},
                      {const_cast<char*>(tail.data()), tail.size()}};
    msghdr message{};
    message.msg_iov = parts;
    message.msg_iovlen = 3;
    // MSG_NOSIGNAL: a peer that has gone must not end the process by SIGPIPE. Errors show on the next read.
    const ssize_t count = ::sendmsg(fd_.Get(), &message, MSG_NOSIGNAL);
    if (count > 0) sent = static_cast<std::size_t>(count);
  }
  queued_ += total;
  sent_ += sent;
  if (sent == total) return true;
  if (Backlog() > limits_.write) {
    Close();
    return false;
  }
  for (std::string_view part : {head, body, tail}) {
    const std::size_t skip = std::min(sent, part.size());
    sent -= skip;
    queue_.append(part.substr(skip));
  }
  return true;
}

// False: the connection failed or was closed.
bool Connection::Flush() {
  const bool had = Backlog() > 0;
  while (queue_start_ < queue_.size()) {
    const ssize_t count =
        ::send(fd_.Get(), queue_.data() + queue_start_, queue_.size() - queue_start_, MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0 && errno == EAGAIN) break;
    if (count < 0) {
      Fail();
      return false;
    }
    queue_start_ += static_cast<std::size_t>(count);
    sent_ += static_cast<std::uint64_t>(count);
  }
  if (queue_start_ == queue_.size()) {
    std::string().swap(queue_);
    queue_start_ = 0;
    if (closing_ && !lingering_) Linger();
    if (had) owner_.OnDrained(*this);
  } else if (queue_start_ > queue_.size() / 2) {
    queue_.erase(0, queue_start_);
    queue_start_ = 0;
  }
  return state_ == State::kOpen;
}

void Connection::Fail() {
  if (state_ == State::kClosed) return;
  Close();
  owner_.OnClosed(*this);
}

void Connection::Close() {
  if (state_ == State::kClosed) return;
  state_ = State::kClosed;
  if (failing_) loop_.Timers().Cancel(*failing_);
  if (fd_ && handle_ != 0) loop_.Remove(handle_, fd_.Get());
  fd_.Reset();
}

bool Connection::HasArrived() const {
  char byte;
  return state_ == State::kOpen && ::recv(fd_.Get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void Connection::Abort() {
  const linger now{1, 0};
  if (fd_) ::setsockopt(fd_.Get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
  Close();
}

void Connection::CloseWhenDrained() {
  closing_ = true;
  if (Backlog() == 0 && state_ == State::kOpen) Linger();
}

void Connection::Linger() {
  if (!std::exchange(lingering_, true)) ::shutdown(fd_.Get(), SHUT_WR);
  char block[4096];
  while (true) {
    const ssize_t count = ::recv(fd_.Get(), block, sizeof block, 0);
    if (count > 0 || (count < 0 && errno == EINTR)) continue;
    if (count == 0 || errno != EAGAIN) Close();
    return;
  }
}

}  // namespace tinspan::net
