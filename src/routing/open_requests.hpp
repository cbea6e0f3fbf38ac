// The requests that have no final answer yet, or attempts in flight.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "routing/context.hpp"
#include "routing/request.hpp"

namespace tinspan {

// Owns the requests' records, by id. References stay valid until the request is removed.
class OpenRequests {
 public:
  explicit OpenRequests(Context& context) : context_(context) {}

  // A new record, of a request whose id and class are known to be good.
  Request& Add(const RequestEvent& event);

  // Null where no such request is open.
  Request* Find(RequestId request_id);

  void Remove(RequestId request_id);

  // Asks the caller to cancel an attempt, or all that are in flight.
  void Cancel(Request& request, std::size_t attempt);
  void CancelAll(Request& request);

 private:
  Context& context_;
  std::unordered_map<std::uint64_t, Request> requests_;  // looked up only, never walked
};

}  // namespace tinspan
