// The requests of all clients that have no final response yet.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "front/platform/pending_request.hpp"
#include "tinspan/router.hpp"

namespace tinspan::platform {

/// Owns the pending requests and counts the bytes of their bodies. Not thread-safe.
class PendingRequests {
 public:
  /// `request.reference` must not be in use.
  void Add(RequestId id, PendingRequest request);
  /// Does nothing if there is no such request.
  void Remove(RequestId id);
  /// Returns null if there is no such request. The pointer is valid until the request is removed.
  const PendingRequest* Find(RequestId id) const;
  /// Whether a pending request uses this reference.
  bool HasReference(const std::string& reference) const { return references_.contains(reference); }
  std::size_t Count() const { return requests_.size(); }
  std::size_t BodyBytes() const { return body_bytes_; }

 private:
  std::unordered_map<RequestId, PendingRequest> requests_;
  std::unordered_set<std::string> references_;
  std::size_t body_bytes_ = 0;
};

}  // namespace tinspan::platform
