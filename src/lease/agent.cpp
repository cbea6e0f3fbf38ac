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
      peer_(WithDuties(options_), node_.View().Self().name, options_.seed, Now()),
      fanout_(node_.View().Self().name, WallMs(), options_.purge_keep) {
  if (options_.publish) {
    publisher_.emplace(options_.publish->every);
    store_.emplace(loop, options_.publish->store, options_.publish->key, kStoreLimit,
                   [this](const KvStore::Answer& answer) { OnStore(answer); });
  }
  node_.SetPayloadHandler(
      [this](const std::string& from, const std::string& bytes) { OnCarried(from, bytes); });
  log::Info("lease.started", {{"voter", peer_.IsVoter()}, {"voters", options_.lease.voters.size()}},
            "leases: {} of {} voters", peer_.IsVoter() ? "one" : "none", options_.lease.voters.size());
  Round();
}

Agent::~Agent() {
  node_.SetPayloadHandler({});
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
    if (options_.purge) fanout_.Receive(now, *fan, peer_.Holds(kPurge, now));
  } else {
    peer_.Receive(now, std::get<Message>(*message));
  }
  Flush();
}

bool Agent::Purged(Job job) {
  if (!fanout_.Begin(Now(), std::move(job))) return false;
  Flush();
  return true;
}

// Who lives and what they claim, as the view has it: who tries for a duty, and who holds it, comes of that.
void Agent::Look(Micros now) {
  next_look_ = now + kLook;
  alive_.clear();
  std::vector<Claimed> claims;
  for (const auto& [name, member] : node_.View().Members()) {
    if (member.state == members::State::kDead || member.state == members::State::kLeft) continue;
    if (member.state == members::State::kAlive) alive_.push_back(name);
    for (const members::LeaseClaim& claim : member.lease_claims)
      claims.push_back({claim.lease, name, Token{claim.token}});
  }
  peer_.Claims(claims);
  const std::string& self = node_.View().Self().name;
  for (const std::string& duty : peer_.Told().duties) {
    const std::vector<std::string> chosen = Candidates(duty, alive_, options_.candidates);
    peer_.Want(duty, !leaving_ && std::find(chosen.begin(), chosen.end(), self) != chosen.end(), now);
  }
}

void Agent::Round() {
  const Micros now = Now();
  if (!begun_) {
    if (!node_.IsStarted()) return Arm();
    begun_ = true;
    peer_ = Peer(WithDuties(options_), node_.View().Self().name, options_.seed, now);
  }
  if (now >= next_look_) Look(now);
  peer_.Tick(now, WallMs());
  Flush();
}

void Agent::Flush() {
  for (const Out& out : peer_.TakeOut()) node_.SendPayload(out.to, Encode(out.message));
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
    std::vector<members::LeaseClaim> claims;
    for (const std::string& duty : peer_.Told().duties) {
      if (const auto token = peer_.Holds(duty, Now())) claims.push_back({duty, Number(*token)});
    }
    node_.SetLeaseClaims(std::move(claims));
  }
  Act();
  if (options_.purge) Spreading();
  Arm();
}

void Agent::Spreading() {
  const Micros now = Now();
  fanout_.Fenced(peer_.HighestClaimed(kPurge));
  fanout_.Tick(now, peer_.KnownOf(kPurge, now).holder, peer_.Holds(kPurge, now), alive_);
  for (const FanOut& out : fanout_.TakeOut()) node_.SendPayload(out.to, Encode(out.message));
  for (const Job& job : fanout_.TakeApplied()) {
    const std::uint64_t token = Number(fanout_.Highest());
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
  if (answer.written) {
    publisher_->OnWrite();
  } else if (answer.stood && publisher_->OnRead(now, *answer.stood)) {
    const std::uint64_t theirs = Number(answer.stood->token);
    log::Warn("lease.fenced", {{"duty", kHealth}, {"token", theirs}},
              "leases: {} is written under a newer token, {}", kHealth, theirs);
    peer_.Heard(kHealth, answer.stood->token);
    peer_.Drop(kHealth, now);
  }
  Arm();  // the next step in a round of its own: this is called from within the store's connection
}

std::string Agent::Record(const Ask& ask) const {
  const members::MembershipView& view = node_.View();
  nlohmann::json record;
  record["number"] = ask.number;
  record["token"] = Number(ask.token);
  record["holder"] = view.Self().name;
  record["at_ms"] = WallMs();
  // The record stays small however large the fleet: a store takes so much for one, and so does a connection.
  std::set<std::uint64_t> failing;
  nlohmann::json unwell = nlohmann::json::object();
  for (const auto& [name, member] : view.Members()) {
    for (const std::uint64_t server : member.failing_servers) {
      if (failing.size() < kMostNamed) failing.insert(server);
    }
    if (member.state != members::State::kAlive && unwell.size() < kMostNamed)
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

std::string Agent::Lines() const {
  std::string out;
  for (const std::string& duty : peer_.Told().duties) {
    const Known known = peer_.KnownOf(duty, Now());
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
