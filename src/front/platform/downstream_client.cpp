#include "front/platform/downstream_client.hpp"

#include <utility>

namespace tinspan::platform {
void DownstreamClient::SetIntakePaused(bool paused) {
  if (std::exchange(is_intake_paused, paused) == paused || paused) return;
  connection->SetReadPaused(false);
  connection->ScheduleRead();
}

bool DownstreamClient::IsReceiving(Micros now, const net::StallTimeouts& timeouts) {
  const std::size_t undelivered_bytes = connection->UndeliveredBytes();
  if (undelivered_bytes == 0) {
    delivery.Stop();
    return false;
  }
  // The end of our side may count as one byte that was never queued.
  delivery.Observe(now, connection->BytesQueued() + 1 - undelivered_bytes);
  return !delivery.IsStalled(now, timeouts);
}

core::ConnectionActivity DownstreamClient::Activity(Micros now) {
  if (connection->UnsentBytes() > 0) last_unsent_at = now;
  return {.opened_at = connection->OpenedAt(),
          .last_received_at = connection->LastReceivedAt(),
          .in_flight = requests.size(),
          .backlog_bytes = connection->Backlog(),
          .last_unsent_at = last_unsent_at,
          .has_response = has_response,
          .has_partial_message = !connection->Unread().empty(),
          .has_pending_input = connection->HasPendingInput(),
          .checks_past_close = checks_past_close};
}

}  // namespace tinspan::platform
