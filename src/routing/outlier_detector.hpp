// Ejects servers that fail often; these get health probes only.
#pragma once

#include "routing/context.hpp"
#include "routing/server_table.hpp"

namespace tinspan {

// Maintains a failure rate for each cache, parent and origin in Server::health. A server is ejected at a high
// failure rate and readmitted at a low one. An ejected server gets single client requests as health probes,
// with a backoff that grows while they fail.
class OutlierDetector {
 public:
  OutlierDetector(const Context& context, ServerTable& servers) : context_(context), servers_(servers) {}

  // Records a success or a failure; `probability` is the probability that this server caused it.
  void RecordSuccess(ServerIndex index, double probability = 1) { Record(index, false, probability); }
  void RecordFailure(ServerIndex index, double probability = 1) { Record(index, true, probability); }

  // Records a failure that only a stopped or unresponsive server causes: no connection, or no response at
  // all.
  void RecordUnreachable(ServerIndex index);

  // Records a reset connection. All attempts open on it are reset together; only the first reset counts as a
  // failure.
  void RecordReset(ServerIndex index, Micros sent_at);

  // Records that the server responded, without evidence of a success or a failure.
  void RecordResponsive(ServerIndex index) { servers_[index].health.last_responsive_at = context_.now; }
  bool WasResponsiveSince(ServerIndex index, Micros time) const {
    return servers_[index].health.last_responsive_at >= time;
  }

  // Whether an ejected server may get another request as a health probe.
  bool IsProbeDue(const Server& server) const;

  // Call this when a request is sent to the server. If it is ejected, the request counts as its health probe.
  void OnRequestSent(Server& server) const;

 private:
  // `evidence` is the weight of the result; 1 if this server is certainly its cause.
  void Record(ServerIndex index, bool is_failure, double evidence);
  double MeanFailureRateOfPeers(ServerIndex index) const;

  const Context& context_;
  ServerTable& servers_;
};

}  // namespace tinspan
