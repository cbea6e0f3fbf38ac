// A simulated network of membership views, without I/O: datagrams with delay and loss, links blocked in one
// or both directions, and members that are paused (their datagrams wait, as in a socket's buffer), killed,
// and restarted under the same name. Time is simulated, and a run is determined by one random seed. The
// property tests and the benchmarks at 2,000 members run the same MembershipView as the program.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "members/membership_view.hpp"
#include "members/message.hpp"
#include "members/options.hpp"
#include "members/types.hpp"

namespace tinspan::members::sim {

// The network between any two members.
struct Link {
  double loss = 0;        // fraction of datagrams lost, 0 to 1
  Micros min_delay{100};  // the delay is uniformly distributed between min_delay and max_delay
  Micros max_delay{2'000};
};

// A fleet on one simulated network. Members are numbered from 0 in the order in which they were added.
class Fleet {
 public:
  // Returns the size of a message as a datagram, in bytes.
  using MessageSizer = std::function<std::size_t(const Message&)>;
  // Called for every state change in any running view, with the number of the view's member, the change and
  // the time.
  using ChangeObserver = std::function<void(int, const StateChange&, Micros)>;

  // Without a sizer, the size of a message is its EstimatedSize.
  Fleet(Options options, std::uint64_t seed, Link link = {}, MessageSizer sizer = {});

  // Adds a member that starts now, and returns its number; `seeds` are numbers of members. With
  // `has_full_view` it and all running members know each other immediately, as after a sync: for fleets that
  // are too large to join one by one.
  int Add(const std::string& zone = "", const std::vector<int>& seeds = {0}, bool has_full_view = false);
  // Stops a member without a leave.
  void Kill(int member);
  // Starts a killed member under its name and address, with the current time as its incarnation and an empty
  // view.
  void Restart(int member);
  // Stops a member's processing until that time; datagrams for it wait in its socket backlog.
  void Pause(int member, Micros until);
  // Blocks or unblocks the link from one member to another, in this direction only.
  void SetLinkBlocked(int source, int destination, bool is_blocked = true);
  // Blocks all links between the members of `side` and the others, in both directions.
  void Partition(const std::vector<int>& side);
  void UnblockAllLinks();
  void SetLink(Link link) { link_ = link; }
  void Leave(int member);
  void SetFailingServers(int member, std::vector<std::uint64_t> servers);
  void SetLeaseClaims(int member, std::vector<LeaseClaim> claims);

  void RunFor(Micros span);

  Micros Now() const { return now_; }
  std::size_t Size() const { return nodes_.size(); }
  bool IsRunning(int member) const { return NodeOf(member).is_running; }
  const MembershipView& ViewOf(int member) const { return *NodeOf(member).view; }
  std::string NameOf(int member) const { return NodeOf(member).name; }
  // Whether the view of every running, unpaused member has all running members alive, and no other member
  // alive or suspect.
  bool HasConverged() const;
  // Number of running members that are dead or left in the view of another running member.
  std::size_t CountWronglyDead() const;
  // Totals of all datagrams sent, including lost ones.
  std::uint64_t BytesSent() const { return bytes_sent_; }
  std::uint64_t DatagramsSent() const { return datagrams_sent_; }

  ChangeObserver on_change;

 private:
  struct Node {
    std::string name;
    std::unique_ptr<MembershipView> view;
    bool is_running = true;
    Micros paused_until{0};
    std::uint64_t tick_generation = 0;    // of the latest scheduled tick; older ticks are ignored
    std::vector<Message> socket_backlog;  // messages that arrived during a pause
  };
  struct DatagramInFlight {
    Micros arrives_at;
    std::uint64_t order;
    int destination;
    Message message;
    bool operator>(const DatagramInFlight& other) const {
      return std::tie(arrives_at, order) > std::tie(other.arrives_at, other.order);
    }
  };
  struct ScheduledTick {
    Micros due_at;
    std::uint64_t generation;
    int member;
    bool operator>(const ScheduledTick& other) const {
      return std::tie(due_at, member, generation) > std::tie(other.due_at, other.member, other.generation);
    }
  };
  template <class Event>
  using EventQueue = std::priority_queue<Event, std::vector<Event>, std::greater<>>;

  Node& NodeOf(int member) { return nodes_[static_cast<std::size_t>(member)]; }
  const Node& NodeOf(int member) const { return nodes_[static_cast<std::size_t>(member)]; }
  static Address AddressOf(int member);
  // The member at that address; none where no member has it.
  std::optional<int> MemberAt(Address address) const;
  void Start(int member, const std::vector<int>& seeds, bool has_full_view);
  // Adds the member to the views of all other running members, and those members to its view.
  void AddToRunningViews(int member, const MemberUpdate& self);
  void DeliverNext();
  void TickNext();
  void ProcessOutput(int member);
  void SendDatagram(int source, Datagram&& datagram);
  void ScheduleTick(int member);

  Options options_;
  Link link_;
  MessageSizer sizer_;
  std::mt19937_64 random_;
  Micros now_{1'000'000'000};
  std::vector<Node> nodes_;
  std::set<std::pair<int, int>> blocked_links_;
  EventQueue<DatagramInFlight> in_flight_;
  EventQueue<ScheduledTick> ticks_;
  std::uint64_t last_order_ = 0;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t datagrams_sent_ = 0;
};

// The approximate size of a message as a datagram, in bytes.
std::size_t EstimatedSize(const Message& message);

}  // namespace tinspan::members::sim
