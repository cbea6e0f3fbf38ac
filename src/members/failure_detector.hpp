// SWIM's failure detector (Das, Gupta, Motivala, section 3.1): once per interval one member is pinged, and if
// it does not respond in time, other members are asked to ping it. Members are probed round-robin over a
// shuffled list (section 4.3), so that each one is probed within two passes of the list. Lifeguard's Nacks
// distinguish a target that does not respond from a fault on this member's own side of the network.
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
  // The parts of the view that this class uses. The view owns them; they must outlive this object.
  struct Dependencies {
    const Options& options;
    MemberTable& table;
    LocalHealth& health;
    Outbox& outbox;
    std::mt19937_64& random;
    MembershipStats& stats;
  };
  // The first probe starts at a random time within one interval, so that the probes of members that started
  // together spread over time.
  FailureDetector(const Dependencies& dependencies, Micros now);

  // Sends an Ack where this member is the target; ignores other pings.
  void OnPing(Micros now, Address from, const Ping& ping);
  // Sends an Ack where this member is the target; otherwise pings the target on behalf of `from`. Drops the
  // request while kMaxRelays relays are pending.
  void OnPingRequest(Micros now, Address from, const PingRequest& request);
  // Forwards the Ack of a relayed ping to its requester, or ends the pending probe with success.
  void OnAck(Micros now, const Ack& ack);
  // Counts a Nack for the pending probe.
  void OnNack(const Nack& nack);

  // Sends the Nacks that are due and removes the relays that have timed out.
  void CheckRelays(Micros now);
  // Advances the pending probe: sends the indirect probes once they are due. Returns the name of the member
  // to suspect where the probe has failed, else nothing.
  std::optional<std::string> CheckProbe(Micros now);
  // Starts the next probe if it is due and no other one is pending.
  void StartDueProbe(Micros now);
  // Drops the pending probe and all relays without a result. The next probe is due one interval after `now`.
  void CancelProbeAndRelays(Micros now);

  // When CheckProbe or StartDueProbe has work next.
  Micros NextProbeDeadline() const;
  // When CheckRelays has work next; Micros::max() where there is no relay.
  Micros NextRelayDeadline() const;

 private:
  struct Probe {
    std::string target;
    std::uint64_t sequence = 0;
    Micros indirect_at{0};  // when the indirect probes are sent
    Micros ends_at{0};      // when the probe fails
    bool has_sent_indirect = false;
    int nacks_expected = 0;
    int nacks_received = 0;
  };
  // A pending ping that was sent for another member's PingRequest.
  struct Relay {
    Address requester;
    std::uint64_t requester_sequence = 0;
    Micros nack_at{0};
    Micros ends_at{0};
    bool has_sent_nack = false;
  };

  // The next member to probe; none where no other live member is known.
  std::optional<std::string> NextTarget();
  std::optional<std::string> TakeNextOfRound();
  void StartNewRound();
  void StartProbe(Micros now);
  void SendIndirectProbes(Micros now, Probe& probe);
  // Ends the pending probe as failed, raises the local health multiplier and returns the target's name.
  std::string FailProbe();

  Dependencies deps_;
  std::vector<std::string> round_;  // the members to probe in this round, in order
  std::size_t next_in_round_ = 0;
  std::optional<Probe> probe_;
  std::map<std::uint64_t, Relay> relays_;  // by the sequence number of the relayed ping
  std::uint64_t last_sequence_ = 0;
  Micros next_probe_at_;
};

}  // namespace tinspan::members
