#include "members/suspicion.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "members/member_table.hpp"
#include "members/types.hpp"

namespace tinspan::members {

void SuspicionTracker::Start(Member& member, const std::string& suspector) {
  member.suspectors = {suspector};
  member.latest_suspector = suspector;
  UpdateDeadline(member);
}

bool SuspicionTracker::Confirm(Member& member, const std::string& suspector) {
  if (!member.suspectors.insert(suspector).second) return false;
  member.latest_suspector = suspector;
  UpdateDeadline(member);
  return true;
}

void SuspicionTracker::ClearSuspicion(Member& member) {
  member.suspectors.clear();
  RemoveDeadline(member.name);
}

void SuspicionTracker::RestartAll(Micros now) {
  std::vector<std::string> names;
  names.reserve(deadline_by_name_.size());
  for (const auto& [name, deadline] : deadline_by_name_) names.push_back(name);
  for (const std::string& name : names) {
    Member& member = table_.At(name);
    member.state_since = now;
    UpdateDeadline(member);
  }
}

std::optional<std::string> SuspicionTracker::FirstExpired(Micros now) const {
  if (names_by_deadline_.empty() || names_by_deadline_.begin()->first > now) return std::nullopt;
  return names_by_deadline_.begin()->second;
}

Micros SuspicionTracker::NextDeadline() const {
  return names_by_deadline_.empty() ? Micros::max() : names_by_deadline_.begin()->first;
}

Micros SuspicionTracker::Timeout(std::size_t confirmations) const {
  const auto live = static_cast<double>(std::max<std::size_t>(table_.LiveCount(), 1));
  const auto interval = static_cast<double>(options_.probe_interval.count());
  const double shortest = options_.suspicion_alpha * std::max(1.0, std::log10(live)) * interval;
  const double longest = options_.suspicion_beta * shortest;
  const double expected = std::max(options_.indirect_probes, 1);
  const double progress = std::log(static_cast<double>(confirmations) + 1) / std::log(expected + 1);
  return Micros{static_cast<std::int64_t>(std::max(shortest, longest - ((longest - shortest) * progress)))};
}

void SuspicionTracker::UpdateDeadline(Member& member) {
  RemoveDeadline(member.name);
  const std::size_t confirmations = member.suspectors.empty() ? 0 : member.suspectors.size() - 1;
  member.suspicion_deadline = member.state_since + Timeout(confirmations);
  deadline_by_name_[member.name] = member.suspicion_deadline;
  names_by_deadline_.insert({member.suspicion_deadline, member.name});
}

void SuspicionTracker::RemoveDeadline(const std::string& name) {
  const auto found = deadline_by_name_.find(name);
  if (found == deadline_by_name_.end()) return;
  names_by_deadline_.erase({found->second, name});
  deadline_by_name_.erase(found);
}

}  // namespace tinspan::members
