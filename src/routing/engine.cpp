// Everything that tinspan decides. The interface is include/tinspan/router.hpp; read it first.
// Sections: counters and Pfreq, shared hash order, health, cold-start budgets, purge ledger, source
// choice, time-outs and further attempts, refusals; then the events that drive them.
#include <algorithm>
#include <array>
#include <cmath>
#include <queue>
#include <unordered_map>
#include <utility>

#include "routing/context.hpp"
#include "routing/evolutive_counter.hpp"
#include "routing/hash.hpp"
#include "routing/hit_probability.hpp"
#include "routing/purge_ledger.hpp"
#include "routing/settings_validation.hpp"
#include "routing/state.hpp"
#include "routing/time_units.hpp"
#include "tinspan/router.hpp"

namespace tinspan {
namespace {

// ---- Constants, each with its reason. Times that are not here come from the settings. ----
constexpr double kMissChance = 0.2;   // epsilon: the design's value
constexpr double kCrowd = 1.5;        // own requests at a cache over its fair part: a crowd
constexpr double kCrowdFloor = 4;     // so few requests are never a crowd
constexpr double kLight = 0.25;       // weight of ordinary evidence in the health estimate
constexpr double kStrong = 0.5;       // weight of evidence that only a dead or silent server gives
constexpr double kSuspectAt = 0.5;    // suspected from this estimate of failing on...
constexpr double kTrustAt = 0.25;     // ...until it is back under this
constexpr double kAlikeMost = 0.9;    // its peers' mean failing is added to that, up to this
constexpr int kGapGrowth = 8;         // the gap between trials grows to this many first gaps
constexpr double kTrialRouters = 16;  // where more share a server the first gap is so much longer
constexpr double kColdPart = 0.5;     // of what would push a cold server over, the part we send
constexpr double kColdBurst = 0.25;   // of one tipping time's budget, what may go at once
constexpr double kRoughPart = 0.7;    // part of a roughly told capacity that we count on
constexpr double kMean = 0.05;        // weight of a new value in running means
constexpr double kFirstRoom = 16;     // a cache bears so many of all its routers until it has shown
constexpr double kSlack = 2;          // a router's part has so many standard deviations of chance on top
constexpr double kLeastRoom = 20;     // of all its routers together, what a server's room never falls under
constexpr double kJam = 0.05;         // share of late answers that tells a jam from answers lost on the way
constexpr double kGhost = 0.6;        // of a fill cut off in a jam, what is counted as running on
constexpr double kGhostMost = 0.4;    // of the room of the link in, what such fills hold at most
constexpr double kInletPart = 0.15;   // of its caches' first rooms, what a location's link in bears at first
constexpr Micros kReportLasts{3'000'000};  // after which a report of the link in says nothing any more
constexpr double kReportWeight = 0.3;      // of a new report among those before it
constexpr double kLinkOpen = 0.8;          // of what fits at full pace: below it the link in shuts out nobody
constexpr double kLinkFull = 2;        // of what fits: over it fills are let in by its part of what is told
constexpr double kLinkMost = 1000;     // a report above it is spoilt: no link holds so many times what fits
constexpr double kTardy = 0.1;         // share of late attempts from which lateness accuses no single server
constexpr double kSlow = 0.7;          // of the aim: answers later than this say that room runs out
constexpr double kSlowFill = 1.0;      // the same for fills, which are slower without any trouble
constexpr double kRoomCut = 0.95;      // what a slow answer leaves of the room...
constexpr double kFillCut = 0.97;      // the same for a fill: far or cold ones are slow in calm, one in four
constexpr double kRoomGrow = 1.01;     // ...and a good one makes of it: steady where one in six is slow
constexpr double kRoomFull = 0.9;      // what a request turned away leaves of it
constexpr double kLeastShare = 0.6;    // of the room, for requests with little worth for their sending time
constexpr double kMostShare = 1.2;     // of the room, for those with much
constexpr double kLikely = 0.5;        // a fill likelier than this needs room at its source
constexpr double kFurtherShare = 0.3;  // further attempts earned by each fresh request...
constexpr double kFurtherMost = 20;    // ...and saved up at most

bool ProvesNotRun(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed ||
         outcome == Outcome::kNotSent || outcome == Outcome::kMiss;
}
}  // namespace

class Router::Brain {
 public:
  explicit Brain(const Settings& settings) : context_{.settings = settings} {
    CheckSettings(context_.settings);
    for (const ClassSettings& one : context_.settings.classes) {
      sends_.push_back(ToSeconds(one.latency_objective));  // until seen, high: errs on the careful side
    }
  }

  // The classes only grow (a changed one comes as a new one); what is open keeps its class and attempts.
  void Retune(const Settings& settings) {
    CheckSettings(settings);
    context_.settings = settings;
    for (std::size_t i = sends_.size(); i < context_.settings.classes.size(); ++i)
      sends_.push_back(ToSeconds(context_.settings.classes[i].latency_objective));
  }

  void Start(Micros now, Actions& out) {
    Begin(now, out);
    context_.started_at = context_.now;
    if (context_.settings.discovery == Discovery::kPolled) Emit(Subscribe{});
  }

  // Every event enters here: the clock never goes back, and outdated purges are dropped.
  void Begin(Micros now, Actions& out) {
    context_.now = std::max(context_.now, now);
    context_.actions = &out;
    purges_.RemoveExpired();
  }

