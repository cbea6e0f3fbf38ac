// What happened, in order: lives of instances, servers' states, purges, and what was still sent or served
// after.
#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include "timeline/merge.hpp"

namespace tinspan::timeline {
namespace {

constexpr Micros kSameWord{3'000'000};  // the same change heard by several within this is one
constexpr Micros kWave{2'000'000};      // purges that follow each other within this are one wave...
constexpr std::size_t kWavePurges = 8;  // ...from so many on

struct Heard {
  Micros at{0};
  std::size_t life = 0;
};

// Puts together what several instances heard of one thing.
template <class Key, class Make>
void Gathered(const Merged& merged, std::map<Key, std::vector<Heard>>& heard, const Story& story, Make make,
              std::vector<Event>& out) {
  for (auto& [key, list] : heard) {
    std::stable_sort(list.begin(), list.end(), [](const Heard& a, const Heard& b) { return a.at < b.at; });
    for (std::size_t i = 0; i < list.size();) {
      std::set<std::size_t> by;
      std::size_t j = i;
      for (; j < list.size() && list[j].at - list[i].at <= kSameWord && by.insert(list[j].life).second; ++j) {
      }
      Event event = make(key);
      event.at = list[i].at;
      event.uncertain = merged.uncertain[list[i].life];
      for (std::size_t k = i; k < j; ++k) event.heard.push_back(story.instances[list[k].life].name);
      event.last_heard = list[j - 1].at - list[i].at;
      out.push_back(std::move(event));
      i = j;
    }
  }
}

std::string NameOf(const Course& course, ServerKey key) {
  const auto found = course.Servers().find(key);
  return found == course.Servers().end() ? "server " + std::to_string(key % 100'000) : found->second.name;
}

void TellLives(const Merged& merged, std::vector<Event>& out, const Story& story) {
  for (std::size_t i = 0; i < merged.lives.size(); ++i) {
    const Life& life = *merged.lives[i];
    const auto add = [&](Micros at, EventKind kind, std::string text) {
      out.push_back({merged.At(i, at), merged.uncertain[i], kind, life.name, std::move(text), {}, Micros{0}});
    };
    for (const Life::Turn& turn : life.turns) {
      switch (turn.what) {
        case wire::Life::STARTED:
          add(turn.at, EventKind::kStarted, life.name + " started, version " + life.book.Header().version());
          break;
        case wire::Life::SIGNALLED:
          add(turn.at, EventKind::kSignalled, life.name + " got signal " + std::to_string(turn.signal));
          break;
        case wire::Life::RELOADED:
          add(turn.at, EventKind::kReloaded, life.name + " read its configuration anew");
          break;
        case wire::Life::RELOAD_REFUSED:
          add(turn.at, EventKind::kReloadRefused,
              life.name + " kept its old configuration: the new one was refused");
          break;
        case wire::Life::STOPPED:
          add(turn.at, EventKind::kStopped, life.name + " stopped with all answered");
          break;
        case wire::Life::CUT:
          add(turn.at, EventKind::kCut,
              life.name + " stopped with " + std::to_string(turn.open) + " requests open");
          break;
        default:
          break;
      }
    }
    for (const Life::Step& step : life.steps) {
      add(step.at, EventKind::kClockStep, "the clock of " + life.name + " moved by " + Seconds(step.by));
    }
    for (const Micros gap : life.gaps) {
      add(gap, EventKind::kGap, life.name + " could not record everything before this");
    }
    if (merged.died[i]) {
      // Records are handed to the disk ten times a second, and the heart beats once.
      Event event{
          *merged.died[i], merged.uncertain[i] + Micros{1'000'000}, EventKind::kDied, life.name, "", {},
          Micros{0}};
      event.text = life.name + " died with " + std::to_string(life.open) +
                   (life.open == 1 ? " request" : " requests") + " open: its records end without a word";
      for (const Instance& other : story.instances) {
        if (other.to > event.at + Micros{2'000'000} && other.from < event.at && other.name != life.name) {
          event.heard.push_back(other.name);
        }
      }
      if (!event.heard.empty())
        event.text += " while " + std::to_string(event.heard.size()) + " others went on";
      out.push_back(std::move(event));
    }
  }
}

void TellMembers(const Course& course, const Merged& merged, std::vector<Event>& out, const Story& story) {
  using Key = std::pair<ServerKey, EventKind>;
  std::map<Key, std::vector<Heard>> heard;
  for (std::size_t i = 0; i < merged.lives.size(); ++i) {
    for (const Life::Change& change : merged.lives[i]->changes) {
      if (change.first && change.state == Availability::kUp)
        continue;  // it was there when the instance began
      const bool cold = change.state == Availability::kUp && change.before == Availability::kRemoved;
      const EventKind kind = change.state == Availability::kDraining  ? EventKind::kDraining
                             : change.state == Availability::kRemoved ? EventKind::kGone
                             : cold                                   ? EventKind::kCold
                                                                      : EventKind::kUp;
      heard[{change.server, kind}].push_back({merged.At(i, change.at), i});
    }
  }
  Gathered(
      merged, heard, story,
      [&](const Key& key) {
        Event event;
        event.kind = key.second;
        event.who = NameOf(course, key.first);
        event.text = event.who + (key.second == EventKind::kDraining ? " was told to be draining"
                                  : key.second == EventKind::kGone   ? " was told to be gone"
                                  : key.second == EventKind::kCold   ? " came, cold"
                                                                     : " was told to be up again");
        return event;
      },
      out);
}

void TellPurges(const Merged& merged, std::vector<Event>& out, const Story& story) {
  using Key = std::pair<std::uint64_t, std::uint64_t>;
  std::map<Key, std::vector<Heard>> heard;
  for (std::size_t i = 0; i < merged.lives.size(); ++i) {
    for (const Life::Purge& purge : merged.lives[i]->purges) {
      heard[{purge.group, purge.object}].push_back({merged.At(i, purge.at), i});
    }
  }
  std::vector<Event> purges;
  Gathered(
      merged, heard, story,
      [&](const Key& key) {
        Event event;
        event.kind = EventKind::kPurge;
        event.text = PurgeName(key.first, key.second) + " was purged";
        return event;
      },
      purges);
  std::stable_sort(purges.begin(), purges.end(), [](const Event& a, const Event& b) { return a.at < b.at; });
  for (std::size_t i = 0; i < purges.size();) {
    std::size_t j = i + 1;
    while (j < purges.size() && purges[j].at - purges[j - 1].at <= kWave) ++j;
    if (j - i >= kWavePurges) {
      std::size_t groups = 0;
      for (std::size_t k = i; k < j; ++k) groups += purges[k].text.starts_with("group") ? 1 : 0;
      Event wave{purges[i].at, purges[i].uncertain, EventKind::kPurgeWave, "", "", {}, Micros{0}};
      wave.text = "a wave of " + std::to_string(j - i) + " purges began, " + std::to_string(groups) +
                  " of them of groups, over " + Seconds(purges[j - 1].at - purges[i].at);
      out.push_back(std::move(wave));
    }
    i = j;
  }
  out.insert(out.end(), purges.begin(), purges.end());
}

}  // namespace

const char* Name(EventKind kind) {
  constexpr std::array kNames{"started",  "died",           "stopped",    "cut",   "signalled",
                              "reloaded", "reload_refused", "clock_step", "gap",   "up",
                              "cold",     "draining",       "gone",       "purge", "purge_wave"};
  const auto place = static_cast<std::size_t>(kind);
  return place < kNames.size() ? kNames[place] : "unknown";
}

void TellEvents(const Course& course, const Merged& merged, Story& story) {
  std::vector<Event> events;
  TellLives(merged, events, story);
  TellMembers(course, merged, events, story);
  TellPurges(merged, events, story);
  std::erase_if(events, [&](const Event& event) { return event.at < story.from || event.at > story.to; });
  std::stable_sort(events.begin(), events.end(), [](const Event& a, const Event& b) { return a.at < b.at; });
  story.events = std::move(events);
}

void TellServers(const Course& course, const Merged& merged, Story& story) {
  std::map<ServerKey, std::vector<std::pair<Micros, Availability>>> states;
  std::map<ServerKey, std::map<Micros, ServerCell>> loads;
  for (std::size_t i = 0; i < merged.lives.size(); ++i) {
    const Life& life = *merged.lives[i];
    for (const Life::Change& change : life.changes) {
      states[change.server].emplace_back(merged.At(i, change.at), change.state);
    }
    for (const auto& [key, bins] : life.servers) {
      for (const auto& [bin, cell] : bins) {
        ServerCell& sum =
            loads[key][merged.At(i, bin * kServerBin + kServerBin / 2) / kServerBin * kServerBin];
        sum.attempts += cell.attempts;
        sum.bad += cell.bad;
        sum.full += cell.full;
      }
    }
  }
  for (auto& [key, changes] : states) {
    const auto found = course.Servers().find(key);
    if (found == course.Servers().end()) continue;
    ServerStory& server = story.servers.emplace_back();
    server.name = found->second.name;
    server.address = found->second.address;
    server.zone = found->second.zone;
    server.kind = found->second.kind;
    std::stable_sort(changes.begin(), changes.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    for (const auto& [at, state] : changes) {
      if (!server.bands.empty() && server.bands.back().state == state) continue;
      if (!server.bands.empty()) server.bands.back().to = at;
      server.bands.push_back({at, story.to, state});
    }
    for (const auto& [at, cell] : loads[key]) {
      if (at + kServerBin < story.from || at > story.to) continue;
      server.attempts += cell.attempts;
      server.bad += cell.bad;
      server.full += cell.full;
      server.load.emplace_back(at, cell);
    }
  }
  std::stable_sort(story.servers.begin(), story.servers.end(),
                   [](const ServerStory& a, const ServerStory& b) { return a.attempts > b.attempts; });
  for (std::size_t i = 0; i < merged.lives.size(); ++i) {
    const Life& life = *merged.lives[i];
    for (const Life::Drained& one : life.drained) {
      story.drains.push_back(
          {NameOf(course, one.server), life.name, merged.At(i, one.told), one.sent, one.last, true});
    }
    for (const Life::Held& one : life.held) {
      story.purges.push_back({PurgeName(one.group, one.object), life.name, merged.At(i, one.told), one.served,
                              one.last_sent, one.last_served, true});
    }
  }
}

}  // namespace tinspan::timeline
