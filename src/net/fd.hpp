// Owned file descriptors.
#pragma once

#include <unistd.h>

#include <utility>

namespace tinspan::net {

/// Owns one file descriptor and closes it at the end of its life. Movable, not copyable.
class Fd {
 public:
  Fd() = default;
  /// Takes `fd` over; below 0: none.
  explicit Fd(int fd) : fd_(fd) {}
  Fd(const Fd&) = delete;
  Fd& operator=(const Fd&) = delete;
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, kNone)) {}
  Fd& operator=(Fd&& other) noexcept {
    if (this != &other) Reset(std::exchange(other.fd_, kNone));
    return *this;
  }
  ~Fd() { Reset(); }

  /// The descriptor, still owned here; below 0: none.
  int Get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  /// Closes what is owned and owns `fd` instead.
  void Reset(int fd = kNone) {
    if (fd_ >= 0) ::close(fd_);
    fd_ = fd;
  }

 private:
  static constexpr int kNone = -1;

  int fd_ = kNone;
};

}  // namespace tinspan::net
