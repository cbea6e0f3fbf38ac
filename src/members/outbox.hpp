// The messages that one view has yet to send, stamped with its name and address.
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
  // Both outlive this object.
  Outbox(const MemberTable& table, DisseminationQueue& dissemination)
      : table_(table), dissemination_(dissemination) {}

  // Queues a message that carries just the given updates.
  void Send(Address destination, MessageBody body, std::vector<MemberUpdate> updates = {}) {
    Message message;
    message.from = table_.SelfName();
    message.from_address = table_.Self().address;
    message.updates = std::move(updates);
    message.body = std::move(body);
    datagrams_.push_back({.destination = destination, .message = std::move(message)});
  }
  // Queues a message with updates piggybacked from the dissemination queue.
  void SendWithGossip(Micros now, Address destination, MessageBody body) {
    Send(destination, std::move(body), dissemination_.NextUpdates(now));
  }
  // Takes all queued messages, in the order they were sent.
  std::vector<Datagram> Drain() { return std::exchange(datagrams_, {}); }

 private:
  const MemberTable& table_;
  DisseminationQueue& dissemination_;
  std::vector<Datagram> datagrams_;
};

}  // namespace tinspan::members
