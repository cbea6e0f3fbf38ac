#include "routing/open_requests.hpp"

#include <algorithm>

#include "routing/hash.hpp"

namespace tinspan {

Request& OpenRequests::Add(const RequestEvent& event) {
  const Settings& settings = context_.settings;
  Request& request = requests_[ToNumber(event.id)];
  request.event = event;
  request.traffic_class = settings.classes[ToNumber(event.class_id)];
  request.max_attempts = settings.max_attempts;
  if (event.executed_ago) request.executed_before_at = context_.now - *event.executed_ago;
  if (event.begun_ago) request.begun_at = context_.now - *event.begun_ago;
  request.deadline = context_.now + std::max(event.time_left, Micros{0}) - settings.event_interval;
  return request;
}

Request* OpenRequests::Find(RequestId request_id) {
  const auto found = requests_.find(ToNumber(request_id));
  return found == requests_.end() ? nullptr : &found->second;
}

void OpenRequests::Remove(RequestId request_id) { requests_.erase(ToNumber(request_id)); }

void OpenRequests::Cancel(Request& request, std::size_t attempt) {
  request.attempts[attempt].is_cancelled = true;
  context_.Emit(CancelAttempt{request.event.id, static_cast<std::uint32_t>(attempt)});
}

void OpenRequests::CancelAll(Request& request) {
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    if (request.attempts[i].is_in_flight && !request.attempts[i].is_cancelled) Cancel(request, i);
  }
}

}  // namespace tinspan
