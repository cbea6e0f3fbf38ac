#include "lease/sim.hpp"

#include <algorithm>
#include <tuple>

namespace tinspan::lease::sim {

Fleet::Fleet(Options options, std::size_t voters, Micros every, std::uint64_t seed)
    : options_(std::move(options)), every_(every), random_(seed) {
  options_.duties = {kDuty};
  options_.voters.clear();
  for (std::size_t i = 0; i < voters; ++i) options_.voters.push_back("m" + std::to_string(i));
}

int Fleet::Add(double rate, Micros wall_off) {
  const int member = static_cast<int>(nodes_.size());
  nodes_.emplace_back();
  nodes_.back().name = "m" + std::to_string(member);
  nodes_.back().rate = rate;
  nodes_.back().wall_off = wall_off;
  Begin(member);
  return member;
}

void Fleet::Begin(int member) {
  Node& node = nodes_[member];
  node.peer = std::make_unique<Peer>(options_, node.name, random_(), Local(node));
  node.publisher = std::make_unique<Publisher>(every_);
  node.running = true;
  node.paused_until = Micros{0};
  node.waiting.clear();
  ++node.life;
  node.peer->Want(kDuty, node.wanted, Local(node));
  Schedule(member);
}

void Fleet::Want(int member, bool wanted) {
  Node& node = nodes_[member];
  node.wanted = wanted;
  if (!node.running) return;
  node.peer->Want(kDuty, wanted, Local(node));
  Schedule(member);
}

void Fleet::Kill(int member) {
  Node& node = nodes_[member];
  if (const auto held = node.peer->Holds(kDuty, Local(node))) history_.Ended(*held, now_);
  node.running = false;
  ++node.life;
}
void Fleet::Restart(int member) { Begin(member); }
void Fleet::Pause(int member, Micros until) { nodes_[member].paused_until = until; }
void Fleet::Leave(int member) {
  Node& node = nodes_[member];
  node.wanted = false;
  if (!node.running) return;
  node.peer->ReleaseAll(Local(node));
  Flush(member);
}
void Fleet::CutStore(int member, bool cut) { nodes_[member].store_cut = cut; }
void Fleet::SlowStore(int member, Micros longest) { nodes_[member].store_delay = longest; }
void Fleet::Split(const std::vector<int>& side) {
  const std::set<int> in(side.begin(), side.end());
  for (int a = 0; a < static_cast<int>(nodes_.size()); ++a) {
    for (int b = 0; b < static_cast<int>(nodes_.size()); ++b) {
      if (in.contains(a) != in.contains(b)) cut_.insert({a, b});
    }
  }
}
void Fleet::Heal() {
  cut_.clear();
  for (Node& node : nodes_) {
    node.store_cut = false;
    node.store_delay = Micros{0};
  }
}

int Fleet::Holder() const {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].running && nodes_[i].peer->Holds(kDuty, Local(nodes_[i]))) return static_cast<int>(i);
  }
  return -1;
}

Micros Fleet::Delay() {
  return Micros{
      std::uniform_int_distribution<std::int64_t>(link_.least.count(), link_.most.count())(random_)};
}

void Fleet::AsMember(int member, std::uint64_t life, std::function<void()> run) {
  Node& node = nodes_[member];
  if (!node.running || node.life != life) return;
  if (node.paused_until > now_) {
    node.waiting.push_back(std::move(run));
    return;
  }
  run();
  Flush(member);
}

