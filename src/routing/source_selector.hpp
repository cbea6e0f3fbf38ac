// Selects the server from which a cache fills a miss.
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

// The key of a copy: identifies one part of an object.
std::uint64_t CopyKey(const RequestEvent& event);

struct SiblingChoice {
  ServerIndex server;
  int summary;  // summary of the copy at the sibling; above 0
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

  // The summary of a copy at a cache; 0 for servers without a counter.
  int Summary(ServerIndex index, std::uint64_t copy_key);

  // The sibling with the highest summary; empty if the probability that any sibling has the copy is below
  // epsilon. Deviations from the design: no sibling is used while a purge of the copy is stored (the counts
  // then include invalid copies), nor one that is ejected or warming up.
  std::optional<SiblingChoice> TopSibling(const Request& request, ServerIndex cache);

  // The object's first parent in rendezvous order that has slow-start budget and is not ejected (or is due
  // for a health probe), else the origin. If the origin is ejected too, an ejected parent. Returns `cache`
  // itself if there is no server to fill from.
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
