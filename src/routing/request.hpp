// What a Router remembers of an open request and its attempts. Plain records: nothing is decided here.
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
  ServerIndex source = 0;  // of a fill; the server itself: no fill
  Micros sent_at{0};
  bool is_in_flight = true;
  bool is_cancelled = false;
  bool was_reset = false;               // its answer broke off; the work may be done
  bool was_late = false;                // it was in flight past its latency objective
  bool has_error = false;               // answered `error`: its server's fault or the request's
  int own_summary = 0;                  // the cache's own summary of the copy
  int sibling_summary = 0;              // above 0: the source is a sibling with this summary
  double fill_probability = 0;          // that it asks its source
  double ingress_probability = 0;       // that it uses the location's ingress link
  std::optional<ServerIndex> origin{};  // the origin behind a parent that is the source
  double origin_probability = 0;        // that the parent asks the origin
  bool is_parent_cached_only = false;   // the parent gives only what it has cached, to protect the origin
  double transfer_time = 0;             // charged to the slow-start budgets of server and source, seconds

  bool HasSource() const { return source != server; }
  std::optional<ServerIndex> Source() const { return HasSource() ? std::optional(source) : std::nullopt; }
};

struct Request {
  RequestEvent event;
  ClassSettings traffic_class;  // as it was when the request came; a class never changes
  Micros deadline{0};
  std::uint32_t max_attempts = 0;  // as the settings said when it came; Retune does not change it
  std::vector<Attempt> attempts;
  std::vector<ServerIndex> cache_order;  // rendezvous order of the caches when it came
  bool is_ended = false;                 // has its final answer, or needs none
  bool is_streaming = false;
  bool was_served = false;  // by the last attempt that ended
  bool has_sibling_failed = false;
  std::optional<std::size_t> first_executed;  // number of the first attempt that may have run

  std::size_t InFlightCount() const {
    return static_cast<std::size_t>(
        std::count_if(attempts.begin(), attempts.end(), [](const Attempt& one) { return one.is_in_flight; }));
  }
};

}  // namespace tinspan
