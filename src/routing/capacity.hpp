// How many own requests a server, and the location's ingress link, bear at once, and which requests still
// fit.
#pragma once

#include <cstdint>

#include "routing/averages.hpp"
#include "routing/context.hpp"
#include "routing/request_costs.hpp"
#include "routing/server_table.hpp"

namespace tinspan {

// What a response says about a capacity: a fast one widens it, a slow or rejected one narrows it.
enum class ResponseKind { kHit, kFill, kRejection };

// A number from 0 to under 1, the same for a request however often it is drawn, another for each salt.
double AdmissionDraw(const Request& request, std::uint64_t salt);

// Learns the capacities of caches from hits and of sources from fills and keeps them in Load. Guards
// against any overload, whatever made the load or the slowness.
class CapacityEstimator {
 public:
  CapacityEstimator(const Context& context, ServerTable& servers, const RequestCosts& costs)
      : context_(context), servers_(servers), costs_(costs) {}

  // Gives usable servers that have no capacity yet their first.
  void InitializeCapacities();

  // What a link, or one of some alike sources, bears of the fills of some caches, until responses show more
  // or less.
  double FirstFillCapacity(std::size_t caches, std::size_t sources, Senders senders) const;

  // Takes in whether a response came late: the capacity grows where it is used, or is reduced.
  void RecordResponse(Load& load, bool is_late, ResponseKind kind) const;
  void RecordRejection(Load& load) const { RecordResponse(load, true, ResponseKind::kRejection); }

  // Reduces the capacity by as much as a late response of the kind does.
  void Reduce(Load& load, ResponseKind kind) const;

  // Whether one more request fits, on top of `extra` that the load does not count. Requests that earn little
  // for their sending time get a smaller part of the capacity. Of a capacity under one request, that part of
  // the requests fits, by AdmissionDraw.
  bool HasCapacity(const Load& load, const Request& request, double extra = 0) const;

 private:
  // This instance's part of as much as some caches bear, with a margin, since the peaks of many instances
  // seldom meet; one request of any kind at least.
  double InitialCapacity(double cache_count, Senders senders) const;

  // The part of a capacity that is open to a request: what earns little is rejected first.
  double CapacityShare(const Request& request) const;

  const Context& context_;
  ServerTable& servers_;
  const RequestCosts& costs_;
};

// The link over which all fills of this location's caches come in.
//
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
  DecayingSum abandoned_fills_;
  double utilization_ = 0;  // as reports say
  Micros reported_at_{-1'000'000'000};
};

}  // namespace tinspan
