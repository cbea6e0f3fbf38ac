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
constexpr std::int64_t kRateSpanSeconds = 5;
constexpr Micros kColdPeriod{16'000'000};  // a server is shown as cold for this long after it was added
constexpr std::size_t kMaxClasses = 6;

// The name column takes the width beyond 80 columns, up to a limit.
int NameWidth(std::size_t width) {
  return 16 + static_cast<int>(std::min<std::size_t>(width > 80 ? width - 80 : 0, 34));
}

template <class... Args>
std::string Format(const char* format, Args... args) {
  char text[512];
  std::snprintf(text, sizeof text, format, args...);
  return text;
}

std::string FormatAge(Micros age) {
  const double seconds = std::max(0.0, static_cast<double>(age.count()) / 1e6);
  if (seconds < 100) return Format("%.1fs", seconds);
  if (seconds < 6000) return Format("%.0fm", seconds / 60);
  return Format("%.0fh", seconds / 3600);
}

struct Rates {
  ClassCounts sum;
  double weight = 0, earned_weight = 0;
};

// Sums of one incarnation over the last kRateSpanSeconds whole seconds before `at`, per class.
std::vector<Rates> RatesBefore(const Incarnation& incarnation, Micros at) {
  const auto& classes = incarnation.dictionary.Header().classes();
  std::vector<Rates> out(static_cast<std::size_t>(classes.size()));
  const std::int64_t last = at / kSecond;
  for (auto by_class = incarnation.counts_by_second.lower_bound(last - kRateSpanSeconds);
       by_class != incarnation.counts_by_second.end() && by_class->first < last; ++by_class) {
    for (std::size_t c = 0; c < std::min(out.size(), by_class->second.size()); ++c) {
      const ClassCounts& counts = by_class->second[c];
      const wire::Class& class_info = classes.Get(static_cast<int>(c));
      out[c].sum += counts;
      for (std::uint32_t e = 0; e < record::kRequestOutcomeCount; ++e) {
        const auto ending = static_cast<record::RequestOutcome>(e);
        const double weight = static_cast<double>(counts.ended[e]) * class_info.worth();
        if (ending != record::RequestOutcome::kClientDisconnected) out[c].weight += weight;
        out[c].earned_weight += weight * record::EarnedShare(ending, class_info);
      }
    }
  }
  return out;
}

// The last incarnation of each instance that had started by `at`.
std::vector<const Incarnation*> LatestIncarnations(const InstanceTimelines& timelines, Micros at) {
  std::map<std::string, const Incarnation*> by_name;
  for (const auto& [key, incarnation] : timelines.Incarnations()) {
    if (incarnation.first_record_at <= at)
      by_name[incarnation.name] = &incarnation;  // incarnations of a name are ordered by start
  }
  std::vector<const Incarnation*> out;
  for (const auto& [name, incarnation] : by_name) out.push_back(incarnation);
  return out;
}

std::string Percent(double part, double whole) {
  return whole > 0 ? Format("%.1f", 100 * part / whole) : "-";
}