void Fleet::Schedule(int member) {
  Node& node = nodes_[member];
  Micros own = node.peer->NextDue();
  if (node.peer->Holds(kDuty, Local(node))) own = std::min(own, node.publisher->NextDue());
  const Micros due = own == Micros::max() ? now_ + options_.length : True(node, own) + Micros{1};
  const std::uint64_t generation = ++node.generation, life = node.life;
  // At least a little later, so that a due time that cannot be met yet (nothing to publish) does not spin.
  At(std::max({due, node.paused_until, now_ + Micros{1'000}}), [this, member, generation, life] {
    Node& one = nodes_[member];
    if (!one.running || one.life != life || one.generation != generation) return;
    if (one.paused_until > now_) return Schedule(member);
    // As after a stop: what waited in the socket comes first.
    for (const auto& waited : std::exchange(one.waiting, {})) waited();
    one.peer->Tick(Local(one), Wall(one));
    Flush(member);
  });
}

void Fleet::Flush(int member) {
  Node& node = nodes_[member];
  const auto held = node.peer->Holds(kDuty, Local(node));
  for (const Change& change : node.peer->TakeChanges()) {
    if (change.what == Change::What::kReleased) history_.Ended(change.token, now_);
  }
  if (held) {
    history_.Held(*held, node.name, now_,
                  True(node, node.peer->KnownOf(kDuty, Local(node)).left + Local(node)));
  }
  if (const auto ask = node.publisher->Next(Local(node), held)) Call(member, *ask);
  for (Out& out : node.peer->TakeOut()) {
    ++messages_;
    const int to = std::stoi(out.to.substr(1));
    if (to >= static_cast<int>(nodes_.size()) || cut_.contains({member, to})) continue;
    const int copies = 1 + (std::uniform_real_distribution<double>(0, 1)(random_) < link_.copies);
    for (int i = 0; i < copies; ++i) {
      if (std::uniform_real_distribution<double>(0, 1)(random_) < link_.loss) continue;
      At(now_ + Delay(), [this, to, message = out.message] {
        AsMember(to, nodes_[to].life,
                 [this, to, message] { nodes_[to].peer->Receive(Local(nodes_[to]), message); });
      });
    }
  }
  Schedule(member);
}

void Fleet::RunFor(Micros span) {
  const Micros end = now_ + span;
  while (!events_.empty() && events_.top().at <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
  }
  now_ = end;
}

// To the store and back: either way may be lost or cut; the store itself never fails. A call is given up
// after half a second: its answer is heard no more, and its write may still be taken later.
void Fleet::Call(int member, const Ask& ask) {
  ++store_calls_;
  const std::uint64_t life = nodes_[member].life, call = ++nodes_[member].call;
  const auto lost = [this, member] {
    return nodes_[member].store_cut || std::uniform_real_distribution<double>(0, 1)(random_) < link_.loss;
  };
  const bool there = !lost(), back = !lost();
  // As `member`, once, while this call is still the one it waits for.
  const auto answered = [this, member, life, call](std::function<void(Node&)> then) {
    AsMember(member, life, [this, member, call, then = std::move(then)] {
      Node& node = nodes_[member];
      if (node.call != call || !node.publisher->Waiting()) return;
      then(node);
    });
  };
  At(now_ + Micros{500'000},
     [this, answered] { answered([this](Node& node) { node.publisher->OnFailed(Local(node)); }); });
  if (!there) return;
  const Micros slow{
      std::uniform_int_distribution<std::int64_t>(0, nodes_[member].store_delay.count())(random_)};
  At(now_ + Delay() + slow, [this, ask, back, answered] {
    if (ask.what == Ask::What::kWrite) {
      const bool taken = ask.index == stored_.index;
      history_.Effect(ask.token, ask.number, taken);
      if (taken) stored_ = {stored_.index + 1, ask.token, ask.number};
    }
    if (!back) return;
    At(now_ + Delay(), [this, ask, answered, stood = stored_] {
      answered([this, ask, stood](Node& node) {
        if (ask.what == Ask::What::kWrite) return node.publisher->OnWrite();
        if (node.publisher->OnRead(Local(node), stood)) {
          node.peer->Heard(kDuty, stood.token);
          if (const auto held = node.peer->Holds(kDuty, Local(node))) history_.Ended(*held, now_);
          node.peer->Drop(kDuty, Local(node));
        }
      });
    });
  });
}

}  // namespace tinspan::lease::sim
