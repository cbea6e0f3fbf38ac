// A simulated fleet of lease peers and one store that they write to, without I/O: messages with delay, loss,
// copies and reordering, links cut one way or both, members paused, killed and started again without their
// memory, clocks that run at rates of their own and wall clocks that are wrong. Time is simulated; one seed
// decides all. It keeps a History of who held what and what the store took.
#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "lease/history.hpp"
#include "lease/publisher.hpp"

namespace tinspan::lease::sim {

struct Link {
  double loss = 0;    // share of messages lost
  double copies = 0;  // share that comes twice
  Micros least{100};  // delay, spread evenly: messages overtake one another
  Micros most{2'000};
};

class Fleet {
 public:
  static constexpr const char* kDuty = "health";
  // Members m0, m1, ...; the first `voters` of them vote.
  Fleet(Options options, std::size_t voters, Micros every, std::uint64_t seed);
  Fleet(const Fleet&) = delete;  // its events point to it
  Fleet& operator=(const Fleet&) = delete;

  // A member whose clock runs at `rate` and whose wall clock is `wall_off` from true time.
  int Add(double rate = 1, Micros wall_off = Micros{0});
  void Want(int member, bool wanted);
  void Kill(int member);
  void Restart(int member);  // all that it knew is lost
  void Pause(int member, Micros until);
  void Leave(int member);  // releases what it holds; it runs on
  void Cut(int from, int to) { cut_.insert({from, to}); }
  void CutStore(int member, bool cut);         // between it and the store
  void SlowStore(int member, Micros longest);  // its calls take up to so much longer on the way there
  void Split(const std::vector<int>& side);
  void Heal();
  void SetLink(Link link) { link_ = link; }

  void RunFor(Micros span);
  Micros Now() const { return now_; }
  std::size_t Size() const { return nodes_.size(); }
  bool Running(int member) const { return nodes_[member].running; }
  const Peer& PeerOf(int member) const { return *nodes_[member].peer; }
  const Publisher& PublisherOf(int member) const { return *nodes_[member].publisher; }
  std::string NameOf(int member) const { return nodes_[member].name; }
  int Holder() const;  // who holds now, by its own clock; -1: nobody
  const History& Seen() const { return history_; }
  std::uint64_t Messages() const { return messages_; }
  std::uint64_t StoreCalls() const { return store_calls_; }
  const Stored& Store() const { return stored_; }

 private:
  struct Node {
    std::string name;
    std::unique_ptr<Peer> peer;
    std::unique_ptr<Publisher> publisher;
    double rate = 1;
    Micros wall_off{0}, store_delay{0};
    bool running = true, wanted = false, store_cut = false;
    Micros paused_until{0};
    std::uint64_t generation = 0, life = 0, call = 0;
    std::vector<std::function<void()>> waiting;  // came while paused
  };
  struct Event {
    Micros at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator>(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
  };
  // A member's own clock: it differs from true time in rate alone (its zero says nothing).
  Micros Local(const Node& node) const {
    return Micros{static_cast<std::int64_t>(static_cast<double>(now_.count()) * node.rate)};
  }
  Micros True(const Node& node, Micros local) const {
    return Micros{static_cast<std::int64_t>(static_cast<double>(local.count()) / node.rate)};
  }
  std::uint64_t Wall(const Node& node) const {
    return static_cast<std::uint64_t>(std::max<std::int64_t>((now_ + node.wall_off).count() / 1000, 1));
  }
  Micros Delay();
  void At(Micros at, std::function<void()> run) { events_.push(Event{at, ++order_, std::move(run)}); }
  // As `member`, or when it runs again; not at all once that life of it is over.
  void AsMember(int member, std::uint64_t life, std::function<void()> run);
  void Begin(int member);
  void Flush(int member);
  void Schedule(int member);
  void Call(int member, const Ask& ask);

  Options options_;
  Micros every_;
  std::mt19937_64 random_;
  Link link_;
  Micros now_{1'000'000'000'000};
  std::vector<Node> nodes_;
  std::set<std::pair<int, int>> cut_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t order_ = 0, messages_ = 0, store_calls_ = 0;
  Stored stored_;
  History history_;
};

}  // namespace tinspan::lease::sim
