#include "lease/agent.hpp"

#include <time.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "log/log.hpp"

namespace tinspan::lease {
namespace {

Options WithDuties(const AgentOptions& told) {
  Options options = told.lease;
  options.duties.clear();
  if (told.publish) options.duties.push_back(kHealth);
  if (told.purge) options.duties.push_back(kPurge);
  return options;
}

}  // namespace

Micros Agent::Now() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return Micros{static_cast<std::int64_t>(now.tv_sec) * 1'000'000 + now.tv_nsec / 1'000};
}

std::uint64_t Agent::WallMs() {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(net::Now().count() / 1000, 1));
}

Agent::Agent(net::EventLoop& loop, members::Node& node, AgentOptions options)
    : loop_(loop),
      node_(node),
      options_(std::move(options)),
      peer_(WithDuties(options_), node_.Seen().Self().name, options_.seed, Now()),
      fanout_(node_.Seen().Self().name, WallMs(), options_.purge_keep) {
  if (options_.publish) {
    publisher_.emplace(options_.publish->every);
    store_.emplace(loop, options_.publish->store, options_.publish->key, kStoreLimit,
                   [this](const KvStore::Answer& answer) { OnStore(answer); });
  }
  node_.SetCarried([this](const std::string& from, const std::string& bytes) { OnCarried(from, bytes); });
  log::Info("lease.started", {{"voter", peer_.IsVoter()}, {"voters", options_.lease.voters.size()}},
            "leases: {} of {} voters", peer_.IsVoter() ? "one" : "none", options_.lease.voters.size());
  Round();
}

Agent::~Agent() {
  node_.SetCarried({});
  if (timer_) loop_.Timers().Cancel(*timer_);
}

void Agent::OnCarried(const std::string& from, const std::string& bytes) {
  std::string why;
  const auto message = Decode(bytes, from, why);
  if (!message) {
    if (++refused_ == 1 || refused_ % 1000 == 0) {
      log::Warn("lease.message_refused", {{"reason", why}, {"count", refused_}},
                "leases: a message refused ({}), {} so far", why, refused_);
    }
    return;
  }
  const Micros now = Now();
  if (const auto* fan = std::get_if<FanMessage>(&*message)) {
    if (options_.purge) fanout_.Receive(now, *fan, peer_.Holds(kPurge, now), fence_);
  } else {
    peer_.Receive(now, std::get<Message>(*message));
  }
  Flush();
}

bool Agent::Purged(Job job) {
  if (!options_.purge || !fanout_.Begin(Now(), std::move(job))) return false;
  Flush();
  return true;
}

// Who tries for a duty is told by the view; what others say they hold puts our next ballot above it.
void Agent::Look(Micros now) {
  next_look_ = now + kLook;
  alive_.clear();
  for (const auto& [name, member] : node_.Seen().Members()) {
    if (member.state == members::State::kDead || member.state == members::State::kLeft) continue;
    if (member.state == members::State::kAlive) alive_.push_back(name);
    for (const members::Claim& claim : member.duties) {
      if (claim.token > Number(kMostToken) || !fence_.Admit(claim.duty, Token{claim.token})) continue;
      claimed_by_[claim.duty] = name;  // an older grant's word is not believed
    }
  }
  const std::string& self = node_.Seen().Self().name;
  for (const std::string& duty : peer_.Told().duties) {
    peer_.Heard(duty, fence_.Highest(duty));
    const std::vector<std::string> chosen = Candidates(duty, alive_, options_.candidates);
    peer_.Want(duty, !leaving_ && std::find(chosen.begin(), chosen.end(), self) != chosen.end(), now);
  }
}

void Agent::Round() {
  const Micros now = Now();
  if (!begun_) {
    if (!node_.Started()) return Arm();
    begun_ = true;
    peer_ = Peer(WithDuties(options_), node_.Seen().Self().name, options_.seed, now);
  }
  if (now >= next_look_) Look(now);
  peer_.Tick(now, WallMs());
  Flush();
}

void Agent::Flush() {
  for (const Out& out : peer_.TakeOut()) node_.Carry(out.to, Encode(out.message));
  bool changed = false;
  for (const Change& change : peer_.TakeChanges()) {
    changed = true;
    const std::uint64_t token = Number(change.token);
    switch (change.what) {
      case Change::What::kGranted:
        log::Info("lease.granted", {{"duty", change.duty}, {"token", token}},
                  "leases: {} is ours under token {}", change.duty, token);
        break;
      case Change::What::kLapsed:
        log::Warn("lease.lapsed", {{"duty", change.duty}, {"token", token}},
                  "leases: {} lapsed, token {} is used no more", change.duty, token);
        break;
      case Change::What::kReleased:
        log::Info("lease.released", {{"duty", change.duty}, {"token", token}}, "leases: {} let go, token {}",
                  change.duty, token);
        break;
    }
  }
  if (changed) {
    std::vector<members::Claim> claims;
    for (const std::string& duty : peer_.Told().duties) {
      if (const auto token = peer_.Holds(duty, Now())) claims.push_back({duty, Number(*token)});
    }
    node_.Claims(std::move(claims));
  }
  Act();
  if (options_.purge) Spreading();
  Arm();
}

