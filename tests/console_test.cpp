// The console's frames, rendered without a terminal: above all, old figures must not be shown as current.
#include <gtest/gtest.h>

#include <algorithm>

#include "console/screen.hpp"

namespace tinspan::console {
namespace {

using timeline::InstanceTimelines;
namespace wire = record::wire;
constexpr Micros kStart{1'764'576'000'000'000};
constexpr Micros kSecond{1'000'000};

void Add(InstanceTimelines& timelines, const std::string& name, Micros start, Micros at,
         wire::Record record) {
  record.set_at_us(at.count());
  timelines.OnRecord({"f", name, (kStart + start).count(), 1}, Micros{0}, record);
}
void Begin(InstanceTimelines& timelines, const std::string& name, Micros start = Micros{0}) {
  wire::Record record;
  wire::Header& header = *record.mutable_header();
  header.set_format(1);
  header.set_name(name);
  header.set_wall_us((kStart + start).count());
  header.add_classes()->set_name("scans");
  header.mutable_classes(0)->set_worth(1);
  Add(timelines, name, start, Micros{0}, record);
  wire::Record server;
  server.mutable_server()->set_number(1);
  server.mutable_server()->set_id(77);
  server.mutable_server()->set_name("cache\x01one");
  Add(timelines, name, start, Micros{0}, server);
  wire::Record members;
  members.mutable_members()->add_members()->set_server(1);
  Add(timelines, name, start, Micros{0}, members);
}
void Window(InstanceTimelines& timelines, const std::string& name, Micros at, Micros start = Micros{0}) {
  wire::Record record;
  wire::Window& window = *record.mutable_window();
  window.set_length_us(100'000);
  for (const std::uint32_t one : {0u, 50u}) window.add_came(one);
  for (const std::uint64_t one : {16u, 50u}) window.add_ended(one);  // in time, by server 1
  for (const std::uint64_t one : {16u, 50u}) window.add_attempts(one);
  Add(timelines, name, start, at, record);
}

std::string Shown(const InstanceTimelines& timelines, const View& view, Micros now, std::size_t width = 80,
                  std::size_t height = 24) {
  std::string out;
  const auto lines = RenderFrame(timelines, view, now, width, height);
  EXPECT_LE(lines.size(), height);
  for (const Line& line : lines) {
    EXPECT_LE(line.text.size(), width);
    out += line.text + "\n";
  }
  return out;
}
std::string LineWith(const std::string& frame, const std::string& text) {
  const std::size_t at = frame.find(text);
  if (at == std::string::npos) return "";
  const std::size_t begin = frame.rfind('\n', at) + 1;
  return frame.substr(begin, frame.find('\n', at) - begin);
}

// Guards against rates of a silent instance that stay on the screen as if they were current.
TEST(Screen, StaleFiguresAreNotShownAsCurrent) {
  InstanceTimelines timelines;
  Begin(timelines, "north");
  for (int i = 1; i <= 10; ++i) Window(timelines, "north", i * kSecond);
  const std::string fresh = Shown(timelines, {}, kStart + 10 * kSecond);
  EXPECT_NE(LineWith(fresh, " north ").find(" up "), std::string::npos);
  EXPECT_NE(LineWith(fresh, " north ").find("100.0"), std::string::npos);
  const std::string stale = Shown(timelines, {}, kStart + 14 * kSecond);
  EXPECT_NE(LineWith(stale, " north ").find(" silent "), std::string::npos);
  EXPECT_NE(LineWith(stale, " north ").find("4.0s"), std::string::npos);
  EXPECT_EQ(LineWith(stale, " north ").find("100.0"), std::string::npos);
  EXPECT_NE(stale.find("nothing new from any instance"), std::string::npos);
  EXPECT_NE(LineWith(stale, "cache?one").find("    0.0"),
            std::string::npos);  // its load is no longer known
}

TEST(Screen, RestartedInstanceIsShownByItsNewIncarnation) {
  InstanceTimelines timelines;
  Begin(timelines, "north");
  for (int i = 1; i <= 5; ++i) Window(timelines, "north", i * kSecond);
  Begin(timelines, "north", 20 * kSecond);
  for (int i = 1; i <= 5; ++i) Window(timelines, "north", i * kSecond, 20 * kSecond);
  EXPECT_NE(LineWith(Shown(timelines, {}, kStart + 15 * kSecond), " north ").find(" silent "),
            std::string::npos);
  EXPECT_NE(LineWith(Shown(timelines, {}, kStart + 25 * kSecond), " north ").find(" up "), std::string::npos);
  View held;
  held.held_at = kStart + 5 * kSecond;  // at an earlier time, the previous incarnation is shown
  const std::string then = Shown(timelines, held, kStart + 25 * kSecond);
  EXPECT_NE(then.find("HELD, 20.0s ago"), std::string::npos);
  EXPECT_NE(LineWith(then, " north ").find(" up "), std::string::npos);
}

TEST(Screen, KeysHoldScrubFilterAndSort) {
  InstanceTimelines timelines;
  Begin(timelines, "north");
  const Micros now = kStart + 30 * kSecond;
  View view;
  HandleKey(view, kLeft, now);
  EXPECT_EQ(view.held_at, now - kSecond);
  HandleKey(view, kPageUp, now);
  EXPECT_EQ(view.held_at, now - 11 * kSecond);
  for (int i = 0; i < 2; ++i) HandleKey(view, kPageDown, now);
  EXPECT_FALSE(view.held_at);  // the held time never exceeds now
  HandleKey(view, ' ', now);
  EXPECT_EQ(view.held_at, now);
  HandleKey(view, ' ', now);
  EXPECT_FALSE(view.held_at);
  for (const int key : {static_cast<int>('/'), static_cast<int>('q'), static_cast<int>('x'),
                        static_cast<int>(kErase), static_cast<int>(kEnter)}) {
    HandleKey(view, key, now);
  }
  EXPECT_FALSE(view.should_quit);  // 'q' was typed into the filter
  EXPECT_EQ(view.filter, "q");
  EXPECT_EQ(Shown(timelines, view, now).find("cache"), std::string::npos);
  HandleKey(view, 's', now);
  EXPECT_EQ(view.sort, Sort::kFailing);
  HandleKey(view, '?', now);
  EXPECT_NE(Shown(timelines, view, now).find("KEYS"), std::string::npos);
  HandleKey(view, 'q', now);
  EXPECT_TRUE(view.should_quit);
}

// Shown checks that no frame is larger than the terminal.
TEST(Screen, FrameNeverExceedsTheTerminal) {
  InstanceTimelines timelines;
  for (int i = 0; i < 60; ++i) Begin(timelines, "north-" + std::to_string(i));
  for (const auto& [width, height] :
       {std::pair<std::size_t, std::size_t>{80, 24}, {200, 60}, {20, 5}, {1, 1}, {0, 0}}) {
    Shown(timelines, {}, kStart + kSecond, width, height);
  }
}

}  // namespace
}  // namespace tinspan::console