void AddFleet(const std::vector<const Incarnation*>& incarnations, const View& view, Micros at,
              int name_width, std::vector<Line>& out) {
  out.push_back({Format("FLEET  %-*s %-9s %8s %7s %8s %8s %6s", name_width, "instance", "state", "last word",
                        "req/s", "in time%", "refused%", "open"),
                 Style::kTitle});
  for (const Incarnation* const incarnation : incarnations) {
    const Micros age = at - incarnation->last_record_at;
    const bool has_stopped = incarnation->has_stopped && incarnation->last_record_at <= at;
    const bool is_stale = !has_stopped && age > kStaleAfter;
    std::string line = Format("       %-*.*s %-9s %8s", name_width, name_width, incarnation->name.c_str(),
                              has_stopped ? "stopped"
                              : is_stale  ? "silent"
                                          : "up",
                              FormatAge(age).c_str());
    if (!has_stopped && !is_stale) {
      Rates all;
      std::uint64_t refused = 0, done = 0;
      for (const Rates& rates : RatesBefore(*incarnation, at)) {
        all.sum += rates.sum;
        all.weight += rates.weight;
        all.earned_weight += rates.earned_weight;
        refused += rates.sum.ended[static_cast<std::size_t>(record::RequestOutcome::kRejected)];
        done += rates.sum.Ended();
      }
      line += Format(" %7.1f %8s %8s %6s", static_cast<double>(all.sum.received) / kRateSpanSeconds,
                     Percent(all.earned_weight, all.weight).c_str(),
                     Percent(static_cast<double>(refused), static_cast<double>(done)).c_str(),
                     view.held_at ? "-" : std::to_string(incarnation->open_requests).c_str());
      out.push_back(
          {line, all.weight > 0 && all.earned_weight < 0.9 * all.weight ? Style::kWarn : Style::kPlain});
    } else {
      out.push_back({line, has_stopped ? Style::kSoft : Style::kBad});
    }
  }
}

void AddClasses(const std::vector<const Incarnation*>& incarnations, Micros at, int name_width,
                std::vector<Line>& out) {
  struct Sum {
    Rates rates;
    LatencyCounts latency{};
  };
  std::vector<std::pair<std::string, Sum>> classes;
  for (const Incarnation* const incarnation : incarnations) {
    if (at - incarnation->last_record_at > kStaleAfter) continue;
    const std::vector<Rates> rates = RatesBefore(*incarnation, at);
    for (std::size_t c = 0; c < rates.size(); ++c) {
      const std::string name = incarnation->dictionary.ClassName(static_cast<std::uint32_t>(c));
      auto found = std::find_if(classes.begin(), classes.end(),
                                [&](const auto& entry) { return entry.first == name; });
      if (found == classes.end()) found = classes.insert(classes.end(), {name, {}});
      found->second.rates.sum += rates[c].sum;
      found->second.rates.weight += rates[c].weight;
      found->second.rates.earned_weight += rates[c].earned_weight;
      const auto bucket = incarnation->latency.upper_bound(at / kLatencyBucketWidth);
      if (bucket == incarnation->latency.begin()) continue;
      const auto counts = std::prev(bucket)->second.find(static_cast<std::uint32_t>(c));
      if (counts == std::prev(bucket)->second.end()) continue;
      for (std::size_t b = 0; b < counts->second.size(); ++b) found->second.latency[b] += counts->second[b];
    }
  }
  out.push_back({Format("CLASS  %-*s %7s %8s %8s %8s %9s %9s", name_width, "class", "req/s", "in time%",
                        "refused%", "repeat%", "p50 ms", "p99 ms"),
                 Style::kTitle});
  const auto quantile = [](const LatencyCounts& counts, double share) {
    const Micros latency = Quantile(counts, share);
    return latency == Micros{0} ? std::string("-")
                                : Format("%.1f", static_cast<double>(latency.count()) / 1000);
  };
  std::size_t shown = 0;
  for (const auto& [name, sum] : classes) {
    if (shown++ == kMaxClasses) break;
    const ClassCounts& counts = sum.rates.sum;
    out.push_back(
        {Format("       %-*.*s %7.1f %8s %8s %8s %9s %9s", name_width, name_width, name.c_str(),
                static_cast<double>(counts.received) / kRateSpanSeconds,
                Percent(sum.rates.earned_weight, sum.rates.weight).c_str(),
                Percent(static_cast<double>(
                            counts.ended[static_cast<std::size_t>(record::RequestOutcome::kRejected)]),
                        static_cast<double>(counts.Ended()))
                    .c_str(),
                Percent(static_cast<double>(counts.repeats), static_cast<double>(counts.received)).c_str(),
                quantile(sum.latency, 0.5).c_str(), quantile(sum.latency, 0.99).c_str()),
         sum.rates.weight > 0 && sum.rates.earned_weight < 0.9 * sum.rates.weight ? Style::kWarn
                                                                                  : Style::kPlain});
  }
  if (classes.empty()) out.push_back({"       nothing new from any instance", Style::kSoft});
}

