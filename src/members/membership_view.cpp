#include "members/membership_view.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace tinspan::members {
namespace {

int Rank(State state) { return state == State::kAlive ? 0 : state == State::kSuspect ? 1 : 2; }
bool Gone(State state) { return state == State::kDead || state == State::kLeft; }

std::uint64_t Mix(std::uint64_t a, std::uint64_t b) {  // splitmix64's finish over two words
  std::uint64_t x = a * 0x9e3779b97f4a7c15ull + b + 0x632be59bd9b4e019ull;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
  return x ^ (x >> 31);
}
std::uint64_t KeyOf(const std::string& name) { return XXH3_64bits(name.data(), name.size()); }
std::size_t Bucket(std::uint64_t key) { return static_cast<std::size_t>(key % kBuckets); }

Message Of(Kind kind, std::uint64_t seq = 0, std::string target = {}, Address target_address = {}) {
  Message out;
  out.kind = kind;
  out.seq = seq;
  out.target = std::move(target);
  out.target_address = target_address;
  return out;
}

constexpr int kMostSyncRounds = 64;  // of one exchange that goes on because a reply did not fit
constexpr int kPauseAfter = 3;       // periods without a tick, after which we were stopped or starved

}  // namespace

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMostName &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
                  c == '_' || c == '.';
         });
}

const char* Name(State state) {
  switch (state) {
    case State::kAlive:
      return "alive";
    case State::kSuspect:
      return "suspect";
    case State::kDead:
      return "dead";
    case State::kLeft:
      return "left";
  }
  return "?";
}

std::size_t Weight(const Update& update) {
  return 24 + update.name.size() + update.zone.size() + update.by.size() + 9 * update.failing.size() +
         24 * update.duties.size();
}

View::View(Options options, const Update& self, std::uint64_t seed, Micros now)
    : options_(std::move(options)), self_(self.name), random_(seed) {
  Member& me = members_[self_];
  me.key = KeyOf(self_);
  me.name = self_;
  me.address = self.address;
  me.zone = self.zone;
  me.incarnation = self.incarnation;
  me.since = now;
  counts_[0] = 1;
  last_tick_ = now;
  next_probe_ =
      now +
      Micros{static_cast<std::int64_t>(random_() % std::max<std::int64_t>(options_.interval.count(), 1))};
  next_sync_ = now;  // a first sync finds the fleet through the seeds
  Queue(self_);
}

void View::Count(State was, State now) {
  --counts_[static_cast<std::size_t>(was)];
  ++counts_[static_cast<std::size_t>(now)];
}
std::size_t View::Live() const { return counts_[0] + counts_[1]; }
void View::Heal(int by) { health_ = std::clamp(health_ + by, 0, options_.most_health); }

Micros View::Suspicion(std::size_t confirmations) const {
  const double n = static_cast<double>(std::max<std::size_t>(Live(), 1));
  const double least =
      options_.alpha * std::max(1.0, std::log10(n)) * static_cast<double>(options_.interval.count());
  const double most = options_.beta * least;
  const double k = std::max(options_.indirect, 1);
  const double fall = std::log(static_cast<double>(confirmations) + 1) / std::log(k + 1);
  return Micros{static_cast<std::int64_t>(std::max(least, most - (most - least) * fall))};
}

void View::Know(Micros now, const Update& update) {
  if (update.name == self_ || members_.contains(update.name)) return Merge(now, update);
  Merge(now, update);
  Sent(update.name, std::nullopt);
  changes_.clear();
}

void View::Sent(const std::string& name, std::optional<int> times) {
  const auto found = gossip_.find(name);
  if (found != gossip_.end()) fewest_.erase({found->second, name});
  if (times) {
    gossip_[name] = *times;
    fewest_.insert({*times, name});
  } else if (found != gossip_.end()) {
    gossip_.erase(found);
  }
}

