// SWIM's failure detector (Das, Gupta, Motivala, section 3.1): once an interval one member is pinged, and if
// it does not answer in time, other members are asked to ping it. Members are probed round-robin over a
// shuffled list (section 4.3), so that each one is probed within two passes of the list. Lifeguard's Nacks
// tell a target that does not answer from a network that does not reach this member.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "members/local_health.hpp"
#include "members/member_table.hpp"
#include "members/message.hpp"
#include "members/options.hpp"
#include "members/outbox.hpp"
#include "members/types.hpp"

namespace tinspan::members {

class FailureDetector {
 public:
  // What it works on; all of it is owned by the view and outlives this object.
  struct Dependencies {
    const Options& options;
    MemberTable& table;
    LocalHealth& health;
    Outbox& outbox;
    std::mt19937_64& random;
    MembershipStats& stats;
  };
  // The first probe starts at a random point of the first interval, so that members started together spread.
  FailureDetector(const Dependencies& dependencies, Micros now);

  void OnPing(Micros now, Address from, const Ping& ping);
  void OnPingRequest(Micros now, Address from, const PingRequest& request);
  void OnAck(Micros now, const Ack& ack);
  void OnNack(const Nack& nack);

  // Sends the Nacks that are due and ends relays that have run out.
  void CheckRelays(Micros now);
  // Takes the probe under way a step further. When it has failed: the name of the member to suspect.
  std::optional<std::string> CheckProbe(Micros now);
  // Starts the next probe if none is under way and it is due.
  void StartDueProbe(Micros now);
  // Drops the probe and the relays under way without judging them, and waits for one interval.
  void Abandon(Micros now);

  // When CheckProbe or StartDueProbe has work next.
  Micros NextProbeDeadline() const;
  // When CheckRelays has work next; Micros::max() where there is none.
  Micros NextRelayDeadline() const;

 private:
  struct Probe {
    std::string target;
    std::uint64_t sequence = 0;
    Micros indirect_at{0};
    Micros ends_at{0};
    bool indirect_sent = false;
    int nacks_expected = 0;
    int nacks_received = 0;
  };
  // A ping sent on behalf of another member's ping-req.
  struct Relay {
    Address requester;
    std::uint64_t requester_sequence = 0;
    Micros nack_at{0};
    Micros ends_at{0};
    bool nack_sent = false;
  };

  std::optional<std::string> NextTarget();
  std::optional<std::string> TakeNextOfRound();
  void StartNewRound();
  void StartProbe(Micros now);
  void SendIndirectProbes(Micros now, Probe& probe);
  std::string FailProbe();

  Dependencies view_;
  std::vector<std::string> round_;  // the order of probes
  std::size_t next_in_round_ = 0;
  std::optional<Probe> probe_;
  std::map<std::uint64_t, Relay> relays_;  // by the sequence number of our ping
  std::uint64_t last_sequence_ = 0;
  Micros next_probe_at_;
};

}  // namespace tinspan::members
