// How well clients were served, second by second and as a whole.
#include <algorithm>
#include <cmath>

#include "timeline/merge.hpp"

namespace tinspan::timeline {
namespace {

constexpr Micros kSecond{1'000'000};

}  // namespace

double Point::Asked() const {
  double sum = 0;
  for (const double one : asked) sum += one;
  return sum;
}
double Point::Earned() const {
  double sum = 0;
  for (const double one : earned) sum += one;
  return sum;
}

// A request counts in the second in which it ended; one that was open when its instance died, in that.
void TellService(const Merged& merged, const StoryRules& rules, Story& story) {
  const std::size_t classes = merged.classes.size();
  const auto inside = [&](Micros at) {
    return (!rules.from || at >= *rules.from) && (!rules.to || at <= *rules.to);
  };
  std::map<std::int64_t, Point> points;
  const auto point = [&](Micros at) -> Point& {
    Point& out = points[at.count() / kSecond.count()];
    out.at = Micros{at.count() / kSecond.count() * kSecond.count()};
    out.asked.resize(classes);
    out.earned.resize(classes);
    out.refused.resize(classes);
    out.bad.resize(classes);
    return out;
  };
  for (std::size_t i = 0; i < classes; ++i) {
    Tally& tally = story.classes.emplace_back();
    tally.name = merged.classes[i];
  }
  for (std::size_t i = 0; i < merged.lives.size(); ++i) {
    const Life& life = *merged.lives[i];
    const auto& header = life.book.Header();
    std::vector<std::size_t> place;  // of its classes among all
    for (const wire::Class& of : header.classes()) {
      place.push_back(static_cast<std::size_t>(
          std::find(merged.classes.begin(), merged.classes.end(), of.name()) - merged.classes.begin()));
    }
    std::vector<std::int64_t> open(classes, 0);
    for (const auto& [second, cells] : life.seconds) {
      // The middle of its second: the shift moves it to where most of it was.
      const Micros at = merged.At(i, second * kSecond + kSecond / 2);
      for (std::size_t c = 0; c < cells.size() && c < place.size(); ++c) {
        const ClassCell& cell = cells[c];
        const wire::Class& of = header.classes(static_cast<int>(c));
        open[place[c]] += static_cast<std::int64_t>(cell.came) - static_cast<std::int64_t>(cell.Ended());
        if (!inside(at)) continue;
        Tally& tally = story.classes[place[c]];
        Point& here = point(at);
        tally.came += cell.came;
        tally.repeats += cell.repeats;
        for (std::uint32_t e = 0; e < record::kEndings; ++e) {
          const auto ending = static_cast<record::Ending>(e);
          const double count = static_cast<double>(cell.ended[e]);
          const double earned = count * of.worth() * record::Earned(ending, of);
          // Its client went away of its own accord: it asked for nothing more.
          const double asked = ending == record::Ending::kLeft ? 0 : count * of.worth();
          tally.ended[e] += cell.ended[e];
          tally.asked += asked;
          tally.earned += earned;
          here.asked[place[c]] += asked;
          here.earned[place[c]] += earned;
          if (ending == record::Ending::kRefused) here.refused[place[c]] += cell.ended[e];
          if (e >= static_cast<std::uint32_t>(record::Ending::kBroken) && ending != record::Ending::kLeft &&
              ending != record::Ending::kRefused) {
            here.bad[place[c]] += cell.ended[e];
          }
        }
      }
    }
    if (!merged.died[i] || !inside(*merged.died[i])) continue;
    for (std::size_t c = 0; c < classes; ++c) {
      if (open[c] <= 0) continue;
      Tally& tally = story.classes[c];
      Point& here = point(*merged.died[i]);
      const double worth = static_cast<double>(open[c]) * merged.worth[c];
      tally.lost += static_cast<std::uint64_t>(open[c]);
      tally.asked += worth;
      here.asked[c] += worth;
      here.bad[c] += static_cast<std::uint64_t>(open[c]);
    }
  }
  story.all.name = "all";
  for (const Tally& tally : story.classes) {
    story.all.asked += tally.asked;
    story.all.earned += tally.earned;
    story.all.came += tally.came;
    story.all.repeats += tally.repeats;
    story.all.lost += tally.lost;
    for (std::size_t e = 0; e < tally.ended.size(); ++e) story.all.ended[e] += tally.ended[e];
    if (tally.asked > 0) story.worst_class = std::min(story.worst_class, tally.Share());
  }
  story.whole = story.all.Share();
  for (auto& [second, one] : points) story.points.push_back(std::move(one));
  double asked = 0, earned = 0;
  const double least =
      10 * story.all.asked / static_cast<double>(std::max<std::size_t>(story.points.size(), 1)) / 5;
  story.worst_ten = story.whole;
  story.worst_ten_at = story.from;
  for (std::size_t i = 0, first = 0; i < story.points.size(); ++i) {
    asked += story.points[i].Asked();
    earned += story.points[i].Earned();
    const Micros from = story.points[i].at - 9 * kSecond;
    for (; story.points[first].at < from; ++first) {
      asked -= story.points[first].Asked();
      earned -= story.points[first].Earned();
    }
    // Ten seconds in which hardly anybody asked say nothing, nor does a beginning of less than ten.
    if (from < story.points.front().at || asked < std::max(least, 1e-9) || earned / asked >= story.worst_ten)
      continue;
    story.worst_ten = std::max(earned / asked, 0.0);
    story.worst_ten_at = from;
  }
  std::map<std::pair<std::int64_t, std::uint32_t>, LatencyCounts> latency;
  for (std::size_t i = 0; i < merged.lives.size(); ++i) {
    const Life& life = *merged.lives[i];
    for (const auto& [bin, by_class] : life.latency) {
      const Micros at = merged.At(i, bin * kLatencyBin + kLatencyBin / 2);
      if (!inside(at)) continue;
      for (const auto& [class_id, counts] : by_class) {
        const auto place =
            std::find(merged.classes.begin(), merged.classes.end(), life.book.ClassName(class_id));
        auto& sum = latency[{at / kLatencyBin, static_cast<std::uint32_t>(place - merged.classes.begin())}];
        for (std::size_t b = 0; b < counts.size(); ++b) sum[b] += counts[b];
      }
    }
  }
  for (const auto& [key, counts] : latency) {
    story.latency.push_back(
        {key.first * kLatencyBin, key.second, Quantile(counts, 0.5), Quantile(counts, 0.99)});
  }
}

}  // namespace tinspan::timeline
