#include "front/platform/downstream_client.hpp"

#include <algorithm>
#include <utility>

namespace tinspan::platform {
namespace {

constexpr Micros kNewClientTime{50'000};
// For the rest of a message that has begun to arrive, since some clients write slowly; the second one counts
// from the point up to which clients are accepted.
constexpr Micros kPartialMessageTime{300'000};
constexpr Micros kMaxPartialMessageTime{600'000};

}  // namespace

void DownstreamClient::SetIntakePaused(bool paused) {
  if (std::exchange(is_intake_paused, paused) == paused || paused) return;
  connection->SetReadPaused(false);
  connection->ScheduleRead();
}

void DownstreamClient::StartProgress(Micros now) {
  last_progress_at = now;
  last_bytes_sent = connection->BytesSent();
}

void DownstreamClient::UpdateProgress(Micros now) {
  if (connection->BytesSent() != last_bytes_sent) StartProgress(now);
}

Micros DownstreamClient::StopDueAt(Micros now, Micros accept_until) const {
  Micros due_at = std::max(connection->OpenedAt(), connection->LastReceivedAt()) + kNewClientTime;
  if (has_response) due_at = now;
  if (!connection->Unread().empty()) due_at = connection->LastReceivedAt() + kPartialMessageTime;
  if (now >= accept_until) due_at = std::min(due_at, accept_until + kMaxPartialMessageTime);
  return due_at;
}

}  // namespace tinspan::platform
