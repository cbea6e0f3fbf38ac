#include <algorithm>
#include <cstdio>

#include "record/json.hpp"
#include "report/report.hpp"
#include "setup/time_text.hpp"
#include "timeline/merge.hpp"

extern const std::string_view kReportPage;   // page.html
extern const std::string_view kReportChart;  // chart.js, as packaged

namespace tinspan::report {
namespace {

using Json = nlohmann::ordered_json;
using namespace timeline;

constexpr std::size_t kMostBins = 600;
constexpr std::size_t kMostRows = 2000;    // of events, drains and purges
constexpr std::size_t kMostMarks = 60;     // on a chart
constexpr std::size_t kMostServers = 300;  // with rows of their own
constexpr std::size_t kDrawn = 8;

std::string Escaped(std::string_view text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '&':
        out += "&amp;";
        break;
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += c;
    }
  }
  return out;
}
std::string Clock(Micros at) { return TimeText(at).substr(11, 12); }
std::string Number(double value, int decimals) {
  char text[48];
  std::snprintf(text, sizeof text, "%.*f", decimals, value);
  return text;
}
double Millis(Micros time) { return static_cast<double>(time.count()) / 1000; }

class Table {
 public:
  Table(std::string& out, std::initializer_list<std::string_view> heads) : out_(out) {
    out_ += "<div class=\"wide\"><table><thead><tr>";
    for (const std::string_view head : heads) out_.append("<th>").append(Escaped(head)).append("</th>");
    out_ += "</tr></thead><tbody>\n";
  }
  ~Table() { out_ += "</tbody></table></div>\n"; }
  Table& Row() {
    out_ += "<tr>";
    return *this;
  }
  Table& Cell(std::string_view text, std::string_view style = "") {
    out_ += style.empty() ? "<td>" : "<td class=\"" + std::string(style) + "\">";
    out_.append(Escaped(text)).append("</td>");
    return *this;
  }
  Table& Raw(std::string_view html) {
    out_.append("<td>").append(html).append("</td>");
    return *this;
  }
  void End() { out_ += "</tr>\n"; }

 private:
  std::string& out_;
};

void Cut(std::string& out, std::size_t shown, std::size_t all) {
  if (shown < all) {
    out += "<p class=\"soft\">" + std::to_string(all - shown) +
           " more are left out here; <code>--format json</code> holds all.</p>\n";
  }
}

void Head(const Story& story, std::string& out) {
  out += "<h1>What happened</h1>\n<div class=\"what" + std::string(story.incidents.empty() ? " calm" : "") +
         "\"><ul>\n";
  for (const std::string& one : story.sentences) out += "<li>" + Escaped(one) + "</li>\n";
  out += "</ul></div>\n<div class=\"figures\">";
  const auto figure = [&](double share, std::string_view label) {
    out += "<div><b>" + Percent(share) + "</b>" + Escaped(label) + "</div>";
  };
  figure(story.Service(), "service");
  figure(story.whole, "whole run (65%)");
  figure(story.worst_ten, "worst 10 s (15%)");
  figure(story.worst_class, "worst class (20%)");
  out += "<div><b>" + std::to_string(story.all.came) + "</b>requests</div>";
  out += "<div><b>" + std::to_string(story.incidents.size()) + "</b>incidents</div></div>\n";
}

void Incidents(const Story& story, std::string& out) {
  if (story.incidents.empty()) return;
  out += "<h2>Incidents and what came before them</h2>\n";
  for (const Incident& one : story.incidents) {
    out += "<p><b>" + Clock(one.from) + " to " + Clock(one.to) +
           "</b>: the share fell to <span class=\"bad\">" + Percent(one.worst) + "</span>; " +
           Number(one.missed, 1) + " of worth was not earned in time.</p>\n";
    Table table(out, {"time", "±", "candidate", "evidence"});
    for (const Cause& cause : one.causes) {
      table.Row()
          .Cell(Clock(cause.at))
          .Cell(Seconds(cause.uncertain))
          .Cell(cause.what)
          .Cell(cause.evidence, "text")
          .End();
    }
  }
}