void View::Queue(const std::string& name) {
  Sent(name, 0);
  Member& member = members_.at(name);
  if (member.hashed == 0) buckets_[Bucket(member.key)].push_back(&member);
  const std::uint64_t now = Hash(member) | 1;  // never 0: that is a member not in the digest yet
  digest_[Bucket(member.key)] ^= member.hashed ^ now;
  member.hashed = now;
}

Update View::Said(const Member& member, Micros now) const {
  Update out;
  out.name = member.name;
  out.address = member.address;
  out.zone = member.zone;
  out.incarnation = member.incarnation;
  out.state = member.state;
  out.age = Gone(member.state) ? now - member.since : Micros{0};
  // The accuser heard last, so that each one's word reaches the others as a confirmation.
  if (member.state == State::kSuspect) out.by = member.latest;
  out.report = member.report;
  out.failing = member.failing;
  out.duties = member.duties;
  return out;
}

void View::SetState(Micros now, Member& member, State state, std::uint64_t incarnation, Micros age) {
  const State was = member.state;
  member.incarnation = incarnation;
  if (was != state) {
    Count(was, state);
    member.state = state;
    member.since = now - age;
    changes_.push_back(Change{member.name, was, state, incarnation, false});
  }
  if (state != State::kSuspect) {
    member.accusers.clear();
    Acquit(member.name);
  }
  if (Gone(state)) {
    dead_.insert(member.name);
    next_reap_ = std::min(next_reap_, member.since + options_.dead_keep);
  } else {
    dead_.erase(member.name);
  }
}

void View::Acquit(const std::string& name) {
  const auto found = suspects_.find(name);
  if (found == suspects_.end()) return;
  deadlines_.erase({found->second, name});
  suspects_.erase(found);
}

void View::Refresh(Member& member) {
  Acquit(member.name);
  member.deadline = member.since + Suspicion(member.accusers.empty() ? 0 : member.accusers.size() - 1);
  suspects_[member.name] = member.deadline;
  deadlines_.insert({member.deadline, member.name});
}

void View::Suspect(Micros now, Member& member, const std::string& by) {
  if (member.state == State::kSuspect && member.accusers.insert(by).second) {
    member.latest = by;  // a confirmation of our own, spread like the first word
    Refresh(member);
    return Queue(member.name);
  }
  if (member.state != State::kAlive) return;
  SetState(now, member, State::kSuspect, member.incarnation);
  member.accusers = {by};
  member.latest = by;
  Refresh(member);
  Queue(member.name);
  ++figures_.suspected;
}

void View::MergeSelf(Micros, const Update& update) {
  Member& me = members_.at(self_);
  if (leaving_) return;
  // What is said of us at an incarnation as new as ours is answered by a newer one: so a member that was
  // paused or cut off comes back, and a process before a restart under our name is outnumbered.
  const bool against = update.state != State::kAlive && update.incarnation >= me.incarnation;
  const bool newer = update.state == State::kAlive && update.incarnation > me.incarnation;
  if (!against && !newer) return;
  me.incarnation = update.incarnation + 1;
  Queue(self_);
  ++figures_.refuted;
  if (update.state == State::kSuspect) Heal(1);
  changes_.push_back(Change{self_, State::kAlive, State::kAlive, me.incarnation, true});
}

