#include "timeline/merge.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <tuple>
#include <utility>

#include "record/json.hpp"

namespace tinspan::timeline {
namespace {

// Pairs all who saw the same thing; where many did, each with its neighbours only.
constexpr std::size_t kMostPairs = 8;

template <class Key>
void Pair(const std::map<Key, std::vector<std::pair<std::size_t, Micros>>>& seen, Micros spread,
          const std::string& what, std::vector<Evidence>& out) {
  for (const auto& [key, by] : seen) {
    for (std::size_t i = 0; i < by.size(); ++i) {
      const std::size_t until = by.size() <= kMostPairs ? by.size() : std::min(by.size(), i + 2);
      for (std::size_t j = i + 1; j < until; ++j) {
        const Micros apart = by[j].second - by[i].second;
        out.push_back({by[i].first, by[j].first, {apart - spread, apart + spread}, what});
      }
    }
  }
}

}  // namespace

std::string Seconds(Micros time) {
  char text[32];
  std::snprintf(text, sizeof text, "%.2f s", static_cast<double>(time.count()) / 1e6);
  return text;
}
std::string Percent(double share) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f%%", 100 * share);
  return text;
}
std::string PurgeName(std::uint64_t group, std::uint64_t object) {
  if (object != 0) return "object " + record::Hex(object);
  return "group " + (group < 100'000 ? std::to_string(group) : record::Hex(group));
}

std::vector<Evidence> Gather(const std::vector<const Life*>& lives, const StoryRules& rules) {
  using Seen = std::vector<std::pair<std::size_t, Micros>>;
  std::map<std::pair<std::string, std::uint64_t>, Seen> words;
  std::map<std::tuple<std::int64_t, std::uint64_t, std::uint64_t>, Seen> purges;
  for (std::size_t i = 0; i < lives.size(); ++i) {
    std::map<std::string, std::uint64_t> heard;  // by source: the version last heard
    for (const Life::Word& word : lives[i]->words) {
      if (word.version == 0) continue;
      const auto [place, first] = heard.try_emplace(word.source, word.version);
      // The first list is asked for at the start, whenever it was made; of a version told in parts the first
      // counts.
      if (first || word.version <= place->second) continue;
      place->second = word.version;
      words[{word.source, word.version}].emplace_back(i, word.at);
    }
    std::map<std::tuple<std::int64_t, std::uint64_t, std::uint64_t>, bool> once;
    for (const Life::Purge& purge : lives[i]->purges) {
      const std::tuple key(purge.made.count(), purge.group, purge.object);
      if (!std::exchange(once[key], true)) purges[key].emplace_back(i, purge.at);
    }
  }
  std::vector<Evidence> out;
  Pair(words, rules.spread, "a version of the member list told to both", out);
  Pair(purges, rules.spread, "a purge told to both", out);
  return out;
}

Merged Merge(const Course& course, const StoryRules& rules, Story& story) {
  Merged out;
  for (const auto& [key, life] : course.Lives()) {
    if (life.records > 0 && life.book.Header().format() > 0) out.lives.push_back(&life);
  }
  const std::vector<Evidence> evidence = Gather(out.lives, rules);
  const Offsets offsets(out.lives.size(), evidence);
  const auto called = [&](std::size_t i) { return out.lives[i]->name; };
  for (const std::size_t place : offsets.Impossible()) {
    const Evidence& one = evidence[place];
    story.impossible.push_back(one.what + ", " + called(one.a) + " and " + called(one.b) +
                               ", would set their clocks " + Seconds(one.apart.least) + " to " +
                               Seconds(one.apart.most) + " apart, against what others of its kind say");
  }
  const std::size_t reference = offsets.Reference();
  for (std::size_t i = 0; i < out.lives.size(); ++i) {
    const Life& life = *out.lives[i];
    Instance instance;
    instance.name = life.name;
    instance.incarnation = life.incarnation;
    instance.version = life.book.Header().version();
    instance.reference = i == reference;
    instance.offset = offsets.Between(reference, i);
    instance.dropped = life.dropped;
    // A clock that may be right is left as it is; then it may be off by as much as its interval allows.
    const bool agrees = !instance.offset || instance.offset->Holds(Micros{0});
    out.shift.push_back(agrees ? Micros{0} : instance.offset->Middle());
    out.uncertain.push_back(i == reference || !instance.offset ? Micros{0}
                            : agrees ? std::max(-instance.offset->least, instance.offset->most)
                                     : instance.offset->Uncertainty());
    instance.from = out.At(i, life.first);
    instance.to = out.At(i, life.last);
    for (const auto& [second, cells] : life.seconds) {
      for (const ClassCell& cell : cells) instance.came += cell.came;
    }
    story.instances.push_back(std::move(instance));
  }
  // The end of all records there are, and of those of the same name that began later.
  for (std::size_t i = 0; i < out.lives.size(); ++i) {
    Instance& instance = story.instances[i];
    out.died.emplace_back();
    if (out.lives[i]->ended) {
      const auto& turns = out.lives[i]->turns;
      const bool cut =
          std::any_of(turns.begin(), turns.end(), [](auto& turn) { return turn.what == wire::Life::CUT; });
      instance.end = cut ? Instance::End::kCut : Instance::End::kStopped;
      continue;
    }
    const bool outlived =
        std::any_of(story.instances.begin(), story.instances.end(), [&](const Instance& other) {
          return (other.name == instance.name && other.incarnation > instance.incarnation) ||
                 (&other != &instance && other.to > instance.to + rules.missed);
        });
    if (!outlived) continue;
    instance.end = Instance::End::kDied;
    out.died.back() = instance.to;
  }
  // Classes by name: files of instances may list them in another order.
  for (const Life* const life : out.lives) {
    for (const wire::Class& of : life->book.Header().classes()) {
      if (std::find(out.classes.begin(), out.classes.end(), of.name()) != out.classes.end()) continue;
      out.classes.push_back(of.name());
      out.worth.push_back(of.worth());
    }
  }
  story.from = Micros::max();
  story.to = Micros::min();
  for (const Instance& instance : story.instances) {
    story.from = std::min(story.from, instance.from);
    story.to = std::max(story.to, instance.to);
  }
  if (story.instances.empty()) story.from = story.to = Micros{0};
  if (rules.from) story.from = std::max(story.from, *rules.from);
  if (rules.to) story.to = std::min(story.to, *rules.to);
  if (story.from > story.to) story.from = story.to;
  return out;
}

}  // namespace tinspan::timeline
