#include "console/screen.hpp"

#include <algorithm>
#include <cstdio>
#include <map>
#include <utility>

#include "record/json.hpp"
#include "setup/time_text.hpp"

namespace tinspan::console {
namespace {

using namespace timeline;

constexpr Micros kSecond{1'000'000};
constexpr std::int64_t kSpan = 5;  // seconds that a rate is taken over
constexpr Micros kCold{16'000'000};
constexpr std::size_t kMostClasses = 6;

// Names take what a terminal is wider than 80.
int NameWidth(std::size_t width) {
  return 16 + static_cast<int>(std::min<std::size_t>(width > 80 ? width - 80 : 0, 34));
}

template <class... Args>
std::string Text(const char* format, Args... args) {
  char text[512];
  std::snprintf(text, sizeof text, format, args...);
  return text;
}

std::string Age(Micros age) {
  const double seconds = std::max(0.0, static_cast<double>(age.count()) / 1e6);
  if (seconds < 100) return Text("%.1fs", seconds);
  if (seconds < 6000) return Text("%.0fm", seconds / 60);
  return Text("%.0fh", seconds / 3600);
}

struct Rates {
  ClassCell sum;
  double worth = 0, earned = 0;
};

// Of one life in the whole seconds before `at`, by class.
std::vector<Rates> Over(const Life& life, Micros at) {
  const auto& classes = life.book.Header().classes();
  std::vector<Rates> out(static_cast<std::size_t>(classes.size()));
  const std::int64_t last = at / kSecond;
  for (auto cells = life.seconds.lower_bound(last - kSpan);
       cells != life.seconds.end() && cells->first < last; ++cells) {
    for (std::size_t c = 0; c < std::min(out.size(), cells->second.size()); ++c) {
      const ClassCell& cell = cells->second[c];
      const wire::Class& of = classes.Get(static_cast<int>(c));
      out[c].sum += cell;
      for (std::uint32_t e = 0; e < record::kEndings; ++e) {
        const auto ending = static_cast<record::Ending>(e);
        const double worth = static_cast<double>(cell.ended[e]) * of.worth();
        if (ending != record::Ending::kLeft) out[c].worth += worth;
        out[c].earned += worth * record::Earned(ending, of);
      }
    }
  }
  return out;
}

// Each instance by its last life that had begun by then.
std::vector<const Life*> Latest(const Course& course, Micros at) {
  std::map<std::string, const Life*> by_name;
  for (const auto& [key, life] : course.Lives()) {
    if (life.first <= at) by_name[life.name] = &life;  // lives of a name come in the order of their starts
  }
  std::vector<const Life*> out;
  for (const auto& [name, life] : by_name) out.push_back(life);
  return out;
}

std::string Percent(double part, double whole) { return whole > 0 ? Text("%.1f", 100 * part / whole) : "-"; }

void Fleet(const std::vector<const Life*>& lives, const View& view, Micros at, int name,
           std::vector<Line>& out) {
  out.push_back({Text("FLEET  %-*s %-9s %8s %7s %8s %8s %6s", name, "instance", "state", "last word", "req/s",
                      "in time%", "refused%", "open"),
                 Style::kTitle});
  for (const Life* const life : lives) {
    const Micros age = at - life->last;
    const bool ended = life->ended && life->last <= at;
    const bool stale = !ended && age > kStale;
    std::string line = Text("       %-*.*s %-9s %8s", name, name, life->name.c_str(),
                            ended   ? "stopped"
                            : stale ? "silent"
                                    : "up",
                            Age(age).c_str());
    if (!ended && !stale) {
      Rates all;
      std::uint64_t refused = 0, done = 0;
      for (const Rates& one : Over(*life, at)) {
        all.sum += one.sum;
        all.worth += one.worth;
        all.earned += one.earned;
        refused += one.sum.ended[static_cast<std::size_t>(record::Ending::kRefused)];
        done += one.sum.Ended();
      }
      line += Text(" %7.1f %8s %8s %6s", static_cast<double>(all.sum.came) / kSpan,
                   Percent(all.earned, all.worth).c_str(),
                   Percent(static_cast<double>(refused), static_cast<double>(done)).c_str(),

                   view.held ? "-" : std::to_string(life->open).c_str());
      out.push_back({line, all.worth > 0 && all.earned < 0.9 * all.worth ? Style::kWarn : Style::kPlain});
    } else {
      out.push_back({line, ended ? Style::kSoft : Style::kBad});
    }
  }
}

void Classes(const std::vector<const Life*>& lives, Micros at, int wide, std::vector<Line>& out) {
  struct Sum {
    Rates rates;
    LatencyCounts latency{};
  };
  std::vector<std::pair<std::string, Sum>> classes;
  for (const Life* const life : lives) {
    if (at - life->last > kStale) continue;
    const std::vector<Rates> rates = Over(*life, at);
    for (std::size_t c = 0; c < rates.size(); ++c) {
      const std::string name = life->book.ClassName(static_cast<std::uint32_t>(c));
      auto found =
          std::find_if(classes.begin(), classes.end(), [&](const auto& one) { return one.first == name; });
      if (found == classes.end()) found = classes.insert(classes.end(), {name, {}});
      found->second.rates.sum += rates[c].sum;
      found->second.rates.worth += rates[c].worth;
      found->second.rates.earned += rates[c].earned;
      const auto bin = life->latency.upper_bound(at / kLatencyBin);
      if (bin == life->latency.begin()) continue;
      const auto counts = std::prev(bin)->second.find(static_cast<std::uint32_t>(c));
      if (counts == std::prev(bin)->second.end()) continue;
      for (std::size_t b = 0; b < counts->second.size(); ++b) found->second.latency[b] += counts->second[b];
    }
  }
  out.push_back({Text("CLASS  %-*s %7s %8s %8s %8s %9s %9s", wide, "class", "req/s", "in time%", "refused%",
                      "repeat%", "p50 ms", "p99 ms"),
                 Style::kTitle});
  const auto quantile = [](const LatencyCounts& counts, double share) {
    const Micros at = Quantile(counts, share);
    return at == Micros{0} ? std::string("-") : Text("%.1f", static_cast<double>(at.count()) / 1000);
  };
  std::size_t shown = 0;
  for (const auto& [name, sum] : classes) {
    if (shown++ == kMostClasses) break;
    const ClassCell& cell = sum.rates.sum;
    out.push_back(
        {Text("       %-*.*s %7.1f %8s %8s %8s %9s %9s", wide, wide, name.c_str(),
              static_cast<double>(cell.came) / kSpan, Percent(sum.rates.earned, sum.rates.worth).c_str(),
              Percent(static_cast<double>(cell.ended[static_cast<std::size_t>(record::Ending::kRefused)]),
                      static_cast<double>(cell.Ended()))
                  .c_str(),
              Percent(static_cast<double>(cell.repeats), static_cast<double>(cell.came)).c_str(),
              quantile(sum.latency, 0.5).c_str(), quantile(sum.latency, 0.99).c_str()),
         sum.rates.worth > 0 && sum.rates.earned < 0.9 * sum.rates.worth ? Style::kWarn : Style::kPlain});
  }
  if (classes.empty()) out.push_back({"       nothing new from any instance", Style::kSoft});
}

struct ServerRow {
  std::string name, kind;
  Availability state = Availability::kRemoved;
  Micros word{0};  // when an instance last told of it
  bool cold = false;
  ServerCell cell;
  std::uint32_t out = 0;
};

std::vector<ServerRow> Rows(const Course& course, const std::vector<const Life*>& lives, const View& view,
                            Micros at) {
  std::map<ServerKey, ServerRow> rows;
  for (const Life* const life : lives) {
    for (const Life::Change& change : life->changes) {
      if (change.at > at) continue;
      ServerRow& row = rows[change.server];
      if (change.at < row.word) continue;
      row.word = change.at;
      row.state = change.state;
      row.cold = change.state == Availability::kUp && change.before == Availability::kRemoved &&
                 !change.first && at - change.at < kCold;
    }
    if (at - life->last > kStale) continue;
    for (const auto& [server, bins] : life->servers) {
      const auto bin = bins.find(at / kServerBin - 1);
      if (bin == bins.end()) continue;
      ServerRow& row = rows[server];
      row.cell.attempts += bin->second.attempts;
      row.cell.bad += bin->second.bad;
      row.cell.full += bin->second.full;
    }
    if (life->beat > at || at - life->beat > kStale) continue;  // only the last beat's is known
    for (const auto& [server, count] : life->out) rows[server].out += count;
  }
  std::vector<ServerRow> out;
  for (auto& [key, row] : rows) {
    const auto facts = course.Servers().find(key);
    if (facts == course.Servers().end()) continue;
    row.name = facts->second.name;
    row.kind = facts->second.kind;
    if (row.name.find(view.filter) != std::string::npos || row.kind.find(view.filter) != std::string::npos)
      out.push_back(row);
  }
  const auto failing = [](const ServerRow& row) { return row.cell.bad + row.cell.full; };
  std::sort(out.begin(), out.end(), [&](const ServerRow& a, const ServerRow& b) {
    if (view.sort == Sort::kLoad && a.cell.attempts != b.cell.attempts)
      return a.cell.attempts > b.cell.attempts;
    if (view.sort == Sort::kFailing && failing(a) != failing(b)) return failing(a) > failing(b);
    return a.name < b.name;
  });
  return out;
}

std::vector<Line> Servers(const std::vector<ServerRow>& rows, Micros at, int name) {
  std::vector<Line> out;
  const double bin = static_cast<double>(kServerBin / kSecond);
  for (const ServerRow& row : rows) {
    const char* const state = row.cold ? "cold" : record::Name(row.state);
    out.push_back({Text("       %-*.*s %-7.7s %-8s %6s %7.1f %6s %6s %5u", name, name, row.name.c_str(),
                        row.kind.c_str(), state, Age(at - row.word).c_str(), row.cell.attempts / bin,
                        Percent(row.cell.bad, row.cell.attempts).c_str(),
                        Percent(row.cell.full, row.cell.attempts).c_str(), row.out),
                   row.state == Availability::kRemoved     ? Style::kSoft
                   : row.state == Availability::kDraining  ? Style::kWarn
                   : row.cell.bad * 10 > row.cell.attempts ? Style::kBad
                                                           : Style::kPlain});
  }
  return out;
}

std::vector<Line> Events(const Course& course, const View& view, Micros at) {
  std::vector<std::pair<Micros, Line>> all;
  const auto add = [&](Micros when, std::string text, Style style) {
    if (when <= at && text.find(view.filter) != std::string::npos) {
      all.emplace_back(when, Line{"       " + TimeText(when).substr(11, 8) + " " + std::move(text), style});
    }
  };
  const auto name = [&](ServerKey key) {
    const auto facts = course.Servers().find(key);
    return facts == course.Servers().end() ? std::string("server") : facts->second.name;
  };
  for (const auto& [key, life] : course.Lives()) {
    for (const Life::Turn& turn : life.turns) {
      std::string what = wire::Life::What_Name(turn.what);
      std::transform(what.begin(), what.end(), what.begin(),
                     [](unsigned char c) { return c == '_' ? ' ' : std::tolower(c); });
      add(turn.at, life.name + " " + what + (turn.signal != 0 ? " by " + std::to_string(turn.signal) : ""),
          Style::kPlain);
    }
    for (const Life::Change& change : life.changes) {
      if (change.first && change.state == Availability::kUp) continue;
      add(change.at, life.name + " heard: " + name(change.server) + " " + record::Name(change.state),
          change.state == Availability::kUp ? Style::kGood : Style::kWarn);
    }
    for (const Life::Purge& purge : life.purges) {
      add(purge.at,
          life.name + " heard: purge of " +
              (purge.object != 0 ? "object " + record::Hex(purge.object)
                                 : "group " + record::Hex(purge.group)),
          Style::kSoft);
    }
    for (const Life::Step& step : life.steps)
      add(step.at,
          life.name + ": its clock moved by " + Text("%.2f s", static_cast<double>(step.by.count()) / 1e6),
          Style::kWarn);
    for (const Life::Silence& one : life.silences)
      add(one.at, life.name + ": " + name(one.server) + " lost with " + std::to_string(one.open) + " open",
          Style::kWarn);
    for (const Micros gap : life.gaps) add(gap, life.name + ": records were dropped", Style::kBad);
    for (const Life::Line& line : life.lines) add(line.at, life.name + " router: " + line.text, Style::kSoft);
  }
  std::stable_sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<Line> out;
  for (auto& [when, line] : all) out.push_back(std::move(line));
  return out;
}

void Scrolled(const std::vector<Line>& lines, std::size_t scroll, std::size_t room, std::vector<Line>& out) {
  const std::size_t from = std::min(scroll, lines.size() > room ? lines.size() - room : 0);
  for (std::size_t i = from; i < std::min(lines.size(), from + room); ++i) out.push_back(lines[i]);
}

std::vector<Line> Help() {
  std::vector<Line> out{{"KEYS", Style::kTitle}};
  for (const char* const text :
       {"  q             end", "  space         hold the time that is shown, or go on with now",
        "  left, right   one second back, forth; page up, page down: ten",
        "  tab           the pane whose lines scroll: servers or events", "  up, down      scroll",
        "  s             sort servers by load, failures, name",
        "  /             show only what contains what is typed; enter ends, escape clears",
        "  ?             this page", "",
        "Rates are over the last 5 whole seconds, servers' over the last whole 5 s.",
        "An instance without a word for 3 s is silent: its rates are left out, and so",
        "from the classes. Repeat% counts what clients marked as repeats."}) {
    out.push_back({text, Style::kPlain});
  }
  return out;
}

}  // namespace

void Typed(View& view, int key, Micros now) {
  if (view.filtering) {
    if (key == kEnter) view.filtering = false;
    if (key == kEscape) {
      view.filtering = false;
      view.filter.clear();
    }
    if (key == kErase && !view.filter.empty()) view.filter.pop_back();
    if (key >= ' ' && key < 127 && view.filter.size() < 40) view.filter += static_cast<char>(key);
    view.scroll = 0;
    return;
  }
  const auto move = [&](Micros by) {
    const Micros to = view.held.value_or(now) + by;
    view.held = to >= now ? std::nullopt : std::optional(to);
  };
  switch (key) {
    case 'q':
      view.over = true;
      break;
    case '?':
      view.help = !view.help;
      break;
    case ' ':
      view.held = view.held ? std::nullopt : std::optional(now);
      break;
    case kLeft:
      move(-kSecond);
      break;
    case kRight:
      move(kSecond);
      break;
    case kPageUp:
      move(-10 * kSecond);
      break;
    case kPageDown:
      move(10 * kSecond);
      break;
    case '\t':
      view.pane = view.pane == Pane::kServers ? Pane::kEvents : Pane::kServers;
      view.scroll = 0;
      break;
    case 's':
      view.sort = view.sort == Sort::kLoad      ? Sort::kFailing
                  : view.sort == Sort::kFailing ? Sort::kName
                                                : Sort::kLoad;
      break;
    case '/':
      view.filtering = true;
      view.filter.clear();
      break;
    case kUp:
      view.scroll -= std::min<std::size_t>(view.scroll, 1);
      break;
    case kDown:
      ++view.scroll;
      break;
    case kEscape:
      view.help = false;
      break;
    default:
      break;
  }
}

std::vector<Line> Frame(const Course& course, const View& view, Micros now, std::size_t width,
                        std::size_t height) {
  const Micros at = view.held.value_or(now);
  const int name = NameWidth(width);
  std::vector<Line> out;
  out.push_back({"tinspan console  " + TimeText(at).substr(0, 19) + "Z" +
                     (view.held ? "  HELD, " + Age(now - at) + " ago" : "  live") + "  " +
                     std::to_string(course.Lives().size()) + " lives" +
                     (course.Troubles().empty()
                          ? ""
                          : "  " + std::to_string(course.Troubles().size()) + " places unreadable") +
                     "   ? help",
                 Style::kChosen});
  if (!view.source_trouble.empty()) out.push_back({"! " + view.source_trouble, Style::kBad});
  if (view.help) {
    for (Line& line : Help()) out.push_back(std::move(line));
  } else {
    const std::vector<const Life*> lives = Latest(course, at);
    Fleet(lives, view, at, name, out);
    Classes(lives, at, name, out);
    const std::size_t left = height > out.size() + 3 ? height - out.size() - 3 : 2;
    const std::vector<ServerRow> rows = Rows(course, lives, view, at);
    const std::vector<Line> servers = Servers(rows, at, name), events = Events(course, view, at);
    // Servers take what they need up to two thirds, events the rest.
    const std::size_t for_servers =
        std::min(std::max<std::size_t>(servers.size(), 1), std::max<std::size_t>(left * 2 / 3, 1));
    constexpr const char* kSorts[] = {"name", "load", "failing"};
    const auto mark = [&](Pane pane) { return view.pane == pane ? ">" : " "; };
    out.push_back({Text("SERVER%s%-*s %-7s %-8s %6s %7s %6s %6s %5s", mark(Pane::kServers), name,
                        Text("%zu by %s", rows.size(), kSorts[static_cast<int>(view.sort)]).c_str(), "kind",
                        "state", "told", "att/s", "fail%", "full%", "out"),
                   Style::kTitle});
    Scrolled(servers, view.pane == Pane::kServers ? view.scroll : 0, for_servers, out);
    out.push_back({Text("EVENTS%s%zu, the newest first", mark(Pane::kEvents), events.size()), Style::kTitle});
    Scrolled(events, view.pane == Pane::kEvents ? view.scroll : 0, left - std::min(left, for_servers), out);
  }
  if (view.filtering || !view.filter.empty()) {
    while (out.size() + 1 < height) out.push_back({"", Style::kPlain});
    out.resize(std::min(out.size(), height > 0 ? height - 1 : 0));
    out.push_back({std::string("filter: ") + view.filter + (view.filtering ? "_" : "   (/ changes it)"),
                   Style::kChosen});
  }
  if (out.size() > height) out.resize(height);
  for (Line& line : out) {
    for (char& c : line.text) {
      if (static_cast<unsigned char>(c) < ' ') c = '?';  // names come from outside
    }
    if (line.text.size() > width) line.text.resize(width);
  }
  return out;
}

}  // namespace tinspan::console
