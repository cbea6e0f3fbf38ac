#include "timeline/story.hpp"

#include <algorithm>

#include "setup/time_text.hpp"
#include "timeline/merge.hpp"

namespace tinspan::timeline {
namespace {

constexpr std::size_t kWorst = 24;

std::string Clock(Micros at) { return TimeText(at).substr(11, 12); }  // down to the millisecond

std::string PlusMinus(Micros uncertain) {
  return uncertain > Micros{0} ? " (± " + Seconds(uncertain) + ")" : "";
}

}  // namespace

void Summarise(Story& story) {
  std::vector<std::string>& out = story.sentences;
  out.push_back("From " + TimeText(story.from).substr(0, 19) + "Z to " + TimeText(story.to).substr(0, 19) +
                "Z, " + std::to_string(story.instances.size()) +
                (story.instances.size() == 1 ? " life of an instance" : " lives of instances") + " took " +
                std::to_string(story.all.came) + " requests; " + Percent(story.whole) +
                " of the worth was answered in time. Service: " + Percent(story.Service()) + " (whole run " +
                Percent(story.whole) + ", worst 10 s " + Percent(story.worst_ten) + " at " +
                Clock(story.worst_ten_at) + ", worst class " + Percent(story.worst_class) + ").");
  for (const Incident& incident : story.incidents) {
    std::string text = "Incident from " + Clock(incident.from) + " to " + Clock(incident.to) +
                       ": the share fell to " + Percent(incident.worst) +
                       " (the day's course: " + Percent(story.usual) + ").";
    if (incident.causes.empty()) text += " Nothing in the records comes before it.";
    for (const Cause& cause : incident.causes) {
      if (cause.what.starts_with("instance") && cause.what.find("started") != std::string::npos)
        continue;  // the table has it
      text += " " + Clock(cause.at) + PlusMinus(cause.uncertain) + ": " + cause.evidence + ".";
    }
    out.push_back(std::move(text));
  }
  if (story.incidents.empty()) out.push_back("No stretch fell under the day's course.");
  std::size_t died = 0;
  for (const Instance& one : story.instances) died += one.end == Instance::End::kDied ? 1 : 0;
  if (died > 0)
    out.push_back(std::to_string(died) + (died == 1 ? " instance" : " instances") + " died; " +
                  std::to_string(story.all.lost) + " requests were open there and had no answer on record.");
  const auto late = [](const auto& lines) {
    return std::count_if(lines.begin(), lines.end(), [](const auto& line) { return !line.kept; });
  };
  if (!story.drains.empty())
    out.push_back(std::to_string(story.drains.size()) +
                  " drains were heard; after the limit something still went out at " +
                  std::to_string(late(story.drains)) + " of them.");
  if (!story.purges.empty())
    out.push_back(
        std::to_string(story.purges.size()) +
        " purges were heard; what was sent after the limit was still answered by an older copy at " +
        std::to_string(late(story.purges)) + " of them.");
  if (!story.impossible.empty())
    out.push_back(std::to_string(story.impossible.size()) +
                  " pieces of evidence on the clocks cannot hold and are left out.");
  if (!story.troubles.empty())
    out.push_back(std::to_string(story.troubles.size()) + " places in the records could not be read.");
}

Story Tell(const Course& course, const StoryRules& rules) {
  Story story;
  const Merged merged = Merge(course, rules, story);
  TellEvents(course, merged, story);
  TellService(merged, rules, story);
  TellServers(course, merged, story);
  for (DrainLine& line : story.drains) line.kept = line.sent == 0 || line.last <= rules.drain_limit;
  for (PurgeLine& line : story.purges) line.kept = line.served == 0 || line.last_sent <= rules.purge_limit;
  const auto outside = [&](const auto& line) { return line.told < story.from || line.told > story.to; };
  std::erase_if(story.drains, outside);
  std::erase_if(story.purges, outside);
  const auto earlier = [](const auto& a, const auto& b) { return a.told < b.told; };
  std::stable_sort(story.drains.begin(), story.drains.end(), earlier);
  std::stable_sort(story.purges.begin(), story.purges.end(), earlier);
  TellIncidents(course, merged, story);
  for (std::size_t i = 0; i < merged.lives.size(); ++i) {
    const Life& life = *merged.lives[i];
    for (const Life::Bad& bad : life.worst) {
      const Micros at = merged.At(i, bad.at);
      if (at >= story.from && at <= story.to) story.worst.push_back({life.name, at, bad.trace, &life.book});
    }
  }
  std::stable_sort(story.worst.begin(), story.worst.end(), [](const WorstLine& a, const WorstLine& b) {
    const auto weight = [](const WorstLine& line) {
      const auto ending = static_cast<record::Ending>(line.trace.verdict());
      const int kind = ending == record::Ending::kRefused                                        ? 1
                       : ending == record::Ending::kLate || ending == record::Ending::kLateStale ? 0
                                                                                                 : 2;
      return std::pair(kind, line.trace.took_us());
    };
    return weight(a) > weight(b);
  });
  if (story.worst.size() > kWorst) story.worst.erase(story.worst.begin() + kWorst, story.worst.end());
  for (const record::Trouble& one : course.Troubles()) {
    story.troubles.push_back(one.file + ": offset " + std::to_string(one.offset) + ": " + one.what);
  }
  Summarise(story);
  return story;
}

}  // namespace tinspan::timeline
