// The state of one Router except its open requests; connects the components.
#pragma once

#include "routing/averages.hpp"
#include "routing/capacity.hpp"
#include "routing/context.hpp"
#include "routing/copy_statistics.hpp"
#include "routing/outlier_detector.hpp"
#include "routing/purge_ledger.hpp"
#include "routing/request_costs.hpp"
#include "routing/retry_policy.hpp"
#include "routing/schedule.hpp"
#include "routing/server_table.hpp"
#include "routing/slow_start_budget.hpp"
#include "routing/source_selector.hpp"

namespace tinspan {

// Not copyable or movable, since the components hold references to each other.
struct RoutingState {
  explicit RoutingState(const Settings& settings) : context{.settings = settings} {}
  RoutingState(const RoutingState&) = delete;
  RoutingState(RoutingState&&) = delete;
  RoutingState& operator=(const RoutingState&) = delete;
  RoutingState& operator=(RoutingState&&) = delete;
  ~RoutingState() = default;

  Context context;
  ServerTable servers{context};
  HitStatistics hits;
  PurgeLedger purges{context};
  RequestCosts costs{context};
  OutlierDetector outliers{context, servers};
  SlowStartBudget slow_start{context, servers, costs};
  CapacityEstimator capacity{context, servers, costs};
  IngressLink ingress{context, capacity};
  SourceSelector sources{context, servers, outliers, slow_start, purges, hits};
  AttemptRules rules{context, servers};
  RetryBudget retries;
  RunningMean late_attempt_rate;  // share of recent own attempts that were past their latency objective
  Schedule schedule{context};
};

}  // namespace tinspan
