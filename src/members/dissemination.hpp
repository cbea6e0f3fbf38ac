// Infection-style dissemination (SWIM, section 4.1): updates about members are piggybacked on the failure
// detector's messages. The least often sent updates go first, and each one is sent a bounded number of times.
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
  // All arguments must outlive this object.
  DisseminationQueue(const Options& options, const MemberTable& table, MembershipStats& stats)
      : options_(options), table_(table), stats_(stats) {}

  // Queues the member of that name, with its count of transmissions reset to 0.
  void Enqueue(const std::string& name);
  // Removes a member from the queue, if it is queued.
  void Remove(const std::string& name);
  // The updates to piggyback on one message, within Options::update_budget_bytes and kMaxUpdatesPerMessage.
  // Counts each of them as sent once more, and removes those that reached the limit.
  std::vector<MemberUpdate> NextUpdates(Micros now);

 private:
  // How often one update is sent; grows with the logarithm of the fleet's size.
  int TransmitLimit() const;
  void SetTransmitCount(const std::string& name, int count);

  const Options& options_;
  const MemberTable& table_;
  MembershipStats& stats_;
  std::map<std::string, int> transmits_by_name_;
  std::set<std::pair<int, std::string>> names_by_transmits_;
};

}  // namespace tinspan::members
