// Limits the work sent to a server that is warming up after its start (slow start).
#pragma once

#include <array>

#include "routing/context.hpp"
#include "routing/request_costs.hpp"
#include "routing/server_table.hpp"

namespace tinspan {

// Time constant of the decay of recorded work, in seconds.
double WorkTimeConstant(const Settings& settings);

// Limits this instance's share of the work that all instances send to a server that is warming up, so that
// their sum does not overload it: a token bucket of transfer time for each such server, in
// Server::slow_start.
class SlowStartBudget {
 public:
  SlowStartBudget(const Context& context, ServerTable& servers, const RequestCosts& costs)
      : context_(context), servers_(servers), costs_(costs) {}

  bool IsWarmingUp(const Server& server) const { return CapacityShare(server) < 1; }

  // Whether a request may be sent to the server; always true if it is warm. Refills the budget.
  bool HasBudget(Server& server);

  // Records work, in seconds of transfer time, done by a server.
  void RecordWork(Server& server, double seconds) const {
    server.recent_work.Add(seconds, context_.now, WorkTimeConstant(context_.settings));
  }

  // Updates the mean rate of work that a warm server of the role gets from this instance.
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

  // The share of its full capacity that a server has at present.
  double CapacityShare(const Server& server) const;

  // This instance's share of a warm server's capacity, in seconds of transfer time per second. If capacities
  // are not advertised: the rate that warm servers of the role get from this instance, which is an
  // underestimate since those are not fully loaded.
  double OwnCapacityQuota(const Server& server) const;

  // Sets the initial budget after a server's start. Many instances are notified of the start at the same
  // time. Each begins with a negative budget of up to one request, which depends on its index, so that the
  // first requests of all instances are spread over time. No budget accrues for the time before this instance
  // started: instances that start late would all spend it at once.
  void InitializeBudget(Server& server) const;

  const Context& context_;
  ServerTable& servers_;
  const RequestCosts& costs_;
  std::array<RunningMean, kRoleCount> warm_work_rates_;  // by role; seconds of transfer time per second
};

}  // namespace tinspan