void Service(const Story& story, const std::vector<Bin>& bins, Micros width, std::string& out) {
  out +=
      "<h2>Service and worth by class</h2>\n<div class=\"chart\"><canvas id=\"share\"></canvas></div>\n"
      "<div class=\"chart\"><canvas id=\"worth\"></canvas></div>\n";
  {
    Table table(out, {"class", "came", "repeats", "asked", "earned", "share", "in time", "stale", "late",
                      "broken", "refused", "failed", "overdue", "left", "lost"});
    const auto row = [&](const Tally& tally) {
      using record::Ending;
      const auto count = [&](Ending ending) { return tally.ended[static_cast<std::size_t>(ending)]; };
      table.Row().Cell(tally.name).Cell(std::to_string(tally.came)).Cell(std::to_string(tally.repeats));
      table.Cell(Number(tally.asked, 1)).Cell(Number(tally.earned, 1)).Cell(Percent(tally.Share()));
      for (const std::uint64_t one :
           {count(Ending::kInTime), count(Ending::kStale), count(Ending::kLate) + count(Ending::kLateStale),
            count(Ending::kBroken), count(Ending::kRefused), count(Ending::kFailed), count(Ending::kOverdue),
            count(Ending::kLeft), tally.lost}) {
        table.Cell(std::to_string(one));
      }
      table.End();
    };
    for (const Tally& tally : story.classes) row(tally);
    row(story.all);
  }
  out += "<details><summary>Every " + std::to_string(width.count() / 1'000'000) + " s by class</summary>\n";
  {
    Table table(out, {"time", "class", "asked", "earned", "share", "refused", "failed"});
    for (const Bin& bin : bins) {
      for (std::size_t c = 0; c < bin.asked.size(); ++c) {
        if (bin.asked[c] <= 0) continue;
        table.Row()
            .Cell(Clock(bin.at).substr(0, 8))
            .Cell(story.classes[c].name)
            .Cell(Number(bin.asked[c], 1));
        table.Cell(Number(bin.earned[c], 1)).Cell(Percent(bin.earned[c] / bin.asked[c]));
        table.Cell(std::to_string(bin.refused[c])).Cell(std::to_string(bin.bad[c])).End();
      }
    }
  }
  out +=
      "</details>\n<h2>Latency of what was served</h2>\n<div class=\"chart\"><canvas "
      "id=\"latency\"></canvas></div>\n<details><summary>Every 10 s by class</summary>\n";
  {
    Table table(out, {"time", "class", "p50, ms", "p99, ms"});
    for (const Latency& one : story.latency) {
      if (one.class_id >= story.classes.size()) continue;
      table.Row().Cell(Clock(one.at).substr(0, 8)).Cell(story.classes[one.class_id].name);
      table.Cell(Number(Millis(one.p50), 1)).Cell(Number(Millis(one.p99), 1)).End();
    }
  }
  out += "</details>\n";
}

void Servers(const Story& story, std::string& out) {
  out +=
      "<h2>Servers</h2>\n<p class=\"key soft\">as told:<i class=\"up\"></i>up<i "
      "class=\"draining\"></i>draining<i class=\"gone\"></i>gone</p>\n"
      "<div class=\"chart\"><canvas id=\"load\"></canvas></div>\n";
  const double span = std::max(1.0, static_cast<double>((story.to - story.from).count()));
  const auto place = [&](Micros at) {
    return std::clamp(100.0 * static_cast<double>((at - story.from).count()) / span, 0.0, 100.0);
  };
  std::size_t shown = 0;
  {
    Table table(out,
                {"server", "kind", "zone", "attempts", "wrong", "turned away", "state over time", "changes"});
    for (const ServerStory& one : story.servers) {
      if (shown == kMostServers) break;
      ++shown;
      std::string bands = "<div class=\"band\">", changes;
      for (const auto& band : one.bands) {
        const double from = place(band.from);
        bands += "<i class=\"" + std::string(record::Name(band.state)) +
                 "\" style=\"left:" + Number(from, 2) +
                 "%;width:" + Number(std::max(0.2, place(band.to) - from), 2) + "%\"></i>";
        if (changes.size() < 400) {
          changes += (changes.empty() ? "" : ", ") + Clock(band.from) + " " + record::Name(band.state);
        }
      }
      table.Row().Cell(one.name).Cell(one.kind).Cell(one.zone).Cell(std::to_string(one.attempts));
      table.Cell(std::to_string(one.bad), one.bad > 0 ? "warn" : "").Cell(std::to_string(one.full));
      table.Raw(bands + "</div>").Cell(changes, "text").End();
    }
  }
  Cut(out, shown, story.servers.size());
}

