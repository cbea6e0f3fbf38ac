#include "net/connection.hpp"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <span>
#include <system_error>
#include <utility>

namespace tinspan::net {
namespace {

constexpr std::size_t kInitialBufferBytes = 4096;
// Limit on bytes read from one connection per round, so that no connection starves the others.
constexpr std::size_t kMaxReadPerRound = 1 << 20;
// An empty buffer larger than this is freed.
constexpr std::size_t kMaxIdleBufferBytes = 64 << 10;
constexpr std::size_t kDiscardBlockBytes = 4096;
constexpr std::size_t kMaxBlocksPerSend = 16;  // of the write queue, in one system call
// A system call that failed for lack of local resources is retried after this delay, at most this many times
// in a row.
constexpr Micros kLocalRetryDelay{10'000};
constexpr int kMaxLocalFailures = 30;
constexpr std::uint32_t kPeerShutdownEvents = EPOLLRDHUP | EPOLLHUP | EPOLLERR;

bool IsTransientLocalError(int error) {
  return ClassifySocketError(error) == SocketErrorKind::kLocalTransient;
}

// Returns the size of a queue of the socket (SIOCOUTQ, SIOCOUTQNSD), or 0 if the system does not report it.
std::size_t SocketQueueBytes(int fd, unsigned long request) {
  int bytes = 0;
  return ::ioctl(fd, request, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

void RemovePrefix(std::array<std::string_view, 3>& parts, std::size_t bytes) {
  for (std::string_view& part : parts) {
    const std::size_t removed = std::min(bytes, part.size());
    part.remove_prefix(removed);
    bytes -= removed;
  }
}

iovec ToIovec(std::string_view bytes) {
  return {const_cast<char*>(bytes.data()), bytes.size()};  // sendmsg(2) does not write to it
}

}  // namespace

Connection::Connection(EventLoop& loop, Fd accepted, Owner& owner, Limits limits)
    : loop_(loop),
      owner_(owner),
      limits_(limits),
      fd_(std::move(accepted)),
      state_(State::kOpen),
      read_reservation_(limits.read_budget),
      write_reservation_(limits.write_budget) {
  opened_at_ = last_activity_at_ = Now();
  Register();
}

Connection::Connection(EventLoop& loop, const Endpoint& peer, Owner& owner, Limits limits)
    : loop_(loop),
      owner_(owner),
      limits_(limits),
      state_(State::kConnecting),
      read_reservation_(limits.read_budget),
      write_reservation_(limits.write_budget),
      peer_(peer) {
  opened_at_ = last_activity_at_ = Now();
  StartConnect();
}

void Connection::StartConnect() {
  fd_ = Fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd_) return FailConnect(errno);
  const sockaddr_in address = peer_.Socket();
  const int result = ::connect(fd_.Get(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (result != 0 && errno != EINPROGRESS && errno != EINTR) return FailConnect(errno);
  has_failed_locally_ = !Register();
}

// Retries after a delay if the error is local and transient. Otherwise the owner is notified in the next
// round, as for any other failure.
void Connection::FailConnect(int error) {
  const SocketErrorKind kind = ClassifySocketError(error);
  has_failed_locally_ = kind == SocketErrorKind::kLocalTransient || kind == SocketErrorKind::kLocalPermanent;
  loop_.SocketErrors().Add(kind);
  fd_.Reset();
  const bool is_retried =
      kind == SocketErrorKind::kLocalTransient && ++consecutive_local_failures_ <= kMaxLocalFailures;
  const Micros due_at = is_retried ? Now() + kLocalRetryDelay : Micros{0};
  retry_timer_ = loop_.Timers().Set(due_at, [this, is_retried](Micros) {
    retry_timer_.reset();
    is_retried ? StartConnect() : Fail();
  });
}

// Returns false if registering failed; it is then retried.
bool Connection::Register() {
  const int enabled = 1;
  ::setsockopt(fd_.Get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  try {
    handle_ = loop_.Add(fd_.Get(), EPOLLIN | EPOLLOUT | EPOLLRDHUP, *this);
  } catch (const std::system_error& error) {
    RetryLater(error.code().value());
    return false;
  }
  has_failed_locally_ = false;
  OnLocalSuccess();
  return true;
}

// Schedules a retry after a local error: edge-triggered epoll reports no event when the call would succeed
// again.
void Connection::RetryLater(int error) {
  loop_.SocketErrors().Add(ClassifySocketError(error));
  if (retry_timer_ || state_ == State::kClosed) return;
  const bool is_given_up = ++consecutive_local_failures_ > kMaxLocalFailures;
  const Micros due_at = is_given_up ? Micros{0} : Now() + kLocalRetryDelay;
  retry_timer_ = loop_.Timers().Set(due_at, [this, is_given_up](Micros) {
    retry_timer_.reset();
    if (is_given_up) return Fail();
    if (handle_ != 0) return OnReady(EPOLLIN | EPOLLOUT);
    Register();
  });
}

void Connection::OnReady(std::uint32_t events) {
  if (state_ == State::kConnecting && !FinishConnecting(events)) return;
  has_peer_shut_down_ = has_peer_shut_down_ || (events & kPeerShutdownEvents) != 0;
  // This also applies while reading is paused or the buffer is full: input left by a client that has
  // disconnected must not be processed.
  if (limits_.close_on_peer_shutdown && !is_closing_ && has_peer_shut_down_) return Fail();
  if (state_ == State::kOpen && (events & EPOLLOUT) != 0 && !Flush()) return;
  if (state_ == State::kOpen && (events & (EPOLLIN | kPeerShutdownEvents)) != 0) {
    may_have_input_ = true;
    is_lingering_ ? Linger() : Read();
  }
}

// Returns false if there is nothing more to do in this round.
bool Connection::FinishConnecting(std::uint32_t events) {
  int error = 0;
  socklen_t size = sizeof error;
  ::getsockopt(fd_.Get(), SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0 || (events & (EPOLLERR | EPOLLHUP)) != 0) {
    Fail();
    return false;
  }
  if ((events & EPOLLOUT) == 0) return false;
  state_ = State::kOpen;
  last_activity_at_ = Now();
  owner_.OnOpen(*this);
  return state_ == State::kOpen && Flush();
}

std::size_t Connection::ReadLimit() const {
  return std::max(limits_.max_read_bytes, expected_message_bytes_);
}

void Connection::Read() {
  const std::size_t unread_before = Unread().size();
  const bool failed = ReceiveRound() == ReadResult::kFailed;
  const bool received = Unread().size() > unread_before;
  if (received) last_received_at_ = last_activity_at_ = Now();
  if (!is_read_paused_ && (std::exchange(is_read_scheduled_, false) || received)) owner_.OnData(*this);
  if (state_ != State::kOpen) return;
  if (failed || has_read_eof_) return Fail();
  // A full buffer is not scheduled again before Consume: the loop would spin.
  const bool needs_more_space = Unread().size() < RequiredBufferBytes() && !read_reservation_.IsWaiting();
  const bool is_full = is_buffer_full_ && !needs_more_space;
  if (CanRead() && !is_full) loop_.ScheduleAgain(handle_);
}

Connection::ReadResult Connection::ReceiveRound() {
  std::size_t received = 0;
  while (CanRead() && received < kMaxReadPerRound) {
    if (read_buffer_.FreeSpace().empty() && !MakeReadSpace()) return ReadResult::kOk;
    const std::span<char> space = read_buffer_.FreeSpace();
    const ssize_t count = ::recv(fd_.Get(), space.data(), space.size(), 0);
    if (count > 0) {
      read_buffer_.Commit(static_cast<std::size_t>(count));
      received += static_cast<std::size_t>(count);
      OnLocalSuccess();
    } else if (count == 0) {
      may_have_input_ = false;
      has_read_eof_ = true;
      return ReadResult::kOk;
    } else if (errno != EINTR) {
      return HandleReceiveError(errno);
    }
  }
  return ReadResult::kOk;
}

Connection::ReadResult Connection::HandleReceiveError(int error) {
  if (IsTransientLocalError(error)) {
    RetryLater(error);
    return ReadResult::kOk;
  }
  may_have_input_ = false;
  if (error == EAGAIN) return ReadResult::kOk;
  loop_.SocketErrors().Add(ClassifySocketError(error));
  return ReadResult::kFailed;
}

// The size of the read buffer that the message at the front of the unread bytes needs, as far as it is known.
std::size_t Connection::RequiredBufferBytes() const {
  const std::size_t limit = ReadLimit();
  if (limits_.read_budget == nullptr) return limit;
  const std::size_t doubled = std::max(kInitialBufferBytes, Unread().size() * 2);
  const std::size_t blocks = (expected_message_bytes_ + kInitialBufferBytes - 1) / kInitialBufferBytes;
  return std::max(std::min(doubled, limits_.unreserved_read_bytes),
                  std::min(blocks * kInitialBufferBytes, limit));
}

std::size_t Connection::ReservedPart(std::size_t buffer_bytes) const {
  return buffer_bytes > limits_.unreserved_read_bytes ? buffer_bytes * limits_.reserved_bytes_per_byte : 0;
}

// Returns false if the buffer is full up to its limit, or the read budget is used up; more input then stays
// in the socket until the owner consumes some, or calls RetryRead.
bool Connection::MakeReadSpace() {
  read_buffer_.Compact();
  is_buffer_full_ = true;
  const std::size_t limit = ReadLimit();
  const std::size_t unread_bytes = Unread().size();
  if (unread_bytes >= limit) return false;
  std::size_t size = std::min(
      std::max({kInitialBufferBytes, unread_bytes * 2, std::min(expected_message_bytes_, limit)}), limit);
  if (size > read_buffer_.Capacity() && !read_reservation_.TryResizeOptional(ReservedPart(size))) {
    size = RequiredBufferBytes();
    if (unread_bytes >= size || !read_reservation_.TryResize(ReservedPart(size))) return false;
  }
  if (size > read_buffer_.Capacity()) read_buffer_.Resize(size);
  is_buffer_full_ = false;
  return true;
}

void Connection::RetryRead() {
  if (read_reservation_.IsWaiting() && state_ == State::kOpen) loop_.ScheduleAgain(handle_);
}

void Connection::Consume(std::size_t bytes) {
  read_buffer_.Consume(bytes);
  is_buffer_full_ = is_buffer_full_ && bytes == 0;
  if (bytes > 0 && CanRead() && state_ == State::kOpen) loop_.ScheduleAgain(handle_);
  if (Unread().empty()) expected_message_bytes_ = 0;
  const std::size_t max_idle_bytes =
      limits_.read_budget == nullptr ? kMaxIdleBufferBytes : limits_.unreserved_read_bytes;
  if (read_buffer_.Capacity() > max_idle_bytes && Unread().size() <= kInitialBufferBytes) ShrinkReadBuffer();
}

// Frees a large read buffer of which little is unread.
void Connection::ShrinkReadBuffer() {
  read_buffer_.Resize(Unread().size());
  read_reservation_.Resize(0);
}

void Connection::ScheduleRead() {
  is_read_scheduled_ = true;
  if (state_ == State::kOpen) loop_.ScheduleAgain(handle_);
}

void Connection::SetReadPaused(bool paused) {
  const bool resumes = is_read_paused_ && !paused;
  if (resumes && (may_have_input_ || is_read_scheduled_) && state_ == State::kOpen) {
    loop_.ScheduleAgain(handle_);
  }
  is_read_paused_ = paused;
}

bool Connection::Write(std::string_view head, std::string_view body, std::string_view tail) {
  if (state_ == State::kClosed) return false;
  const bool can_send = state_ == State::kOpen && Backlog() == 0;
  std::size_t sent = can_send ? SendNow(head, body, tail) : 0;
  const std::size_t total = head.size() + body.size() + tail.size();
  bytes_queued_ += total;
  bytes_sent_ += sent;
  if (sent == total) return true;
  if (Backlog() > limits_.max_write_bytes) {
    Close();
    return false;
  }
  for (const std::string_view part : {head, body, tail}) {
    const std::size_t already_sent = std::min(sent, part.size());
    sent -= already_sent;
    write_queue_.Append(part.substr(already_sent));
  }
  write_reservation_.Resize(write_queue_.HeldBytes());
  return true;
}

// Returns the number of bytes that the socket accepted; a connection error is reported by the next read.
// Sends until the socket accepts no more: after a short write that did not fill the socket, epoll reports no
// edge.
std::size_t Connection::SendNow(std::string_view head, std::string_view body, std::string_view tail) {
  std::array<std::string_view, 3> left{head, body, tail};
  std::size_t sent = 0;
  const std::size_t total = head.size() + body.size() + tail.size();
  while (sent < total) {
    std::array<iovec, 3> parts{ToIovec(left[0]), ToIovec(left[1]), ToIovec(left[2])};
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = parts.size();
    // MSG_NOSIGNAL: writing to a closed connection must not end the process by SIGPIPE.
    const ssize_t count = ::sendmsg(fd_.Get(), &message, MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0 && IsTransientLocalError(errno)) RetryLater(errno);
    if (count <= 0) break;
    sent += static_cast<std::size_t>(count);
    RemovePrefix(left, static_cast<std::size_t>(count));
  }
  return sent;
}

// Returns false if the connection failed or was closed.
bool Connection::Flush() {
  const bool had_backlog = Backlog() > 0;
  const bool is_alive = SendWriteQueue();
  write_reservation_.Resize(write_queue_.HeldBytes());
  if (!is_alive) return false;
  if (write_queue_.IsEmpty()) {
    if (is_closing_ && !is_lingering_) Linger();
    if (had_backlog) owner_.OnDrained(*this);
  }
  return state_ == State::kOpen;
}

// Sends the write queue until the socket is full. Returns false if the connection failed.
bool Connection::SendWriteQueue() {
  while (!write_queue_.IsEmpty()) {
    std::array<iovec, kMaxBlocksPerSend> parts;
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = write_queue_.Front(parts);
    const ssize_t count = ::sendmsg(fd_.Get(), &message, MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0 && errno == EAGAIN) return true;
    if (count < 0 && IsTransientLocalError(errno)) {
      RetryLater(errno);
      return true;
    }
    if (count < 0) {
      Fail();
      return false;
    }
    write_queue_.RemovePrefix(static_cast<std::size_t>(count));
    bytes_sent_ += static_cast<std::uint64_t>(count);
  }
  return true;
}

std::size_t Connection::UndeliveredBytes() const {
  return Backlog() + (state_ == State::kOpen ? SocketQueueBytes(fd_.Get(), SIOCOUTQ) : 0);
}

std::uint64_t Connection::BytesDelivered() const {
  const std::uint64_t undelivered = UndeliveredBytes();
  return bytes_queued_ > undelivered ? bytes_queued_ - undelivered : 0;
}

std::size_t Connection::UnsentBytes() const {
  return Backlog() + (state_ == State::kOpen ? SocketQueueBytes(fd_.Get(), SIOCOUTQNSD) : 0);
}

void Connection::Fail() {
  if (state_ == State::kClosed) return;
  Close();
  owner_.OnClosed(*this);
}

void Connection::Close() {
  if (state_ == State::kClosed) return;
  if (limits_.drop_undelivered_on_close && UndeliveredBytes() > 0) ResetOnClose();
  state_ = State::kClosed;
  if (retry_timer_) loop_.Timers().Cancel(*retry_timer_);
  retry_timer_.reset();
  if (fd_ && handle_ != 0) loop_.Remove(handle_, fd_.Get());
  fd_.Reset();
}

bool Connection::HasPendingInput() const {
  if (state_ != State::kOpen) return false;
  char byte = 0;
  ssize_t count = 0;
  do {
    count = ::recv(fd_.Get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  } while (count < 0 && errno == EINTR);
  return count > 0 || (count < 0 && IsTransientLocalError(errno));
}

// Makes the system send RST when the socket is closed, and drop what it has not delivered.
void Connection::ResetOnClose() {
  const linger no_wait{1, 0};
  if (fd_) ::setsockopt(fd_.Get(), SOL_SOCKET, SO_LINGER, &no_wait, sizeof no_wait);
}

void Connection::ShutdownWhenDrained() {
  is_closing_ = true;
  if (Backlog() == 0 && state_ == State::kOpen) Linger();
}

void Connection::Linger() {
  if (!std::exchange(is_lingering_, true)) ::shutdown(fd_.Get(), SHUT_WR);
  std::array<char, kDiscardBlockBytes> discarded;
  while (true) {
    const ssize_t count = ::recv(fd_.Get(), discarded.data(), discarded.size(), 0);
    if (count > 0 || (count < 0 && errno == EINTR)) continue;
    if (count < 0 && IsTransientLocalError(errno)) return RetryLater(errno);
    if (count == 0 || errno != EAGAIN) Close();
    return;
  }
}

}  // namespace tinspan::net