struct ServerRow {
  std::string name, kind;
  Availability state = Availability::kRemoved;
  Micros updated_at{0};  // when an instance last received its state
  bool is_cold = false;
  ServerCounts counts;
  std::uint32_t outstanding_attempts = 0;
};

std::vector<ServerRow> BuildServerRows(const InstanceTimelines& timelines,
                                       const std::vector<const Incarnation*>& incarnations, const View& view,
                                       Micros at) {
  std::map<ServerKey, ServerRow> rows;
  for (const Incarnation* const incarnation : incarnations) {
    for (const Incarnation::ServerStateChange& change : incarnation->server_changes) {
      if (change.at > at) continue;
      ServerRow& row = rows[change.server];
      if (change.at < row.updated_at) continue;
      row.updated_at = change.at;
      row.state = change.state;
      row.is_cold = change.state == Availability::kUp && change.previous == Availability::kRemoved &&
                    !change.is_in_first_list && at - change.at < kColdPeriod;
    }
    if (at - incarnation->last_record_at > kStaleAfter) continue;
    for (const auto& [server, buckets] : incarnation->server_counts) {
      const auto bucket = buckets.find(at / kServerBucketWidth - 1);
      if (bucket == buckets.end()) continue;
      ServerRow& row = rows[server];
      row.counts.attempts += bucket->second.attempts;
      row.counts.failed += bucket->second.failed;
      row.counts.rejected += bucket->second.rejected;
    }
    if (incarnation->last_heartbeat_at > at || at - incarnation->last_heartbeat_at > kStaleAfter)
      continue;  // only the last heartbeat's attempts are known
    for (const auto& [server, count] : incarnation->outstanding_attempts)
      rows[server].outstanding_attempts += count;
  }
  std::vector<ServerRow> out;
  for (auto& [key, row] : rows) {
    const auto info = timelines.Servers().find(key);
    if (info == timelines.Servers().end()) continue;
    row.name = info->second.name;
    row.kind = info->second.kind;
    if (row.name.find(view.filter) != std::string::npos || row.kind.find(view.filter) != std::string::npos)
      out.push_back(row);
  }
  const auto failing = [](const ServerRow& row) { return row.counts.failed + row.counts.rejected; };
  std::sort(out.begin(), out.end(), [&](const ServerRow& a, const ServerRow& b) {
    if (view.sort == Sort::kLoad && a.counts.attempts != b.counts.attempts)
      return a.counts.attempts > b.counts.attempts;
    if (view.sort == Sort::kFailing && failing(a) != failing(b)) return failing(a) > failing(b);
    return a.name < b.name;
  });
  return out;
}

std::vector<Line> ServerLines(const std::vector<ServerRow>& rows, Micros at, int name_width) {
  std::vector<Line> out;
  const double bucket_seconds = static_cast<double>(kServerBucketWidth / kSecond);
  for (const ServerRow& row : rows) {
    const char* const state = row.is_cold ? "cold" : record::Name(row.state);
    out.push_back(
        {Format("       %-*.*s %-7.7s %-8s %6s %7.1f %6s %6s %5u", name_width, name_width, row.name.c_str(),
                row.kind.c_str(), state, FormatAge(at - row.updated_at).c_str(),
                row.counts.attempts / bucket_seconds, Percent(row.counts.failed, row.counts.attempts).c_str(),
                Percent(row.counts.rejected, row.counts.attempts).c_str(), row.outstanding_attempts),
         row.state == Availability::kRemoved            ? Style::kSoft
         : row.state == Availability::kDraining         ? Style::kWarn
         : row.counts.failed * 10 > row.counts.attempts ? Style::kBad
                                                        : Style::kPlain});
  }
  return out;
}

