#include "timeline/offsets.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace tinspan::timeline {
namespace {

constexpr std::int64_t kUnbounded = std::numeric_limits<std::int64_t>::max() / 4;

std::int64_t Sum(std::int64_t left, std::int64_t right) {
  return left >= kUnbounded || right >= kUnbounded ? kUnbounded : left + right;
}

}  // namespace

Offsets::Offsets(std::size_t clocks, const std::vector<Evidence>& evidence)
    : clocks_(clocks), upper_bounds_(clocks * clocks, kUnbounded) {
  for (std::size_t i = 0; i < clocks; ++i) UpperBound(i, i) = 0;
  std::map<std::pair<std::size_t, std::size_t>, std::vector<std::size_t>> by_pair;
  for (std::size_t i = 0; i < evidence.size(); ++i) {
    const Evidence& item = evidence[i];
    if (item.first_clock != item.second_clock)
      by_pair[std::minmax(item.first_clock, item.second_clock)].push_back(i);
  }
  std::vector<PairConstraint> constraints;
  for (const auto& [pair, indices] : by_pair) {
    PairConstraint& constraint = constraints.emplace_back();
    constraint.first_clock = pair.first;
    constraint.second_clock = pair.second;
    IntersectEvidence(evidence, indices, constraint);
  }
  // The best supported constraint comes first: each later one must be consistent with those before it.
  std::stable_sort(
      constraints.begin(), constraints.end(),
      [](const PairConstraint& x, const PairConstraint& y) { return x.support_count > y.support_count; });
  for (const PairConstraint& constraint : constraints) {
    if (!AddConstraint(constraint))
      contradictions_.insert(contradictions_.end(), constraint.evidence_indices.begin(),
                             constraint.evidence_indices.end());
  }
  std::sort(contradictions_.begin(), contradictions_.end());
  std::size_t max_agreeing = 0;
  for (std::size_t i = 0; i < clocks; ++i) {
    std::size_t agreeing = 0;
    for (std::size_t j = 0; j < clocks; ++j) {
      const auto difference = Between(i, j);
      if (j != i && difference && difference->Contains(Micros{0})) ++agreeing;
    }
    if (agreeing > max_agreeing) {
      max_agreeing = agreeing;
      reference_ = i;
    }
  }
}

// Finds the interval in which most of a pair's evidence agrees; the evidence outside it is contradictory.
void Offsets::IntersectEvidence(const std::vector<Evidence>& evidence,
                                const std::vector<std::size_t>& indices, PairConstraint& out) {
  const auto oriented_difference = [&](std::size_t index) {
    const Evidence& item = evidence[index];
    return item.first_clock == out.first_clock ? item.difference
                                               : Interval{-item.difference.max, -item.difference.min};
  };
  std::vector<std::pair<Micros, int>> endpoints;  // start: -1, end: 1, so that a start sorts before an end
  for (const std::size_t index : indices) {
    const Interval difference = oriented_difference(index);
    endpoints.emplace_back(difference.min, -1);
    endpoints.emplace_back(difference.max, 1);
  }
  std::sort(endpoints.begin(), endpoints.end());
  std::size_t depth = 0;
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    if (endpoints[i].second > 0) {
      --depth;
    } else if (++depth > out.support_count) {
      out.support_count = depth;
      out.difference = {endpoints[i].first, endpoints[i + 1].first};
    }
  }
  for (const std::size_t index : indices) {
    const Interval difference = oriented_difference(index);
    const bool is_consistent = difference.min <= out.difference.min && out.difference.max <= difference.max;
    (is_consistent ? out.evidence_indices : contradictions_).push_back(index);
  }
}

bool Offsets::AddConstraint(const PairConstraint& constraint) {
  const std::int64_t max = constraint.difference.max.count(), min = constraint.difference.min.count();
  // A negative cycle means that the constraint contradicts the bounds so far.
  if (Sum(max, UpperBound(constraint.second_clock, constraint.first_clock)) < 0 ||
      Sum(-min, UpperBound(constraint.first_clock, constraint.second_clock)) < 0)
    return false;
  const auto tighten = [this](std::size_t from, std::size_t to, std::int64_t bound) {
    if (bound >= UpperBound(from, to)) return;
    for (std::size_t i = 0; i < clocks_; ++i) {
      for (std::size_t j = 0; j < clocks_; ++j) {
        UpperBound(i, j) =
            std::min(UpperBound(i, j), Sum(Sum(UpperBound(i, from), bound), UpperBound(to, j)));
      }
    }
  };
  tighten(constraint.first_clock, constraint.second_clock, max);
  tighten(constraint.second_clock, constraint.first_clock, -min);
  return true;
}

std::optional<Interval> Offsets::Between(std::size_t first_clock, std::size_t second_clock) const {
  if (UpperBound(first_clock, second_clock) >= kUnbounded ||
      UpperBound(second_clock, first_clock) >= kUnbounded)
    return std::nullopt;
  return Interval{Micros{-UpperBound(second_clock, first_clock)},
                  Micros{UpperBound(first_clock, second_clock)}};
}

}  // namespace tinspan::timeline