void View::Merge(Micros now, const Update& update) {
  if (update.name.empty() || update.name.size() > kMostName) return;
  if (update.name == self_) return MergeSelf(now, update);
  const auto found = members_.find(update.name);
  if (found == members_.end()) {
    if (Gone(update.state) && update.age >= options_.dead_keep) return;  // let go everywhere by now
    if (members_.size() >= kMostMembers) return;
    Member& member = members_[update.name];
    member.key = KeyOf(update.name);
    member.name = update.name;
    member.address = update.address;
    member.zone = update.zone;
    member.incarnation = update.incarnation;
    member.state = State::kAlive;
    member.since = now;
    member.report = update.report;
    member.failing = update.failing;
    member.duties = update.duties;
    ++counts_[0];
    changes_.push_back(Change{member.name, std::nullopt, State::kAlive, member.incarnation, false});
    if (update.state == State::kSuspect) {
      SetState(now, member, State::kSuspect, update.incarnation);
      member.accusers = {update.by};
      member.latest = update.by;
      Refresh(member);
    } else if (Gone(update.state)) {
      changes_.pop_back();
      SetState(now, member, update.state, update.incarnation, update.age);
      changes_.back().was = std::nullopt;
    }
    Queue(member.name);
    ++figures_.updates_merged;
    return;
  }
  Member& known = found->second;
  if (update.incarnation < known.incarnation) return;
  if (update.incarnation == known.incarnation && Rank(update.state) <= Rank(known.state)) {
    if (Rank(update.state) < Rank(known.state)) return;
    bool changed = false;
    if (update.state == State::kSuspect && !update.by.empty() && update.by != self_ &&
        known.accusers.size() < kMostAccusers && known.accusers.insert(update.by).second) {
      known.latest = update.by;
      Refresh(known);  // an independent confirmation: Lifeguard shortens the suspicion; spread on
      changed = true;
    }
    if (update.report > known.report) {
      known.report = update.report;
      known.failing = update.failing;
      known.duties = update.duties;
      changed = true;
    }
    if (changed) {
      Queue(known.name);
      ++figures_.updates_merged;
    }
    return;
  }
  // Newer: a higher incarnation, or the same one with a graver state.
  if (update.incarnation > known.incarnation || update.state == State::kAlive) {
    known.address = update.address;
    known.zone = update.zone;
  }
  // A member that was started again counts its reports from 0: what its new life says is taken as it is.
  if (update.report > known.report || update.incarnation > known.incarnation) {
    known.report = update.report;
    known.failing = update.failing;
    known.duties = update.duties;
  }
  if (update.state == State::kSuspect) {
    const bool fresh = known.state != State::kSuspect || update.incarnation > known.incarnation;
    SetState(now, known, State::kSuspect, update.incarnation);
    if (fresh) {
      known.since = now;
      known.accusers = {update.by};
    } else {
      known.accusers.insert(update.by);
    }
    known.latest = update.by;
    Refresh(known);
  } else {
    SetState(now, known, update.state, update.incarnation, Gone(update.state) ? update.age : Micros{0});
  }
  Queue(known.name);
  ++figures_.updates_merged;
}

std::vector<Update> View::Piggyback(Micros now) {
  std::vector<Update> out;
  if (gossip_.empty()) return out;
  const int limit =
      options_.retransmit * static_cast<int>(std::ceil(std::log10(static_cast<double>(Live()) + 1)));
  std::vector<std::pair<int, std::string>> taken;
  std::size_t bytes = 0;
  for (const auto& one : fewest_) {
    if (taken.size() >= kMostUpdates) break;
    Update said = Said(members_.at(one.second), now);
    if (bytes + Weight(said) > options_.budget) break;
    bytes += Weight(said);
    out.push_back(std::move(said));
    taken.push_back(one);
  }
  for (const auto& [sent, name] : taken) {
    Sent(name, sent + 1 >= std::max(limit, 1) ? std::nullopt : std::optional(sent + 1));
  }
  figures_.updates_sent += out.size();
  return out;
}

void View::Send(Address to, Message message, Micros now, bool gossip) {
  message.from = self_;
  message.from_address = Self().address;
  if (gossip) message.updates = Piggyback(now);
  out_.push_back({to, std::move(message)});
}

