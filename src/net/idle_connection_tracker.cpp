#include "net/idle_connection_tracker.hpp"

#include <algorithm>

namespace tinspan::net {
namespace {

// A connection without a request may be evicted after this fraction of `first_request_timeout`.
constexpr int kEvictionDivisor = 4;

}  // namespace

void IdleConnectionTracker::OnAccepted(std::uint64_t connection, Micros since) {
  Enqueue(connection, without_request_, since);
}

void IdleConnectionTracker::MarkActive(std::uint64_t connection) {
  const auto found = entries_.find(connection);
  if (found != entries_.end()) Unlink(found->second);
}

void IdleConnectionTracker::MarkIdle(std::uint64_t connection, Micros now) {
  Enqueue(connection, idle_, now);
}

void IdleConnectionTracker::Remove(std::uint64_t connection) {
  const auto found = entries_.find(connection);
  if (found == entries_.end()) return;
  Unlink(found->second);
  entries_.erase(found);
}

std::optional<std::uint64_t> IdleConnectionTracker::NextExpired(Micros now) {
  if (!without_request_.empty() && now - without_request_.front().since > limits_.first_request_timeout) {
    return PopFront(without_request_);
  }
  if (!idle_.empty() && now - idle_.front().since > limits_.idle_timeout) return PopFront(idle_);
  return std::nullopt;
}

std::optional<std::uint64_t> IdleConnectionTracker::EvictCandidate(Micros now) {
  const Micros eviction_threshold = limits_.first_request_timeout / kEvictionDivisor;
  if (!without_request_.empty() && now - without_request_.front().since > eviction_threshold) {
    return PopFront(without_request_);
  }
  if (!idle_.empty()) return PopFront(idle_);
  if (!without_request_.empty()) return PopFront(without_request_);
  return std::nullopt;
}

std::optional<Micros> IdleConnectionTracker::NextDeadline() const {
  std::optional<Micros> deadline;
  if (!without_request_.empty()) {
    deadline = without_request_.front().since + limits_.first_request_timeout;
  }
  if (!idle_.empty()) {
    deadline = std::min(deadline.value_or(Micros::max()), idle_.front().since + limits_.idle_timeout);
  }
  return deadline;
}

void IdleConnectionTracker::Unlink(Entry& entry) {
  if (entry.queue != nullptr) entry.queue->erase(entry.position);
  entry.queue = nullptr;
}

void IdleConnectionTracker::Enqueue(std::uint64_t connection, Queue& queue, Micros since) {
  Entry& entry = entries_[connection];
  Unlink(entry);
  auto position = queue.end();
  // A connection that was active and returns with its original accept time is sorted in by that time.
  if (!queue.empty() && since < queue.back().since) {
    position = std::find_if(queue.begin(), queue.end(),
                            [since](const WaitingConnection& waiting) { return waiting.since > since; });
  }
  entry = {&queue, queue.insert(position, {connection, since})};
}

std::uint64_t IdleConnectionTracker::PopFront(Queue& queue) {
  const std::uint64_t connection = queue.front().id;
  Remove(connection);
  return connection;
}

}  // namespace tinspan::net
