// Blocking TCP connections and listeners on the loopback interface, for tests that play clients and servers.
// A wait that exceeds kWaitLimitMs throws CheckFailure.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "checks.hpp"

/// The longest wait for an expected event, in milliseconds.
constexpr int kWaitLimitMs = 20'000;

/// Milliseconds since the Unix epoch.
inline std::int64_t UnixMs() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

/// The address of a loopback port; 0 lets the system choose one.
inline sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

/// Whether one of the poll `events` occurs on the descriptor within `milliseconds`.
inline bool IsReadyWithin(int fd, short events, int milliseconds) {
  pollfd entry{fd, events, 0};
  return ::poll(&entry, 1, milliseconds) == 1;
}

/// One end of a TCP connection; owns the descriptor. Bytes received beyond the requested ones are buffered
/// for the next read.
class TcpPeer {
 public:
  /// Takes ownership of the descriptor; -1 means no connection.
  explicit TcpPeer(int fd = -1) : fd_(fd) {}
  TcpPeer(const TcpPeer&) = delete;
  TcpPeer& operator=(const TcpPeer&) = delete;
  TcpPeer(TcpPeer&& other) noexcept
      : fd_(std::exchange(other.fd_, -1)), received_(std::move(other.received_)) {}
  TcpPeer& operator=(TcpPeer&& other) noexcept {
    if (this == &other) return *this;
    Close();
    fd_ = std::exchange(other.fd_, -1);
    received_ = std::move(other.received_);
    return *this;
  }
  ~TcpPeer() { Close(); }

  /// Connects to a loopback port. `receive_buffer_bytes` is SO_RCVBUF; 0: the system's default.
  static TcpPeer Connect(int port, int receive_buffer_bytes = 0) {
    TcpPeer peer(::socket(AF_INET, SOCK_STREAM, 0));
    if (receive_buffer_bytes > 0) {
      ::setsockopt(peer.fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
    }
    const sockaddr_in address = LoopbackAddress(port);
    CHECK_OR_THROW(::connect(peer.fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    return peer;
  }

  /// Sends all of the text.
  void Send(std::string_view text) const {
    while (!text.empty()) {
      const ssize_t sent = ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
      CHECK_OR_THROW(sent > 0);
      text.remove_prefix(static_cast<std::size_t>(sent));
    }
  }

  /// Sends `block` repeatedly, up to `max_bytes` in all, until the socket accepts nothing for 300 ms. Returns
  /// the number of bytes sent.
  std::size_t SendUntilBlocked(std::string_view block, std::size_t max_bytes) const {
    std::size_t total = 0;
    while (total < max_bytes && IsReadyWithin(fd_, POLLOUT, kBlockedAfterMs)) {
      const std::size_t size = std::min(block.size(), max_bytes - total);
      const ssize_t sent = ::send(fd_, block.data(), size, MSG_NOSIGNAL | MSG_DONTWAIT);
      CHECK_OR_THROW(sent > 0);
      total += static_cast<std::size_t>(sent);
    }
    return total;
  }

  /// Reads up to and including the first `mark`; returns the text before it.
  std::string ReadUntil(std::string_view mark) {
    std::size_t position = received_.find(mark);
    while (position == std::string::npos) {
      CHECK_OR_THROW(ReceiveMore());
      position = received_.find(mark);
    }
    std::string text = received_.substr(0, position);
    received_.erase(0, position + mark.size());
    return text;
  }

  /// Reads `size` bytes.
  std::string ReadExactly(std::size_t size) {
    while (received_.size() < size) CHECK_OR_THROW(ReceiveMore());
    std::string text = received_.substr(0, size);
    received_.erase(0, size);
    return text;
  }

  /// Reads until the other end closes or resets the connection.
  std::string ReadToEnd() {
    while (ReceiveMore()) {
    }
    return std::exchange(received_, {});
  }

  /// Reads until `mark` has been received and returns everything received so far; "" if the connection ends
  /// before.
  std::string ReadUntilOrEmpty(std::string_view mark) {
    while (received_.find(mark) == std::string::npos) {
      if (!ReceiveMore()) return {};
    }
    return std::exchange(received_, {});
  }

  /// Reads `total` bytes at `bytes_per_s` at most, in reads of at most 16 KB, like a client on a slow link.
  std::string ReadPaced(std::size_t total, double bytes_per_s) {
    const auto start = std::chrono::steady_clock::now();
    std::size_t taken = 0;
    while (received_.size() < total) {
      const auto due = start + std::chrono::microseconds(
                                   static_cast<std::int64_t>(1e6 * static_cast<double>(taken) / bytes_per_s));
      std::this_thread::sleep_until(due);
      CHECK_OR_THROW(IsReadyWithin(fd_, POLLIN, kWaitLimitMs));
      std::array<char, 16384> block;
      const ssize_t size = ::recv(fd_, block.data(), std::min(block.size(), total - received_.size()), 0);
      CHECK_OR_THROW(size > 0);
      received_.append(block.data(), static_cast<std::size_t>(size));
      taken += static_cast<std::size_t>(size);
    }
    return std::exchange(received_, {});
  }

  /// Reads for `milliseconds`, or until the connection ends; does not close it.
  std::string ReadFor(int milliseconds) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds);
    while (true) {
      const auto left =
          std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now())
              .count();
      if (left <= 0 || !IsReadyWithin(fd_, POLLIN, static_cast<int>(left))) break;
      if (!Receive()) break;
    }
    return std::exchange(received_, {});
  }