std::optional<std::string> View::NextTarget() {
  for (int pass = 0; pass < 2; ++pass) {
    while (next_ < round_.size()) {
      const std::string& name = round_[next_++];
      const auto found = members_.find(name);
      if (found != members_.end() && !Gone(found->second.state) && name != self_) return name;
    }
    round_.clear();
    for (const auto& [name, member] : members_) {
      if (name != self_ && !Gone(member.state)) round_.push_back(name);
    }
    std::shuffle(round_.begin(), round_.end(), random_);
    next_ = 0;
  }
  return std::nullopt;
}

void View::StartProbe(Micros now) {
  const auto target = NextTarget();
  if (!target) return;
  const Member& member = members_.at(*target);
  Probe probe;
  probe.target = *target;
  probe.seq = ++seq_;
  probe.indirect_at = now + Timeout();
  probe.end = now + Period();
  Send(member.address, Of(Kind::kPing, probe.seq, *target), now, true);
  probe_ = std::move(probe);
  ++figures_.probes;
}

void View::StartSync(Micros now, std::optional<Address> with) {
  if (with) {
    if (++sync_rounds_ > kMostSyncRounds) return;
    ++figures_.sync_rounds;
  } else {
    ++syncs_started_;
    sync_rounds_ = 0;
    std::vector<Address> alive, dead, seeds;
    std::set<Address> live_addresses;
    for (const auto& [name, member] : members_) {
      if (name == self_) continue;
      (Gone(member.state) ? dead : alive).push_back(member.address);
      if (!Gone(member.state)) live_addresses.insert(member.address);
    }
    for (const Address& seed : options_.seeds) {
      if (seed != Self().address && !live_addresses.contains(seed)) seeds.push_back(seed);
    }
    const auto pick = [&](const std::vector<Address>& from) { return from[random_() % from.size()]; };
    if (!seeds.empty() && (alive.empty() || syncs_started_ % 4 == 0)) {
      with = pick(seeds);
    } else if (!dead.empty() && (alive.empty() || syncs_started_ % 3 == 0)) {
      with = pick(dead);
    } else if (!alive.empty()) {
      with = pick(alive);
    } else {
      return;
    }
    ++figures_.syncs;
  }
  Message sync = Of(Kind::kSync);
  sync.digest = DigestNow();
  Send(*with, std::move(sync), now, false);
}

std::uint64_t View::Hash(const Member& member) const {
  return Mix(Mix(member.key, member.incarnation * 4 + static_cast<std::uint64_t>(member.state)),
             member.report);
}

std::vector<Update> View::Differing(Micros now, const Digest& theirs, bool& more) {
  std::vector<std::size_t> buckets;
  for (std::size_t b = 0; b < kBuckets; ++b) {
    if (digest_[b] != theirs[b]) buckets.push_back(b);
  }
  more = false;
  std::vector<Update> out;
  if (buckets.empty()) return out;
  // From a bucket chosen at random, so that replies cut short cover all of them in turn.
  const std::size_t start = random_() % buckets.size();
  std::size_t bytes = 0;
  for (std::size_t i = 0; i < buckets.size() && !more; ++i) {
    for (const Member* member : buckets_[buckets[(start + i) % buckets.size()]]) {
      Update said = Said(*member, now);
      if (bytes + Weight(said) > options_.budget || out.size() >= kMostUpdates) {
        more = true;
        break;
      }
      bytes += Weight(said);
      out.push_back(std::move(said));
    }
  }
  return out;
}

