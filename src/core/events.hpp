// What a front reports to the RequestCoordinator.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "tinspan/router.hpp"

namespace tinspan::core {

/// A complete request has come in.
struct RequestReceived {
  RequestId id{};       // from RequestCoordinator::NextRequestId
  Micros time_left{0};  // from now until the client stops waiting
  ClassId class_id{};
  GroupId group{};
  ObjectId object{};
  std::uint32_t part = 0;
  double size_kb = 0;     // 0: not known
  bool is_retry = false;  // the client marked it as a repeat of its own
};

/// The client has gone or cancelled: no answer is owed any more.
struct ClientDisconnected {
  RequestId id{};
};

/// An attempt that had to wait for a connection has been written only now.
struct AttemptSent {
  RequestId id{};
  std::uint32_t attempt = 0;
};

/// The first bytes of a response are here and may be forwarded from now on.
struct ResponseStarted {
  RequestId id{};
  std::uint32_t attempt = 0;
  std::optional<Micros> issued_at{};  // when the origin issued the copy, where the server says so
};

/// An attempt is over on the wire.
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
  // For the flight recorder only; empty: not known.
  std::vector<EndpointName> names{};  // of the endpoint at the same position
  std::string source{};               // such as "changelog"
  std::uint64_t version = 0;          // the source's own number of the event
};

/// Copies from before a point in time must not be served any more.
struct PurgeReceived {
  Micros purged_at{0};
  GroupId group{};
  std::optional<ObjectId> object{};  // none: the whole group
};

/// A connection to a server broke under open requests; each of them is reported by AttemptCompleted as well.
struct ConnectionLost {
  ServerId server{};
  std::size_t open_requests = 0;
};

using Event = std::variant<RequestReceived, ClientDisconnected, ResponseStarted, AttemptCompleted,
                           EndpointsUpdated, PurgeReceived, ConnectionLost, AttemptSent>;

}  // namespace tinspan::core
