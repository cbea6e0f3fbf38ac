// The requests without a final response or with attempts in flight.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "routing/context.hpp"
#include "routing/request.hpp"

namespace tinspan {

// Owns the records of the open requests, by id. A reference stays valid until its request is removed.
class OpenRequests {
 public:
  explicit OpenRequests(Context& context) : context_(context) {}

  // Adds a record. The caller has checked that the id is not open and that the class exists.
  Request& Add(const RequestEvent& event);

  // Returns null if no such request is open.
  Request* Find(RequestId request_id);

  void Remove(RequestId request_id);

  // Emits CancelAttempt for one attempt, or for all in flight that are not cancelled yet.
  void Cancel(Request& request, std::size_t attempt);
  void CancelAll(Request& request);

 private:
  Context& context_;
  std::unordered_map<std::uint64_t, Request> requests_;  // never iterated: its order is unspecified
};

}  // namespace tinspan
