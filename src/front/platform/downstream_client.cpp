#include "front/platform/downstream_client.hpp"

#include <utility>

namespace tinspan::platform {
void DownstreamClient::SetIntakePaused(bool paused) {
  if (std::exchange(is_intake_paused, paused) == paused || paused) return;
  connection->SetReadPaused(false);
  connection->ScheduleRead();
}

void DownstreamClient::ResetWriteProgress(Micros now) {
  last_progress_at = now;
  last_bytes_sent = connection->BytesSent();
}

void DownstreamClient::UpdateWriteProgress(Micros now) {
  if (connection->BytesSent() != last_bytes_sent) ResetWriteProgress(now);
}

core::ConnectionActivity DownstreamClient::Activity() const {
  return {.opened_at = connection->OpenedAt(),
          .last_received_at = connection->LastReceivedAt(),
          .in_flight = requests.size(),
          .backlog_bytes = connection->Backlog(),
          .has_response = has_response,
          .has_partial_message = !connection->Unread().empty(),
          .has_pending_input = connection->HasPendingInput(),
          .checks_past_close = checks_past_close};
}

}  // namespace tinspan::platform
