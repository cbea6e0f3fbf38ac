// How many own requests a server bears at once, and which requests still fit.
#pragma once

#include <cstdint>

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

  // What a link or one of `source_count` alike sources bears of the fills of `cache_count` caches, until
  // responses show more or less.
  double InitialFillCapacity(std::size_t cache_count, std::size_t source_count, Senders senders) const;

  // Takes in whether a response came late: the capacity grows where it is used, or is reduced.
  void RecordResponse(Load& load, bool is_late, ResponseKind kind) const;
  void RecordRejection(Load& load) const { RecordResponse(load, true, ResponseKind::kRejection); }

  // Reduces the capacity by as much as a late response of the kind does.
  void Reduce(Load& load, ResponseKind kind) const;

  // Whether one more request fits, on top of `extra` that the load does not count. Requests that earn little
  // for their sending time get a smaller part of the capacity. Of a capacity under one request, that part of
  // the requests fits; `salt` draws them.
  bool HasCapacity(const Load& load, std::uint64_t salt, const Request& request, double extra = 0) const;
  bool HasCapacity(const Server& server, const Request& request) const {
    return HasCapacity(server.load, ToNumber(server.endpoint.id), request);
  }

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

}  // namespace tinspan
