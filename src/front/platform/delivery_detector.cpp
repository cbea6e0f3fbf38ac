#include "front/platform/delivery_detector.hpp"

#include <algorithm>

namespace tinspan::platform {

bool IsDelivered(const UpstreamPool::PooledConnection& pooled, const UpstreamExchange& exchange) {
  return pooled.connection.BytesDelivered() >= exchange.request_end;
}

std::optional<std::string_view> FindOverdueDelivery(Micros now,
                                                    const UpstreamPool::PooledConnection& pooled) {
  if (!pooled.connection.IsOpen()) return std::nullopt;
  const std::uint64_t delivered = pooled.connection.BytesDelivered();
  for (const AwaitedDelivery& given_up : pooled.state.given_up) {
    const bool is_overdue = now >= given_up.due_at && delivered < given_up.end;
    if (is_overdue) return "request not delivered when it was given up";
  }
  for (const auto& [reference, exchange] : pooled.state.exchanges) {
    const bool is_due = exchange.IsWritten() && exchange.deliver_by && now >= *exchange.deliver_by;
    if (is_due && delivered < exchange.request_end) return "repeat not delivered within its window";
  }
  return std::nullopt;
}

std::optional<Micros> NextDeliveryDeadline(const UpstreamPool::PooledConnection& pooled) {
  if (!pooled.connection.IsOpen()) return std::nullopt;
  const std::uint64_t delivered = pooled.connection.BytesDelivered();
  Micros next = Micros::max();
  for (const AwaitedDelivery& given_up : pooled.state.given_up) {
    if (delivered < given_up.end) next = std::min(next, given_up.due_at);
  }
  for (const auto& [reference, exchange] : pooled.state.exchanges) {
    const bool is_awaited = exchange.IsWritten() && exchange.deliver_by && delivered < exchange.request_end;
    if (is_awaited) next = std::min(next, *exchange.deliver_by);
  }
  return next == Micros::max() ? std::nullopt : std::optional(next);
}

}  // namespace tinspan::platform
