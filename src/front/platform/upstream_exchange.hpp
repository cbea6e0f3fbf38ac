// What is open on one connection to a server.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "net/connection_pool.hpp"
#include "tinspan/router.hpp"

namespace tinspan::platform {

/// One attempt on its connection, from its assignment until its response.
struct UpstreamExchange {
  RequestId request_id{};
  std::uint32_t attempt = 0;
  std::uint64_t request_end = 0;  // the connection's BytesQueued() behind the request; 0: not written yet
  Micros started_at{0};
  Micros transfer_time{0};  // that the response's own bytes may take

  /// The request has been handed to the connection.
  bool IsWritten() const { return request_end > 0; }
  /// The socket has taken all of the request, so that it may have reached the server.
  bool IsSent(const net::Connection& connection) const {
    return IsWritten() && connection.BytesSent() >= request_end;
  }
};

/// Wire ids that must not be used again on a connection, since they were cancelled or failed on it, or were
/// answered without a request: a late or a second response could be taken for that of the new attempt.
class RetiredRequestIds {
 public:
  void Add(const std::string& reference) { references_.insert(reference); }
  bool Contains(const std::string& reference) const { return references_.contains(reference); }
  /// So many that the connection should be replaced, which frees them.
  bool IsFull() const { return references_.size() > kMaxReferences; }

 private:
  static constexpr std::size_t kMaxReferences = 2048;

  std::unordered_set<std::string> references_;
};

/// The user's part of a pooled connection to a server.
struct UpstreamConnectionState {
  std::unordered_map<std::string, UpstreamExchange> exchanges;  // by the request's id on the wire
  RetiredRequestIds retired_request_ids;
  bool was_open = false;
  std::vector<std::string> waiting;  // wire ids that wait for the connection to open or to drain, in order
  std::size_t bytes_handled = 0;     // at the front of Unread(), consumed at the round's end

  /// Whether an attempt with this wire id may be assigned to the connection.
  bool Accepts(const std::string& reference) const {
    return !exchanges.contains(reference) && !retired_request_ids.Contains(reference);
  }
};

using UpstreamPool = net::ConnectionPool<UpstreamConnectionState>;

}  // namespace tinspan::platform
