// Admission control: estimates how many concurrent requests of this instance a server or the location's
// ingress link can handle, and decides whether one more request fits.
#pragma once

#include <cstdint>

#include "routing/averages.hpp"
#include "routing/context.hpp"
#include "routing/request_costs.hpp"
#include "routing/server_table.hpp"

namespace tinspan {

// The kind of response that a capacity is updated with. Each kind has its own reduction factor.
enum class ResponseKind { kHit, kFill, kRejection };

// A pseudo-random number in [0, 1) that depends only on the request id and the salt.
double AdmissionDraw(const Request& request, std::uint64_t salt);

// Estimates the capacities of caches from hits and of sources from fills, and stores them in Load. Protects
// against overload independently of its cause.
class CapacityEstimator {
 public:
  CapacityEstimator(const Context& context, ServerTable& servers, const RequestCosts& costs)
      : context_(context), servers_(servers), costs_(costs) {}

  // Sets the initial capacity of usable servers that have none yet.
  void InitializeCapacities();

  // Initial capacity of one of `sources` equal sources (or of a link, with 1) for the fills of `caches`
  // caches. Responses adjust it later.
  double FirstFillCapacity(std::size_t caches, std::size_t sources, Senders senders) const;

  // Updates the capacity after a response: a late one reduces it, one in time increases it if the load is
  // more than half of the capacity.
  void RecordResponse(Load& load, bool is_late, ResponseKind kind) const;
  void RecordRejection(Load& load) const { RecordResponse(load, true, ResponseKind::kRejection); }

  // Reduces the capacity by the factor of a late response of this kind.
  void Reduce(Load& load, ResponseKind kind) const;

  // Whether one more request fits, given `extra` requests that the load does not include. Requests with a low
  // value density (priority weight per second of transfer time) may use only a part of the capacity. A
  // capacity below 1 admits that share of the requests, selected by AdmissionDraw.
  bool HasCapacity(const Load& load, const Request& request, double extra = 0) const;

 private:
  // This instance's share of the capacity of `cache_count` caches, with a margin because the peaks of many
  // instances rarely coincide. Large enough for at least one request of any value density.
  double InitialCapacity(double cache_count, Senders senders) const;

  // The share of a capacity that a request may use; requests with a low value density are rejected first.
  double CapacityShare(const Request& request) const;

  const Context& context_;
  ServerTable& servers_;
  const RequestCosts& costs_;
};

// The link over which all fills of this location's caches arrive.
//
// Deviation from the design: the link has a capacity of its own. With many parents, the sum of their
// capacities is far above what the link carries, and the slow fills that follow occupy all fill slots. The
// link's load counts the attempts of this instance only; the utilization that caches report covers all
// instances of the location.
class IngressLink {
 public:
  IngressLink(const Context& context, const CapacityEstimator& capacity)
      : context_(context), capacity_(capacity) {}

  // Sets the initial capacity when the location has its first caches.
  void InitializeCapacity(std::size_t cache_count);

  // Whether one more fill fits: yes if a recent report shows a low utilization; otherwise depends on this
  // instance's own load, and with an overloaded link on AdmissionDraw as well.
  bool CanAccept(const Request& request) const;

  // Adds an expected fill, weighted by its probability, to the load, and removes it.
  void Reserve(double fill_probability) { load_.expected_fills += fill_probability; }
  void Release(double fill_probability) { load_.expected_fills -= fill_probability; }

  // Processes the link utilization (1: full) in a cache's load report, if present. Impossible values,
  // including NaN, are ignored.
  void RecordReport(const LoadReport& report);

  void RecordFill(bool is_late) { capacity_.RecordResponse(load_, is_late, ResponseKind::kFill); }
  void RecordRejection() { capacity_.RecordRejection(load_); }
  void RecordTimeout() { capacity_.Reduce(load_, ResponseKind::kFill); }

  // Records a fill that may continue after its request was abandoned. During congestion it counts as load
  // that decays over time. The total of these fills is limited so that they alone never block the link: if
  // hundreds of clients disconnect, only new fills can show that the link is free again.
  void RecordAbandonedFill(double fill_probability);

  // Whether more than a small share of fills is late. If so, other late responses are attributed to
  // congestion and not to lost responses.
  bool IsCongested() const;

 private:
  bool HasRecentReport() const;

  const Context& context_;
  const CapacityEstimator& capacity_;
  Load load_;
  DecayingSum abandoned_fills_;
  double utilization_ = 0;  // smoothed, from load reports
  Micros reported_at_{-1'000'000'000};
};

}  // namespace tinspan
