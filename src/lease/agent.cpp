#include "lease/agent.hpp"

#include <time.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "log/log.hpp"

namespace tinspan::lease {
namespace {

Options WithDuties(Options options) {
  options.duties = {kHealth};
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
      peer_(WithDuties(options_.lease), node_.Seen().Self().name, options_.seed, Now()),
      publisher_(options_.every),
      store_(loop, options_.store, options_.key, kStoreLimit,
             [this](const KvStore::Answer& answer) { OnStore(answer); }) {
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
  peer_.Receive(Now(), *message);
  Flush();
}

// Who tries for a duty is told by the view; what others say they hold puts our next ballot above it.
void Agent::Look(Micros now) {
  next_look_ = now + kLook;
  std::vector<std::string> alive;
  Token best = fence_.Highest(kHealth);
  for (const auto& [name, member] : node_.Seen().Members()) {
    if (member.state == members::State::kDead || member.state == members::State::kLeft) continue;
    if (member.state == members::State::kAlive) alive.push_back(name);
    for (const members::Claim& claim : member.duties) {
      if (claim.duty != kHealth || claim.token > Number(kMostToken)) continue;
      if (!fence_.Admit(kHealth, Token{claim.token})) continue;  // an older grant's word
      best = Token{claim.token};
      claimed_by_ = name;
    }
  }
  peer_.Heard(kHealth, best);
  const std::vector<std::string> chosen = Candidates(kHealth, alive, options_.candidates);
  const std::string& self = node_.Seen().Self().name;
  peer_.Want(kHealth, !leaving_ && std::find(chosen.begin(), chosen.end(), self) != chosen.end(), now);
}

void Agent::Round() {
  const Micros now = Now();
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
    if (const auto token = peer_.Holds(kHealth, Now())) claims.push_back({kHealth, Number(*token)});
    node_.Claims(std::move(claims));
  }
  Act();
  Arm();
}

void Agent::Act() {
  const Micros now = Now();
  const auto ask = publisher_.Next(now, peer_.Holds(kHealth, now));
  if (!ask) return;
  store_.Call(*ask, ask->what == Ask::What::kWrite ? Record(*ask) : std::string());
}

void Agent::OnStore(const KvStore::Answer& answer) {
  const Micros now = Now();
  if (!answer.failed.empty()) {
    publisher_.OnFailed(now);
    if (answer.failed != last_failure_) {  // each failure's first
      log::Warn("lease.store_failed", {{"reason", answer.failed}}, "leases: the store: {}; asked again later",
                answer.failed);
    }
    last_failure_ = answer.failed;
    return Arm();
  }
  last_failure_.clear();
  if (answer.taken) {
    publisher_.OnWrite(*answer.taken);
  } else if (answer.stood && publisher_.OnRead(now, *answer.stood) == Publisher::Verdict::kNewer) {
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
  Micros due = std::min(peer_.NextDue(), next_look_);
  if (peer_.Holds(kHealth, now)) due = std::min(due, publisher_.NextDue());
  const Micros wait = std::clamp(due - now, Micros{0}, kLook);
  timer_ = loop_.Timers().Set(net::Now() + wait + Micros{500}, [this](Micros) {
    timer_.reset();
    Round();
  });
}

void Agent::Leave() {
  leaving_ = true;
  peer_.ReleaseAll(Now());
  Flush();
}

std::string Agent::Lines() const {
  const Micros now = Now();
  Known known = peer_.KnownOf(kHealth, now);
  if (known.holder.empty() && fence_.Highest(kHealth) >= known.token) {  // as the fleet says
    const auto found = node_.Seen().Members().find(claimed_by_);
    if (found != node_.Seen().Members().end() &&
        std::any_of(found->second.duties.begin(), found->second.duties.end(),
                    [&](const members::Claim& claim) {
                      return claim.duty == kHealth && Token{claim.token} == fence_.Highest(kHealth);
                    })) {
      known.holder = claimed_by_;
      known.token = fence_.Highest(kHealth);
    }
  }
  const std::string role = known.ours        ? "holder"
                           : peer_.IsVoter() ? (peer_.Serving(kHealth) ? "voter" : "voter-silent")
                                             : "member";
  return std::string(kHealth) + " " + (known.holder.empty() ? "-" : known.holder) + " " +
         std::to_string(Number(known.token)) + " " + std::to_string(known.left.count() / 1000) + " " + role +
         " number=" + std::to_string(publisher_.Position()) +
         " store=" + (last_failure_.empty() ? "well" : "failing") + "\n";
}

}  // namespace tinspan::lease
