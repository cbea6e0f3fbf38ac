// The steps of Tell: each adds to the story what the ones before it prepared. Not for other parts.
#pragma once

#include "timeline/story.hpp"

namespace tinspan::timeline {

// The lives of a course on one clock.
struct Merged {
  std::vector<const Life*> lives;
  std::vector<Micros> shift;  // taken off a life's own time
  std::vector<Micros> uncertain;
  std::vector<std::optional<Micros>> died;  // on the one clock
  std::vector<std::string> classes;
  std::vector<double> worth;
  Micros At(std::size_t life, Micros own) const { return own - shift[life]; }
};

std::vector<Evidence> Gather(const std::vector<const Life*>& lives, const StoryRules& rules);
Merged Merge(const Course& course, const StoryRules& rules, Story& story);  // clocks, instances, deaths
void TellEvents(const Course& course, const Merged& merged, Story& story);  // events, bands, drains, purges
void TellService(const Merged& merged, const StoryRules& rules, Story& story);  // points, tallies, latency
void TellServers(const Course& course, const Merged& merged, Story& story);
void TellIncidents(const Course& course, const Merged& merged, Story& story);
void Summarise(Story& story);
std::string PurgeName(std::uint64_t group, std::uint64_t object);
std::string Seconds(Micros time);  // such as "0.25 s"
std::string Percent(double share);

}  // namespace tinspan::timeline
