#include "routing/request_costs.hpp"

#include <algorithm>

#include "routing/time_units.hpp"

namespace tinspan {
constexpr double kMinTransferTime = 1e-3;  // seconds, as a divisor
constexpr double kMinValueDensity = 1e-9;  // as a divisor
constexpr double kInitialPriorityWeight = 1;
constexpr double kInitialTransferTime = 1;  // seconds

RequestCosts::RequestCosts(const Context& context)
    : context_(context), priority_weight_(kInitialPriorityWeight), transfer_time_(kInitialTransferTime) {
  OnSettingsChanged();
}

void RequestCosts::OnSettingsChanged() {
  for (std::size_t i = transfer_times_.size(); i < context_.settings.classes.size(); ++i) {
    // Until one is seen, a whole latency objective: too high errs on the careful side.
    transfer_times_.emplace_back(ToSeconds(context_.settings.classes[i].latency_objective));
  }
}

void RequestCosts::RecordRequest(const Request& request) {
  const ClassSettings& traffic_class = context_.ClassOf(request.event);
  if (TransferTime(request) > ToSeconds(traffic_class.deadline)) return;  // no measure for others
  priority_weight_.Add(traffic_class.priority_weight);
  transfer_time_.Add(TransferTime(request));
  transfer_times_[ToNumber(request.event.class_id)].Add(TransferTime(request));
}

void RequestCosts::RecordTransferTime(const Request& request, Micros elapsed) {
  transfer_times_[ToNumber(request.event.class_id)].Add(ToSeconds(elapsed));
}

double RequestCosts::TransferTime(const Request& request) const {
  if (request.event.size_kb > 0 && context_.settings.transfer_rate_kb_per_s > 0) {
    return request.event.size_kb / context_.settings.transfer_rate_kb_per_s;
  }
  return MeanTransferTime(request);
}

double RequestCosts::MeanTransferTime(const Request& request) const {
  return transfer_times_[ToNumber(request.event.class_id)].Value();
}

double RequestCosts::MaxMeanTransferTime() const {
  const auto is_less = [](const RunningMean& one, const RunningMean& other) {
    return one.Value() < other.Value();
  };
  return std::max_element(transfer_times_.begin(), transfer_times_.end(), is_less)->Value();
}

double RequestCosts::LatencyObjective(const Request& request) const {
  const ClassSettings& traffic_class = context_.ClassOf(request.event);
  const double objective = ToSeconds(traffic_class.latency_objective) +
                           traffic_class.latency_objective_stretch * TransferTime(request);
  return std::min(objective, ToSeconds(traffic_class.deadline));
}

double RequestCosts::ValueDensity(const Request& request) const {
  const double priority_weight = context_.ClassOf(request.event).priority_weight;
  return priority_weight / std::max(TransferTime(request), kMinTransferTime);
}

double RequestCosts::MeanValueDensity() const {
  const double density = priority_weight_.Value() / std::max(transfer_time_.Value(), kMinTransferTime);
  return std::max(density, kMinValueDensity);
}

}  // namespace tinspan
