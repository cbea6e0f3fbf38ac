// The suspicions of one view: the suspected members, their suspectors, and when each of them is declared
// dead. SWIM's suspicion subprotocol (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style
// Process Group Membership Protocol", section 4.2) with Lifeguard's dynamic timeout ("Lifeguard: Local
// Health Awareness for More Accurate Failure Detection", section III.B).
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "members/member_table.hpp"
#include "members/options.hpp"
#include "members/types.hpp"

namespace tinspan::members {

class SuspicionTracker {
 public:
  // Both arguments must outlive this object.
  SuspicionTracker(const Options& options, MemberTable& table) : options_(options), table_(table) {}

  // Starts the suspicion of a member whose state has been set to suspect.
  void Start(Member& member, const std::string& suspector);
  // Adds a suspector, which shortens the timeout. Returns false where the suspector was already known.
  bool Confirm(Member& member, const std::string& suspector);
  // Ends the suspicion of a member that is no longer suspect.
  void ClearSuspicion(Member& member);
  // Restarts the timeout of every suspicion at `now`. The suspectors are kept.
  void RestartAll(Micros now);

  // The member whose suspicion timed out first, at `now` or before; none where no suspicion has timed out.
  std::optional<std::string> FirstExpired(Micros now) const;
  // When the next suspicion times out; Micros::max() where there is no suspicion.
  Micros NextDeadline() const;
  // The suspicion timeout after that many confirmations (suspectors beyond the first). The shortest timeout
  // is alpha * log10(n) probe intervals, with the logarithm at least 1. Without a confirmation the timeout is
  // beta times as long; confirmations reduce it to the shortest.
  Micros Timeout(std::size_t confirmations) const;

 private:
  void UpdateDeadline(Member& member);
  void RemoveDeadline(const std::string& name);

  const Options& options_;
  MemberTable& table_;
  std::map<std::string, Micros> deadline_by_name_;
  std::set<std::pair<Micros, std::string>> names_by_deadline_;
};

}  // namespace tinspan::members
