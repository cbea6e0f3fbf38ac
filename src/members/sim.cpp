#include "members/sim.hpp"

#include <algorithm>
#include <tuple>

namespace tinspan::members::sim {

std::size_t Estimate(const Message& message) {
  std::size_t bytes = 40 + message.from.size() + message.target.size();
  for (const Update& update : message.updates) bytes += Weight(update);
  if (message.digest) bytes += 9 * kBuckets;
  return bytes;
}

Fleet::Fleet(Options options, std::uint64_t seed, Link link, Sizer size)
    : options_(std::move(options)),
      link_(link),
      size_(size ? std::move(size) : Sizer(Estimate)),
      random_(seed) {}

int Fleet::Add(const std::string& zone, const std::vector<int>& seeds, bool known) {
  const int member = static_cast<int>(members_.size());
  members_.emplace_back();
  members_.back().name = "m" + std::to_string(member);
  members_[member].name += zone.empty() ? "" : "." + zone;
  Start(member, seeds, known);
  return member;
}

void Fleet::Start(int member, const std::vector<int>& seeds, bool known) {
  Options options = options_;
  options.seeds.clear();
  for (const int seed : seeds) {
    if (seed != member && seed < static_cast<int>(members_.size())) options.seeds.push_back(AddressOf(seed));
  }
  Node& node = members_[member];
  Update self;
  self.name = node.name;
  self.address = AddressOf(member);
  self.incarnation = static_cast<std::uint64_t>(now_.count() / 1000);
  node.view = std::make_unique<View>(std::move(options), self, random_(), now_);
  node.running = true;
  node.paused_until = Micros{0};
  node.waiting.clear();
  if (known) {
    for (std::size_t other = 0; other < members_.size(); ++other) {
      if (static_cast<int>(other) == member || !members_[other].running || !members_[other].view) continue;
      const Member& them = members_[other].view->Self();
      Update known_them;
      known_them.name = them.name;
      known_them.address = them.address;
      known_them.incarnation = them.incarnation;
      node.view->Know(now_, known_them);
      members_[other].view->Know(now_, self);
    }
  }
  Schedule(member);
}

void Fleet::Kill(int member) { members_[member].running = false; }
void Fleet::Restart(int member) {
  members_[member].view.reset();
  Start(member, {0, 1, 2}, false);
}
void Fleet::Pause(int member, Micros until) { members_[member].paused_until = until; }
void Fleet::Cut(int from, int to, bool cut) {
  if (cut) {
    cut_.insert({from, to});
  } else {
    cut_.erase({from, to});
  }
}
void Fleet::Split(const std::vector<int>& side) {
  const std::set<int> in(side.begin(), side.end());
  for (int a = 0; a < static_cast<int>(members_.size()); ++a) {
    for (int b = 0; b < static_cast<int>(members_.size()); ++b) {
      if (in.contains(a) != in.contains(b)) cut_.insert({a, b});
    }
  }
}
void Fleet::Heal() { cut_.clear(); }
void Fleet::Leave(int member) {
  members_[member].view->Leave(now_);
  Flush(member);
}

void Fleet::Report(int member, std::vector<std::uint64_t> failing) {
  members_[member].view->Report(std::move(failing));
}
void Fleet::Claims(int member, std::vector<Claim> duties) {
  members_[member].view->Claims(std::move(duties));
}

void Fleet::Schedule(int member) {
  Node& node = members_[member];
  if (!node.running) return;
  const Micros at = std::max({node.view->NextDue(), node.paused_until, now_});
  due_.push(Due{at, ++node.generation, member});
}

void Fleet::Changes(int member) {
  for (const Change& change : members_[member].view->TakeChanges()) {
    if (on_change) on_change(member, change, now_);
  }
}

void Fleet::Flush(int member) {
  Changes(member);
  for (Datagram& datagram : members_[member].view->TakeOut()) {
    bytes_ += size_(datagram.message);
    ++datagrams_;
    const int to = datagram.to.port - 10'000;
    if (to < 0 || to >= static_cast<int>(members_.size()) || cut_.contains({member, to})) continue;
    if (std::uniform_real_distribution<double>(0, 1)(random_) < link_.loss) continue;
    const auto spread = std::max<std::int64_t>((link_.most - link_.least).count(), 1);
    const Micros at = now_ + link_.least + Micros{static_cast<std::int64_t>(random_() % spread)};
    flight_.push(InFlight{at, ++order_, to, std::move(datagram.message)});
  }
}

void Fleet::RunFor(Micros span) {
  const Micros end = now_ + span;
  while (true) {
    const Micros next_flight = flight_.empty() ? Micros::max() : flight_.top().at;
    const Micros next_due = due_.empty() ? Micros::max() : due_.top().at;
    const Micros next = std::min(next_flight, next_due);
    if (next > end) break;
    now_ = next;
    if (next_flight <= next_due) {
      InFlight in = flight_.top();
      flight_.pop();
      Node& node = members_[in.to];
      if (!node.running || !node.view) continue;
      if (node.paused_until > now_) {
        node.waiting.push_back(std::move(in.message));
        continue;
      }
      node.view->Receive(now_, in.message);
      Flush(in.to);
      Schedule(in.to);
    } else {
      const Due due = due_.top();
      due_.pop();
      Node& node = members_[due.member];
      if (!node.running || due.generation != node.generation) continue;
      if (node.paused_until > now_) {
        Schedule(due.member);
        continue;
      }
      // As the program does after a stop: what waited in the socket first, then the tick.
      for (const Message& message : std::exchange(node.waiting, {})) node.view->Receive(now_, message);
      node.view->Tick(now_);
      Flush(due.member);
      Schedule(due.member);
    }
  }
  now_ = end;
}

bool Fleet::Agreed() const {
  for (std::size_t a = 0; a < members_.size(); ++a) {
    if (!members_[a].running || members_[a].paused_until > now_) continue;
    const auto& seen = members_[a].view->Members();
    for (std::size_t b = 0; b < members_.size(); ++b) {
      const auto found = seen.find(members_[b].name);
      const State state = found == seen.end() ? State::kDead : found->second.state;
      if (members_[b].running ? state != State::kAlive : state == State::kAlive || state == State::kSuspect) {
        return false;
      }
    }
  }
  return true;
}

std::size_t Fleet::WronglyDead() const {
  std::size_t count = 0;
  for (std::size_t b = 0; b < members_.size(); ++b) {
    if (!members_[b].running) continue;
    for (std::size_t a = 0; a < members_.size(); ++a) {
      if (a == b || !members_[a].running) continue;
      const auto& seen = members_[a].view->Members();
      const auto found = seen.find(members_[b].name);
      if (found != seen.end() &&
          (found->second.state == State::kDead || found->second.state == State::kLeft)) {
        ++count;
        break;
      }
    }
  }
  return count;
}

}  // namespace tinspan::members::sim