void Limits(const Story& story, std::string& out) {
  if (!story.drains.empty()) {
    out +=
        "<h2>Drains: from the first word to the last request sent</h2>\n<p class=\"soft\">Nothing may go out "
        "later than 500 ms after the first word.</p>\n";
    {
      Table table(out, {"told", "server", "instance", "sent after", "last, ms after", ""});
      for (std::size_t i = 0; i < std::min(kMostRows, story.drains.size()); ++i) {
        const DrainLine& one = story.drains[i];
        table.Row().Cell(Clock(one.told)).Cell(one.server).Cell(one.instance).Cell(std::to_string(one.sent));
        table.Cell(one.sent > 0 ? Number(Millis(one.last), 1) : "-")
            .Cell(one.kept ? "kept" : "too late", one.kept ? "good" : "bad")
            .End();
      }
    }
    Cut(out, kMostRows, story.drains.size());
  }
  if (!story.purges.empty()) {
    out +=
        "<h2>Purges: the last answer by an older copy</h2>\n<p class=\"soft\">Nothing sent later than 1 s "
        "after the word may be answered by a copy from before it.</p>\n";
    {
      Table table(out, {"told", "purged", "instance", "older copies served", "last sent, ms after",
                        "last served, ms after", ""});
      for (std::size_t i = 0; i < std::min(kMostRows, story.purges.size()); ++i) {
        const PurgeLine& one = story.purges[i];
        table.Row().Cell(Clock(one.told)).Cell(one.what).Cell(one.instance).Cell(std::to_string(one.served));
        table.Cell(one.served > 0 ? Number(Millis(one.last_sent), 1) : "-")
            .Cell(one.served > 0 ? Number(Millis(one.last_served), 1) : "-");
        table.Cell(one.kept ? "kept" : "too late", one.kept ? "good" : "bad").End();
      }
    }
    Cut(out, kMostRows, story.purges.size());
  }
}

void Instances(const Story& story, std::string& out) {
  constexpr std::array kEnds{"stopped", "stopped with requests open", "died", "records end here"};
  out += "<h2>Instances: lives and clocks</h2>\n";
  {
    Table table(out, {"instance", "first record", "last record", "end", "requests",
                      "clock, against the reference", "records dropped", "version"});
    for (const Instance& one : story.instances) {
      const bool died = one.end == Instance::End::kDied;
      table.Row()
          .Cell(one.name)
          .Cell(Clock(one.from))
          .Cell(Clock(one.to))
          .Cell(kEnds[static_cast<std::size_t>(one.end)], died ? "bad" : "");
      table.Cell(std::to_string(one.came));
      table.Cell(one.reference ? "the reference"
                 : !one.offset ? "not known: nothing links it to the others"
                               : Number(Millis(one.offset->Middle()), 0) + " ms ± " +
                                     Number(Millis(one.offset->Uncertainty()), 0));
      table.Cell(std::to_string(one.dropped)).Cell(one.version).End();
    }
  }
  for (const std::string& one : story.impossible)
    out += "<p class=\"warn\">Impossible: " + Escaped(one) + ".</p>\n";
}

void Rest(const Story& story, std::string& out) {
  out += "<h2>Events</h2>\n";
  {
    Table table(out, {"time", "±", "kind", "what", "heard by"});
    for (std::size_t i = 0; i < std::min(kMostRows, story.events.size()); ++i) {
      const Event& one = story.events[i];
      std::string heard;
      for (const std::string& name : one.heard) heard += (heard.empty() ? "" : ", ") + name;
      if (one.heard.size() > 1) heard += ", the last " + Seconds(one.last_heard) + " later";
      table.Row()
          .Cell(Clock(one.at))
          .Cell(one.uncertain > Micros{0} ? Seconds(one.uncertain) : "")
          .Cell(Name(one.kind));
      table.Cell(one.text, "text").Cell(heard, "text").End();
    }
  }
  Cut(out, kMostRows, story.events.size());
  if (!story.worst.empty()) {
    out += "<h2>The worst requests</h2>\n";
    for (const WorstLine& one : story.worst) {
      wire::Record record;
      *record.mutable_trace() = one.trace;
      const Json trace = record::ToJson(*one.book, one.at, record);
      out += "<details><summary>" + Clock(one.at) + " " + Escaped(one.instance) + ", request " +
             std::to_string(one.trace.request()) + ": " + Escaped(one.book->ClassName(one.trace.class_id())) +
             ", " + record::Name(static_cast<record::Ending>(one.trace.verdict())) + " after " +
             Number(one.trace.took_us() / 1000.0, 1) + " ms, " + std::to_string(one.trace.attempts_size()) +
             " attempts</summary>\n";
      {
        Table table(out, {"sent, ms", "server", "source", "outcome", "took, ms", "note", "fill, ms"});
        for (const Json& attempt : trace.at("attempts")) {
          const auto text = [&](const char* key) {
            return attempt.contains(key) ? attempt.at(key).get<std::string>() : "-";
          };
          table.Row()
              .Cell(Number(attempt.at("sent_ms").get<double>(), 1))
              .Cell(text("server"))
              .Cell(text("source"))
              .Cell(text("outcome"));
          table.Cell(Number(attempt.at("took_ms").get<double>(), 1)).Cell(text("note"));
          table
              .Cell(attempt.contains("fill_wait_ms") ? Number(attempt.at("fill_wait_ms").get<double>(), 1)
                                                     : "-")
              .End();
        }
      }
      out += "</details>\n";
    }
  }
  if (!story.troubles.empty()) {
    out += "<h2>What could not be read</h2>\n<ul>\n";
    for (std::size_t i = 0; i < std::min<std::size_t>(200, story.troubles.size()); ++i)
      out += "<li>" + Escaped(story.troubles[i]) + "</li>\n";
    out += "</ul>\n";
  }
}

