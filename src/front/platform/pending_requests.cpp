#include "front/platform/pending_requests.hpp"

#include <utility>

namespace tinspan::platform {

void PendingRequests::Add(RequestId id, PendingRequest request) {
  references_.insert(request.reference);
  body_bytes_ += request.body.size();
  requests_.emplace(id, std::move(request));
}

void PendingRequests::Remove(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  body_bytes_ -= found->second.body.size();
  references_.erase(found->second.reference);
  requests_.erase(found);
}

const PendingRequest* PendingRequests::Find(RequestId id) const {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

}  // namespace tinspan::platform