  // ---- Shared hash (rendezvous) order. ----
  // Servers of a role in the order of one hash of object and server, weighed by told size; few objects
  // move when one comes or goes. Draining and gone ones are in no list; `Send` looks again.
  std::vector<int> Order(Role role, ObjectId object) const {
    std::vector<std::pair<double, int>> scored;
    for (const int i : Listed(role)) {
      const Server& server = servers_[i];
      const std::uint64_t hash = MixHash(ToNumber(object), Id(server));
      const double unit = ToUnitInterval(hash) + 0x1p-54;
      scored.emplace_back(-std::log(unit) / Weight(server), i);
    }
    std::sort(scored.begin(), scored.end());
    std::vector<int> order;
    for (const auto& [score, place] : scored) order.push_back(place);
    return order;
  }
  // Usable servers that may be sent to, by role, in the order they were told: made anew when members change,
  // so that a request's cost follows its location's size and not the fleet's.
  const std::vector<int>& Listed(Role role) const { return listed_[static_cast<int>(role)]; }
  static std::uint64_t Id(const Server& server) { return ToNumber(server.member.id); }
  static bool Usable(const Server& server) {
    return server.known && server.member.availability == Availability::kUp;
  }
  double Told(const Server& server) const {  // its size, or 0
    const bool size = context_.settings.weight_meaning == WeightMeaning::kSize ||
                      context_.settings.weight_meaning == WeightMeaning::kRough;
    return size ? std::max(0.0, server.member.weight) : 0.0;
  }
  double Weight(const Server& server) const { return Told(server) > 0 ? Told(server) : 1.0; }
  // Own requests there are over the fair part of all own requests out at this location's caches.
  bool Crowded(const Server& server) const {
    double out = 0, weight = 0;
    for (const int place : Listed(Role::kCache)) {
      out += servers_[place].out;
      weight += Weight(servers_[place]);
    }
    return server.out > std::max(kCrowdFloor, kCrowd * out * Weight(server) / weight);
  }

  // ---- Health. ----
  // Mean failing of the other servers of its role. What most show alike (answers lost on the way, a jam) is
  // no reason to shut one out; where all are lost each still passes the raised threshold.
  double PeersFailing(int place) const {
    double sum = -servers_[place].failing;
    const std::vector<int>& all = Listed(servers_[place].role);
    for (const int peer : all) sum += servers_[peer].failing;
    return all.size() > 1 ? sum / static_cast<double>(all.size() - 1) : 0.0;
  }
  void Observe(int place, bool bad, double weight) {
    Server& server = servers_[place];
    server.failing += weight * ((bad ? 1.0 : 0.0) - server.failing);
    if (!bad && weight >= kLight) server.heard = context_.now;  // a lighter sign may have been another's
    if (!server.suspect && server.failing > std::min(kAlikeMost, kSuspectAt + PeersFailing(place))) {
      server.suspect = true;
      server.gap = std::max(1, static_cast<int>(Routers(server.role == Role::kCache) / kTrialRouters));
      server.next_trial = context_.now + server.gap * context_.settings.connect_timeout;
    } else if (server.suspect && server.failing < kTrustAt) {
      server.suspect = false;
    } else if (server.suspect) {
      server.gap = bad ? std::max(server.gap, std::min(server.gap * 2, kGapGrowth)) : 1;
      server.next_trial = context_.now + (bad ? server.gap * context_.settings.connect_timeout : Micros{0});
    }
  }
  // A suspected server gets single real requests as trials, at growing gaps while they fail.
  bool TrialDue(const Server& server) const { return server.suspect && context_.now >= server.next_trial; }
  void NoteTrial(Server& server) {
    if (server.suspect) server.next_trial = context_.now + server.gap * context_.settings.connect_timeout;
  }

  // Room: answers in good time widen it where it is used, slow ones and refusals narrow it, at caches by
  // hits, at sources by fills. Guards against any overload, whatever made the load or the slowness.
  void LearnRoom(Server& server, bool slow, double cut) {
    server.late += kMean * ((slow ? 1.0 : 0.0) - server.late);
    if (slow) {
      Narrow(server, cut);
    } else if (server.out + server.fills + 1 > server.room / 2) {
      server.room *= kRoomGrow;
    }
  }
  void Narrow(Server& server, double cut) {
    const bool own = server.role == Role::kCache || server.role == Role::kForeign;
    server.room = std::max(std::min(1.0, kLeastRoom / Routers(own)), server.room * cut);
  }
  // From 0 to under 1, the same for a request however often it is asked for, and of its own for each salt.
  static double Lot(const Request& request, std::uint64_t salt) {
    return ToUnitInterval(MixHash(ToNumber(request.event.id), salt));
  }
  // One of many routers may have less than one request's room: it lets that part of its requests through.
  bool HasRoom(const Server& server, const Request& request, double more = 0) const {
    const double open = server.room * Share(request);
    return server.out + server.fills + more < open && (open >= 1 || Lot(request, Id(server)) < open);
  }
  // Caches that report how full the location's link in is speak for all its routers, of whose fills each sees
  // only its own few: while it is far from full no count of those shuts it.
  bool LinkInOpen() const { return context_.now - link_told_ < kReportLasts && link_use_ < kLinkOpen; }
  // Told to hold many times what fits, it takes that part of the fills less: the rooms of all its routers
  // together never narrow far enough.
  bool LinkInFull(const Request& request) const {
    return context_.now - link_told_ < kReportLasts && Lot(request, 0) * link_use_ > kLinkFull;
  }
  // What a server of a role, or the link in of some caches, bears of us until it has shown: our part of it,
  // and the slack of chance, since the peaks of many routers seldom meet; one request of any kind at least.
  double FirstRoom(double caches, bool own_zone) const {
    const double part = kFirstRoom * caches / Routers(own_zone);
    return std::max(1 / kLeastShare, part + kSlack * std::sqrt(part));
  }
  // The part of the room open to a request: little worth for its sending time is turned away first.
  double Share(const Request& request) const {
    const double density = ClassOf(request).priority_weight / std::max(OwnSend(request), 1e-3);
    const double mean = mean_worth_ / std::max(mean_send_, 1e-3);
    return std::clamp(kLeastShare + (1 - kLeastShare) * density / std::max(mean, 1e-9), kLeastShare,
                      kMostShare);
  }

