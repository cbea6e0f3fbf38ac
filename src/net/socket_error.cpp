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
    case EPERM:  // while a packet filter is being loaded
    case EPROTO:
    case EOPNOTSUPP:
      return SocketErrorKind::kLocalTransient;
    case EMFILE:
    case EACCES:
    case EINVAL:
    case EAFNOSUPPORT:
    case EPROTONOSUPPORT:
      return SocketErrorKind::kLocalPermanent;
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
    case SocketErrorKind::kLocalTransient:
      return "local_passing";
    case SocketErrorKind::kLocalPermanent:
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
