// The records of an open request and its attempts.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

#include "routing/server.hpp"
#include "tinspan/router.hpp"

namespace tinspan {

struct Attempt {
  ServerIndex server = 0;
  ServerIndex source = 0;  // server to fill a miss from; equal to `server`: no fill
  Micros sent_at{0};
  bool is_in_flight = true;
  bool is_cancelled = false;
  bool was_reset = false;               // the connection was reset; the request may have been executed
  bool was_late = false;                // was in flight past its latency objective
  bool has_error = false;               // kError without a fill note: caused by the server or the request
  int own_summary = 0;                  // summary of the copy at the cache itself
  int sibling_summary = 0;              // above 0: the source is a sibling with this summary
  double fill_probability = 0;          // probability that it requests a fill from its source
  double ingress_probability = 0;       // probability that it uses the location's ingress link
  std::optional<ServerIndex> origin{};  // the origin behind the source, if that is a parent
  double origin_probability = 0;        // probability that the parent requests the origin
  bool is_parent_cached_only = false;   // the parent returns only cached copies, to protect the origin
  double transfer_time = 0;             // seconds; charged to the slow-start budgets of server and source

  bool HasSource() const { return source != server; }
  std::optional<ServerIndex> Source() const { return HasSource() ? std::optional(source) : std::nullopt; }
};

struct Request {
  RequestEvent event;
  ClassSettings traffic_class;  // copied when the request arrived; classes are never modified
  Micros deadline{0};
  std::uint32_t max_attempts =
      0;  // from the settings when the request arrived; UpdateSettings does not change it
  std::vector<Attempt> attempts;
  std::vector<ServerIndex> cache_order;  // caches in rendezvous order when the request arrived
  bool is_ended = false;                 // has its final response, or needs none
  bool is_streaming = false;
  bool was_served = false;  // by the last attempt that ended
  bool has_sibling_failed = false;
  std::optional<std::size_t> first_executed;  // index of the first attempt that may have been executed
  std::optional<Micros> executed_before_at;   // when an earlier try of the client may have been executed
  std::optional<Micros> begun_at;             // when the client may have sent its first try, at the earliest

  std::size_t InFlightCount() const {
    return static_cast<std::size_t>(std::count_if(
        attempts.begin(), attempts.end(), [](const Attempt& attempt) { return attempt.is_in_flight; }));
  }
};

}  // namespace tinspan