  // ---- Cold-start budgets. ----
  // The part of its capacity that a server has by now.
  double ColdShare(const Server& server) const {
    if (server.role == Role::kOrigin || server.member.started_at <= Micros{0}) return 1;
    const bool parent = server.role == Role::kParent;
    const double from =
        parent ? context_.settings.parent_initial_capacity_share : context_.settings.initial_capacity_share;
    const Micros warm = parent ? context_.settings.parent_warm_up_time : context_.settings.warm_up_time;
    return std::min(1.0, from + (1 - from) * ToSeconds(context_.now - server.member.started_at) /
                                    std::max(ToSeconds(warm), 1e-3));
  }
  bool IsCold(const Server& server) const { return ColdShare(server) < 1; }
  double WorkSpan() const { return 4 * std::max(ToSeconds(context_.settings.overload_window), 0.5); }
  double WorkOf(const Server& server) const {
    return server.work * std::exp(-ToSeconds(context_.now - server.work_at) / WorkSpan());
  }
  void AddWork(Server& server, double cost) {
    server.work = WorkOf(server) + cost;
    server.work_at = context_.now;
  }
  // Routers that send to a server: its own location's to a cache, all to the rest.
  double Routers(bool own_zone) const {
    const std::size_t zone = ToNumber(context_.settings.zone);
    // Told that none serves our own location, we know better: then all may.
    const bool told = own_zone && zone < context_.settings.zone_instance_counts.size() &&
                      context_.settings.zone_instance_counts[zone] > 0;
    return std::max(1u,
                    told ? context_.settings.zone_instance_counts[zone] : context_.settings.instance_count);
  }
  // This router's part of a warm server's capacity, in sending time a second: the told size over the
  // routers that send there, else what warm ones of the role get from us (low: they are not full).
  double Part(const Server& server) const {
    const double part = context_.settings.weight_meaning == WeightMeaning::kRough ? kRoughPart : 1.0;
    if (Told(server) > 0) return part * Told(server) / Routers(server.role == Role::kCache);
    return borne_[static_cast<int>(server.role)];
  }
  void LearnBorne(Role role) {
    double& borne = borne_[static_cast<int>(role)];
    double rate = 0;
    int warm = 0;
    for (const int place : Listed(role)) {
      const Server& server = servers_[place];
      if (IsCold(server) || server.suspect) continue;
      rate += WorkOf(server) / WorkSpan();
      ++warm;
    }
    if (warm > 0) borne += kMean * (rate / warm - borne);
  }
  bool Affords(Server& server) {
    if (!IsCold(server)) return true;
    // Many routers hear of a start at once: each begins in debt by its own place among them, up to one
    // request, so that their first requests come as evenly as their budgets allow, summed over all.
    // What was not sent before we ourselves started is not made up for: all that start late would at once.
    const Micros since = std::max(server.member.started_at, context_.started_at);
    if (server.budget_at < since) {
      const double golden = 0.6180339887498949 * (context_.settings.instance_index + 1.0);
      const double place = golden + ToUnitInterval(MixHash(Id(server), 0));
      server.budget = -(place - std::floor(place)) * *std::max_element(sends_.begin(), sends_.end());
      server.budget_at = since;
    }
    const bool parent = server.role == Role::kParent;
    const double multiple =
        parent ? context_.settings.parent_overload_multiple : context_.settings.overload_multiple;
    const double rate = std::min(1.0, kColdPart * multiple) * ColdShare(server) * Part(server);
    server.budget += rate * ToSeconds(context_.now - server.budget_at);
    server.budget = std::min(server.budget, kColdBurst * rate * ToSeconds(context_.settings.overload_window));
    server.budget_at = context_.now;
    return server.budget > 0;
  }

  // ---- Source choice. ----
  static std::uint64_t Key(const RequestEvent& event) {  // a copy is a copy of one part
    return MixHash(ToNumber(event.object), event.part);
  }
  int Summary(int place, std::uint64_t key) {
    Server& server = servers_[place];
    if (!server.counter) return 0;
    server.counter->Slide(context_.now);
    return server.counter->Summary(key);
  }
  const ClassSettings& ClassOf(const Request& request) const {
    return context_.settings.classes[ToNumber(request.event.class_id)];
  }
  double& MeanSend(const Request& request) { return sends_[ToNumber(request.event.class_id)]; }
  // The top sibling where the chance of an avoidable miss reaches epsilon, else nobody. Departures: no
  // sibling within a purge's ledger time (counts stand for void copies), no suspected or cold one.
  int TopSibling(const Request& request, int server, int& value) {
    if (context_.settings.sibling_scope == SiblingScope::kOff || purges_.LatestPurge(request.event))
      return kNobody;
    const std::uint64_t key = Key(request.event);
    int best = kNobody;
    double all_lack = 1;
    for (const int place : request.order) {  // in hash order, which settles ties
      const Server& sibling = servers_[place];
      if (place == server || !Usable(sibling) || sibling.suspect || IsCold(sibling)) continue;
      const int x = Summary(place, key);
      if (x == 0) continue;
      all_lack *= 1 - hits_.sibling_fills.At(x).Value();
      if (best == kNobody || x > value) {
        best = place;
        value = x;
      }
    }
    return 1 - all_lack >= kMissChance ? best : kNobody;
  }
  // The object's parent by the shared hash, the next in order where one is suspected or has no budget
  // left, the origin where none is left. A server that may fill from nobody is its own source.
  int Upward(const Request& request, int server) {
    int last = kNobody;
    if (!ClassOf(request).is_write) {
      for (const int place : Order(Role::kParent, request.event.object)) {
        if (!Affords(servers_[place])) continue;
        if (!servers_[place].suspect || TrialDue(servers_[place])) return place;
        last = place;
      }
    }
    const int origin = Origin();
    if (origin != kNobody && (!servers_[origin].suspect || last == kNobody)) return origin;
    return last == kNobody ? server : last;
  }
  int Origin() const { return Listed(Role::kOrigin).empty() ? kNobody : Listed(Role::kOrigin).front(); }

