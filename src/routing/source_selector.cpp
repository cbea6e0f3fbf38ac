#include "routing/source_selector.hpp"

namespace tinspan {

constexpr double kEpsilon = 0.2;  // minimum probability, as in the design

std::uint64_t CopyKey(const RequestEvent& event) { return MixHash(ToNumber(event.object), event.part); }

int SourceSelector::Summary(ServerIndex index, std::uint64_t copy_key) {
  Server& server = servers_[index];
  if (!server.counter) return 0;
  server.counter->Slide(context_.now);
  return server.counter->Summary(copy_key);
}

std::optional<SiblingChoice> SourceSelector::TopSibling(const Request& request, ServerIndex cache) {
  if (context_.settings.sibling_scope == SiblingScope::kOff) return std::nullopt;
  if (purges_.LatestPurge(request.event)) return std::nullopt;
  std::optional<SiblingChoice> best;
  double all_miss = 1;                                   // probability that no sibling has the copy
  for (const ServerIndex index : request.cache_order) {  // ties: the first in this order
    if (index == cache || !CanBeSibling(index)) continue;
    const int summary = Summary(index, CopyKey(request.event));
    if (summary == 0) continue;
    all_miss *= 1 - hits_.sibling_fills.At(summary).Value();
    if (!best || summary > best->summary) best = SiblingChoice{index, summary};
  }
  return 1 - all_miss >= kEpsilon ? best : std::nullopt;
}

bool SourceSelector::CanBeSibling(ServerIndex index) const {
  const Server& server = servers_[index];
  return IsUsable(server) && !server.health.is_ejected && !slow_start_.IsWarmingUp(server);
}

ServerIndex SourceSelector::Upstream(const Request& request, ServerIndex cache) {
  std::optional<ServerIndex> ejected_parent;
  if (!request.traffic_class.is_write) {
    for (const ServerIndex index : servers_.RendezvousOrder(Role::kParent, request.event.object)) {
      Server& parent = servers_[index];
      if (!slow_start_.HasBudget(parent)) continue;
      if (!parent.health.is_ejected || outliers_.IsProbeDue(parent)) return index;
      ejected_parent = index;
    }
  }
  const std::optional<ServerIndex> origin = servers_.Origin();
  if (origin && (!servers_[*origin].health.is_ejected || !ejected_parent)) return *origin;
  return ejected_parent.value_or(cache);
}

}  // namespace tinspan
