// One client's connection to the platform's front.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "core/drain.hpp"
#include "net/connection.hpp"
#include "tinspan/router.hpp"

namespace tinspan::platform {

/// A client's connection, what is in flight on it, and how far its input and output have got.
struct DownstreamClient {
  std::unique_ptr<net::Connection> connection;
  std::unordered_map<std::string, RequestId> requests;  // in flight, by tag
  std::size_t bytes_handled = 0;                   // at the front of Unread(), consumed at the round's end
  std::size_t bytes_scanned = 0;                   // of Unread(), searched for cancellations
  std::unordered_set<std::string> cancelled_tags;  // found by that search: their calls are yet to come
  std::uint64_t last_bytes_sent = 0;
  Micros last_progress_at{0};        // when last_bytes_sent changed
  int looks_past_close = 0;          // of a drain (core/drain.hpp)
  bool has_response = false;         // some response was written to it
  bool is_intake_paused = false;     // no new request is taken from it
  bool is_ended = false;             // by either side; it may still linger
  bool has_partial_message = false;  // a message after a response has begun to arrive

  /// While paused no new request is taken; cancellations are. Reading is scheduled when the pause ends.
  void SetIntakePaused(bool paused);
  /// Begins to watch whether the client takes its responses.
  void StartProgress(Micros now);
  /// Looks whether it has taken some since the last look.
  void UpdateProgress(Micros now);
  /// What a drain has to know of it.
  core::ConnectionActivity Activity() const;
};

}  // namespace tinspan::platform
