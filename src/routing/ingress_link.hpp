// The link over which all fills of this location's caches come in.
#pragma once

#include "routing/averages.hpp"
#include "routing/capacity_estimator.hpp"
#include "routing/context.hpp"

namespace tinspan {

// Departure from the design: the link has a capacity of its own. With many parents theirs add up to far more
// than it carries, and fills that crawl hold all places for fills. Its load is this instance's own; caches
// that report the link's utilization speak for all instances of the location.
class IngressLink {
 public:
  IngressLink(const Context& context, const CapacityEstimator& capacity)
      : context_(context), capacity_(capacity) {}

  // The first capacity, once the location has caches.
  void InitializeCapacity(std::size_t cache_count);

  // Whether one more fill fits: by the reports while there are any, else by the own load.
  bool CanAccept(const Request& request) const;

  // Counts a fill in flight by the probability that it comes, until released.
  void Reserve(double fill_probability) { load_.expected_fills += fill_probability; }
  void Release(double fill_probability) { load_.expected_fills -= fill_probability; }

  // Takes in a cache's report, if it tells the utilization: 1 is a full link. Values that no link can have,
  // NaN too, are ignored.
  void RecordReport(const LoadReport& report);

  void RecordFill(bool is_late) { capacity_.RecordResponse(load_, is_late, ResponseKind::kFill); }
  void RecordRejection() { capacity_.RecordRejection(load_); }
  void RecordTimeout() { capacity_.Reduce(load_, ResponseKind::kFill); }

  // A fill was left by its request and may run on: during congestion it counts for a while. Such fills alone
  // never close the link: where clients withdraw by the hundred, only new fills tell that it is free again.
  void RecordAbandonedFill(double fill_probability);

  // Fills come late: what is late then is so by congestion, not by answers lost on the way.
  bool IsCongested() const;

 private:
  bool HasRecentReport() const;

  const Context& context_;
  const CapacityEstimator& capacity_;
  Load load_;
  RecentWork abandoned_fills_;
  double utilization_ = 0;  // as reports say
  Micros reported_at_{-1'000'000'000};
};

}  // namespace tinspan
