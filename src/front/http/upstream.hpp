// The servers' side of the gateway: HTTP/1.1 to signing servers, one exchange at a time on a connection.
//
// What the module orders goes out in standard fields: `Cache-Control: max-age=N` is the oldest copy that will
// do, `only-if-cached` asks for no fill. The rest (source of a fill, rank of the copy, and how) stands in
// `Tinspan-Fill: source=NODE/ID; keep=1; join; peek; pass; renew`, which a server may leave unread.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.hpp"
#include "core/request_coordinator.hpp"
#include "front/http/access.hpp"
#include "front/http/clients.hpp"
#include "front/http/http1.hpp"
#include "front/upstream_failure_log.hpp"
#include "net/connection_pool.hpp"

namespace tinspan::http {

struct UpstreamConnectionState {
  RequestId id{};
  std::uint32_t attempt = 0;
  bool busy = false;     // an exchange is under way
  bool waiting = false;  // for the connection to come up
  bool headed = false;   // the answer's head has been read
  bool relayed = false;  // its client may have it
  bool discard = false;  // nobody may
  bool to_head = false;  // it answers a HEAD
  bool keep = true;      // the server goes on with the connection
  bool held = false;     // its client is slow
  std::uint64_t written = 0;
  std::string head;  // the answer's, as the client gets it
  FillNote note = FillNote::kNone;
  BodyReader body;
};

class Upstream final : public net::ConnectionPool<UpstreamConnectionState>::Callbacks {
 public:
  using Pool = net::ConnectionPool<UpstreamConnectionState>;
  using PooledConnection = Pool::PooledConnection;

  Upstream(net::EventLoop& loop, const config::Http& config, core::RequestCoordinator& coordinator,
           Clients& clients, const Signer& signer, std::vector<core::Event>& events);

  struct Address {
    std::string name;
    net::Endpoint endpoint;
  };
  void Know(ServerId id, Address address) { addresses_[id] = std::move(address); }
  void Forsake(ServerId id) {
    pool_.RetireServer(static_cast<std::uint64_t>(id));
    addresses_.erase(id);  // over a long day many come and go
  }

  void Execute(Micros now, const core::StartAttempt& command);
  void Execute(Micros now, const core::AbortAttempt& command);
  void Execute(Micros now, const core::ForwardResponse& command);
  void EndRound(Micros now);
  front::UpstreamFailureLog& Failing() { return failing_; }

  void OnConnectionOpen(PooledConnection& pooled) override;
  void OnConnectionData(PooledConnection& pooled) override { Pump(pooled); }
  void OnConnectionLost(PooledConnection& pooled) override;

 private:
  struct Out {
    PooledConnection* pooled = nullptr;
    core::StartAttempt send;
  };
  void Put(Micros now, PooledConnection& pooled, const core::StartAttempt& send);
  void Pump(PooledConnection& pooled);
  bool ReadHead(PooledConnection& pooled);  // false: not whole yet, or the exchange is over
  void Tell(PooledConnection& pooled, core::AttemptCompleted ended);
  void Free(PooledConnection& pooled);                    // the exchange is over on the wire as well
  void Break(PooledConnection& pooled, Outcome outcome);  // the connection cannot be used any more

  const config::Http& config_;
  core::RequestCoordinator& coordinator_;
  Clients& clients_;
  const Signer& signer_;
  std::vector<core::Event>& events_;
  std::unordered_map<ServerId, Address> addresses_;
  std::unordered_map<RequestId, Out> out_;
  front::UpstreamFailureLog failing_;
  Pool pool_;
};

}  // namespace tinspan::http
