#include "routing/request_costs.hpp"

#include <algorithm>

#include "routing/time_units.hpp"

namespace tinspan {

constexpr double kNewRequestWeight = 0.05;  // weight of one request in the means
constexpr double kMinTransferTime = 1e-3;   // seconds; avoids a division by 0
constexpr double kMinValueDensity = 1e-9;   // avoids a division by 0
constexpr double kInitialPriorityWeight = 1;
constexpr double kInitialTransferTime = 1;  // seconds

RequestCosts::RequestCosts(const Context& context)
    : context_(context), priority_weight_(kInitialPriorityWeight), transfer_time_(kInitialTransferTime) {
  OnSettingsChanged();
}

void RequestCosts::OnSettingsChanged() {
  for (std::size_t i = transfer_times_.size(); i < context_.settings.classes.size(); ++i) {
    // Until the first request, the mean is the latency objective: too high a value is the safe side.
    transfer_times_.emplace_back(ToSeconds(context_.settings.classes[i].latency_objective));
  }
}

void RequestCosts::RecordRequest(const Request& request) {
  // A request that cannot be sent before its deadline would distort the means.
  if (TransferTime(request) > ToSeconds(request.traffic_class.deadline)) return;
  priority_weight_.Add(request.traffic_class.priority_weight, kNewRequestWeight);
  transfer_time_.Add(TransferTime(request), kNewRequestWeight);
  MeanOfClass(request).Add(TransferTime(request), kNewRequestWeight);
}

void RequestCosts::RecordTransferTime(const Request& request, Micros elapsed) {
  MeanOfClass(request).Add(ToSeconds(elapsed), kNewRequestWeight);
}

double RequestCosts::TransferTime(const Request& request) const {
  if (request.event.size_kb > 0 && context_.settings.transfer_rate_kb_per_s > 0) {
    return request.event.size_kb / context_.settings.transfer_rate_kb_per_s;
  }
  return MeanTransferTime(request);
}

double RequestCosts::MaxMeanTransferTime() const {
  return std::ranges::max(transfer_times_, {}, &RunningMean::Value).Value();
}

double RequestCosts::LatencyObjective(const Request& request) const {
  const ClassSettings& traffic_class = request.traffic_class;
  const double stretch = traffic_class.latency_objective_stretch * TransferTime(request);
  return std::min(ToSeconds(traffic_class.latency_objective) + stretch, ToSeconds(traffic_class.deadline));
}

double RequestCosts::ValueDensity(const Request& request) const {
  return request.traffic_class.priority_weight / std::max(TransferTime(request), kMinTransferTime);
}

double RequestCosts::MeanValueDensity() const {
  const double density = priority_weight_.Value() / std::max(transfer_time_.Value(), kMinTransferTime);
  return std::max(density, kMinValueDensity);
}

}  // namespace tinspan