std::vector<Line> EventLines(const InstanceTimelines& timelines, const View& view, Micros at) {
  std::vector<std::pair<Micros, Line>> all;
  const auto add = [&](Micros when, std::string text, Style style) {
    if (when <= at && text.find(view.filter) != std::string::npos) {
      all.emplace_back(when, Line{"       " + FormatTime(when).substr(11, 8) + " " + std::move(text), style});
    }
  };
  const auto server_name = [&](ServerKey key) {
    const auto info = timelines.Servers().find(key);
    return info == timelines.Servers().end() ? std::string("server") : info->second.name;
  };
  for (const auto& [key, incarnation] : timelines.Incarnations()) {
    for (const Incarnation::LifecycleEvent& event : incarnation.lifecycle_events) {
      std::string what = wire::Life::What_Name(event.kind);
      std::transform(what.begin(), what.end(), what.begin(),
                     [](unsigned char c) { return c == '_' ? ' ' : std::tolower(c); });
      add(event.at,
          incarnation.name + " " + what + (event.signal != 0 ? " by " + std::to_string(event.signal) : ""),
          Style::kPlain);
    }
    for (const Incarnation::ServerStateChange& change : incarnation.server_changes) {
      if (change.is_in_first_list && change.state == Availability::kUp) continue;
      add(change.at,
          incarnation.name + " heard: " + server_name(change.server) + " " + record::Name(change.state),
          change.state == Availability::kUp ? Style::kGood : Style::kWarn);
    }
    for (const Incarnation::Purge& purge : incarnation.purges) {
      add(purge.at,
          incarnation.name + " heard: purge of " +
              (purge.object != 0 ? "object " + record::Hex(purge.object)
                                 : "group " + record::Hex(purge.group)),
          Style::kSoft);
    }
    for (const Incarnation::ClockStep& step : incarnation.clock_steps)
      add(step.at,
          incarnation.name + ": its clock moved by " +
              Format("%.2f s", static_cast<double>(step.by.count()) / 1e6),
          Style::kWarn);
    for (const Incarnation::LostConnections& loss : incarnation.lost_connections)
      add(loss.at,
          incarnation.name + ": " + server_name(loss.server) + " lost with " +
              std::to_string(loss.open_requests) + " open",
          Style::kWarn);
    for (const Micros gap : incarnation.gaps)
      add(gap, incarnation.name + ": records were dropped", Style::kBad);
    for (const Incarnation::RouterLine& line : incarnation.router_lines)
      add(line.at, incarnation.name + " router: " + line.text, Style::kSoft);
  }
  std::stable_sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<Line> out;
  for (auto& [when, line] : all) out.push_back(std::move(line));
  return out;
}

void AppendScrolled(const std::vector<Line>& lines, std::size_t scroll, std::size_t room,
                    std::vector<Line>& out) {
  const std::size_t from = std::min(scroll, lines.size() > room ? lines.size() - room : 0);
  for (std::size_t i = from; i < std::min(lines.size(), from + room); ++i) out.push_back(lines[i]);
}