void Agent::Spreading() {
  const Micros now = Now();
  const Known known = KnownOf(kPurge);
  fanout_.Tick(now, known.holder, peer_.Holds(kPurge, now), alive_);
  for (const FanOut& out : fanout_.TakeOut()) node_.Carry(out.to, Encode(out.message));
  for (const Job& job : fanout_.TakeApplied()) {
    const std::uint64_t token = Number(fence_.Highest(kPurge));
    log::Info("purge.passed_on", {{"job", job.id}, {"token", token}}, "a purge from {} applied, token {}",
              job.id, token);
    if (apply_) apply_(job);
  }
  if (const auto held = peer_.Holds(kPurge, now); held && fanout_.Newer() > *held) {
    log::Warn("lease.fenced", {{"duty", kPurge}, {"token", Number(fanout_.Newer())}},
              "leases: {} is done under a newer token, {}", kPurge, Number(fanout_.Newer()));
    peer_.Heard(kPurge, fanout_.Newer());
    peer_.Drop(kPurge, now);
  }
}

void Agent::Act() {
  if (!publisher_) return;
  const Micros now = Now();
  const auto ask = publisher_->Next(now, peer_.Holds(kHealth, now));
  if (!ask) return;
  store_->Call(*ask, ask->what == Ask::What::kWrite ? Record(*ask) : std::string());
}

void Agent::OnStore(const KvStore::Answer& answer) {
  const Micros now = Now();
  if (!answer.failed.empty()) {
    publisher_->OnFailed(now);
    if (answer.failed != last_failure_) {  // each failure's first
      log::Warn("lease.store_failed", {{"reason", answer.failed}}, "leases: the store: {}; asked again later",
                answer.failed);
    }
    last_failure_ = answer.failed;
    return Arm();
  }
  last_failure_.clear();
  if (answer.taken) {
    publisher_->OnWrite(*answer.taken);
  } else if (answer.stood && publisher_->OnRead(now, *answer.stood) == Publisher::Verdict::kNewer) {
    const std::uint64_t theirs = Number(answer.stood->token);
    log::Warn("lease.fenced", {{"duty", kHealth}, {"token", theirs}},
              "leases: {} is written under a newer token, {}", kHealth, theirs);
    peer_.Heard(kHealth, answer.stood->token);
    peer_.Drop(kHealth, now);
  }
  Arm();  // the next step in a round of its own: this is called from within the store's connection
}

std::string Agent::Record(const Ask& ask) const {
  const members::View& view = node_.Seen();
  nlohmann::json record;
  record["number"] = ask.number;
  record["token"] = Number(ask.token);
  record["holder"] = view.Self().name;
  record["at_ms"] = WallMs();
  std::set<std::uint64_t> failing;
  nlohmann::json unwell = nlohmann::json::object();
  for (const auto& [name, member] : view.Members()) {
    failing.insert(member.failing.begin(), member.failing.end());
    if (member.state != members::State::kAlive && unwell.size() < 64)
      unwell[name] = members::Name(member.state);
  }
  using members::State;
  record["members"] = {{"alive", view.Count(State::kAlive)},
                       {"suspect", view.Count(State::kSuspect)},
                       {"dead", view.Count(State::kDead)},
                       {"left", view.Count(State::kLeft)}};
  record["unwell"] = unwell;
  record["servers_seen_failing"] = failing;
  return record.dump();
}

void Agent::Arm() {
  if (timer_) loop_.Timers().Cancel(*timer_);
  const Micros now = Now();
  Micros due = begun_ ? std::min(peer_.NextDue(), next_look_) : Micros::max();
  if (publisher_ && peer_.Holds(kHealth, now)) due = std::min(due, publisher_->NextDue());
  if (options_.purge) due = std::min(due, fanout_.NextDue());
  const Micros wait = std::clamp(due - now, Micros{0}, kLook);
  timer_ = loop_.Timers().Set(net::Now() + wait + Micros{500}, [this](Micros) {
    timer_.reset();
    Round();
  });
}

void Agent::Leave() {
  leaving_ = true;
  if (!begun_) return;
  peer_.ReleaseAll(Now());
  Flush();
}

// As the peer knows it, or else as the fleet says.
Known Agent::KnownOf(const std::string& duty) const {
  Known known = peer_.KnownOf(duty, Now());
  const Token highest = fence_.Highest(duty);
  const auto by = claimed_by_.find(duty);
  // A token known without a holder is only a ballot, perhaps our own: what is claimed counts.
  if (!known.holder.empty() || by == claimed_by_.end()) return known;
  const auto member = node_.Seen().Members().find(by->second);
  if (member == node_.Seen().Members().end()) return known;
  for (const members::Claim& claim : member->second.duties) {
    if (claim.duty != duty || Token{claim.token} != highest) continue;
    known.holder = by->second;
    known.token = highest;
  }
  return known;
}

std::string Agent::Lines() const {
  std::string out;
  for (const std::string& duty : peer_.Told().duties) {
    const Known known = KnownOf(duty);
    const char* const here = known.ours            ? "holder"
                             : !peer_.IsVoter()    ? "member"
                             : peer_.Serving(duty) ? "voter"
                                                   : "voter-silent";
    out += duty + " " + (known.holder.empty() ? "-" : known.holder) + " " +
           std::to_string(Number(known.token)) + " " + std::to_string(known.left.count() / 1000) + " " + here;
    if (duty == kHealth) {
      out += " number=" + std::to_string(publisher_->Position()) +
             " store=" + (last_failure_.empty() ? "well" : "failing");
    } else {
      out += " open=" + std::to_string(fanout_.Open()) + " applied=" + std::to_string(fanout_.Applied()) +
             " refused=" + std::to_string(fanout_.Refused());
    }
    out += "\n";
  }
  return out;
}

}  // namespace tinspan::lease
