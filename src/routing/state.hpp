// What a Router remembers of servers, attempts and requests. Plain records: all that is decided from them,
// and every value that tunes it, stands in brain.cpp.
#pragma once

#include <algorithm>
#include <memory>
#include <vector>

#include "routing/evolutive_counter.hpp"
#include "tinspan/router.hpp"

namespace tinspan {

enum class Role { kCache, kParent, kOrigin, kForeign };  // kForeign: a cache of another location
inline constexpr int kRoles = 4;
inline constexpr int kNobody = -1;

struct Server {
  EndpointInfo member;
  Role role = Role::kForeign;
  bool known = false;  // false: the slot is free
  int out = 0;         // own attempts outstanding there
  double fills = 0;    // fills expected of it by own attempts outstanding
  double late = 0;     // share of its answers that came late
  double room = 0;     // own requests (fills, at a source) that it has shown to bear at once
  std::unique_ptr<EvolutiveCounter> counter;  // own caches only
  // Health: one estimate of failing, for caches, parents and the origin alike.
  double failing = 0;
  bool suspect = false;
  Micros heard{-1};  // when it last gave a sign of life
  Micros broke{-1};  // when a connection to it last broke
  Micros next_trial{0};
  int gap = 1;  // in first gaps
  // Cold start and what it bears: sending time asked of it, decaying.
  double work = 0;
  Micros work_at{0};
  double budget = 0;
  Micros budget_at{0};
};

struct Attempt {
  int server = kNobody;
  int source = kNobody;
  Micros sent{0};
  bool out = true;
  bool cancelled = false;
  bool lost = false;         // its answer broke off, the work may be done
  bool judged = false;       // its silence has been counted
  bool erred = false;        // answered 'error': its server's fault or the request's
  int sibling_value = 0;     // above 0: the source is a sibling with this summary value
  int value = 0;             // the cache's own summary value
  double fill_chance = 0;    // that it needs the source
  double inlet_chance = 0;   // that it needs the location's link in
  int origin = kNobody;      // asked behind the parent...
  double origin_chance = 0;  // ...with this chance
  bool spare = false;        // the parent was to give only what it holds
  double source_cost = 0;    // charged to a source's budget until known not to have reached it
};

struct Request {
  RequestEvent event;
  Micros deadline{0};
  std::vector<Attempt> attempts;
  std::vector<int> order;  // caches in hash order when it came
  bool ended = false;      // it has its final answer, or needs none
  bool streaming = false;
  bool sibling_failed = false;
  bool served = false;
  int ran_at = kNobody;             // first attempt that may have run
  std::uint32_t most_attempts = 0;  // as the settings said when it came: a retune does not change it
  int Out() const {
    return static_cast<int>(std::count_if(attempts.begin(), attempts.end(), [](auto& a) { return a.out; }));
  }
};

struct AgendaEntry {
  Micros at;
  std::uint64_t serial;  // first set, first done
  RequestId request;
  int index;
  bool operator<(const AgendaEntry& o) const { return at != o.at ? at > o.at : serial > o.serial; }
};
}  // namespace tinspan
