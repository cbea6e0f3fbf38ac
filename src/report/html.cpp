#include <algorithm>
#include <cstdio>

#include "record/json.hpp"
#include "report/report.hpp"
#include "setup/time_text.hpp"
#include "timeline/build_steps.hpp"

extern const std::string_view kReportPage;   // page.html
extern const std::string_view kReportChart;  // chart.js, as packaged

namespace tinspan::report {
namespace {

using Json = nlohmann::ordered_json;
using namespace timeline;

constexpr std::size_t kMaxBuckets = 600;
constexpr std::size_t kMaxRows = 2000;       // per table of events, drains or purges
constexpr std::size_t kMaxMarks = 60;        // events marked on a chart
constexpr std::size_t kMaxServerRows = 300;  // rows of the server table
constexpr std::size_t kMaxChartServers = 8;  // lines of the load chart

std::string EscapeHtml(std::string_view text) {
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
std::string ClockText(Micros at) { return FormatTime(at).substr(11, 12); }
std::string FormatNumber(double value, int decimals) {
  char text[48];
  std::snprintf(text, sizeof text, "%.*f", decimals, value);
  return text;
}
double Millis(Micros time) { return static_cast<double>(time.count()) / 1000; }

// Writes an HTML table; the destructor closes it.
class Table {
 public:
  Table(std::string& out, std::initializer_list<std::string_view> heads) : out_(out) {
    out_ += "<div class=\"wide\"><table><thead><tr>";
    for (const std::string_view head : heads) out_.append("<th>").append(EscapeHtml(head)).append("</th>");
    out_ += "</tr></thead><tbody>\n";
  }
  ~Table() { out_ += "</tbody></table></div>\n"; }
  Table& Row() {
    out_ += "<tr>";
    return *this;
  }
  Table& Cell(std::string_view text, std::string_view style = "") {
    out_ += style.empty() ? "<td>" : "<td class=\"" + std::string(style) + "\">";
    out_.append(EscapeHtml(text)).append("</td>");
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

// Notes how many rows of a table were left out, if any.
void AddOmittedNote(std::string& out, std::size_t shown, std::size_t all) {
  if (shown < all) {
    out += "<p class=\"soft\">" + std::to_string(all - shown) +
           " more are left out here; <code>--format json</code> holds all.</p>\n";
  }
}

void AddSummary(const FleetTimeline& fleet, std::string& out) {
  out += "<h1>What happened</h1>\n<div class=\"what" + std::string(fleet.incidents.empty() ? " calm" : "") +
         "\"><ul>\n";
  for (const std::string& sentence : fleet.sentences) out += "<li>" + EscapeHtml(sentence) + "</li>\n";
  out += "</ul></div>\n<div class=\"figures\">";
  const auto figure = [&](double share, std::string_view label) {
    out += "<div><b>" + FormatPercent(share) + "</b>" + EscapeHtml(label) + "</div>";
  };
  figure(fleet.ServiceFigure(), "service");
  figure(fleet.whole_share, "whole run (65%)");
  figure(fleet.worst_10s_share, "worst 10 s (15%)");
  figure(fleet.worst_class_share, "worst class (20%)");
  out += "<div><b>" + std::to_string(fleet.total.received) + "</b>requests</div>";
  out += "<div><b>" + std::to_string(fleet.incidents.size()) + "</b>incidents</div></div>\n";
}

void AddIncidents(const FleetTimeline& fleet, std::string& out) {
  if (fleet.incidents.empty()) return;
  out += "<h2>Incidents and what came before them</h2>\n";
  for (const Incident& incident : fleet.incidents) {
    out += "<p><b>" + ClockText(incident.from) + " to " + ClockText(incident.to) +
           "</b>: the share fell to <span class=\"bad\">" + FormatPercent(incident.worst_share) +
           "</span>; " + FormatNumber(incident.missed_weight, 1) + " of worth was not earned in time.</p>\n";
    Table table(out, {"time", "±", "candidate", "evidence"});
    for (const Cause& cause : incident.causes) {
      table.Row()
          .Cell(ClockText(cause.at))
          .Cell(FormatSeconds(cause.uncertainty))
          .Cell(cause.name)
          .Cell(cause.evidence, "text")
          .End();
    }
  }
}

void AddService(const FleetTimeline& fleet, const std::vector<TimeBucket>& buckets, Micros width,
                std::string& out) {
  out +=
      "<h2>Service and worth by class</h2>\n<div class=\"chart\"><canvas id=\"share\"></canvas></div>\n"
      "<div class=\"chart\"><canvas id=\"worth\"></canvas></div>\n";
  {
    Table table(out, {"class", "came", "repeats", "asked", "earned", "share", "in time", "stale", "late",
                      "broken", "refused", "failed", "overdue", "left", "lost"});
    const auto row = [&](const Tally& tally) {
      using record::RequestOutcome;
      const auto count = [&](RequestOutcome ending) { return tally.ended[static_cast<std::size_t>(ending)]; };
      table.Row().Cell(tally.name).Cell(std::to_string(tally.received)).Cell(std::to_string(tally.repeats));
      table.Cell(FormatNumber(tally.requested_weight, 1))
          .Cell(FormatNumber(tally.earned_weight, 1))
          .Cell(FormatPercent(tally.EarnedShare()));
      for (const std::uint64_t number :
           {count(RequestOutcome::kInTime), count(RequestOutcome::kStale),
            count(RequestOutcome::kLate) + count(RequestOutcome::kLateStale),
            count(RequestOutcome::kTruncated), count(RequestOutcome::kRejected),
            count(RequestOutcome::kFailed), count(RequestOutcome::kDeadlineExceeded),
            count(RequestOutcome::kClientDisconnected), tally.lost}) {
        table.Cell(std::to_string(number));
      }
      table.End();
    };
    for (const Tally& tally : fleet.classes) row(tally);
    row(fleet.total);
  }
  out += "<details><summary>Every " + std::to_string(width.count() / 1'000'000) + " s by class</summary>\n";
  {
    Table table(out, {"time", "class", "asked", "earned", "share", "refused", "failed"});
    for (const TimeBucket& bucket : buckets) {
      for (std::size_t c = 0; c < bucket.requested_weight.size(); ++c) {
        if (bucket.requested_weight[c] <= 0) continue;
        table.Row()
            .Cell(ClockText(bucket.at).substr(0, 8))
            .Cell(fleet.classes[c].name)
            .Cell(FormatNumber(bucket.requested_weight[c], 1));
        table.Cell(FormatNumber(bucket.earned_weight[c], 1))
            .Cell(FormatPercent(bucket.earned_weight[c] / bucket.requested_weight[c]));
        table.Cell(std::to_string(bucket.refused[c])).Cell(std::to_string(bucket.failed[c])).End();
      }
    }
  }
  out +=
      "</details>\n<h2>Latency of what was served</h2>\n<div class=\"chart\"><canvas "
      "id=\"latency\"></canvas></div>\n<details><summary>Every 10 s by class</summary>\n";
  {
    Table table(out, {"time", "class", "p50, ms", "p99, ms"});
    for (const ClassLatency& latency : fleet.latency) {
      if (latency.class_id >= fleet.classes.size()) continue;
      table.Row().Cell(ClockText(latency.at).substr(0, 8)).Cell(fleet.classes[latency.class_id].name);
      table.Cell(FormatNumber(Millis(latency.p50), 1)).Cell(FormatNumber(Millis(latency.p99), 1)).End();
    }
  }
  out += "</details>\n";
}

void AddServers(const FleetTimeline& fleet, std::string& out) {
  out +=
      "<h2>Servers</h2>\n<p class=\"key soft\">as told:<i class=\"up\"></i>up<i "
      "class=\"draining\"></i>draining<i class=\"gone\"></i>gone</p>\n"
      "<div class=\"chart\"><canvas id=\"load\"></canvas></div>\n";
  const double span = std::max(1.0, static_cast<double>((fleet.to - fleet.from).count()));
  const auto percent_at = [&](Micros at) {
    return std::clamp(100.0 * static_cast<double>((at - fleet.from).count()) / span, 0.0, 100.0);
  };
  std::size_t shown = 0;
  {
    Table table(out,
                {"server", "kind", "zone", "attempts", "wrong", "turned away", "state over time", "changes"});
    for (const ServerTimeline& server : fleet.servers) {
      if (shown == kMaxServerRows) break;
      ++shown;
      std::string bands = "<div class=\"band\">", changes;
      for (const auto& band : server.bands) {
        const double from = percent_at(band.from);
        bands += "<i class=\"" + std::string(record::Name(band.state)) +
                 "\" style=\"left:" + FormatNumber(from, 2) +
                 "%;width:" + FormatNumber(std::max(0.2, percent_at(band.to) - from), 2) + "%\"></i>";
        if (changes.size() < 400) {
          changes += (changes.empty() ? "" : ", ") + ClockText(band.from) + " " + record::Name(band.state);
        }
      }
      table.Row().Cell(server.name).Cell(server.kind).Cell(server.zone).Cell(std::to_string(server.attempts));
      table.Cell(std::to_string(server.failed), server.failed > 0 ? "warn" : "")
          .Cell(std::to_string(server.rejected));
      table.Raw(bands + "</div>").Cell(changes, "text").End();
    }
  }
  AddOmittedNote(out, shown, fleet.servers.size());
}

void AddDrainsAndPurges(const FleetTimeline& fleet, std::string& out) {
  if (!fleet.drains.empty()) {
    out +=
        "<h2>Drains: from the first word to the last request sent</h2>\n<p class=\"soft\">Nothing may go out "
        "later than 500 ms after the first word.</p>\n";
    {
      Table table(out, {"told", "server", "instance", "sent after", "last, ms after", ""});
      for (std::size_t i = 0; i < std::min(kMaxRows, fleet.drains.size()); ++i) {
        const DrainOutcome& drain = fleet.drains[i];
        table.Row()
            .Cell(ClockText(drain.received_at))
            .Cell(drain.server)
            .Cell(drain.instance)
            .Cell(std::to_string(drain.sent_after));
        table.Cell(drain.sent_after > 0 ? FormatNumber(Millis(drain.last_sent_after), 1) : "-")
            .Cell(drain.within_limit ? "kept" : "too late", drain.within_limit ? "good" : "bad")
            .End();
      }
    }
    AddOmittedNote(out, kMaxRows, fleet.drains.size());
  }
  if (!fleet.purges.empty()) {
    out +=
        "<h2>Purges: the last answer by an older copy</h2>\n<p class=\"soft\">Nothing sent later than 1 s "
        "after the word may be answered by a copy from before it.</p>\n";
    {
      Table table(out, {"told", "purged", "instance", "older copies served", "last sent, ms after",
                        "last served, ms after", ""});
      for (std::size_t i = 0; i < std::min(kMaxRows, fleet.purges.size()); ++i) {
        const PurgeOutcome& purge = fleet.purges[i];
        table.Row()
            .Cell(ClockText(purge.received_at))
            .Cell(purge.subject)
            .Cell(purge.instance)
            .Cell(std::to_string(purge.older_copies_served));
        table.Cell(purge.older_copies_served > 0 ? FormatNumber(Millis(purge.last_sent_after), 1) : "-")
            .Cell(purge.older_copies_served > 0 ? FormatNumber(Millis(purge.last_served_after), 1) : "-");
        table.Cell(purge.within_limit ? "kept" : "too late", purge.within_limit ? "good" : "bad").End();
      }
    }
    AddOmittedNote(out, kMaxRows, fleet.purges.size());
  }
}

void AddInstances(const FleetTimeline& fleet, std::string& out) {
  constexpr std::array kEnds{"stopped", "stopped with requests open", "died", "records end here"};
  out += "<h2>Instances: lives and clocks</h2>\n";
  {
    Table table(out, {"instance", "first record", "last record", "end", "requests",
                      "clock, against the reference", "records dropped", "version"});
    for (const Instance& instance : fleet.instances) {
      const bool has_died = instance.end == Instance::End::kDied;
      table.Row()
          .Cell(instance.name)
          .Cell(ClockText(instance.from))
          .Cell(ClockText(instance.to))
          .Cell(kEnds[static_cast<std::size_t>(instance.end)], has_died ? "bad" : "");
      table.Cell(std::to_string(instance.received));
      table.Cell(instance.is_reference ? "the reference"
                 : !instance.offset    ? "not known: nothing links it to the others"
                                       : FormatNumber(Millis(instance.offset->Midpoint()), 0) + " ms ± " +
                                          FormatNumber(Millis(instance.offset->Uncertainty()), 0));
      table.Cell(std::to_string(instance.dropped_records)).Cell(instance.version).End();
    }
  }
  for (const std::string& evidence : fleet.contradictions)
    out += "<p class=\"warn\">Impossible: " + EscapeHtml(evidence) + ".</p>\n";
}

void AddEventsAndRequests(const FleetTimeline& fleet, std::string& out) {
  out += "<h2>Events</h2>\n";
  {
    Table table(out, {"time", "±", "kind", "what", "heard by"});
    for (std::size_t i = 0; i < std::min(kMaxRows, fleet.events.size()); ++i) {
      const Event& event = fleet.events[i];
      std::string received_by;
      for (const std::string& name : event.received_by)
        received_by += (received_by.empty() ? "" : ", ") + name;
      if (event.received_by.size() > 1)
        received_by += ", the last " + FormatSeconds(event.last_received_after) + " later";
      table.Row()
          .Cell(ClockText(event.at))
          .Cell(event.uncertainty > Micros{0} ? FormatSeconds(event.uncertainty) : "")
          .Cell(Name(event.kind));
      table.Cell(event.text, "text").Cell(received_by, "text").End();
    }
  }
  AddOmittedNote(out, kMaxRows, fleet.events.size());
  if (!fleet.worst_requests.empty()) {
    out += "<h2>The worst requests</h2>\n";
    for (const WorstRequest& request : fleet.worst_requests) {
      wire::Record record;
      *record.mutable_trace() = request.trace;
      const Json trace = record::ToJson(*request.dictionary, request.at, record);
      out += "<details><summary>" + ClockText(request.at) + " " + EscapeHtml(request.instance) +
             ", request " + std::to_string(request.trace.request()) + ": " +
             EscapeHtml(request.dictionary->ClassName(request.trace.class_id())) + ", " +
             record::Name(static_cast<record::RequestOutcome>(request.trace.verdict())) + " after " +
             FormatNumber(request.trace.took_us() / 1000.0, 1) + " ms, " +
             std::to_string(request.trace.attempts_size()) + " attempts</summary>\n";
      {
        Table table(out, {"sent, ms", "server", "source", "outcome", "took, ms", "note", "fill, ms"});
        for (const Json& attempt : trace.at("attempts")) {
          const auto text = [&](const char* key) {
            return attempt.contains(key) ? attempt.at(key).get<std::string>() : "-";
          };
          table.Row()
              .Cell(FormatNumber(attempt.at("sent_ms").get<double>(), 1))
              .Cell(text("server"))
              .Cell(text("source"))
              .Cell(text("outcome"));
          table.Cell(FormatNumber(attempt.at("took_ms").get<double>(), 1)).Cell(text("note"));
          table
              .Cell(attempt.contains("fill_wait_ms")
                        ? FormatNumber(attempt.at("fill_wait_ms").get<double>(), 1)
                        : "-")
              .End();
        }
      }
      out += "</details>\n";
    }
  }
  if (!fleet.read_errors.empty()) {
    out += "<h2>What could not be read</h2>\n<ul>\n";
    for (std::size_t i = 0; i < std::min<std::size_t>(200, fleet.read_errors.size()); ++i)
      out += "<li>" + EscapeHtml(fleet.read_errors[i]) + "</li>\n";
    out += "</ul>\n";
  }
}

// The data of the charts, with times in milliseconds.
Json ChartData(const FleetTimeline& fleet, const std::vector<TimeBucket>& buckets, Micros width) {
  const auto ms = [](Micros at) { return at.count() / 1000; };
  Json out{{"from", ms(fleet.from)}, {"to", ms(fleet.to)}};
  out["incidents"] = Json::array();
  for (const Incident& incident : fleet.incidents)
    out["incidents"].push_back({ms(incident.from), ms(incident.to)});
  out["marks"] = Json::array();
  for (const Event& event : fleet.events) {
    const bool is_shown = event.kind == EventKind::kDied || event.kind == EventKind::kDraining ||
                          event.kind == EventKind::kGone || event.kind == EventKind::kPurgeWave ||
                          event.kind == EventKind::kCut || event.kind == EventKind::kStarted;
    if (is_shown && out["marks"].size() < kMaxMarks) {
      out["marks"].push_back(
          {ms(event.at), event.subject.empty() ? Name(event.kind) : event.subject + " " + Name(event.kind)});
    }
  }
  const double seconds = static_cast<double>(width.count()) / 1e6;
  out["share"] = out["worth"] = out["latency"] = out["load"] = Json::array();
  for (std::size_t c = 0; c < fleet.classes.size(); ++c) {
    Json share = Json::array(), requested_weight = Json::array(), earned_weight = Json::array(),
         p99 = Json::array();
    for (const TimeBucket& bucket : buckets) {
      const Json x = ms(bucket.at + width / 2);
      if (bucket.requested_weight[c] > 0)
        share.push_back({{"x", x}, {"y", bucket.earned_weight[c] / bucket.requested_weight[c]}});
      requested_weight.push_back({{"x", x}, {"y", bucket.requested_weight[c] / seconds}});
      earned_weight.push_back({{"x", x}, {"y", bucket.earned_weight[c] / seconds}});
    }
    for (const ClassLatency& latency : fleet.latency) {
      if (latency.class_id == c) p99.push_back({{"x", ms(latency.at)}, {"y", Millis(latency.p99)}});
    }
    const std::string& name = fleet.classes[c].name;
    out["share"].push_back({{"label", name}, {"points", share}});
    out["worth"].push_back({{"label", name + " asked"}, {"points", requested_weight}});
    out["worth"].push_back({{"label", name + " earned"}, {"points", earned_weight}});
    out["latency"].push_back({{"label", name + " p99"}, {"points", p99}});
  }
  for (std::size_t i = 0; i < std::min(kMaxChartServers, fleet.servers.size()); ++i) {
    Json points = Json::array();
    for (const auto& [at, counts] : fleet.servers[i].load) {
      points.push_back(
          {{"x", ms(at)}, {"y", counts.attempts / (static_cast<double>(kServerBucketWidth.count()) / 1e6)}});
    }
    out["load"].push_back({{"label", fleet.servers[i].name}, {"points", points}, {"stepped", true}});
  }
  return out;
}

}  // namespace

std::string ToHtml(const FleetTimeline& fleet) {
  Micros width{0};
  const std::vector<TimeBucket> buckets = TimeBuckets(fleet, kMaxBuckets, width);
  std::string body;
  AddSummary(fleet, body);
  AddIncidents(fleet, body);
  AddService(fleet, buckets, width, body);
  AddServers(fleet, body);
  AddDrainsAndPurges(fleet, body);
  AddInstances(fleet, body);
  AddEventsAndRequests(fleet, body);
  std::string data = ChartData(fleet, buckets, width).dump(-1, ' ', false, Json::error_handler_t::replace);
  // Escape "</" so that the data cannot end the script element that contains it.
  for (std::size_t at = 0; (at = data.find("</", at)) != std::string::npos; at += 3)
    data.replace(at, 2, "<\\/");
  std::string out;
  std::string_view rest = kReportPage;
  while (true) {
    const std::size_t mark = rest.find('@');
    out.append(rest.substr(0, mark));
    if (mark == std::string_view::npos) return out;
    rest.remove_prefix(mark);
    const auto replace = [&](std::string_view name, std::string_view text) {
      if (!rest.starts_with(name)) return false;
      out.append(text);
      rest.remove_prefix(name.size());
      return true;
    };
    if (replace("@TITLE@", "tinspan, " + FormatTime(fleet.from).substr(0, 19)) || replace("@BODY@", body) ||
        replace("@DATA@", data) || replace("@CHART@", kReportChart)) {
      continue;
    }
    out += '@';
    rest.remove_prefix(1);
  }
}

}  // namespace tinspan::report
