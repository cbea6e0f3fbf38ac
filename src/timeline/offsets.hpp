// Estimates the offsets between the clocks of several instances from what they observed in common. Pure.
//
// Each piece of evidence bounds the difference of two clocks by an interval. The offset of any two clocks is
// the interval that follows from all consistent evidence (difference constraints, closed under the triangle
// inequality). Evidence that contradicts the better supported rest is reported and not used for any offset:
// it is never averaged in.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "tinspan/router.hpp"

namespace tinspan::timeline {

struct Interval {
  Micros min{0};
  Micros max{0};
  Micros Midpoint() const { return min + (max - min) / 2; }
  Micros Uncertainty() const { return (max - min + Micros{1}) / 2; }
  bool Contains(Micros value) const { return min <= value && value <= max; }
};

// What one common observation says about two clocks.
struct Evidence {
  std::size_t first_clock = 0, second_clock = 0;  // indices
  Interval difference;                            // the second clock minus the first
  std::string description;                        // for the report
};

class Offsets {
 public:
  Offsets(std::size_t clocks, const std::vector<Evidence>& evidence);

  // The second clock minus the first; empty if no evidence links them.
  std::optional<Interval> Between(std::size_t first_clock, std::size_t second_clock) const;
  // The clock that agrees with most others, to which all times are converted. 0 if no clocks agree.
  std::size_t Reference() const { return reference_; }
  // Sorted indices of the evidence that contradicts the rest.
  const std::vector<std::size_t>& Contradictions() const { return contradictions_; }

 private:
  // All consistent evidence on one pair of clocks.
  struct PairConstraint {
    std::size_t first_clock = 0, second_clock = 0;
    Interval difference;
    std::size_t support_count = 0;  // pieces of evidence that agree
    std::vector<std::size_t> evidence_indices;
  };
  void IntersectEvidence(const std::vector<Evidence>& evidence, const std::vector<std::size_t>& indices,
                         PairConstraint& out);
  // False, without a change, if it contradicts the constraints added before.
  bool AddConstraint(const PairConstraint& constraint);
  std::int64_t& UpperBound(std::size_t from, std::size_t to) { return upper_bounds_[from * clocks_ + to]; }
  std::int64_t UpperBound(std::size_t from, std::size_t to) const {
    return upper_bounds_[from * clocks_ + to];
  }

  std::size_t clocks_;
  std::vector<std::int64_t> upper_bounds_;  // of clock `to` minus clock `from`, at from * clocks_ + to
  std::size_t reference_ = 0;
  std::vector<std::size_t> contradictions_;
};

}  // namespace tinspan::timeline
