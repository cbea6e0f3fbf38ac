// Where a cache fills a miss from.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "routing/context.hpp"
#include "routing/copy_statistics.hpp"
#include "routing/outlier_detector.hpp"
#include "routing/purge_ledger.hpp"
#include "routing/request.hpp"
#include "routing/server_table.hpp"
#include "routing/slow_start_budget.hpp"

namespace tinspan {

// What a copy is a copy of: one part of an object.
std::uint64_t CopyKey(const RequestEvent& event);

struct SiblingChoice {
  ServerIndex server;
  int summary;  // the sibling's, of the copy; above 0
};

class SourceSelector {
 public:
  SourceSelector(const Context& context, ServerTable& servers, const OutlierDetector& outliers,
                 SlowStartBudget& slow_start, const PurgeLedger& purges, HitStatistics& hits)
      : context_(context),
        servers_(servers),
        outliers_(outliers),
        slow_start_(slow_start),
        purges_(purges),
        hits_(hits) {}

  // The summary of a copy at a cache; 0 at servers without a counter.
  int Summary(ServerIndex index, std::uint64_t copy_key);

  // The sibling with the highest summary, where the probability of an avoidable miss reaches epsilon.
  // Departures from the design: no sibling while a purge is remembered (counts stand for void copies), and
  // none that is ejected or warming up.
  std::optional<SiblingChoice> TopSibling(const Request& request, ServerIndex cache);

  // The object's parent in rendezvous order, the next where one is ejected or has no slow-start budget, the
  // origin where none is left. The cache itself where there is nobody to fill from.
  ServerIndex Upstream(const Request& request, ServerIndex cache);

 private:
  bool CanBeSibling(ServerIndex index) const;

  const Context& context_;
  ServerTable& servers_;
  const OutlierDetector& outliers_;
  SlowStartBudget& slow_start_;
  const PurgeLedger& purges_;
  HitStatistics& hits_;
};

}  // namespace tinspan
