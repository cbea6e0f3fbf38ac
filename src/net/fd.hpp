// Ownership of file descriptors.
#pragma once

#include <unistd.h>

#include <utility>

namespace tinspan::net {

/// Owns one file descriptor and closes it on destruction. Movable, not copyable.
class Fd {
 public:
  Fd() = default;
  /// Takes ownership of `fd`; a negative value means none.
  explicit Fd(int fd) : fd_(fd) {}
  Fd(const Fd&) = delete;
  Fd& operator=(const Fd&) = delete;
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, kNone)) {}
  Fd& operator=(Fd&& other) noexcept {
    if (this != &other) Reset(std::exchange(other.fd_, kNone));
    return *this;
  }
  ~Fd() { Reset(); }

  /// The owned descriptor; negative: none.
  int Get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  /// Closes the owned descriptor and takes ownership of `fd`.
  void Reset(int fd = kNone) {
    if (fd_ >= 0) ::close(fd_);
    fd_ = fd;
  }

 private:
  static constexpr int kNone = -1;

  int fd_ = kNone;
};

}  // namespace tinspan::net
