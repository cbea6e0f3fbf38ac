// A client's request, from its arrival until its final response.
#pragma once

#include <cstdint>
#include <string>

namespace tinspan::platform {

/// The parts of a request that are forwarded to a server unchanged, and where the response goes. It owns its
/// strings, since a retry may need them after the receive buffer has been freed.
struct PendingRequest {
  std::uint64_t connection = 0;  // number of the client connection
  std::string tag;               // the client's number for this request, unique on its connection
  std::string reference;         // the request id on the wire, the same for every server
  std::string class_name;
  std::string object;
  std::string part;
  std::string idempotency_key;
  std::string cached_copy;  // name of the copy that the client holds; empty if none
  std::string body;
  double size_kb = 0;  // response size that the client expects, in KB; 0 if unknown
};

}  // namespace tinspan::platform
