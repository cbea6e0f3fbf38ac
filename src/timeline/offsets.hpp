// How far the clocks of several instances stand apart, told from what they saw together. Pure.
//
// Each piece of evidence says that one clock less another lies in an interval. All that can hold together is
// kept, and the offset of any two clocks is known as the interval that follows from all of it (difference
// constraints, closed under the triangle inequality). Evidence that cannot hold with the better supported
// rest is flagged and has no part in any offset: an impossible one is never averaged away.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "tinspan/router.hpp"

namespace tinspan::timeline {

struct Interval {
  Micros least{0};
  Micros most{0};
  Micros Middle() const { return least + (most - least) / 2; }
  Micros Uncertainty() const { return (most - least + Micros{1}) / 2; }
  bool Holds(Micros value) const { return least <= value && value <= most; }
};

struct Evidence {
  std::size_t a = 0, b = 0;  // clocks
  Interval apart;            // of b's clock less a's
  std::string what;          // for people
};

class Offsets {
 public:
  Offsets(std::size_t clocks, const std::vector<Evidence>& evidence);

  // b's clock less a's; nothing where no evidence links them.
  std::optional<Interval> Between(std::size_t a, std::size_t b) const;
  // The clock that agrees with most others; all times are best told by it. 0 where there is none to choose.
  std::size_t Reference() const { return reference_; }
  // Places in `evidence` of what cannot hold.
  const std::vector<std::size_t>& Impossible() const { return impossible_; }

 private:
  struct Edge {  // all evidence on one pair
    std::size_t a = 0, b = 0;
    Interval apart;
    std::size_t support = 0;
    std::vector<std::size_t> members;
  };
  void Judge(const std::vector<Evidence>& evidence, const std::vector<std::size_t>& places, Edge& out);
  bool Take(const Edge& edge);
  std::int64_t& Most(std::size_t a, std::size_t b) { return most_[a * clocks_ + b]; }
  std::int64_t Most(std::size_t a, std::size_t b) const { return most_[a * clocks_ + b]; }

  std::size_t clocks_;
  std::vector<std::int64_t> most_;  // an upper bound on clock b less clock a
  std::size_t reference_ = 0;
  std::vector<std::size_t> impossible_;
};

}  // namespace tinspan::timeline
