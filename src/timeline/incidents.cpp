// Stretches in which clients were served worse than in the day's course, and what came before each.
#include <algorithm>
#include <array>
#include <cmath>
#include <set>

#include "timeline/merge.hpp"

namespace tinspan::timeline {
namespace {

constexpr std::size_t kSmooth = 3;     // seconds that are judged together
constexpr double kDrop = 0.05;         // under the day's course by this much at least...
constexpr double kSpreads = 4;         // ...and by so many of its usual spreads
constexpr Micros kBetween{5'000'000};  // two stretches closer than this are one incident
constexpr Micros kBefore{10'000'000};  // how long before an incident a cause may lie
constexpr Micros kSecond{1'000'000};

double Median(std::vector<double> values) {
  if (values.empty()) return 0;
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

// Sums over a stretch of seconds.
struct Sums {
  double asked = 0, refused = 0, bad = 0;
};

std::string Told(const Event& event) {
  std::string out = event.text;
  if (event.kind != EventKind::kDied && event.heard.size() > 1) {
    out +=
        ", heard by " + std::to_string(event.heard.size()) + " instances within " + Seconds(event.last_heard);
  }
  return out;
}

void FromEvents(const Story& story, Incident& incident) {
  std::vector<const Event*> drained, cold, started;
  const auto in_wave = [&](const Event& purge) {  // told as a whole
    return std::any_of(story.events.begin(), story.events.end(), [&](const Event& event) {
      return event.kind == EventKind::kPurgeWave && purge.at >= event.at && purge.at - event.at < kBefore;
    });
  };
  for (const Event& event : story.events) {
    if (event.at < incident.from - kBefore || event.at > incident.to) continue;
    const auto add = [&](const char* what) {
      incident.causes.push_back({event.at, event.uncertain, what, Told(event)});
    };
    switch (event.kind) {
      case EventKind::kDied:
        add("instance died");
        break;
      case EventKind::kStopped:
      case EventKind::kCut:
        add("instance stopped");
        break;
      case EventKind::kStarted:
        started.push_back(&event);
        break;
      case EventKind::kPurgeWave:
        add("purge wave");
        break;
      case EventKind::kClockStep:
        add("clock moved");
        break;
      case EventKind::kGap:
        add("records missing");
        break;
      case EventKind::kDraining:
      case EventKind::kGone:
        drained.push_back(&event);
        break;
      case EventKind::kCold:
        cold.push_back(&event);
        break;
      case EventKind::kPurge:
        if (event.text.starts_with("group") && !in_wave(event)) add("group purged");
        break;
      default:
        break;
    }
  }
  // Many servers at once are one cause: what a rolling deploy or a lost zone looks like.
  const auto together = [&](const std::vector<const Event*>& events, const char* what, const char* verb) {
    if (events.empty()) return;
    std::set<std::string> names;
    for (const Event* const event : events) names.insert(event->who);
    std::string text =
        std::to_string(names.size()) + (names.size() == 1 ? " server " : " servers ") + verb + ": ";
    std::size_t shown = 0;
    for (const std::string& name : names) {
      if (shown == 6) {
        text += ", ...";
        break;
      }
      text += (shown++ > 0 ? ", " : "") + name;
    }
    incident.causes.push_back({events.front()->at, events.front()->uncertain, what, text});
  };
  together(drained, "servers drained or gone", "were told to be draining or gone");
  together(cold, "cold servers", "came, cold");
  if (started.size() == 1)
    incident.causes.push_back({started[0]->at, started[0]->uncertain, "instance started", started[0]->text});
  if (started.size() > 1) {
    incident.causes.push_back(
        {started[0]->at, started[0]->uncertain, "instances started",
         std::to_string(started.size()) + " instances started, the first of them " + started[0]->who});
  }
}

// What the counts say: which servers failed, which classes were refused, who came back.
void FromCounts(const Course& course, const Merged& merged, const Story& story, Incident& incident) {
  std::map<std::string, std::pair<ServerCell, Micros>> by_kind;  // in the incident, and its first bad moment
  for (const ServerStory& server : story.servers) {
    for (const auto& [at, cell] : server.load) {
      if (at + kServerBin <= incident.from || at > incident.to) continue;
      auto& [sum, first] = by_kind[server.kind.empty() ? "servers" : server.kind];
      sum.attempts += cell.attempts;
      sum.bad += cell.bad;
      sum.full += cell.full;
      if (cell.bad + cell.full > 0 && first == Micros{0}) first = std::max(at, incident.from);
    }
  }
  for (const auto& [kind, entry] : by_kind) {
    const auto& [sum, first] = entry;
    const double share =
        static_cast<double>(sum.bad + sum.full) / std::max(1.0, static_cast<double>(sum.attempts));
    if (sum.bad + sum.full < 5 || share < 0.1) continue;
    incident.causes.push_back({first, kServerBin, kind + " slow or failing",
                               std::to_string(sum.bad) + " of " + std::to_string(sum.attempts) +
                                   " attempts at " + kind + " went wrong and " + std::to_string(sum.full) +
                                   " were turned away"});
  }
  std::vector<Sums> sums(merged.classes.size());
  for (const Point& point : story.points) {
    if (point.at + kSecond <= incident.from || point.at > incident.to) continue;
    for (std::size_t c = 0; c < sums.size(); ++c) {
      sums[c].asked += merged.worth[c] > 0 ? point.asked[c] / merged.worth[c] : 0;
      sums[c].refused += static_cast<double>(point.refused[c]);
      sums[c].bad += static_cast<double>(point.bad[c]);
    }
  }
  for (std::size_t c = 0; c < sums.size(); ++c) {
    if (sums[c].refused < 5 || sums[c].refused < 0.05 * sums[c].asked) continue;
    incident.causes.push_back({incident.from, kSecond, "refusals of " + merged.classes[c],
                               Percent(sums[c].refused / std::max(sums[c].asked, 1.0)) + " of " +
                                   merged.classes[c] + " were refused (" +
                                   std::to_string(std::llround(sums[c].refused)) + ")"});
  }
  std::map<ServerKey, std::pair<std::uint32_t, Micros>> lost;
  for (std::size_t i = 0; i < merged.lives.size(); ++i) {
    for (const Life::Silence& one : merged.lives[i]->silences) {
      const Micros at = merged.At(i, one.at);
      if (at < incident.from - kBefore || at > incident.to) continue;
      auto& [open, first] = lost[one.server];
      open += one.open;
      first = first == Micros{0} ? at : std::min(first, at);
    }
  }
  std::uint32_t open = 0;
  Micros first = Micros::max();
  std::string names;
  for (const auto& [server, entry] : lost) {
    open += entry.first;
    first = std::min(first, entry.second);
    const auto found = course.Servers().find(server);
    if (found != course.Servers().end() && names.size() < 80)
      names += (names.empty() ? "" : ", ") + found->second.name;
  }
  if (open >= 2) {
    incident.causes.push_back(
        {first, kSecond, "connections lost",
         "connections to " + names + " broke with " + std::to_string(open) + " requests open"});
  }
  std::uint64_t repeats = 0, came = 0;
  for (const Life* const life : merged.lives) {
    const std::size_t place = static_cast<std::size_t>(
        std::find(merged.lives.begin(), merged.lives.end(), life) - merged.lives.begin());
    for (const auto& [second, cells] : life->seconds) {
      const Micros at = merged.At(place, second * kSecond);
      if (at + kSecond <= incident.from || at > incident.to) continue;
      for (const ClassCell& cell : cells) {
        repeats += cell.repeats;
        came += cell.came;
      }
    }
  }
  if (repeats >= 5 && static_cast<double>(repeats) > 0.05 * static_cast<double>(came)) {
    incident.causes.push_back(
        {incident.from, kSecond, "client retries",
         std::to_string(repeats) + " of " + std::to_string(came) + " requests were repeats by clients"});
  }
}

}  // namespace

void TellIncidents(const Course& course, const Merged& merged, Story& story) {
  std::vector<double> shares;
  for (const Point& point : story.points) {
    if (point.Asked() > 0) shares.push_back(point.Earned() / point.Asked());
  }
  story.usual = shares.empty() ? 1 : Median(shares);
  std::vector<double> off;
  for (const double share : shares) off.push_back(std::abs(share - story.usual));
  const double bound = story.usual - std::max(kDrop, kSpreads * Median(off));
  for (std::size_t i = 0; i < story.points.size(); ++i) {
    double asked = 0, earned = 0;
    std::size_t from = i + 1 < kSmooth ? 0 : i + 1 - kSmooth;
    while (story.points[i].at - story.points[from].at >= static_cast<std::int64_t>(kSmooth) * kSecond) ++from;
    for (std::size_t j = from; j <= i; ++j) {
      asked += story.points[j].Asked();
      earned += story.points[j].Earned();
    }
    const Point& point = story.points[i];
    if (asked <= 0 || earned / asked >= bound || point.Asked() <= 0) continue;
    // It began with the first second that was itself under the bound.
    std::size_t begin = from;
    while (begin < i && (story.points[begin].Asked() <= 0 ||
                         story.points[begin].Earned() / story.points[begin].Asked() >= bound)) {
      ++begin;
    }
    if (point.Earned() / point.Asked() >= bound && begin == i) continue;
    if (story.incidents.empty() || story.points[begin].at - story.incidents.back().to > kBetween) {
      story.incidents.emplace_back().from = story.points[begin].at;
    }
    Incident& incident = story.incidents.back();
    if (point.Earned() / point.Asked() < bound) incident.to = point.at + kSecond;
    incident.to = std::max(incident.to, story.points[begin].at + kSecond);
  }
  for (Incident& incident : story.incidents) {
    for (const Point& point : story.points) {
      if (point.at < incident.from || point.at >= incident.to || point.Asked() <= 0) continue;
      incident.worst = std::min(incident.worst, std::max(0.0, point.Earned() / point.Asked()));
      incident.missed += point.Asked() - point.Earned();
    }
    FromEvents(story, incident);
    FromCounts(course, merged, story, incident);
    std::stable_sort(incident.causes.begin(), incident.causes.end(),
                     [](const Cause& a, const Cause& b) { return a.at < b.at; });
  }
}

}  // namespace tinspan::timeline
