// What the console shows of a fleet, as lines of text: pure. Records come in through timeline::Course; the
// time that is looked at, the size of the terminal and what was typed are passed in.
//
// A figure is never shown as if it were new: what an instance said last carries its age, and once that is
// more than kStale its rates are blank.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "timeline/course.hpp"

namespace tinspan::console {

inline constexpr Micros kStale{3'000'000};

enum class Style { kPlain, kTitle, kSoft, kGood, kWarn, kBad, kChosen };
struct Line {
  std::string text;
  Style style = Style::kPlain;
};

enum class Pane { kFleet, kServers, kClasses, kEvents };
enum class Sort { kName, kLoad, kFailing };

// What the user has chosen. Keys change it (Typed), nothing else.
struct View {
  Pane pane = Pane::kServers;  // whose lines scroll
  Sort sort = Sort::kLoad;
  std::string filter;          // of servers and events: what they must contain
  bool filtering = false;      // keys go to the filter
  std::optional<Micros> held;  // the time that is looked at; none: now
  std::size_t scroll = 0;
  bool help = false;
  bool over = false;
  std::string source_trouble;  // why nothing new comes
};

// One key: a character, or one of these.
enum Key : int { kUp = 1000, kDown, kLeft, kRight, kPageUp, kPageDown, kEscape, kEnter, kErase };
void Typed(View& view, int key, Micros now);

// `now`: the wall clock of whoever looks. At least 80 by 24; less is cut off.
std::vector<Line> Frame(const timeline::Course& course, const View& view, Micros now, std::size_t width,
                        std::size_t height);

}  // namespace tinspan::console
