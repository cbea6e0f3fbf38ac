// What requests cost and what they earn: sending times, latency objectives, priority weights.
#pragma once

#include <vector>

#include "routing/averages.hpp"
#include "routing/context.hpp"
#include "routing/hash.hpp"
#include "routing/request.hpp"

namespace tinspan {

// Learns each class's mean sending time and the mean request of all classes. Times are in seconds.
class RequestCosts {
 public:
  explicit RequestCosts(const Context& context);

  // Settings may have gained classes.
  void OnSettingsChanged();

  void RecordRequest(const Request& request);

  // The sending time of a request whose size is not told, as its answer showed.
  void RecordTransferTime(const Request& request, Micros elapsed);

  // From the request's size where it is told, else its class's mean.
  double TransferTime(const Request& request) const;
  double MeanTransferTime(const Request& request) const {
    return transfer_times_[ToNumber(request.event.class_id)].Value();
  }
  double MaxMeanTransferTime() const;  // of all classes

  // Within this an answer earns the request's full priority weight.
  double LatencyObjective(const Request& request) const;

  // Priority weight that a second of sending the request earns, and the mean request; above 0.
  double ValueDensity(const Request& request) const;
  double MeanValueDensity() const;

 private:
  RunningMean& MeanOfClass(const Request& request) {
    return transfer_times_[ToNumber(request.event.class_id)];
  }

  const Context& context_;
  std::vector<RunningMean> transfer_times_;  // by class
  RunningMean priority_weight_;              // over all classes
  RunningMean transfer_time_;
};

}  // namespace tinspan
