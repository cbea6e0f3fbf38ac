// Encodes the request that the gateway sends to a server. No I/O.
#pragma once

#include <string>
#include <string_view>

#include "front/http/access.hpp"
#include "front/http/downstream_connections.hpp"
#include "tinspan/router.hpp"

namespace tinspan::http {

/// What a request to a server says beside the client's request and the attempt.
struct UpstreamRequestOptions {
  std::string_view authority;     // of the Host field
  std::string_view gateway_name;  // of the Via field
  std::string_view fill_source;   // name of the server that fills a miss; empty: none
  const Signer& signer;
  UnixTime signed_at;
  UnixTime signed_until;
};

/// Returns the request line and the header fields, without the empty line behind them.
std::string EncodeRequestHead(const PendingRequest& request, const SendAttempt& action,
                              const UpstreamRequestOptions& options);

}  // namespace tinspan::http