void View::Receive(Micros now, const Message& message) {
  for (const Update& update : message.updates) Merge(now, update);
  switch (message.kind) {
    case Kind::kPing:
      if (message.target == self_) Send(message.from_address, Of(Kind::kAck, message.seq), now, true);
      return;
    case Kind::kPingReq: {
      if (message.target == self_) {
        Send(message.from_address, Of(Kind::kAck, message.seq), now, true);
        return;
      }
      if (relays_.size() >= kMostRelays) return;  // as one lost on the way
      const std::uint64_t seq = ++seq_;
      Relay& relay = relays_[seq];
      relay.requester = message.from_address;
      relay.seq = message.seq;
      relay.nack_at = now + Timeout() * 8 / 10;
      relay.end = now + Period();
      Send(message.target_address, Of(Kind::kPing, seq, message.target), now, true);
      return;
    }
    case Kind::kAck: {
      if (const auto relay = relays_.find(message.seq); relay != relays_.end()) {
        Send(relay->second.requester, Of(Kind::kAck, relay->second.seq), now, true);
        relays_.erase(relay);
        return;
      }
      if (probe_ && message.seq == probe_->seq) {
        ++figures_.acks;
        Heal(-1);
        probe_.reset();
      }
      return;
    }
    case Kind::kNack:
      if (probe_ && message.seq == probe_->seq) ++probe_->nacks;
      return;
    case Kind::kSync: {
      if (!message.digest) return;
      bool more = false;
      std::vector<Update> differing = Differing(now, *message.digest, more);
      Message reply = Of(Kind::kSyncReply);
      reply.updates = std::move(differing);
      reply.digest = DigestNow();
      reply.more = more;
      Send(message.from_address, std::move(reply), now, false);
      return;
    }
    case Kind::kSyncReply: {
      bool more = false;
      if (message.digest) {
        std::vector<Update> differing = Differing(now, *message.digest, more);
        if (!differing.empty()) {
          Message push = Of(Kind::kSyncPush);
          push.updates = std::move(differing);
          Send(message.from_address, std::move(push), now, false);
        }
      }
      if (message.more || more) sync_again_ = message.from_address;
      return;
    }
    case Kind::kCarried:  // for another part: whoever runs the view hands it on
      return;
    case Kind::kSyncPush:
      return;
  }
}

void View::Reap(Micros now) {
  if (now < next_reap_) return;
  next_reap_ = Micros::max();
  for (auto it = dead_.begin(); it != dead_.end();) {
    const auto member = members_.find(*it);
    if (*it == self_) {
      ++it;  // a member that leaves keeps itself until it ends
    } else if (member == members_.end() || !Gone(member->second.state)) {
      it = dead_.erase(it);
    } else if (now - member->second.since >= options_.dead_keep) {
      --counts_[static_cast<std::size_t>(member->second.state)];
      Sent(*it, std::nullopt);
      digest_[Bucket(member->second.key)] ^= member->second.hashed;
      std::erase(buckets_[Bucket(member->second.key)], &member->second);
      members_.erase(member);
      it = dead_.erase(it);
    } else {
      next_reap_ = std::min(next_reap_, member->second.since + options_.dead_keep);
      ++it;
    }
  }
}

