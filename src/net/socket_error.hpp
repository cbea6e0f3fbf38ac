// What a failed system call on a socket says, and of whom.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace tinspan::net {

enum class SocketErrorKind : std::uint8_t {
  kNone,             // no error: the call would have to wait, or was interrupted
  kLocalPassing,     // this machine is short of something for a moment: the same call may work soon
  kLocalLasting,     // this process has reached a limit, or asks for what cannot be: a repeat is no use
  kPeerConnection,   // the peer ended this connection, or it broke on the way
  kPeerUnreachable,  // the peer's machine does not answer
  kCount
};

/// Sorts an errno of socket, connect, accept4, recv, send or epoll_ctl on a TCP socket.
SocketErrorKind ClassifySocketError(int error);
/// For statistics, such as `local_passing`.
std::string_view Name(SocketErrorKind kind);

/// How often each kind of error was met.
class SocketErrorCounters {
 public:
  void Add(SocketErrorKind kind) { ++counts_[static_cast<std::size_t>(kind)]; }
  std::uint64_t Count(SocketErrorKind kind) const { return counts_[static_cast<std::size_t>(kind)]; }

 private:
  std::array<std::uint64_t, static_cast<std::size_t>(SocketErrorKind::kCount)> counts_{};
};

}  // namespace tinspan::net