  /// Whether nothing is received within `milliseconds`, not even the end of the connection. Meant to check
  /// that the other end stays silent, not to wait for an event.
  bool IsSilentFor(int milliseconds) const {
    pollfd entry{fd_, POLLIN, 0};
    return received_.empty() && ::poll(&entry, 1, milliseconds) == 0;
  }

  /// Closes the connection with RST, like a process that dies with unread input.
  void Reset() {
    const linger now{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    Close();
  }

  void Close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }

  int Descriptor() const { return fd_; }

 private:
  static constexpr int kBlockedAfterMs = 300;

  // Waits for input and buffers it. Returns false at the end of the connection.
  bool ReceiveMore() {
    CHECK_OR_THROW(IsReadyWithin(fd_, POLLIN, kWaitLimitMs));
    return Receive();
  }
  bool Receive() {
    std::array<char, 65536> block;
    const ssize_t size = ::recv(fd_, block.data(), block.size(), 0);
    if (size > 0) received_.append(block.data(), static_cast<std::size_t>(size));
    return size > 0;
  }

  int fd_;
  std::string received_;
};

/// A listening socket on a loopback port chosen by the system.
class TcpListener {
 public:
  TcpListener() : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address = LoopbackAddress(0);
    CHECK_OR_THROW(::bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 &&
                   ::listen(fd_, kBacklog) == 0);
    socklen_t size = sizeof address;
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
  }
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;
  ~TcpListener() { Close(); }

  /// Waits for the next connection.
  TcpPeer Accept() const {
    CHECK_OR_THROW(IsReadyWithin(fd_, POLLIN, kWaitLimitMs));
    return TcpPeer(::accept(fd_, nullptr, nullptr));
  }

  /// Whether no connection arrives within `milliseconds`.
  bool HasNoConnectionFor(int milliseconds) const {
    pollfd entry{fd_, POLLIN, 0};
    return ::poll(&entry, 1, milliseconds) == 0;
  }

  void Close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }

  int Descriptor() const { return fd_; }
  /// `127.0.0.1:PORT`.
  std::string Address() const { return "127.0.0.1:" + std::to_string(port); }

  int port = 0;

 private:
  static constexpr int kBacklog = 64;

  int fd_;
};
