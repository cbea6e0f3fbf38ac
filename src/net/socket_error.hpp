// Classification of errors of socket calls by cause.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace tinspan::net {

/// The cause of a failed socket call.
enum class SocketErrorKind : std::uint8_t {
  kNone,             // no error: the call would block or was interrupted
  kLocalTransient,   // a temporary shortage on this machine: a retry may succeed soon
  kLocalPermanent,   // a limit of this process, or an invalid call: a retry fails as well
  kPeerConnection,   // the peer closed the connection, or it was lost
  kPeerUnreachable,  // the peer's machine does not respond or refuses connections
  kCount
};

/// Classifies an errno of socket, connect, accept4, recv, send or epoll_ctl on a TCP socket.
SocketErrorKind ClassifySocketError(int error);
/// The name used in statistics, such as `local_passing`.
std::string_view Name(SocketErrorKind kind);

/// Counts socket errors by kind.
class SocketErrorCounters {
 public:
  void Add(SocketErrorKind kind) { ++counts_[static_cast<std::size_t>(kind)]; }
  std::uint64_t Count(SocketErrorKind kind) const { return counts_[static_cast<std::size_t>(kind)]; }

 private:
  std::array<std::uint64_t, static_cast<std::size_t>(SocketErrorKind::kCount)> counts_{};
};

}  // namespace tinspan::net
