// Owned file descriptors and socket addresses.
#pragma once

#include <netinet/in.h>
#include <unistd.h>

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace tinspan::net {

class Fd {
 public:
  Fd() = default;
  explicit Fd(int fd) : fd_(fd) {}
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    if (this != &other) Reset(std::exchange(other.fd_, -1));
    return *this;
  }
  ~Fd() { Reset(-1); }
  int Get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  void Reset(int fd = -1) {
    if (fd_ >= 0) ::close(fd_);
    fd_ = fd;
  }

 private:
  int fd_ = -1;
};

// An IPv4 address and port; there are no names to look up.
struct Endpoint {
  std::uint32_t address = 0;  // host order
  std::uint16_t port = 0;
  bool operator==(const Endpoint&) const = default;

  static std::optional<Endpoint> Parse(std::string_view text) {
    Endpoint out;
    const char* at = text.data();
    const char* const end = at + text.size();
    for (int i = 0; i < 5; ++i) {
      unsigned value = 0;
      const auto [next, error] = std::from_chars(at, end, value);
      if (error != std::errc{} || value > (i < 4 ? 255u : 65535u)) return std::nullopt;
      if (i == 4) {
        out.port = static_cast<std::uint16_t>(value);
        return next == end ? std::optional(out) : std::nullopt;
      }
      out.address = out.address << 8 | value;
      if (next == end || *next != (i < 3 ? '.' : ':')) return std::nullopt;
      at = next + 1;
    }
    return std::nullopt;
  }
  std::string Text() const {
    std::string out;
    for (int shift = 24; shift >= 0; shift -= 8) {
      out += std::to_string(address >> shift & 255) + (shift > 0 ? "." : ":");
    }
    return out + std::to_string(port);
  }
  sockaddr_in Socket() const {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(address);
    out.sin_port = htons(port);
    return out;
  }
};

}  // namespace tinspan::net
