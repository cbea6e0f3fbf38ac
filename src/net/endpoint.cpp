#include "net/endpoint.hpp"

#include <charconv>
#include <limits>

namespace tinspan::net {
namespace {

constexpr int kOctets = 4;
constexpr int kOctetBits = 8;
constexpr std::uint32_t kMaxOctet = 255;

// Parses a number at the front of `text` and removes it. Returns nullopt if there is none or if it is above
// `max_value`.
std::optional<std::uint32_t> TakeNumber(std::string_view& text, std::uint32_t max_value) {
  std::uint32_t value = 0;
  const auto [next, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || value > max_value) return std::nullopt;
  text.remove_prefix(static_cast<std::size_t>(next - text.data()));
  return value;
}

// Removes `separator` from the front of `text`. Returns false if it is not there.
bool TakeSeparator(std::string_view& text, char separator) {
  if (text.empty() || text.front() != separator) return false;
  text.remove_prefix(1);
  return true;
}

}  // namespace

std::optional<Endpoint> Endpoint::Parse(std::string_view text) {
  Endpoint endpoint;
  for (int octet = 0; octet < kOctets; ++octet) {
    const std::optional<std::uint32_t> value = TakeNumber(text, kMaxOctet);
    if (!value) return std::nullopt;
    endpoint.address = endpoint.address << kOctetBits | *value;
    if (!TakeSeparator(text, octet + 1 < kOctets ? '.' : ':')) return std::nullopt;
  }
  const std::optional<std::uint32_t> port = TakeNumber(text, std::numeric_limits<std::uint16_t>::max());
  if (!port || !text.empty()) return std::nullopt;
  endpoint.port = static_cast<std::uint16_t>(*port);
  return endpoint;
}

std::string Endpoint::Text() const {
  std::string text;
  for (int octet = kOctets - 1; octet >= 0; --octet) {
    text += std::to_string(address >> (octet * kOctetBits) & kMaxOctet);
    text += octet > 0 ? '.' : ':';
  }
  return text + std::to_string(port);
}

sockaddr_in Endpoint::Socket() const {
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  socket_address.sin_addr.s_addr = htonl(address);
  socket_address.sin_port = htons(port);
  return socket_address;
}

}  // namespace tinspan::net
