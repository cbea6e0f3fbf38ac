// The suspicions of one view: who is suspected, by whom, and when each suspected member is declared dead.
// SWIM's suspicion subprotocol (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style
// Process Group Membership Protocol", section 4.2) with Lifeguard's dynamic time-out ("Lifeguard: Local
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
  // Both outlive this object.
  SuspicionTracker(const Options& options, MemberTable& table) : options_(options), table_(table) {}

  // Starts the suspicion of a member that is now in state suspect.
  void Start(Member& member, const std::string& suspector);
  // Adds a suspector, which shortens the suspicion. False: it was known as one already.
  bool Confirm(Member& member, const std::string& suspector);
  // Ends the suspicion of a member that is no longer suspect.
  void ClearSuspicion(Member& member);
  // Starts the time of every suspicion anew at `now`, its suspectors kept.
  void RestartAll(Micros now);

  // The name of a member whose suspicion has run out by `now`, the earliest first.
  std::optional<std::string> FirstExpired(Micros now) const;
  // When the next suspicion runs out; Micros::max() where there is none.
  Micros NextDeadline() const;
  // How long a suspicion lasts after so many confirmations (suspectors beyond the first): from beta times the
  // least down to the least of alpha * log10(n) probe intervals.
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