// What the charts draw: times in milliseconds.
Json Drawn(const Story& story, const std::vector<Bin>& bins, Micros width) {
  const auto ms = [](Micros at) { return at.count() / 1000; };
  Json out{{"from", ms(story.from)}, {"to", ms(story.to)}};
  out["incidents"] = Json::array();
  for (const Incident& one : story.incidents) out["incidents"].push_back({ms(one.from), ms(one.to)});
  out["marks"] = Json::array();
  for (const Event& one : story.events) {
    const bool shown = one.kind == EventKind::kDied || one.kind == EventKind::kDraining ||
                       one.kind == EventKind::kGone || one.kind == EventKind::kPurgeWave ||
                       one.kind == EventKind::kCut || one.kind == EventKind::kStarted;
    if (shown && out["marks"].size() < kMostMarks) {
      out["marks"].push_back({ms(one.at), one.who.empty() ? Name(one.kind) : one.who + " " + Name(one.kind)});
    }
  }
  const double seconds = static_cast<double>(width.count()) / 1e6;
  out["share"] = out["worth"] = out["latency"] = out["load"] = Json::array();
  for (std::size_t c = 0; c < story.classes.size(); ++c) {
    Json share = Json::array(), asked = Json::array(), earned = Json::array(), p99 = Json::array();
    for (const Bin& bin : bins) {
      const Json x = ms(bin.at + width / 2);
      if (bin.asked[c] > 0) share.push_back({{"x", x}, {"y", bin.earned[c] / bin.asked[c]}});
      asked.push_back({{"x", x}, {"y", bin.asked[c] / seconds}});
      earned.push_back({{"x", x}, {"y", bin.earned[c] / seconds}});
    }
    for (const Latency& one : story.latency) {
      if (one.class_id == c) p99.push_back({{"x", ms(one.at)}, {"y", Millis(one.p99)}});
    }
    const std::string& name = story.classes[c].name;
    out["share"].push_back({{"label", name}, {"points", share}});
    out["worth"].push_back({{"label", name + " asked"}, {"points", asked}});
    out["worth"].push_back({{"label", name + " earned"}, {"points", earned}});
    out["latency"].push_back({{"label", name + " p99"}, {"points", p99}});
  }
  for (std::size_t i = 0; i < std::min(kDrawn, story.servers.size()); ++i) {
    Json points = Json::array();
    for (const auto& [at, cell] : story.servers[i].load) {
      points.push_back(
          {{"x", ms(at)}, {"y", cell.attempts / (static_cast<double>(kServerBin.count()) / 1e6)}});
    }
    out["load"].push_back({{"label", story.servers[i].name}, {"points", points}, {"stepped", true}});
  }
  return out;
}

}  // namespace

std::string ToHtml(const Story& story) {
  Micros width{0};
  const std::vector<Bin> bins = Bins(story, kMostBins, width);
  std::string body;
  Head(story, body);
  Incidents(story, body);
  Service(story, bins, width, body);
  Servers(story, body);
  Limits(story, body);
  Instances(story, body);
  Rest(story, body);
  std::string data = Drawn(story, bins, width).dump(-1, ' ', false, Json::error_handler_t::replace);
  // Nothing in it may end the script that holds it.
  for (std::size_t at = 0; (at = data.find("</", at)) != std::string::npos; at += 3)
    data.replace(at, 2, "<\\/");
  std::string out;
  std::string_view left = kReportPage;
  while (true) {
    const std::size_t mark = left.find('@');
    out.append(left.substr(0, mark));
    if (mark == std::string_view::npos) return out;
    left.remove_prefix(mark);
    const auto put = [&](std::string_view name, std::string_view text) {
      if (!left.starts_with(name)) return false;
      out.append(text);
      left.remove_prefix(name.size());
      return true;
    };
    if (put("@TITLE@", "tinspan, " + TimeText(story.from).substr(0, 19)) || put("@BODY@", body) ||
        put("@DATA@", data) || put("@CHART@", kReportChart)) {
      continue;
    }
    out += '@';
    left.remove_prefix(1);
  }
}

}  // namespace tinspan::report