  // The one place where an attempt is emitted. All rules are checked here; false: nothing was sent.
  bool Send(Request& request, int place) {
    Server& server = servers_[place];
    const ClassSettings& one = ClassOf(request);
    if (request.ended || request.streaming || context_.now >= request.deadline) return false;
    if (request.attempts.size() >= request.most_attempts) return false;
    if (request.Out() > 0 && (!context_.settings.can_hedge || one.effect != Effect::kIdempotent))
      return false;
    if (!EffectAllows(request, place)) return false;
    if (!Usable(server) || !Affords(server)) return false;
    const bool direct = server.role != Role::kCache;
    if (direct && (!context_.settings.can_bypass_cache || server.role == Role::kForeign)) return false;

    Attempt attempt{.server = place, .source = place, .sent = context_.now};
    const bool home = !request.order.empty() && place == request.order[0];
    const std::uint64_t key = Key(request.event);
    const int summary = Summary(place, key);
    if (!direct) {
      int value = 0;
      const bool ask = !one.is_write && home && summary == 0 && !request.sibling_failed;
      attempt.source = ask ? TopSibling(request, place, value) : kNobody;
      attempt.sibling_value = attempt.source == kNobody ? 0 : value;
      if (attempt.source == kNobody) attempt.source = Upward(request, place);
    }
    Server& source = servers_[attempt.source];
    attempt.value = summary;
    const HitProbability& odds = direct ? hits_.parent_hits : hits_.cache_hits.At(summary);
    attempt.fill_chance = attempt.source == place ? 0.0 : one.is_write ? 1.0 : 1 - odds.Value();
    if (!HasRoom(server, request)) return false;
    if (attempt.fill_chance > kLikely && !HasRoom(source, request)) return false;
    // Departure: the location's link in has a room of its own. With many parents theirs add up to far more
    // than it carries, and fills that crawl hold all places for fills (incidents at full size).
    attempt.inlet_chance = direct ? 1.0 : source.role == Role::kCache ? 0.0 : attempt.fill_chance;
    if (attempt.inlet_chance > kLikely && !LinkInOpen() &&
        (LinkInFull(request) || !HasRoom(inlet_, request, WorkOf(inlet_))))
      return false;
    // An origin in trouble, or without room, is spared: parents give only what they hold, misses are
    // given up at once, copies past fresh time serve; single requests try the origin. Guards against
    // slow, failing and overrun origins alike; harms if the origin is blamed for what a parent does.
    const int origin = one.is_write || source.role != Role::kParent ? kNobody : Origin();
    if (origin != kNobody) {
      Server& behind = servers_[origin];
      attempt.spare = behind.suspect ? !TrialDue(behind) : !HasRoom(behind, request);
      attempt.origin = origin;
      attempt.origin_chance = attempt.spare ? 0 : attempt.fill_chance * (1 - hits_.parent_hits.Value());
      behind.fills += attempt.origin_chance;
      if (!attempt.spare) NoteTrial(behind);
    }
    const double cost = MeanSend(request);
    server.budget -= cost;
    if (attempt.source != place) {
      source.budget -= cost;
      attempt.source_cost = cost;
    }
    NoteTrial(server);
    if (attempt.source != place) NoteTrial(source);
    ++server.out;
    source.fills += attempt.fill_chance;
    inlet_.fills += attempt.inlet_chance;

    SendAttempt action{.id = request.event.id,
                       .server = server.member.id,
                       .source = source.member.id,
                       .expires_at = request.deadline};
    const std::optional<Micros> purge = purges_.LatestPurge(request.event);
    const bool trouble = attempt.spare || (source.suspect && source.role != Role::kCache);
    action.max_age =
        trouble && one.stale_grace > Micros{0} ? one.freshness_lifetime + one.stale_grace : Micros{0};
    if (purge) {
      Micros limit = std::max(context_.now - *purge - context_.settings.event_interval, Micros{1});
      if (one.freshness_lifetime > Micros{0})
        limit = std::min(limit, action.max_age > Micros{0} ? action.max_age : one.freshness_lifetime);
      action.max_age = limit;
    }
    if (!one.is_write) {
      action.cache_rank = direct ? 0 : static_cast<std::uint8_t>(summary > 0 ? 2 : 1);
      action.join_fill =
          context_.settings.can_join_fill && !purge;  // a fill under way may have begun before the purge
      // A copy renewed behind a hit is a fill that nothing tells of: none at a source that is cold.
      action.revalidate = one.freshness_lifetime > Micros{0} && !purge && !attempt.spare && !IsCold(source);
      action.source_cached_only = attempt.spare;
      if (action.cache_rank > 0 && server.counter) server.counter->Count(key);
    }
    request.attempts.push_back(attempt);
    Emit(action);
    Agenda(context_.now + FromSeconds(Aim(request)), request.event.id,
           static_cast<int>(request.attempts.size()) - 1);
    return true;
  }

