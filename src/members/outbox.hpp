// The queue of messages to send of one view. It sets each message's sender name and address.
#pragma once

#include <utility>
#include <vector>

#include "members/dissemination.hpp"
#include "members/member_table.hpp"
#include "members/message.hpp"
#include "members/types.hpp"

namespace tinspan::members {

class Outbox {
 public:
  // Both arguments must outlive this object.
  Outbox(const MemberTable& table, DisseminationQueue& dissemination)
      : table_(table), dissemination_(dissemination) {}

  // Queues a message with the given updates only.
  void Send(Address destination, MessageBody body, std::vector<MemberUpdate> updates = {}) {
    Message message;
    message.from = table_.SelfName();
    message.from_address = table_.Self().address;
    message.updates = std::move(updates);
    message.body = std::move(body);
    datagrams_.push_back({.destination = destination, .message = std::move(message)});
  }
  // Queues a message with piggybacked updates from the dissemination queue.
  void SendWithGossip(Micros now, Address destination, MessageBody body) {
    Send(destination, std::move(body), dissemination_.NextUpdates(now));
  }
  // Removes and returns all queued messages, in the order in which they were queued.
  std::vector<Datagram> Drain() { return std::exchange(datagrams_, {}); }

 private:
  const MemberTable& table_;
  DisseminationQueue& dissemination_;
  std::vector<Datagram> datagrams_;
};

}  // namespace tinspan::members