void View::Tick(Micros now) {
  // Stopped or starved for several periods: what ran out meanwhile says more of us than of them.
  if (now - last_tick_ > kPauseAfter * Period()) {
    ++figures_.pauses;
    Heal(2);
    probe_.reset();
    relays_.clear();
    std::vector<std::string> names;
    for (const auto& [name, deadline] : suspects_) names.push_back(name);
    for (const std::string& name : names) {
      Member& member = members_.at(name);
      member.since = now;
      Refresh(member);
    }
    next_probe_ = now + Period();
  }
  last_tick_ = now;
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const std::string name = deadlines_.begin()->second;
    Member& member = members_.at(name);
    SetState(now, member, State::kDead, member.incarnation);
    Queue(name);
    ++figures_.declared_dead;
  }
  Reap(now);
  for (auto it = relays_.begin(); it != relays_.end();) {
    Relay& relay = it->second;
    if (relay.nack_at <= now && relay.nack_at > Micros{0}) {
      relay.nack_at = Micros{0};
      Send(relay.requester, Of(Kind::kNack, relay.seq), now, false);
    }
    it = relay.end <= now ? relays_.erase(it) : std::next(it);
  }
  if (leaving_) {
    sync_again_.reset();
    return;
  }
  if (probe_) {
    if (!probe_->indirect_sent && now >= probe_->indirect_at) {
      probe_->indirect_sent = true;
      std::vector<const Member*> helpers;
      for (const auto& [name, member] : members_) {
        if (name != self_ && name != probe_->target && member.state == State::kAlive)
          helpers.push_back(&member);
      }
      std::shuffle(helpers.begin(), helpers.end(), random_);
      helpers.resize(std::min<std::size_t>(helpers.size(), static_cast<std::size_t>(options_.indirect)));
      const Member& target = members_.at(probe_->target);
      for (const Member* helper : helpers) {
        Send(helper->address, Of(Kind::kPingReq, probe_->seq, target.name, target.address), now, true);
      }
      probe_->nacks_due = static_cast<int>(helpers.size());
      figures_.indirect += helpers.size();
    }
    if (now >= probe_->end) {
      Heal(1);
      if (probe_->nacks < probe_->nacks_due)
        Heal(1);  // others did not answer either: the trouble may be ours
      figures_.nacks += static_cast<std::uint64_t>(probe_->nacks);
      const auto target = members_.find(probe_->target);
      if (target != members_.end()) Suspect(now, target->second, self_);
      probe_.reset();
    }
  }
  if (!probe_ && now >= next_probe_) {
    StartProbe(now);
    next_probe_ = now + Period();
  }
  if (sync_again_) {
    StartSync(now, std::exchange(sync_again_, std::nullopt));
  } else if (now >= next_sync_) {
    StartSync(now);
    const auto spread = options_.sync.count() / 2;
    next_sync_ = now + options_.sync * 3 / 4 +
                 Micros{static_cast<std::int64_t>(
                     random_() % static_cast<std::uint64_t>(std::max<std::int64_t>(spread, 1)))};
  }
}

Micros View::NextDue() const {
  Micros due = leaving_ ? Micros::max() : next_sync_;
  if (sync_again_ && !leaving_) return last_tick_;
  if (!leaving_) {
    if (probe_) {
      due = std::min(due, probe_->indirect_sent ? probe_->end : probe_->indirect_at);
    } else {
      due = std::min(due, next_probe_);
    }
  }
  if (!deadlines_.empty()) due = std::min(due, deadlines_.begin()->first);
  for (const auto& [seq, relay] : relays_) {
    due = std::min(due, relay.nack_at > Micros{0} ? relay.nack_at : relay.end);
  }
  return std::min(due, next_reap_);
}

void View::Report(std::vector<std::uint64_t> failing) {
  std::sort(failing.begin(), failing.end());
  failing.erase(std::unique(failing.begin(), failing.end()), failing.end());
  if (failing.size() > kMostFailing) failing.resize(kMostFailing);
  Member& me = members_.at(self_);
  if (failing == me.failing) return;
  me.failing = std::move(failing);
  ++me.report;
  Queue(self_);
}

void View::Claims(std::vector<Claim> duties) {
  std::sort(duties.begin(), duties.end());
  if (duties.size() > kMostDuties) duties.resize(kMostDuties);
  Member& me = members_.at(self_);
  if (duties == me.duties) return;
  me.duties = std::move(duties);
  ++me.report;
  Queue(self_);
}

void View::Leave(Micros now) {
  if (leaving_) return;
  Member& me = members_.at(self_);
  ++me.incarnation;
  SetState(now, me, State::kLeft, me.incarnation);
  leaving_ = true;
  Queue(self_);
  std::vector<const Member*> alive;
  for (const auto& [name, member] : members_) {
    if (name != self_ && !Gone(member.state)) alive.push_back(&member);
  }
  std::shuffle(alive.begin(), alive.end(), random_);
  for (std::size_t i = 0; i < std::min<std::size_t>(alive.size(), 4); ++i) {
    Send(alive[i]->address, Of(Kind::kPing, 0, alive[i]->name), now, true);
  }
}

}  // namespace tinspan::members
