// What the console shows of a fleet, as lines of text. Pure: the records come from
// timeline::InstanceTimelines; the time to show, the size of the terminal and the keys are passed in.
//
// An old figure is never shown as current: the last record of each instance is shown with its age, and once
// that exceeds kStaleAfter the instance's rates are blank.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "timeline/instance_timelines.hpp"

namespace tinspan::console {

inline constexpr Micros kStaleAfter{3'000'000};

enum class Style { kPlain, kTitle, kSoft, kGood, kWarn, kBad, kChosen };
struct Line {
  std::string text;
  Style style = Style::kPlain;
};

enum class Pane { kFleet, kServers, kClasses, kEvents };
enum class Sort { kName, kLoad, kFailing };

// What the user has chosen. HandleKey changes it; the caller sets source_fault.
struct View {
  Pane pane = Pane::kServers;  // the pane that scrolls
  Sort sort = Sort::kLoad;
  std::string filter;              // only servers and events that contain it are shown
  bool is_editing_filter = false;  // keys edit the filter
  std::optional<Micros> held_at;   // the time shown; empty: now
  std::size_t scroll = 0;
  bool shows_help = false;
  bool should_quit = false;
  std::string source_fault;  // why no new records arrive; empty if they do
};

// A key is a character or one of these.
enum Key : int { kUp = 1000, kDown, kLeft, kRight, kPageUp, kPageDown, kEscape, kEnter, kErase };
void HandleKey(View& view, int key, Micros now);

// The lines of one frame. `now` is the wall clock of the viewer. The layout needs 80 by 24; a smaller
// terminal cuts it off.
std::vector<Line> RenderFrame(const timeline::InstanceTimelines& timelines, const View& view, Micros now,
                              std::size_t width, std::size_t height);

}  // namespace tinspan::console
