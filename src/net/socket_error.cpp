#include "net/socket_error.hpp"

#include <cerrno>

namespace tinspan::net {

SocketErrorKind ClassifySocketError(int error) {
  switch (error) {
    case 0:
    case EAGAIN:
    case EINTR:
    case EINPROGRESS:
      return SocketErrorKind::kNone;
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case ENOSPC:  // epoll_ctl: too many watches
    case EADDRNOTAVAIL:
    case EADDRINUSE:
    case ENETUNREACH:
    case ENETDOWN:
    case EPERM:  // a packet filter that is being loaded
    case EPROTO:
    case EOPNOTSUPP:
      return SocketErrorKind::kLocalPassing;
    case EMFILE:
    case EACCES:
    case EINVAL:
    case EAFNOSUPPORT:
    case EPROTONOSUPPORT:
      return SocketErrorKind::kLocalLasting;
    case ETIMEDOUT:
    case EHOSTUNREACH:
    case EHOSTDOWN:
    case ECONNREFUSED:
      return SocketErrorKind::kPeerUnreachable;
    default:
      return SocketErrorKind::kPeerConnection;
  }
}

std::string_view Name(SocketErrorKind kind) {
  switch (kind) {
    case SocketErrorKind::kLocalPassing:
      return "local_passing";
    case SocketErrorKind::kLocalLasting:
      return "local_lasting";
    case SocketErrorKind::kPeerConnection:
      return "peer_connection";
    case SocketErrorKind::kPeerUnreachable:
      return "peer_unreachable";
    default:
      return "none";
  }
}

}  // namespace tinspan::net