  // ---- Time-outs and further attempts. ----
  // Rule on effects: where may the next attempt go, given what may have run already?
  bool EffectAllows(const Request& request, int place) const {
    const ClassSettings& one = ClassOf(request);
    if (one.effect == Effect::kIdempotent) return true;
    if (request.ran_at == kNobody) return request.Out() == 0;
    if (one.effect == Effect::kNonIdempotent) return false;
    const Attempt& first = request.attempts[request.ran_at];
    if (context_.now - first.sent >= one.idempotency_window) return false;
    const EndpointInfo& a = servers_[first.server].member;
    const EndpointInfo& b = servers_[place].member;
    return one.idempotency_scope == IdempotencyScope::kAll ||
           (one.idempotency_scope == IdempotencyScope::kZone && a.zone == b.zone) ||
           (one.idempotency_scope == IdempotencyScope::kCell && a.zone == b.zone && a.cell == b.cell);
  }
  double OwnSend(const Request& request) const {
    if (request.event.size_kb > 0 && context_.settings.transfer_rate_kb_per_s > 0) {
      return request.event.size_kb / context_.settings.transfer_rate_kb_per_s;
    }
    return sends_[ToNumber(request.event.class_id)];
  }
  double Aim(const Request& request) const {
    const ClassSettings& one = ClassOf(request);
    return std::min(ToSeconds(one.latency_objective) + one.latency_objective_stretch * OwnSend(request),
                    ToSeconds(one.deadline));
  }
  // An attempt is looked at once its aim is past (sooner accuses servers wrongly), then after each further
  // aim; it is moved only if its server or source looks dead.
  void Overdue(Request& request, int index) {
    Attempt& attempt = request.attempts[index];
    if (!attempt.out || attempt.cancelled || request.ended || request.streaming) return;
    const bool silent = servers_[attempt.server].heard < attempt.sent;
    // An attempt speaks once, and against a source only by the chance that it was asked at all: a router
    // among many hears of a source seldom, so its silence alone says little.
    if (std::exchange(attempt.judged, true)) {
    } else if (tardy_ += kMean * (1 - tardy_); silent) {
      Observe(attempt.server, true, kStrong);
    } else if (attempt.source != attempt.server && servers_[attempt.source].heard < attempt.sent) {
      Observe(attempt.source, true, kLight * attempt.fill_chance);
    } else if (attempt.origin != kNobody && attempt.fill_chance > kLikely &&
               servers_[attempt.origin].heard < attempt.sent) {
      Observe(attempt.origin, true, kLight);  // the parent lives, what is behind it does not
    }
    // Where much is late, what all wait for is slow (a flush, a jam): moved, an attempt would only be asked
    // for once more. Then silence must first make its server suspected.
    const bool move =
        (silent && tardy_ < kTardy) || servers_[attempt.server].suspect || servers_[attempt.source].suspect;
    if (move && ClassOf(request).effect != Effect::kNonIdempotent && context_.settings.can_cancel &&
        further_ >= 1) {
      attempt.cancelled = true;
      Emit(CancelAttempt{request.event.id, static_cast<std::uint32_t>(index)});
      if (context_.settings.can_hedge) Further(request);
    } else {
      Agenda(context_.now + FromSeconds(Aim(request)), request.event.id, index);
    }
  }
  // Tries the caches in hash order: first those in good shape, then crowded ones, then direct, then any.
  bool Dispatch(Request& request) {
    const auto tried = [&](int place) {
      return std::any_of(request.attempts.begin(), request.attempts.end(), [&](const Attempt& one) {
        return one.server == place && !one.sibling_value && !one.lost;
      });
    };
    for (const int place : request.order) {
      const Server& server = servers_[place];
      if (tried(place) || (server.suspect && !TrialDue(server)) || Crowded(server)) continue;
      if (Send(request, place)) return true;
    }
    for (const int place : request.order) {
      if (!tried(place) && !servers_[place].suspect && Send(request, place)) return true;
    }
    // To the origin only where no cache in good health is left: a crowd must not spill onto it.
    const bool lost = std::none_of(request.order.begin(), request.order.end(), [&](int place) {
      return !tried(place) && !servers_[place].suspect && Affords(servers_[place]);
    });
    if (context_.settings.can_bypass_cache) {
      for (const Role role : {Role::kParent, Role::kOrigin}) {
        if (ClassOf(request).is_write ? role == Role::kParent : role == Role::kOrigin && !lost) continue;
        for (const int place : Order(role, request.event.object)) {
          if (!tried(place) && !servers_[place].suspect && Send(request, place)) return true;
        }
      }
    }
    return std::any_of(request.order.begin(), request.order.end(),
                       [&](int place) { return Send(request, place); });
  }
  void Further(Request& request) {
    if (further_ < 1 || ToSeconds(request.deadline - context_.now) < OwnSend(request)) return GiveUp(request);
    further_ -= 1;
    if (!Dispatch(request) && request.Out() == 0) GiveUp(request);
  }

  // ---- Refusals. ----
  // The final answer of a request given up: at once; refused where the rule on effects lets us.
  void GiveUp(Request& request) {
    if (request.ended) return;
    const ClassSettings& one = ClassOf(request);
    const bool clean = request.ran_at == kNobody && request.Out() == 0;
    const bool refusable =
        one.effect == Effect::kIdempotent || clean ||
        (one.effect == Effect::kIdempotencyKey && one.idempotency_scope == IdempotencyScope::kAll);
    request.ended = true;
    if (refusable) {
      Emit(Reject{request.event.id,
                  context_.settings.has_retry_after ? context_.settings.max_retry_after : Micros{0}});
    } else {
      Emit(Fail{request.event.id});
    }
    CancelAll(request);
  }
  void CancelAll(Request& request) {
    for (std::size_t i = 0; i < request.attempts.size() && context_.settings.can_cancel; ++i) {
      if (!request.attempts[i].out || request.attempts[i].cancelled) continue;
      request.attempts[i].cancelled = true;
      Emit(CancelAttempt{request.event.id, static_cast<std::uint32_t>(i)});
    }
  }

  // ---- Events. ----
  void Take(const PurgeEvent& event) { purges_.Record(event); }

