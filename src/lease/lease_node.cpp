#include "lease/lease_node.hpp"

#include <xxhash.h>

#include <algorithm>

namespace tinspan::lease {

Peer::Peer(Options options, std::string self, std::uint64_t seed, Micros now)
    : options_(std::move(options)), self_(std::move(self)), random_(seed) {
  voter_ = Counts(self_);
  for (const std::string& duty : options_.duties) {
    bids_[duty].next_try = now + Between(Micros{0}, options_.attempt);
    if (voter_) StartVote(now, votes_[duty]);
  }
}

bool Peer::Counts(const std::string& name) const {
  return std::find(options_.voters.begin(), options_.voters.end(), name) != options_.voters.end();
}

Micros Peer::Between(Micros least, Micros most) {
  if (most <= least) return least;
  return Micros{std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(random_)};
}

// What we promised and granted before is not known: nobody hears from us until every lease that we can have
// granted has run out and every ballot that we can have promised to has been dropped.
void Peer::StartVote(Micros now, Vote& vote) {
  vote = Vote{};
  vote.silent_until = now + options_.length + 2 * options_.attempt;
  vote.alone_at = vote.silent_until + options_.length;
  vote.next_ask = vote.silent_until;
}

void Peer::Send(const std::string& to, Message message) {
  message.from = self_;
  if (to == self_) {
    local_.push_back(std::move(message));
    return;
  }
  ++figures_.sent;
  out_.push_back({to, std::move(message)});
}

void Peer::ToVoters(const Message& message) {
  for (const std::string& voter : options_.voters) Send(voter, message);
}

void Peer::Want(const std::string& duty, bool wanted, Micros now) {
  const auto found = bids_.find(duty);
  if (found == bids_.end()) return;
  Bid& bid = found->second;
  if (wanted && !bid.wanted) bid.next_try = std::max(bid.next_try, now);
  bid.wanted = wanted;
}

void Peer::Heard(const std::string& duty, Token token) {
  if (!bids_.contains(duty) || token > kMostToken) return;
  Token& highest = highest_[duty];
  highest = std::max(highest, token);
}

void Peer::Claims(const std::vector<Claimed>& claims) {
  for (auto& [duty, claim] : claims_) claim.second.clear();
  for (const Claimed& one : claims) {
    if (!bids_.contains(one.duty) || one.token == kNoToken || one.token > kMostToken) continue;
    auto& [highest, member] = claims_[one.duty];
    if (one.token < highest) continue;
    highest = one.token;
    member = one.member;
    Heard(one.duty, one.token);
  }
}

Token Peer::HighestClaimed(const std::string& duty) const {
  const auto found = claims_.find(duty);
  return found == claims_.end() ? kNoToken : found->second.first;
}

std::optional<Token> Peer::Holds(const std::string& duty, Micros now) const {
  const auto found = bids_.find(duty);
  if (found == bids_.end() || found->second.phase != Phase::kHolding || now >= found->second.until) return {};
  return found->second.ballot;
}

Known Peer::KnownOf(const std::string& duty, Micros now) const {
  Known known;
  if (const auto token = Holds(duty, now)) {
    return {self_, *token, bids_.at(duty).until - now, true};
  }
  if (const auto vote = votes_.find(duty); vote != votes_.end() && vote->second.until > now) {
    return {vote->second.holder, vote->second.granted, vote->second.until - now, false};
  }
  if (const auto highest = highest_.find(duty); highest != highest_.end()) known.token = highest->second;
  if (const auto told = holders_.find(duty); told != holders_.end() && told->second.second > now) {
    known.holder = told->second.first;
    known.left = told->second.second - now;
  }
  // A token known without a holder is only a ballot, perhaps our own: what is claimed counts.
  if (const auto claim = claims_.find(duty);
      known.holder.empty() && claim != claims_.end() && !claim->second.second.empty()) {
    known.token = claim->second.first;
    known.holder = claim->second.second;
  }
  return known;
}

bool Peer::Serving(const std::string& duty) const {
  const auto found = votes_.find(duty);
  return found != votes_.end() && found->second.serving;
}

void Peer::Receive(Micros now, const Message& message) {
  ++figures_.received;
  Handle(now, message);
  Drain(now);
}

void Peer::Drain(Micros now) {
  while (!local_.empty()) {
    for (const Message& message : std::exchange(local_, {})) Handle(now, message);
  }
}

void Peer::Handle(Micros now, const Message& message) {
  const auto bid = bids_.find(message.duty);
  if (bid == bids_.end()) return;  // a duty of another configuration
  Heard(message.duty, message.ballot);
  switch (message.kind) {
    case Kind::kPrepare:
    case Kind::kPropose:
    case Kind::kRelease:
    case Kind::kAsk:
    case Kind::kMark:
      if (const auto vote = votes_.find(message.duty); vote != votes_.end()) {
        AsVoter(now, vote->second, message);
      }
      return;
    case Kind::kPromise:
    case Kind::kAccept:
    case Kind::kRefuse:
    case Kind::kFreed:
      if (Counts(message.from)) AsBidder(now, bid->second, message);
      return;
  }
}

void Peer::AsVoter(Micros now, Vote& vote, const Message& message) {
  Message answer;
  answer.duty = message.duty;
  answer.seq = message.seq;
  if (message.kind == Kind::kAsk) {
    if (!Counts(message.from)) return;
    answer.kind = Kind::kMark;
    answer.ballot = vote.granted;
    answer.holder = vote.holder;
    answer.serving = vote.serving;
    // One that is itself silent yet knows nothing, and may still have to forget: it does not answer.
    if (vote.serving || now >= vote.silent_until) Send(message.from, std::move(answer));
    return;
  }
  if (message.kind == Kind::kMark) {
    if (vote.serving || message.seq != vote.ask || !Counts(message.from) || message.from == self_) return;
    vote.marks[message.from] = message.serving;
    if (message.ballot > vote.granted) {
      vote.granted = message.ballot;
      vote.holder = message.holder;
      vote.promised = std::max(vote.promised, message.ballot);
    }
    return;
  }
  if (!vote.serving) return;
  if (message.kind == Kind::kRelease) {
    if (vote.holder != message.from || vote.granted != message.ballot || now >= vote.until) return;
    vote.until = now;
    answer.kind = Kind::kFreed;
    answer.ballot = vote.promised;
    for (const std::string& name : std::exchange(vote.refused, {})) Send(name, answer);
    return;
  }
  const bool held = now < vote.until && vote.holder != message.from;
  const bool prepare = message.kind == Kind::kPrepare;
  // A ballot is prepared once only: one that comes again, or from another under the same number, is refused.
  // A proposal needs its own promise, or that no other's promise lasts: else a voter that promised a
  // candidate which then came to nothing would refuse the holder's renewals for good. Nothing below what was
  // ever granted here is granted again.
  bool good = message.ballot > vote.promised;
  if (!prepare && !good) {
    const bool promised = message.ballot == vote.promised && message.from == vote.owner;
    const bool newest =
        message.ballot > vote.granted || (message.ballot == vote.granted && message.from == vote.holder);
    good = promised || (newest && now >= vote.promise_until);
  }
  // While another's lease lasts a new ballot is not even promised: it would end that one's renewals.
  if (!good || message.ballot > kMostToken || (held && prepare)) {
    answer.kind = Kind::kRefuse;
    answer.ballot = vote.promised;
    if (held) {
      answer.holder = vote.holder;
      answer.left = vote.until - now;
      if (std::find(vote.refused.begin(), vote.refused.end(), message.from) == vote.refused.end()) {
        if (vote.refused.size() >= kMostRefused) vote.refused.erase(vote.refused.begin());
        vote.refused.push_back(message.from);
      }
    }
    Send(message.from, std::move(answer));
    return;
  }
  if (message.ballot > vote.promised) {
    vote.promised = message.ballot;
    vote.owner = message.from;
  }
  if (prepare) {
    vote.promise_until = now + options_.Promised();
  } else {
    vote.granted = message.ballot;
    vote.holder = message.from;
    vote.until = now + options_.length;
  }
  answer.kind = prepare ? Kind::kPromise : Kind::kAccept;
  answer.ballot = message.ballot;
  Send(message.from, std::move(answer));
}

void Peer::AsBidder(Micros now, Bid& bid, const Message& message) {
  if (message.kind == Kind::kFreed) {
    if (bid.wanted && bid.phase == Phase::kIdle) {
      bid.next_try = std::min(bid.next_try, now + Between(Micros{0}, options_.attempt / 8));
    }
    return;
  }
  if (message.kind == Kind::kRefuse && !message.holder.empty()) {
    const Micros left = std::clamp(message.left, Micros{0}, options_.length);
    holders_[message.duty] = {message.holder, now + left};
    bid.told_free = std::max(bid.told_free, now + left);
  }
  if (message.seq != bid.seq) return;  // an answer to something older
  // A process that was stopped may read answers before its timer: the promises have run out meanwhile.
  if ((bid.phase == Phase::kPreparing || bid.phase == Phase::kProposing) &&
      now >= bid.began + options_.attempt) {
    return Fail(now, bid);
  }
  switch (message.kind) {
    case Kind::kPromise:
      if (bid.phase != Phase::kPreparing || message.ballot != bid.ballot) return;
      bid.yes.insert(message.from);
      if (bid.yes.size() >= options_.Majority()) {
        bid.phase = Phase::kProposing;
        Propose(now, message.duty, bid);
      }
      return;
    case Kind::kAccept: {
      if (message.ballot != bid.ballot || (bid.phase != Phase::kProposing && bid.phase != Phase::kHolding)) {
        return;
      }
      bid.yes.insert(message.from);
      if (bid.yes.size() < options_.Majority()) return;
      const Micros until = bid.asked + options_.Valid();
      // Late accepts grant nothing: nor does a renewal whose lease has run out (Holds says so already).
      if (now >= until || (bid.phase == Phase::kHolding && now >= bid.until)) return;
      if (bid.phase == Phase::kProposing) {
        ++figures_.granted;
        changes_.push_back({Change::What::kGranted, message.duty, bid.ballot});
      } else if (until > bid.until) {
        ++figures_.renewed;
      }
      bid.phase = Phase::kHolding;
      bid.failed = 0;
      bid.until = until;
      bid.renew = bid.asked + options_.Valid() / 4;
      return;
    }
    case Kind::kRefuse:
      ++figures_.refused;
      bid.no.insert(message.from);
      if (bid.phase == Phase::kHolding || bid.phase == Phase::kIdle) return;  // time ends a hold
      if (bid.no.size() > options_.voters.size() - options_.Majority()) Fail(now, bid);
      return;
    default:
      return;
  }
}

// A ballot that came to nothing. Held by another: again when that one can have run out. Outbid: after a while
// that grows, so that candidates draw apart.
void Peer::Fail(Micros now, Bid& bid) {
  bid.phase = Phase::kIdle;
  bid.failed = std::min(bid.failed + 1, 4);
  const Micros spread = options_.attempt / 4 * (std::int64_t{1} << bid.failed);
  bid.next_try = std::max(now, bid.told_free) + Between(options_.attempt / 16, spread);
  if (bid.told_free > now) {  // not outbid: only early
    bid.failed = 0;
    bid.next_try = bid.told_free + Between(Micros{0}, options_.attempt / 4);
  }
}

void Peer::Propose(Micros now, const std::string& duty, Bid& bid) {
  bid.asked = now;  // before anything goes out: what a voter counts begins later
  AskVoters(Kind::kPropose, duty, bid);
}

// Only answers to this question count from here on.
void Peer::AskVoters(Kind kind, const std::string& duty, Bid& bid) {
  bid.yes.clear();
  bid.no.clear();
  bid.seq = ++seq_;
  Message message;
  message.kind = kind;
  message.duty = duty;
  message.ballot = bid.ballot;
  message.seq = bid.seq;
  ToVoters(message);
}

void Peer::EndHold(Micros now, const std::string& duty, Bid& bid, Change::What what) {
  bid.phase = Phase::kIdle;
  bid.next_try = now + Between(Micros{0}, options_.attempt);
  if (what == Change::What::kLapsed) ++figures_.lapsed;
  changes_.push_back({what, duty, bid.ballot});
}

void Peer::Drop(const std::string& duty, Micros now) {
  const auto found = bids_.find(duty);
  if (found == bids_.end() || found->second.phase != Phase::kHolding) return;
  EndHold(now, duty, found->second, Change::What::kLapsed);
}

void Peer::ReleaseAll(Micros now) {
  for (auto& [duty, bid] : bids_) {
    bid.wanted = false;
    if (bid.phase != Phase::kHolding) {
      bid.phase = Phase::kIdle;
      continue;
    }
    EndHold(now, duty, bid, Change::What::kReleased);  // first: nothing is done under it from here on
    Message message;
    message.kind = Kind::kRelease;
    message.duty = duty;
    message.ballot = bid.ballot;
    ToVoters(message);
  }
  Drain(now);
}

void Peer::Tick(Micros now, std::uint64_t wall_ms) {
  for (auto& [duty, vote] : votes_) TickVote(now, wall_ms, duty, vote);
  for (auto& [duty, bid] : bids_) TickBid(now, wall_ms, duty, bid);
  Drain(now);
}

void Peer::TickVote(Micros now, std::uint64_t wall_ms, const std::string& duty, Vote& vote) {
  if (vote.serving || now < vote.silent_until) return;
  const auto serving = static_cast<std::size_t>(
      std::count_if(vote.marks.begin(), vote.marks.end(), [](const auto& one) { return one.second; }));
  // A majority of the others is in every majority that we were part of: it knows what we promised there.
  if (serving >= options_.Majority()) {
    vote.serving = true;
    return;
  }
  // Nobody is left to ask: a fleet that starts whole. Clocks alone order the tokens then.
  if (vote.marks.size() + 1 == options_.voters.size() || (options_.start_alone && now >= vote.alone_at)) {
    vote.serving = true;
    const Token clock{std::min(wall_ms, Number(kMostToken) - 1)};
    if (clock > vote.promised) {
      vote.promised = clock;
      vote.owner.clear();
    }
    return;
  }
  if (now < vote.next_ask) return;
  vote.next_ask = now + options_.attempt / 4;
  if (vote.ask == 0) vote.ask = ++seq_;  // one question, asked until it is answered: marks add up
  Message message;
  message.kind = Kind::kAsk;
  message.duty = duty;
  message.seq = vote.ask;
  for (const std::string& voter : options_.voters) {
    if (voter != self_) Send(voter, message);
  }
}

void Peer::TickBid(Micros now, std::uint64_t wall_ms, const std::string& duty, Bid& bid) {
  if (bid.phase == Phase::kHolding) {
    if (now >= bid.until) {
      EndHold(now, duty, bid, Change::What::kLapsed);
    } else if (now >= bid.renew) {
      bid.renew = now + options_.Valid() / 4;
      Propose(now, duty, bid);
    }
    return;
  }
  if (bid.phase != Phase::kIdle && now >= bid.began + options_.attempt) Fail(now, bid);
  if (bid.phase != Phase::kIdle || !bid.wanted || now < bid.next_try) return;
  const std::uint64_t above = Number(highest_[duty]) + 1;
  bid.ballot = Token{std::clamp(wall_ms, above, std::max(above, Number(kMostToken)))};
  if (bid.ballot > kMostToken) return;  // nothing is above it
  ++figures_.ballots;
  highest_[duty] = bid.ballot;
  bid.phase = Phase::kPreparing;
  bid.began = now;
  bid.told_free = Micros{0};
  AskVoters(Kind::kPrepare, duty, bid);
}

Micros Peer::NextDue() const {
  Micros due = Micros::max();
  for (const auto& [duty, vote] : votes_) {
    if (!vote.serving) due = std::min(due, std::max(vote.silent_until, vote.next_ask));
  }
  for (const auto& [duty, bid] : bids_) {
    if (bid.phase == Phase::kHolding) {
      due = std::min({due, bid.until, bid.renew});
    } else if (bid.phase != Phase::kIdle) {
      due = std::min(due, bid.began + options_.attempt);
    } else if (bid.wanted) {
      due = std::min(due, bid.next_try);
    }
  }
  return due;
}

std::vector<std::string> Candidates(const std::string& duty, const std::vector<std::string>& alive,
                                    std::size_t count) {
  const std::uint64_t salt = XXH3_64bits(duty.data(), duty.size());
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  ranked.reserve(alive.size());
  for (const std::string& name : alive) {
    ranked.emplace_back(XXH3_64bits_withSeed(name.data(), name.size(), salt), name);
  }
  count = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
                    std::greater<>());
  std::vector<std::string> out;
  for (std::size_t i = 0; i < count; ++i) out.push_back(std::move(ranked[i].second));
  return out;
}

}  // namespace tinspan::lease
