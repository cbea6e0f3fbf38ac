// A client's request from its arrival until its final response.
#pragma once

#include <cstdint>
#include <string>

namespace tinspan::platform {

/// The parts of a request that go on to a server unchanged. It owns them: a retry may need them long after
/// the buffer that they came in is gone.
struct PendingRequest {
  std::uint64_t connection = 0;  // the client's connection, by its number
  std::string tag;               // the client's own number of the request on its connection
  std::string reference;         // the request's id on the wire, the same towards every server
  std::string class_name;
  std::string object;
  std::string part;
  std::string idempotency_key;
  std::string cached_copy;  // the copy that the client holds; empty: none
  std::string body;
  double size_kb = 0;  // of the response, as the client expects it; 0: not known
};

}  // namespace tinspan::platform
