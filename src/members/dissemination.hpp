// Infection-style dissemination (SWIM, section 4.1): changes of members ride on the failure detector's
// messages, those sent the fewest times first, each one a bounded number of times.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "members/member_table.hpp"
#include "members/options.hpp"
#include "members/types.hpp"

namespace tinspan::members {

class DisseminationQueue {
 public:
  // All outlive this object.
  DisseminationQueue(const Options& options, const MemberTable& table, MembershipStats& stats)
      : options_(options), table_(table), stats_(stats) {}

  // Queues the present state of a member, in place of an older one of it.
  void Enqueue(const std::string& name);
  // Takes a member out of the queue.
  void Remove(const std::string& name);
  // The updates to piggyback on one message, within the budget of bytes; counts them as sent once more.
  std::vector<MemberUpdate> NextUpdates(Micros now);

 private:
  int TransmitLimit() const;
  void SetTransmitCount(const std::string& name, int count);

  const Options& options_;
  const MemberTable& table_;
  MembershipStats& stats_;
  std::map<std::string, int> transmits_by_name_;
  std::set<std::pair<int, std::string>> names_by_transmits_;
};

}  // namespace tinspan::members
