// Addresses of TCP and UDP sockets.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tinspan::net {

/// An IPv4 address and port. Host names are not supported.
struct Endpoint {
  std::uint32_t address = 0;  // host byte order
  std::uint16_t port = 0;
  bool operator==(const Endpoint&) const = default;

  /// Parses `a.b.c.d:port` in decimal. Returns nullopt for any other text.
  static std::optional<Endpoint> Parse(std::string_view text);
  /// Formats the endpoint as Parse reads it.
  std::string Text() const;
  /// Converts to the type that the socket calls use.
  sockaddr_in Socket() const;
};

}  // namespace tinspan::net
