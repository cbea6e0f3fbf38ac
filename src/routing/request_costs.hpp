// The cost and value of requests: transfer times, latency objectives and priority weights.
#pragma once

#include <vector>

#include "routing/averages.hpp"
#include "routing/context.hpp"
#include "routing/hash.hpp"
#include "routing/request.hpp"

namespace tinspan {

// Maintains the mean transfer time of each class and the mean request over all classes. Times are in seconds.
class RequestCosts {
 public:
  explicit RequestCosts(const Context& context);

  // Call this after the settings have changed; they may have new classes.
  void OnSettingsChanged();

  void RecordRequest(const Request& request);

  // Records the measured transfer time of a request of unknown size.
  void RecordTransferTime(const Request& request, Micros elapsed);

  // From the size of the request if known, else the mean of its class.
  double TransferTime(const Request& request) const;
  double MeanTransferTime(const Request& request) const {
    return transfer_times_[ToNumber(request.event.class_id)].Value();
  }
  double MaxMeanTransferTime() const;  // greatest mean of all classes

  // A response within this time earns the request's full priority weight.
  double LatencyObjective(const Request& request) const;

  // Priority weight per second of transfer time, of the request and of the mean request (always above 0).
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
