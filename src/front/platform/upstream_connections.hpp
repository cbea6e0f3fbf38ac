// The servers' side of the platform: the line protocol of shop caches, parents and the origin.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "config/config.hpp"
#include "core/request_coordinator.hpp"
#include "front/platform/downstream_connections.hpp"
#include "front/upstream_failure_log.hpp"
#include "net/connection_pool.hpp"
#include "net/response_timeout_estimator.hpp"

namespace tinspan::platform {

// Where a server is and what it is called on the wire.
struct Address {
  std::string name;
  net::Endpoint endpoint;
};

struct UpstreamConnectionState {
  struct Exchange {
    RequestId id{};
    std::uint32_t attempt = 0;
    std::uint64_t written = 0;  // the connection's count of queued bytes when the request was in; 0: not yet
    Micros at{0};
    Micros sending{0};  // what its answer's own bytes may take
  };
  std::unordered_map<std::string, Exchange> open;  // by the request's id on the wire
  // Ids that do not go out on this connection again: given up or failed on it, or answered unasked. A late or
  // a second answer could be taken for the new attempt's.
  std::unordered_set<std::string> burnt;
  bool up = false;                   // it has been open
  std::vector<std::string> waiting;  // for the connection to come up or to take more, in order
  std::size_t consume = 0;           // handled, still in the buffer
};

class UpstreamConnections final : public net::ConnectionPool<UpstreamConnectionState>::Callbacks {
 public:
  using Pool = net::ConnectionPool<UpstreamConnectionState>;
  using PooledConnection = Pool::PooledConnection;
  struct Served {
    bool same = false;
    std::string_view body;  // valid until the round ends
  };

  UpstreamConnections(net::EventLoop& loop, const config::Platform& config,
                      core::RequestCoordinator& coordinator, const DownstreamConnections& clients,
                      std::vector<core::Event>& events);

  void Know(ServerId id, Address address);
  void Forsake(ServerId id);  // gone: nothing new on its connections
  void ForsakeAllBut(const std::unordered_set<ServerId>& named);
  std::size_t Members() const { return addresses_.size(); }

  void Execute(Micros now, const core::StartAttempt& command);
  void Execute(Micros now, const core::AbortAttempt& command);
  // The answer of the attempt that was reported served in this round, or nothing.
  const Served* Answer(RequestId id) const;

  void SetReadPaused(bool hold);
  void EndRound(Micros now);
  front::UpstreamFailureLog& Failing() { return failing_; }

  void OnConnectionOpen(PooledConnection& pooled) override;
  void OnConnectionDrained(PooledConnection& pooled) override;
  void OnConnectionData(PooledConnection& pooled) override;
  void OnConnectionLost(PooledConnection& pooled) override;

 private:
  struct Out {
    PooledConnection* pooled = nullptr;
    core::StartAttempt send;
    bool moved = false;  // to a second connection, since the first broke before it was out
  };

  void Place(Micros now, const Asked& asked, Out out);
  // What is to be written, at the round's end: every STOP of a round goes before every request of it. A
  // server reads its connections in the order in which they became ready: with a request written first, the
  // next copy of another, behind it, would be read before the STOP that came between on another connection.
  void WriteDue(Micros now);
  void Put(Micros now, PooledConnection& pooled, const std::string& ref, const core::StartAttempt& send);
  void End(RequestId id, PooledConnection& pooled, core::AttemptCompleted ended);
  void Burn(PooledConnection& pooled, const std::string& ref);
  void Lose(PooledConnection& pooled, std::string_view why);
  // Gives up connections that owe answers and do not move.
  void Watch(Micros now);
  // Bytes that the message at the front of `unread` takes, 0: not whole yet, npos: no message at all.
  std::size_t Take(PooledConnection& pooled, std::string_view unread);

  const config::Platform& config_;
  core::RequestCoordinator& coordinator_;
  const DownstreamConnections& clients_;
  std::vector<core::Event>& events_;
  std::unordered_map<ServerId, Address> addresses_;
  std::unordered_map<RequestId, Out> out_;  // one attempt out at a time
  std::unordered_map<RequestId, Served> served_;
  bool held_ = false;
  net::EventLoop& loop_;
  net::ResponseTimeoutEstimator response_timeout_;
  std::optional<Micros> watch_;  // when Watch looks again
  struct Due {
    PooledConnection* pooled;  // valid until the sweep at the round's end
    std::string ref;
    bool waited;  // for its connection: the core is told that it is out
  };
  std::vector<Due> due_;
  front::UpstreamFailureLog failing_;
  Pool pool_;
};

}  // namespace tinspan::platform
