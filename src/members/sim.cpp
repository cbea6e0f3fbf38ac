#include "members/sim.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "members/membership_view.hpp"
#include "members/message.hpp"
#include "members/options.hpp"
#include "members/types.hpp"

namespace tinspan::members::sim {
namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;
constexpr int kFirstPort = 10'000;
// Estimated encoded sizes.
constexpr std::size_t kEnvelopeBytes = 40;
constexpr std::size_t kDigestBucketBytes = 9;
constexpr std::int64_t kMicrosPerMilli = 1'000;

// Estimates the size of the fields that depend on the kind of message.
struct BodySizer {
  std::size_t operator()(const Ping& ping) const { return ping.target.size(); }
  std::size_t operator()(const PingRequest& request) const { return request.target.size(); }
  std::size_t operator()(const Sync& sync) const { return OfDigest(sync.digest.has_value()); }
  std::size_t operator()(const SyncReply& reply) const { return OfDigest(reply.digest.has_value()); }
  template <class Body>
  std::size_t operator()(const Body&) const {
    return 0;
  }

 private:
  static std::size_t OfDigest(bool is_present) {
    return is_present ? kDigestBucketBytes * kDigestBuckets : 0;
  }
};

bool IsLiveInView(const MembershipView& view, const std::string& name) {
  const auto found = view.Members().find(name);
  return found != view.Members().end() && !IsDeparted(found->second.state);
}

bool IsAliveInView(const MembershipView& view, const std::string& name) {
  const auto found = view.Members().find(name);
  return found != view.Members().end() && found->second.state == State::kAlive;
}

bool IsDepartedInView(const MembershipView& view, const std::string& name) {
  const auto found = view.Members().find(name);
  return found != view.Members().end() && IsDeparted(found->second.state);
}

}  // namespace

std::size_t EstimatedSize(const Message& message) {
  std::size_t bytes = kEnvelopeBytes + message.from.size() + std::visit(BodySizer{}, message.body);
  for (const MemberUpdate& update : message.updates) bytes += members::EstimatedSize(update);
  return bytes;
}

Fleet::Fleet(Options options, std::uint64_t seed, Link link, MessageSizer sizer)
    : options_(std::move(options)), link_(link), sizer_(std::move(sizer)), random_(seed) {
  if (!sizer_) sizer_ = [](const Message& message) { return EstimatedSize(message); };
}

Address Fleet::AddressOf(int member) { return {kLoopback, static_cast<std::uint16_t>(kFirstPort + member)}; }

std::optional<int> Fleet::MemberAt(Address address) const {
  const int member = address.port - kFirstPort;
  if (member < 0 || member >= static_cast<int>(nodes_.size())) return std::nullopt;
  return member;
}

int Fleet::Add(const std::string& zone, const std::vector<int>& seeds, bool has_full_view) {
  const int member = static_cast<int>(nodes_.size());
  Node& node = nodes_.emplace_back();
  node.name = "m" + std::to_string(member) + (zone.empty() ? "" : "." + zone);
  Start(member, seeds, has_full_view);
  return member;
}

void Fleet::Start(int member, const std::vector<int>& seeds, bool has_full_view) {
  Options options = options_;
  options.seeds.clear();
  for (const int seed : seeds) {
    if (seed != member && seed < static_cast<int>(nodes_.size())) options.seeds.push_back(AddressOf(seed));
  }
  Node& node = NodeOf(member);
  MemberUpdate self;
  self.name = node.name;
  self.address = AddressOf(member);
  self.incarnation = static_cast<std::uint64_t>(now_.count() / kMicrosPerMilli);
  node.view = std::make_unique<MembershipView>(std::move(options), self, random_(), now_);
  node.is_running = true;
  node.paused_until = Micros{0};
  node.socket_backlog.clear();
  if (has_full_view) AddToRunningViews(member, self);
  ScheduleTick(member);
}

void Fleet::AddToRunningViews(int member, const MemberUpdate& self) {
  for (int other = 0; other < static_cast<int>(nodes_.size()); ++other) {
    Node& other_node = NodeOf(other);
    if (other == member || !other_node.is_running || !other_node.view) continue;
    const Member& known = other_node.view->Self();
    MemberUpdate update;
    update.name = known.name;
    update.address = known.address;
    update.incarnation = known.incarnation;
    NodeOf(member).view->AddKnownMember(now_, update);
    other_node.view->AddKnownMember(now_, self);
  }
}

void Fleet::Kill(int member) { NodeOf(member).is_running = false; }

void Fleet::Restart(int member) {
  NodeOf(member).view.reset();
  Start(member, {0, 1, 2}, false);
}

void Fleet::Pause(int member, Micros until) { NodeOf(member).paused_until = until; }