  void Take(const RequestEvent& event) {
    const std::size_t class_place = static_cast<std::size_t>(event.class_id);
    if (requests_.count(ToNumber(event.id)) > 0) return;  // a caller's mistake
    if (class_place >= context_.settings.classes.size()) return Emit(Fail{event.id});
    Request& request = requests_[ToNumber(event.id)];
    request.event = event;
    request.most_attempts = context_.settings.max_attempts;
    request.deadline = context_.now + std::max(event.time_left, Micros{0}) - context_.settings.event_interval;
    // Departure, in classes with parts only: the cache is hashed by what a copy is of, object and part, so
    // that a client's train of parts does not clump at one cache. The parent stays hashed by the object.
    const bool parts = ClassOf(request).has_parts && event.part > 0;
    request.order = Order(Role::kCache, parts ? ObjectId{Key(event)} : event.object);
    if (OwnSend(request) <= ToSeconds(ClassOf(request).deadline)) {  // else it is no measure for others
      mean_worth_ += kMean * (ClassOf(request).priority_weight - mean_worth_);
      mean_send_ += kMean * (OwnSend(request) - mean_send_);
      MeanSend(request) += kMean * (OwnSend(request) - MeanSend(request));
    }
    further_ = std::min(further_ + kFurtherShare, kFurtherMost);
    LearnBorne(Role::kCache);
    LearnBorne(Role::kParent);
    Agenda(request.deadline, event.id, kDeadline);
    if (!Dispatch(request)) GiveUp(request);
    Drop(event.id);
  }

  void Take(const OutcomeEvent& event) {
    const auto found = requests_.find(ToNumber(event.id));
    if (found == requests_.end() || event.attempt >= found->second.attempts.size()) return;
    Request& request = found->second;
    Attempt& attempt = request.attempts[event.attempt];
    if (!attempt.out) return;
    attempt.out = false;
    // The work may be done and only its answer lost: the cache that has the copy by now is not passed over.
    attempt.lost = event.outcome == Outcome::kReset;
    // In a jam fills that were cut off or called off run on and hold the link in; they fade from the count.
    const bool runs_on = !ProvesNotRun(event.outcome) && event.outcome != Outcome::kServed;
    // They never close it: where clients withdraw by the hundred, only new fills tell that it is free.
    if (runs_on && inlet_.late > kJam && WorkOf(inlet_) < kGhostMost * inlet_.room) {
      AddWork(inlet_, kGhost * attempt.inlet_chance);
    }
    Unload(attempt);
    const double use = event.load.link_utilization.value_or(-1);
    if (use >= 0 && use <= kLinkMost && servers_[attempt.server].role == Role::kCache) {  // else it cannot be
      link_use_ += (context_.now - link_told_ < kReportLasts ? kReportWeight : 1) * (use - link_use_);
      link_told_ = context_.now;
    }
    Judge(request, attempt, event);
    attempt.erred = event.outcome == Outcome::kError && event.note == FillNote::kNone;
    request.served = event.outcome == Outcome::kServed;
    if (event.is_finished || event.outcome == Outcome::kServed) request.ended = true;
    if (!ProvesNotRun(event.outcome) && request.ran_at == kNobody) {
      request.ran_at = static_cast<int>(event.attempt);
    }
    if (!request.ended && request.Out() == 0) {
      const bool hopeless = event.note == FillNote::kOriginFailed || Faulty(request) ||
                            (attempt.spare && event.outcome == Outcome::kMiss);
      context_.now >= request.deadline || hopeless ? GiveUp(request) : Further(request);
    }
    Drop(event.id);
  }

