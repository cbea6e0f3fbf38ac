// Which servers fail so often that they get health probes only.
#pragma once

#include "routing/context.hpp"
#include "routing/server_table.hpp"

namespace tinspan {

// Keeps one failure rate for each server, for caches, parents and the origin alike, in Server::health. A
// server is ejected at a high rate and readmitted at a low one. An ejected one gets single real requests as
// health probes, with a backoff that grows while they fail.
class OutlierDetector {
 public:
  OutlierDetector(const Context& context, ServerTable& servers) : context_(context), servers_(servers) {}

  // Evidence of an answer or a failure; `probability` is that of this server having caused it.
  void RecordSuccess(ServerIndex index, double probability = 1) { Record(index, false, probability); }
  void RecordFailure(ServerIndex index, double probability = 1) { Record(index, true, probability); }

  // Evidence that only a dead or silent server gives: no connection, no sign of life.
  void RecordUnreachable(ServerIndex index);

  // An attempt's connection broke. All that was open on it breaks at once: only the first one counts.
  void RecordReset(ServerIndex index, Micros sent_at);

  // A sign of life that is no answer to the request.
  void RecordResponsive(ServerIndex index) { servers_[index].health.last_responsive_at = context_.now; }
  bool WasResponsiveSince(ServerIndex index, Micros time) const {
    return servers_[index].health.last_responsive_at >= time;
  }

  // Whether an ejected server may have one more request as a health probe.
  bool IsProbeDue(const Server& server) const;

  // A request goes to the server: where it is ejected, that is its probe.
  void OnRequestSent(Server& server) const;

 private:
  // `evidence` is 1 for what this server surely gave itself.
  void Record(ServerIndex index, bool is_failure, double evidence);
  double MeanFailureRateOfPeers(ServerIndex index) const;

  const Context& context_;
  ServerTable& servers_;
};

}  // namespace tinspan
