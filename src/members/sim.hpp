// A simulated network of fleet views, without I/O: datagrams with delay and loss, links cut one way or
// both, members paused (their datagrams wait, as in a socket's buffer), killed and started again under the
// same name. Time is simulated; one seed decides all. The property tests and the measurements at 2,000
// members drive the very View that the program runs.
#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "members/membership_view.hpp"

namespace tinspan::members::sim {

struct Link {
  double loss = 0;    // share of datagrams lost
  Micros least{100};  // delay, spread evenly between these
  Micros most{2'000};
};

class Fleet {
 public:
  using Sizer = std::function<std::size_t(const Message&)>;  // bytes of a datagram on the wire
  Fleet(Options options, std::uint64_t seed, Link link = {}, Sizer size = {});

  // A member that starts now; `seeds` are members' numbers. With `known`, it starts knowing all live members
  // alive (as after a sync), for fleets too large to join one by one in a test.
  int Add(const std::string& zone = "", const std::vector<int>& seeds = {0}, bool known = false);
  void Kill(int member);
  void Restart(int member);  // same name and address, an incarnation from the clock, an empty view
  void Pause(int member, Micros until);
  void Cut(int from, int to, bool cut = true);  // one way
  void Split(const std::vector<int>& side);     // both ways, between `side` and the rest
  void Heal();                                  // every cut mended
  void SetLink(Link link) { link_ = link; }
  void Leave(int member);
  void Report(int member, std::vector<std::uint64_t> failing);
  void Claims(int member, std::vector<Claim> duties);

  void RunFor(Micros span);
  Micros Now() const { return now_; }
  std::size_t Size() const { return members_.size(); }
  bool Running(int member) const { return members_[member].running; }
  const View& ViewOf(int member) const { return *members_[member].view; }
  std::string NameOf(int member) const { return members_[member].name; }

  // Every running member sees every other running one alive, and every one that is not running dead, left or
  // not at all.
  bool Agreed() const;
  // Running members that some running view holds dead or left now.
  std::size_t WronglyDead() const;
  std::uint64_t Bytes() const { return bytes_; }  // all datagrams sent
  std::uint64_t Datagrams() const { return datagrams_; }
  // Called for every change of state in any running view: (observer, change, time).
  std::function<void(int, const Change&, Micros)> on_change;

 private:
  struct Node {
    std::string name;
    std::unique_ptr<View> view;
    bool running = true;
    Micros paused_until{0};
    std::uint64_t generation = 0;  // of its scheduled tick
    std::vector<Message> waiting;  // came while paused
  };
  struct InFlight {
    Micros at;
    std::uint64_t order;
    int to;
    Message message;
    bool operator>(const InFlight& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };
  struct Due {
    Micros at;
    std::uint64_t generation;
    int member;
    bool operator>(const Due& other) const {
      return std::tie(at, member, generation) > std::tie(other.at, other.member, other.generation);
    }
  };
  Address AddressOf(int member) const { return {0x7f000001u, static_cast<std::uint16_t>(10'000 + member)}; }
  void Start(int member, const std::vector<int>& seeds, bool known);
  void Flush(int member);
  void Schedule(int member);
  void Changes(int member);

  Options options_;
  Link link_;
  Sizer size_;
  std::mt19937_64 random_;
  Micros now_{1'000'000'000};
  std::vector<Node> members_;
  std::set<std::pair<int, int>> cut_;
  std::priority_queue<InFlight, std::vector<InFlight>, std::greater<>> flight_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::uint64_t order_ = 0;
  std::uint64_t bytes_ = 0, datagrams_ = 0;
};

// The bytes of a datagram as the codec would make them, about, where no codec is at hand.
std::size_t Estimate(const Message& message);

}  // namespace tinspan::members::sim
