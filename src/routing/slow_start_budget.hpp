// What may be sent to a server that is warming up after its start.
#pragma once

#include <array>

#include "routing/context.hpp"
#include "routing/request_costs.hpp"
#include "routing/server_table.hpp"

namespace tinspan {

// How fast work is forgotten, in seconds.
double WorkTimeConstant(const Settings& settings);

// Holds this instance's part of what all instances send to a server that is warming up under what would
// overload it: a token bucket of sending time for each such server, in Server::slow_start.
class SlowStartBudget {
 public:
  SlowStartBudget(const Context& context, ServerTable& servers, const RequestCosts& costs)
      : context_(context), servers_(servers), costs_(costs) {}

  bool IsWarmingUp(const Server& server) const { return CapacityShare(server) < 1; }

  // Whether a request may be sent: always to a warm server. Refills the budget up to now.
  bool HasBudget(Server& server);

  // Adds the sending time, in seconds, that was asked of a server.
  void RecordWork(Server& server, double seconds) const {
    server.work.Add(seconds, context_.now, WorkTimeConstant(context_.settings));
  }

  // Learns from the warm servers of a role what one of them gets from this instance.
  void UpdateWarmWorkRate(Role role);

 private:
  struct Limits {
    double initial_capacity_share;
    Micros warm_up_time;
    double overload_multiple;
  };

  const RunningMean& WarmWorkRate(Role role) const {
    return warm_work_rates_[static_cast<std::size_t>(role)];
  }
  RunningMean& WarmWorkRate(Role role) { return warm_work_rates_[static_cast<std::size_t>(role)]; }
  Limits LimitsOf(const Server& server) const;

  // The part of its capacity that a server has by now.
  double CapacityShare(const Server& server) const;

  // This instance's part of a warm server's capacity, in sending time a second. Where sizes are not told,
  // what warm servers of the role get from us; that is low, since they are not full.
  double OwnPartOfCapacity(const Server& server) const;

  // Many instances hear of a start at once. Each begins in debt by its own place among them, up to one
  // request, so that their first requests come as evenly as their budgets allow, summed over all. What was
  // not sent before this instance started is not made up for: all that start late would do so at once.
  void OpenBudget(Server& server) const;

  const Context& context_;
  ServerTable& servers_;
  const RequestCosts& costs_;
  std::array<RunningMean, kRoleCount> warm_work_rates_;  // by role; seconds of sending time a second
};

}  // namespace tinspan