void Fleet::SetLinkBlocked(int source, int destination, bool is_blocked) {
  if (is_blocked) {
    blocked_links_.insert({source, destination});
  } else {
    blocked_links_.erase({source, destination});
  }
}

void Fleet::Partition(const std::vector<int>& side) {
  const std::set<int> inside(side.begin(), side.end());
  const int count = static_cast<int>(nodes_.size());
  for (int source = 0; source < count; ++source) {
    for (int destination = 0; destination < count; ++destination) {
      if (inside.contains(source) != inside.contains(destination)) {
        blocked_links_.insert({source, destination});
      }
    }
  }
}

void Fleet::UnblockAllLinks() { blocked_links_.clear(); }

void Fleet::Leave(int member) {
  NodeOf(member).view->Leave(now_);
  ProcessOutput(member);
}

void Fleet::SetFailingServers(int member, std::vector<std::uint64_t> servers) {
  NodeOf(member).view->SetFailingServers(std::move(servers));
}

void Fleet::SetLeaseClaims(int member, std::vector<LeaseClaim> claims) {
  NodeOf(member).view->SetLeaseClaims(std::move(claims));
}

void Fleet::RunFor(Micros span) {
  const Micros end = now_ + span;
  while (true) {
    const Micros next_arrival = in_flight_.empty() ? Micros::max() : in_flight_.top().arrives_at;
    const Micros next_tick = ticks_.empty() ? Micros::max() : ticks_.top().due_at;
    const Micros next = std::min(next_arrival, next_tick);
    if (next > end) break;
    now_ = next;
    if (next_arrival <= next_tick) {
      DeliverNext();
    } else {
      TickNext();
    }
  }
  now_ = end;
}

void Fleet::DeliverNext() {
  DatagramInFlight datagram = in_flight_.top();
  in_flight_.pop();
  Node& node = NodeOf(datagram.destination);
  if (!node.is_running || !node.view) return;
  if (node.paused_until > now_) {
    node.socket_backlog.push_back(std::move(datagram.message));
    return;
  }
  node.view->Receive(now_, datagram.message);
  ProcessOutput(datagram.destination);
  ScheduleTick(datagram.destination);
}

void Fleet::TickNext() {
  const ScheduledTick tick = ticks_.top();
  ticks_.pop();
  Node& node = NodeOf(tick.member);
  if (!node.is_running || tick.generation != node.tick_generation) return;
  if (node.paused_until > now_) {
    ScheduleTick(tick.member);
    return;
  }
  // As the program does after a pause: it processes the datagrams in the socket first, then the tick.
  for (const Message& message : std::exchange(node.socket_backlog, {})) node.view->Receive(now_, message);
  node.view->Tick(now_);
  ProcessOutput(tick.member);
  ScheduleTick(tick.member);
}

void Fleet::ProcessOutput(int member) {
  MembershipView& view = *NodeOf(member).view;
  for (const StateChange& change : view.DrainChanges()) {
    if (on_change) on_change(member, change, now_);
  }
  for (Datagram& datagram : view.DrainMessages()) SendDatagram(member, std::move(datagram));
}

void Fleet::SendDatagram(int source, Datagram&& datagram) {
  bytes_sent_ += sizer_(datagram.message);
  ++datagrams_sent_;
  const std::optional<int> destination = MemberAt(datagram.destination);
  if (!destination || blocked_links_.contains({source, *destination})) return;
  if (std::uniform_real_distribution<double>(0, 1)(random_) < link_.loss) return;
  const auto spread = std::max<std::int64_t>((link_.max_delay - link_.min_delay).count(), 1);
  const Micros jitter{static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(spread))};
  in_flight_.push(
      {now_ + link_.min_delay + jitter, ++last_order_, *destination, std::move(datagram.message)});
}

void Fleet::ScheduleTick(int member) {
  Node& node = NodeOf(member);
  if (!node.is_running) return;
  const Micros due_at = std::max({node.view->NextDeadline(), node.paused_until, now_});
  ticks_.push({due_at, ++node.tick_generation, member});
}

bool Fleet::HasConverged() const {
  for (const Node& observer : nodes_) {
    if (!observer.is_running || observer.paused_until > now_) continue;
    for (const Node& subject : nodes_) {
      const bool is_correct = subject.is_running ? IsAliveInView(*observer.view, subject.name)
                                                 : !IsLiveInView(*observer.view, subject.name);
      if (!is_correct) return false;
    }
  }
  return true;
}

std::size_t Fleet::CountWronglyDead() const {
  const auto is_wrongly_dead = [this](const Node& subject) {
    return subject.is_running && std::ranges::any_of(nodes_, [&subject](const Node& observer) {
             return &observer != &subject && observer.is_running &&
                    IsDepartedInView(*observer.view, subject.name);
           });
  };
  return static_cast<std::size_t>(std::ranges::count_if(nodes_, is_wrongly_dead));
}

}  // namespace tinspan::members::sim