  // What an outcome says of the cache, the source and Pfreq. Kept apart: a bad cache, a bad source
  // behind it, a place too full, and the origin behind a parent.
  void Judge(Request& request, const Attempt& attempt, const OutcomeEvent& event) {
    const FillNote note = event.note;
    const bool has_source = attempt.source != attempt.server;
    const bool served = event.outcome == Outcome::kServed;
    const bool filled = note == FillNote::kFilled || note == FillNote::kFilledViaOrigin;
    const bool source_failed = note == FillNote::kSourceRejected || note == FillNote::kSourceUnreachable;
    Server& server = servers_[attempt.server];
    if (served) {
      Observe(attempt.server, false, kLight);
      if (has_source && filled) Observe(attempt.source, false, kLight);
      const double ratio = ToSeconds(event.elapsed) / std::max(Aim(request), 1e-3);
      if (!attempt.judged) tardy_ -= kMean * tardy_;
      const double cost = OwnSend(request);
      AddWork(server, cost);
      if (has_source && filled) {
        AddWork(servers_[attempt.source], cost);
        const bool far = note == FillNote::kFilledViaOrigin && attempt.origin != kNobody;
        if (far) Observe(attempt.origin, false, kLight);
        Server& filler = servers_[far ? attempt.origin : attempt.source];
        // Where notes do not tell the way, a fill that was free to go by the origin speaks for it by the
        // chance that it did: else a suspicion of the origin would never end.
        const bool told = context_.settings.fill_detail == FillDetail::kAll;
        if (!told && !far && attempt.origin != kNobody && !attempt.spare) {
          Observe(attempt.origin, false, kLight * (1 - hits_.parent_hits.Value()));
        }
        if (attempt.origin != kNobody && (told || attempt.spare)) hits_.parent_hits.Record(!far);
        // Where sizes are not told, a large object looks slow: the wait for its first byte must be long too.
        const bool sized = request.event.size_kb > 0 || !event.fill_wait;
        const double wait = ToSeconds(event.fill_wait.value_or(Micros{0}));
        LearnRoom(filler,
                  sized ? ratio > kSlowFill
                        : ratio > 1 && wait > kSlow * ToSeconds(ClassOf(request).latency_objective),
                  kFillCut);
        // A fill that waited for most of its time speaks of its source, not of the link in.
        if (attempt.inlet_chance > 0)
          LearnRoom(inlet_, ratio > kSlowFill && wait < ToSeconds(event.elapsed) / 2, kFillCut);
      } else {
        LearnRoom(server, ratio > kSlow, kRoomCut);
      }
      if (note != FillNote::kNone) hits_.cache_hits.At(attempt.value).Record(!filled);
      if (request.event.size_kb <= 0 &&
          (note == FillNote::kHit || context_.settings.fill_detail == FillDetail::kOff)) {
        MeanSend(request) += kMean * (ToSeconds(event.elapsed) - MeanSend(request));
      }
    } else if (source_failed || note == FillNote::kOriginFailed) {
      server.heard = context_.now;
      const int blamed = note == FillNote::kOriginFailed ? Origin() : has_source ? attempt.source : kNobody;
      if (blamed != kNobody) LearnRoom(servers_[blamed], true, kRoomFull);
      // A source that refuses is alive and full, not ill.
      if (blamed != kNobody && note != FillNote::kSourceRejected) Observe(blamed, true, kLight);
    } else if (event.outcome == Outcome::kRejected) {
      server.heard = context_.now;
      // Without a place for a fill it is the link in that is jammed: hits may go on.
      LearnRoom(note == FillNote::kNoFillSlot ? inlet_ : server, true, kRoomFull);
    } else if (event.outcome == Outcome::kConnectFailed) {
      Observe(attempt.server, true, kStrong);
    } else if (event.outcome == Outcome::kError) {
      server.heard = context_.now;  // for the rest see Blame
    } else if (event.outcome == Outcome::kReset) {
      server.heard = context_.now;
      // All that was open on one connection breaks with it: that is one sign, not many.
      if (attempt.sent >= std::exchange(server.broke, context_.now)) Observe(attempt.server, true, kLight);
    } else if (ToSeconds(event.elapsed) > Aim(request)) {
      // Cut off late: the slowest of all, which no answer would ever tell of (incident i150e8d). It speaks of
      // a jam only where fills come late as well; else its answer was lost on the way.
      const int behind = attempt.origin != kNobody ? attempt.origin : attempt.source;
      const bool likely = attempt.fill_chance > kLikely;
      if (inlet_.late > kJam) Narrow(servers_[likely ? behind : attempt.server], kRoomCut);
      if (inlet_.late > kJam && attempt.inlet_chance > kLikely) Narrow(inlet_, kFillCut);
    } else if (event.outcome == Outcome::kMiss) {
      Observe(attempt.server, false, kLight);
      if (attempt.spare && context_.settings.fill_detail != FillDetail::kAll) hits_.parent_hits.Record(false);
    }
    if (attempt.sibling_value > 0) {
      HitProbability& odds = hits_.sibling_fills.At(attempt.sibling_value);
      if (served && filled) odds.Record(true);
      if (note == FillNote::kSourceMiss) odds.Record(false);
      if (!served) request.sibling_failed = true;
    }
    const bool untouched = note == FillNote::kHit || note == FillNote::kStaleHit || note == FillNote::kJoined;
    if (has_source && untouched) servers_[attempt.source].budget += attempt.source_cost;
  }

  // Two servers answered 'error': what they were asked is at fault, and no third is asked. Guards against
  // clients that ask for what nobody can answer: each of them would shut out one server after the other.
  static bool Faulty(const Request& request) {
    const std::vector<Attempt>& all = request.attempts;
    const auto erred = [](const Attempt& one) { return one.erred; };
    const auto first = std::find_if(all.begin(), all.end(), erred);
    return std::any_of(first, all.end(),
                       [&](const Attempt& one) { return one.erred && one.server != first->server; });
  }
  // Who is to blame for an 'error' shows once the request has ended: its server, unless another said the
  // same.
  void Blame(const Request& request) {
    if (Faulty(request) && !request.served) return;
    for (const Attempt& attempt : request.attempts) {
      if (attempt.erred) Observe(attempt.server, true, kLight);
    }
  }

  void Take(const ResponseStartedEvent& event) {
    const auto found = requests_.find(ToNumber(event.id));
    if (found != requests_.end()) found->second.streaming = true;
  }

  void Take(const ClientDisconnectedEvent& event) {
    const auto found = requests_.find(ToNumber(event.id));
    if (found == requests_.end()) return;
    found->second.ended = true;
    CancelAll(found->second);
    Drop(event.id);
  }

  void Take(const TimerEvent&) {
    armed_ = Micros::max();
    while (!agenda_.empty() && agenda_.top().at <= context_.now) {
      const AgendaEntry entry = agenda_.top();
      agenda_.pop();
      if (entry.index == kSubscribe) {
        Emit(Subscribe{});
        continue;
      }
      const auto found = requests_.find(ToNumber(entry.request));
      if (found == requests_.end()) continue;
      Request& request = found->second;
      if (entry.index == kForget) {
        for (const Attempt& attempt : request.attempts) {
          if (attempt.out) Unload(attempt);
        }
        requests_.erase(found);
        continue;
      }
      if (entry.index == kDeadline) {
        if (!request.streaming) GiveUp(request);
        // Outcomes always come; should a caller lose one, the request is not kept for ever.
        if (!request.streaming) Agenda(context_.now + ClassOf(request).deadline, entry.request, kForget);
      } else {
        Overdue(request, entry.index);
      }
      Drop(entry.request);
    }
    Arm();
  }

