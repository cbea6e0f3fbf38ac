// Finds connections that may still deliver a request which must not reach its server any more. The system
// keeps what it has taken from us and not delivered, for example while the server does not read. No I/O but
// the query of a socket's state.
#pragma once

#include <optional>
#include <string_view>

#include "front/platform/upstream_exchange.hpp"

namespace tinspan::platform {

/// How long a peer may delay the acknowledgement of bytes that it has received (TCP delayed acknowledgement).
inline constexpr Micros kMaxAcknowledgementDelay{200'000};

/// Whether the request of the exchange has arrived at the server's system as far as the server needs it.
bool IsDelivered(const UpstreamPool::PooledConnection& pooled, const UpstreamExchange& exchange);

/// Returns why the connection must be reset now, or nullopt if it need not be: a request on it was given up
/// and its delivery is overdue, or a repeat was not delivered in time.
std::optional<std::string_view> FindOverdueDelivery(Micros now, const UpstreamPool::PooledConnection& pooled);

/// Returns when FindOverdueDelivery may next find something, or nullopt if nothing is awaited.
std::optional<Micros> NextDeliveryDeadline(const UpstreamPool::PooledConnection& pooled);

}  // namespace tinspan::platform
