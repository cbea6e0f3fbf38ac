// State of one connection to a server: its open exchanges and its retired request ids.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "net/connection_pool.hpp"
#include "tinspan/router.hpp"

namespace tinspan::platform {

/// The line end behind a request's body.
inline constexpr std::uint64_t kRequestTerminatorBytes = 2;

/// One attempt on a connection, from its assignment to the connection until its response.
struct UpstreamExchange {
  RequestId request_id{};
  std::uint32_t attempt = 0;
  std::uint64_t request_end = 0;    // what BytesSent() is once the server can execute it; 0: not written
  bool was_answered_early = false;  // a response came before the socket had taken the request
  Micros started_at{0};
  Micros transfer_time{0};  // time allowed for transferring the bytes of the response
  // The request must be delivered by then or not at all; empty: at any time.
  std::optional<Micros> deliver_by{};

  /// Whether the request has been passed to Connection::Write.
  bool IsWritten() const { return request_end > 0; }
  /// The request was passed to Connection::Write, after which `bytes_queued` bytes had been queued. The
  /// server can execute it without the line end behind the body.
  void MarkWritten(std::uint64_t bytes_queued) { request_end = bytes_queued - kRequestTerminatorBytes; }
  /// Whether the server may have executed the request once the socket has taken `bytes_sent` bytes.
  bool MayHaveArrived(std::uint64_t bytes_sent) const {
    return IsWritten() && (bytes_sent >= request_end || was_answered_early);
  }
};

/// References that must not be used again on a connection: a request with this reference was cancelled or
/// failed on it, or a response arrived that belongs to no open request. A late or second response could
/// otherwise be taken for the response of a new attempt.
class RetiredRequestIds {
 public:
  void Add(const std::string& reference) { references_.insert(reference); }
  bool Contains(const std::string& reference) const { return references_.contains(reference); }
  /// Whether there are so many that the connection should be replaced, which frees them.
  bool IsFull() const { return references_.size() > kMaxReferences; }

 private:
  static constexpr std::size_t kMaxReferences = 2048;

  std::unordered_set<std::string> references_;
};

/// A position in the bytes of a connection up to which the peer's system must have them by a time.
struct AwaitedDelivery {
  std::uint64_t end = 0;
  Micros due_at{0};
};

/// The state that UpstreamConnections attaches to a pooled connection.
struct UpstreamConnectionState {
  std::unordered_map<std::string, UpstreamExchange> exchanges;  // by reference
  RetiredRequestIds retired_request_ids;
  bool was_open = false;
  std::vector<AwaitedDelivery> given_up;  // requests that were given up before they were delivered
  // References of requests to write once the connection is open or its write queue is empty, in order.
  std::vector<std::string> waiting;
  std::size_t bytes_handled = 0;  // prefix of Unread() that was handled; consumed at the end of the round

  /// Whether an attempt with this reference may be assigned to the connection.
  bool Accepts(const std::string& reference) const {
    return !exchanges.contains(reference) && !retired_request_ids.Contains(reference);
  }
};

using UpstreamPool = net::ConnectionPool<UpstreamConnectionState>;

}  // namespace tinspan::platform
