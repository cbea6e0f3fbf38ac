// Where a TCP or UDP socket is.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tinspan::net {

/// An IPv4 address and port; there are no names to look up.
struct Endpoint {
  std::uint32_t address = 0;  // host byte order
  std::uint16_t port = 0;
  bool operator==(const Endpoint&) const = default;

  /// Reads `a.b.c.d:port` in decimal; nothing where `text` is anything else.
  static std::optional<Endpoint> Parse(std::string_view text);
  /// The form that Parse reads.
  std::string Text() const;
  /// The form that the system calls take.
  sockaddr_in Socket() const;
};

}  // namespace tinspan::net