std::vector<Line> HelpLines() {
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

void HandleKey(View& view, int key, Micros now) {
  if (view.is_editing_filter) {
    if (key == kEnter) view.is_editing_filter = false;
    if (key == kEscape) {
      view.is_editing_filter = false;
      view.filter.clear();
    }
    if (key == kErase && !view.filter.empty()) view.filter.pop_back();
    if (key >= ' ' && key < 127 && view.filter.size() < 40) view.filter += static_cast<char>(key);
    view.scroll = 0;
    return;
  }
  const auto move = [&](Micros by) {
    const Micros to = view.held_at.value_or(now) + by;
    view.held_at = to >= now ? std::nullopt : std::optional(to);
  };
  switch (key) {
    case 'q':
      view.should_quit = true;
      break;
    case '?':
      view.shows_help = !view.shows_help;
      break;
    case ' ':
      view.held_at = view.held_at ? std::nullopt : std::optional(now);
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
      view.is_editing_filter = true;
      view.filter.clear();
      break;
    case kUp:
      view.scroll -= std::min<std::size_t>(view.scroll, 1);
      break;
    case kDown:
      ++view.scroll;
      break;
    case kEscape:
      view.shows_help = false;
      break;
    default:
      break;
  }
}

std::vector<Line> RenderFrame(const InstanceTimelines& timelines, const View& view, Micros now,
                              std::size_t width, std::size_t height) {
  const Micros at = view.held_at.value_or(now);
  const int name_width = NameWidth(width);
  std::vector<Line> out;
  out.push_back({"tinspan console  " + FormatTime(at).substr(0, 19) + "Z" +
                     (view.held_at ? "  HELD, " + FormatAge(now - at) + " ago" : "  live") + "  " +
                     std::to_string(timelines.Incarnations().size()) + " lives" +
                     (timelines.ReadErrors().empty()
                          ? ""
                          : "  " + std::to_string(timelines.ReadErrors().size()) + " places unreadable") +
                     "   ? help",
                 Style::kChosen});
  if (!view.source_fault.empty()) out.push_back({"! " + view.source_fault, Style::kBad});
  if (view.shows_help) {
    for (Line& line : HelpLines()) out.push_back(std::move(line));
  } else {
    const std::vector<const Incarnation*> incarnations = LatestIncarnations(timelines, at);
    AddFleet(incarnations, view, at, name_width, out);
    AddClasses(incarnations, at, name_width, out);
    const std::size_t remaining_lines = height > out.size() + 3 ? height - out.size() - 3 : 2;
    const std::vector<ServerRow> rows = BuildServerRows(timelines, incarnations, view, at);
    const std::vector<Line> servers = ServerLines(rows, at, name_width),
                            events = EventLines(timelines, view, at);
    // Servers take the lines they need, up to two thirds; events take the rest.
    const std::size_t server_lines =
        std::min(std::max<std::size_t>(servers.size(), 1), std::max<std::size_t>(remaining_lines * 2 / 3, 1));
    constexpr const char* kSorts[] = {"name", "load", "failing"};
    const auto mark = [&](Pane pane) { return view.pane == pane ? ">" : " "; };
    out.push_back({Format("SERVER%s%-*s %-7s %-8s %6s %7s %6s %6s %5s", mark(Pane::kServers), name_width,
                          Format("%zu by %s", rows.size(), kSorts[static_cast<int>(view.sort)]).c_str(),
                          "kind", "state", "told", "att/s", "fail%", "full%", "out"),
                   Style::kTitle});
    AppendScrolled(servers, view.pane == Pane::kServers ? view.scroll : 0, server_lines, out);
    out.push_back(
        {Format("EVENTS%s%zu, the newest first", mark(Pane::kEvents), events.size()), Style::kTitle});
    AppendScrolled(events, view.pane == Pane::kEvents ? view.scroll : 0,
                   remaining_lines - std::min(remaining_lines, server_lines), out);
  }
  if (view.is_editing_filter || !view.filter.empty()) {
    while (out.size() + 1 < height) out.push_back({"", Style::kPlain});
    out.resize(std::min(out.size(), height > 0 ? height - 1 : 0));
    out.push_back(
        {std::string("filter: ") + view.filter + (view.is_editing_filter ? "_" : "   (/ changes it)"),
         Style::kChosen});
  }
  if (out.size() > height) out.resize(height);
  for (Line& line : out) {
    for (char& c : line.text) {
      if (static_cast<unsigned char>(c) < ' ') c = '?';  // names may contain control characters
    }
    if (line.text.size() > width) line.text.resize(width);
  }
  return out;
}

}  // namespace tinspan::console
