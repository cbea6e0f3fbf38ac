// The leases in the program: the peer's messages over the fleet view's datagrams, its timer, its figures and
// log lines, and the duty `health`: a record of the fleet's health in the operators' store. What is decided
// comes from lease::Peer and lease::Publisher; this part carries it.
//
// Guarded against: a machine that was suspended (the clock is CLOCK_BOOTTIME, which counts that time), a
// process that was stopped (the lease is looked at anew right before each call goes out), messages that are
// bad or in another's name (counted and dropped), a store that is down (the lease is kept, the figures say
// so), and an upgrade: while the process before this one has the port it still votes under our name, so the
// peer's life, and with it a voter's silence, begins when the port is ours.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lease/codec.hpp"
#include "lease/purge_distributor.hpp"
#include "lease/kv_store.hpp"
#include "lease/lease_node.hpp"
#include "lease/publisher.hpp"
#include "members/node.hpp"

namespace tinspan::lease {

struct AgentOptions {
  Options lease;               // its duties are set here
  std::size_t candidates = 3;  // members that try for a duty at a time
  struct Publish {             // the duty `health`
    net::Endpoint store;
    std::string key;
    Micros every{5'000'000};  // between two records
  };
  std::optional<Publish> publish;
  bool purge = false;             // the duty `purge`
  Micros purge_keep{60'000'000};  // how long a purge is passed on
  std::uint64_t seed = 0;
};

class Agent {
 public:
  static constexpr Micros kLook{250'000};  // how often the view is asked who is a candidate
  static constexpr Micros kStoreLimit{1'000'000};
  static constexpr std::size_t kMostNamed = 64;  // of members unwell, and of servers failing, in a record
  using Apply = std::function<void(const Job&)>;
  Agent(net::EventLoop& loop, members::Node& node, AgentOptions options);
  ~Agent();
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  void Leave();  // lets go of all; no candidate from here on
  // Told each purge that came from another doorman, to be applied here.
  void SetApply(Apply apply) { apply_ = std::move(apply); }
  bool Spreads() const { return options_.purge; }
  // An operator's purge, taken and applied here; false: too many are under way.
  bool Purged(Job job);

  const Peer& Seen() const { return peer_; }
  const std::optional<Publisher>& Published() const { return publisher_; }
  const Fanout& Spread() const { return fanout_; }
  std::uint64_t Refused() const { return refused_; }  // messages
  // A line a duty: DUTY HOLDER TOKEN LEFT_MS ROLE, then for health number=N store=well or failing, for purge
  // open=N applied=N refused=N; unknown parts are - or 0.
  std::string Lines() const;

 private:
  static Micros Now();
  static std::uint64_t WallMs();
  void OnCarried(const std::string& from, const std::string& bytes);
  void Look(Micros now);
  void Round();
  void Flush();
  void Act();
  void Spreading();
  void OnStore(const KvStore::Answer& answer);
  void Arm();
  std::string Record(const Ask& ask) const;

  net::EventLoop& loop_;
  members::Node& node_;
  AgentOptions options_;
  bool begun_ = false;  // the port is ours
  Peer peer_;
  std::optional<Publisher> publisher_;
  std::optional<KvStore> store_;
  Fanout fanout_;
  Apply apply_;
  std::vector<std::string> alive_;  // in the view, when it was looked at last
  std::string last_failure_;
  Micros next_look_{0};
  bool leaving_ = false;
  std::uint64_t refused_ = 0;
  std::optional<net::TimerQueue::Id> timer_;
};

}  // namespace tinspan::lease
