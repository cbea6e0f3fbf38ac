#include "timeline/offsets.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace tinspan::timeline {
namespace {

constexpr std::int64_t kUnknown = std::numeric_limits<std::int64_t>::max() / 4;

std::int64_t Sum(std::int64_t a, std::int64_t b) { return a >= kUnknown || b >= kUnknown ? kUnknown : a + b; }

}  // namespace

Offsets::Offsets(std::size_t clocks, const std::vector<Evidence>& evidence)
    : clocks_(clocks), most_(clocks * clocks, kUnknown) {
  for (std::size_t i = 0; i < clocks; ++i) Most(i, i) = 0;
  std::map<std::pair<std::size_t, std::size_t>, std::vector<std::size_t>> by_pair;
  for (std::size_t i = 0; i < evidence.size(); ++i) {
    const Evidence& one = evidence[i];
    if (one.a != one.b) by_pair[std::minmax(one.a, one.b)].push_back(i);
  }
  std::vector<Edge> edges;
  for (const auto& [pair, places] : by_pair) {
    Edge& edge = edges.emplace_back();
    edge.a = pair.first;
    edge.b = pair.second;
    Judge(evidence, places, edge);
  }
  // The best supported first: what comes later has to hold with it.
  std::stable_sort(edges.begin(), edges.end(),
                   [](const Edge& x, const Edge& y) { return x.support > y.support; });
  for (const Edge& edge : edges) {
    if (!Take(edge)) impossible_.insert(impossible_.end(), edge.members.begin(), edge.members.end());
  }
  std::sort(impossible_.begin(), impossible_.end());
  std::size_t best = 0;
  for (std::size_t i = 0; i < clocks; ++i) {
    std::size_t agree = 0;
    for (std::size_t j = 0; j < clocks; ++j) {
      const auto apart = Between(i, j);
      if (j != i && apart && apart->Holds(Micros{0})) ++agree;
    }
    if (agree > best) {
      best = agree;
      reference_ = i;
    }
  }
}

// The stretch in which most of a pair's evidence agrees; the rest is impossible beside it.
void Offsets::Judge(const std::vector<Evidence>& evidence, const std::vector<std::size_t>& places,
                    Edge& out) {
  const auto turned = [&](std::size_t place) {
    const Evidence& one = evidence[place];
    return one.a == out.a ? one.apart : Interval{-one.apart.most, -one.apart.least};
  };
  std::vector<std::pair<Micros, int>> ends;  // a beginning before an end at the same place
  for (const std::size_t place : places) {
    const Interval apart = turned(place);
    ends.emplace_back(apart.least, -1);
    ends.emplace_back(apart.most, 1);
  }
  std::sort(ends.begin(), ends.end());
  std::size_t depth = 0;
  for (std::size_t i = 0; i < ends.size(); ++i) {
    if (ends[i].second > 0) {
      --depth;
    } else if (++depth > out.support) {
      out.support = depth;
      out.apart = {ends[i].first, ends[i + 1].first};
    }
  }
  for (const std::size_t place : places) {
    const Interval apart = turned(place);
    const bool holds = apart.least <= out.apart.least && out.apart.most <= apart.most;
    (holds ? out.members : impossible_).push_back(place);
  }
}

bool Offsets::Take(const Edge& edge) {
  const std::int64_t most = edge.apart.most.count(), least = edge.apart.least.count();
  // Nothing may be left over of a way round to where it began.
  if (Sum(most, Most(edge.b, edge.a)) < 0 || Sum(-least, Most(edge.a, edge.b)) < 0) return false;
  const auto add = [this](std::size_t from, std::size_t to, std::int64_t bound) {
    if (bound >= Most(from, to)) return;
    for (std::size_t i = 0; i < clocks_; ++i) {
      for (std::size_t j = 0; j < clocks_; ++j) {
        Most(i, j) = std::min(Most(i, j), Sum(Sum(Most(i, from), bound), Most(to, j)));
      }
    }
  };
  add(edge.a, edge.b, most);
  add(edge.b, edge.a, -least);
  return true;
}

std::optional<Interval> Offsets::Between(std::size_t a, std::size_t b) const {
  if (Most(a, b) >= kUnknown || Most(b, a) >= kUnknown) return std::nullopt;
  return Interval{Micros{-Most(b, a)}, Micros{Most(a, b)}};
}

}  // namespace tinspan::timeline
