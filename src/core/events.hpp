// Events that a front reports to the RequestCoordinator.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "tinspan/router.hpp"

namespace tinspan::core {

/// Identifies what all tries of one request by its client have in common; see MakeOperationId.
enum class OperationId : std::uint64_t {};

/// Makes the id from an idempotency key, or from the id of a request that has none. Different texts have, but
/// for a negligible chance, different ids.
inline OperationId MakeOperationId(std::string_view text) {
  return OperationId{std::hash<std::string_view>{}(text)};
}

/// A complete request was received.
struct RequestReceived {
  RequestId id{};       // from RequestCoordinator::NextRequestId
  Micros time_left{0};  // from now until the client's deadline
  ClassId class_id{};
  GroupId group{};
  ObjectId object{};
  std::uint32_t part = 0;
  double size_kb = 0;       // 0: unknown
  bool is_retry = false;    // the client marked it as a retry
  OperationId operation{};  // the same for all tries of one request; 0: unknown
};

/// The client disconnected or cancelled the request: it needs no response any more.
struct ClientDisconnected {
  RequestId id{};
};

/// An attempt that had waited for a connection was written.
struct AttemptSent {
  RequestId id{};
  std::uint32_t attempt = 0;
};

/// The first bytes of a response were received and can be forwarded.
struct ResponseStarted {
  RequestId id{};
  std::uint32_t attempt = 0;
  std::optional<Micros> issued_at{};  // when the origin issued the copy, if the server reports it
};

/// An attempt has ended on the wire.
struct AttemptCompleted {
  RequestId id{};
  std::uint32_t attempt = 0;
  Outcome outcome = Outcome::kServed;
  FillNote note = FillNote::kNone;
  std::optional<Micros> fill_wait{};
  LoadReport load{};
  std::optional<Micros> issued_at{};
};

/// A watch event of the endpoint list.
struct EndpointsUpdated {
  struct EndpointName {
    std::string name;
    std::string address;
  };

  EndpointsEvent::Kind kind = EndpointsEvent::Kind::kFull;
  std::vector<EndpointInfo> endpoints{};
  // For the flight recorder only; empty: unknown.
  std::vector<EndpointName> names{};  // by the position in `endpoints`
  std::string source{};               // such as "changelog"
  std::uint64_t version = 0;          // the event's number at the source
};

/// A purge: copies issued before `purged_at` must not be served any more.
struct PurgeReceived {
  Micros purged_at{0};
  GroupId group{};
  std::optional<ObjectId> object{};  // empty: the whole group
};

/// A connection to a server was lost. Each request open on it is reported by AttemptCompleted as well.
struct ConnectionLost {
  ServerId server{};
  std::size_t open_requests = 0;
};

using Event = std::variant<RequestReceived, ClientDisconnected, ResponseStarted, AttemptCompleted,
                           EndpointsUpdated, PurgeReceived, ConnectionLost, AttemptSent>;

}  // namespace tinspan::core
