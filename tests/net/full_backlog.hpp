// A listener whose connections are not established.
#pragma once

#include <algorithm>
#include <vector>

#include "tcp.hpp"

namespace {

/// Keeps a listener's backlog full, so that no further connection is established until AcceptNext() opens it:
/// the kernel drops each SYN, and the connecting side sends it again a second later.
class FullBacklog {
 public:
  explicit FullBacklog(TcpListener& server) : server_(server) {
    CHECK_OR_THROW(::listen(server.Descriptor(), 0) == 0);
    for (bool full = false; !full;) {
      CHECK_OR_THROW(fillers_.size() < 16);
      const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      sockaddr_in at{};
      at.sin_family = AF_INET;
      at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      at.sin_port = htons(static_cast<std::uint16_t>(server.port));
      ::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at);
      pollfd one{fd, POLLOUT, 0};
      full = ::poll(&one, 1, 100) == 0;
      fillers_.emplace_back(fd);
    }
  }
  /// Restores the backlog and returns the next connection that is not a filler's.
  TcpPeer AcceptNext() {
    CHECK_OR_THROW(::listen(server_.Descriptor(), 64) == 0);
    for (TcpPeer& filler : fillers_) filler_ports_.push_back(Port(filler.Descriptor(), false));
    while (true) {
      TcpPeer peer = server_.Accept();
      const int from = Port(peer.Descriptor(), true);
      if (std::find(filler_ports_.begin(), filler_ports_.end(), from) == filler_ports_.end()) return peer;
    }
  }

 private:
  static int Port(int fd, bool is_peer_port) {
    sockaddr_in at{};
    socklen_t size = sizeof at;
    CHECK_OR_THROW(
        (is_peer_port ? ::getpeername : ::getsockname)(fd, reinterpret_cast<sockaddr*>(&at), &size) == 0);
    return ntohs(at.sin_port);
  }
  TcpListener& server_;
  std::vector<TcpPeer> fillers_;
  std::vector<int> filler_ports_;
};

}  // namespace
