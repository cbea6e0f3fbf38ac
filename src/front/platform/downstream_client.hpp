// State of one client connection of the platform front.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "core/drain.hpp"
#include "net/connection.hpp"
#include "net/delivery_progress.hpp"
#include "tinspan/router.hpp"

namespace tinspan::platform {

/// A client connection with its requests in flight and the progress of its input and output.
struct DownstreamClient {
  std::unique_ptr<net::Connection> connection;
  std::unordered_map<std::string, RequestId> requests;  // in flight, by tag
  std::size_t bytes_handled = 0;  // prefix of Unread() that was handled; consumed at the end of the round
  std::size_t bytes_scanned = 0;  // prefix of Unread() that was scanned for cancellations
  std::unordered_set<std::string> cancelled_tags;  // found by that scan; the calls are still unhandled
  net::DeliveryProgress delivery;        // of the responses, observed while a decision depends on it
  std::optional<Micros> last_unsent_at;  // see core::ConnectionActivity
  int checks_past_close = 0;             // drain checks since close_by (core/drain.hpp)
  bool has_response = false;             // at least one response has been written
  bool is_intake_paused = false;         // no new request is accepted
  bool is_ended = false;                 // either side has ended the connection; it may still linger
  bool has_partial_message = false;      // a further message after a response has arrived in part
  std::optional<Micros> partial_since;   // since when the message at the front of the input is incomplete

  /// While paused, cancellations are handled but no new request is accepted. Reading is scheduled when the
  /// pause ends.
  void SetIntakePaused(bool paused);
  /// Whether responses, or the end of our side, are still on their way to a client that goes on receiving.
  bool IsReceiving(Micros now, const net::StallTimeouts& timeouts);
  /// Returns what core::DecideEnd needs to know about this connection.
  core::ConnectionActivity Activity(Micros now);
};

}  // namespace tinspan::platform