  void Take(const EndpointsEvent& event) {
    if (event.kind == EndpointsEvent::Kind::kWatchBroken) {
      return Agenda(context_.now + kGapGrowth * context_.settings.connect_timeout, RequestId{}, kSubscribe);
    }
    if (event.kind != EndpointsEvent::Kind::kDelta) {
      for (Server& server : servers_) server.member.availability = Availability::kRemoved;
    }
    for (const EndpointInfo& member : event.endpoints) Learn(member);
    for (Server& server : servers_) {  // slots of departed servers are used again
      if (server.known && server.member.availability == Availability::kRemoved && server.out == 0 &&
          server.fills < 1e-9 && servers_.size() > kSlotsKept) {
        places_.erase(Id(server));
        server = Server{};
      }
    }
    for (auto& list : listed_) list.clear();
    for (int place = 0; place < static_cast<int>(servers_.size()); ++place) {
      if (Usable(servers_[place])) listed_[static_cast<int>(servers_[place].role)].push_back(place);
    }
    const std::size_t here = Listed(Role::kCache).size(), all = here + Listed(Role::kForeign).size();
    for (Server& server : servers_) {
      if (!Usable(server) || server.room > 0) continue;
      const bool own = server.role == Role::kCache;
      const double behind = kInletPart * static_cast<double>(all) / Listed(server.role).size();
      server.room = FirstRoom(own ? 1.0 : behind, own);
    }
    if (inlet_.room == 0 && here > 0) inlet_.room = FirstRoom(kInletPart * static_cast<double>(here), true);
  }

  void Learn(const EndpointInfo& member) {
    const std::uint64_t id = ToNumber(member.id);
    const auto known = places_.find(id);
    int place = known == places_.end() ? kNobody : known->second;
    if (place == kNobody) {
      const auto free = std::find_if(servers_.begin(), servers_.end(), [](auto& s) { return !s.known; });
      place = static_cast<int>(free - servers_.begin());
      if (free == servers_.end()) servers_.emplace_back();
      places_[id] = place;
    }
    Server& server = servers_[place];
    if (server.known && server.member.started_at != member.started_at) {  // restarted: empty, cold, blameless
      const Server old = std::exchange(server, Server{});
      server.out = old.out;
      server.fills = old.fills;
      server.room = old.room;
    }
    server.known = true;
    server.member = member;
    server.role = member.kind == context_.settings.parent_kind   ? Role::kParent
                  : member.kind == context_.settings.origin_kind ? Role::kOrigin
                  : member.zone == context_.settings.zone        ? Role::kCache
                                                                 : Role::kForeign;
    if (server.role == Role::kCache && !server.counter) server.counter = std::make_unique<EvolutiveCounter>();
  }

 private:
  static constexpr int kDeadline = -1;
  static constexpr int kForget = -2;
  static constexpr int kSubscribe = -3;
  static constexpr std::size_t kSlotsKept = 256;  // departed servers are remembered up to this table size

  template <class Kind>
  void Emit(Kind action) {
    context_.Emit(std::move(action));
  }
  void Agenda(Micros at, RequestId request, int index) {
    agenda_.push({at, serial_++, request, index});
    Arm();
  }
  void Arm() {
    if (agenda_.empty() || agenda_.top().at >= armed_) return;
    armed_ = agenda_.top().at;
    Emit(SetTimer{armed_, 0});
  }
  // Forgets a request that has ended and has nothing outstanding.
  void Drop(RequestId id) {
    const auto found = requests_.find(ToNumber(id));
    if (found == requests_.end() || !found->second.ended || found->second.Out() > 0) return;
    Blame(found->second);
    requests_.erase(found);
  }

  void Unload(const Attempt& attempt) {
    --servers_[attempt.server].out;
    double& fills = servers_[attempt.source].fills;
    fills = std::max(0.0, fills - attempt.fill_chance);
    inlet_.fills -= attempt.inlet_chance;
    if (attempt.origin != kNobody) servers_[attempt.origin].fills -= attempt.origin_chance;
  }

  Context context_;
  std::vector<Server> servers_;
  std::unordered_map<std::uint64_t, int> places_;  // looked up only
  std::array<std::vector<int>, kRoles> listed_;
  double link_use_ = 0;  // of the link in, as reports tell
  Micros link_told_ = Micros{-1'000'000'000};
  Server inlet_;               // the location's link in: fills and room only
  std::vector<double> sends_;  // by class: mean sending time, seconds
  HitStatistics hits_;
  double mean_worth_ = 1;
  double mean_send_ = 1;
  std::unordered_map<std::uint64_t, Request> requests_;  // looked up only, never walked
  std::priority_queue<AgendaEntry> agenda_;
  std::uint64_t serial_ = 0;
  Micros armed_ = Micros::max();
  PurgeLedger purges_{context_};
  std::array<double, kRoles> borne_{};
  double further_ = kFurtherMost;
  double tardy_ = 0;  // share of own attempts lately that were out past their aim
};

// The seed is not needed: no decision is drawn by lot.
Router::Router(const Settings& settings, std::uint64_t, Micros now, Actions& out)
    : brain_(std::make_unique<Brain>(settings)) {
  brain_->Start(now, out);
}
Router::~Router() = default;
void Router::Retune(const Settings& settings) { brain_->Retune(settings); }
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

#define TINSPAN_HANDLE(Event)                                         \
  void Router::Handle(Micros now, const Event& event, Actions& out) { \
    brain_->Begin(now, out);                                          \
    brain_->Take(event);                                              \
  }
TINSPAN_HANDLE(EndpointsEvent)
TINSPAN_HANDLE(RequestEvent)
TINSPAN_HANDLE(ResponseStartedEvent)
TINSPAN_HANDLE(OutcomeEvent)
TINSPAN_HANDLE(ClientDisconnectedEvent)
TINSPAN_HANDLE(TimerEvent)
TINSPAN_HANDLE(PurgeEvent)
#undef TINSPAN_HANDLE

}  // namespace tinspan
