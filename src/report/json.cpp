#include "record/json.hpp"

#include <algorithm>

#include "report/report.hpp"
#include "setup/time_text.hpp"

namespace tinspan::report {
namespace {

using Json = nlohmann::ordered_json;
using namespace timeline;

constexpr std::size_t kMostBins = 600;

double Millis(Micros time) { return static_cast<double>(time.count()) / 1000; }

Json Of(const Tally& tally) {
  Json ended = Json::object();
  for (std::uint32_t e = 0; e < record::kEndings; ++e) {
    if (tally.ended[e] > 0) ended[record::Name(static_cast<record::Ending>(e))] = tally.ended[e];
  }
  return {{"name", tally.name},   {"came", tally.came},     {"repeats", tally.repeats}, {"lost", tally.lost},
          {"asked", tally.asked}, {"earned", tally.earned}, {"share", tally.Share()},   {"ended", ended}};
}

Json Of(const Instance& one) {
  constexpr std::array kEnds{"stopped", "cut", "died", "open"};
  Json out{{"name", one.name},          {"started", TimeText(Micros{one.incarnation})},
           {"version", one.version},    {"from", TimeText(one.from)},
           {"to", TimeText(one.to)},    {"end", kEnds[static_cast<std::size_t>(one.end)]},
           {"came", one.came},          {"dropped_records", one.dropped},
           {"reference", one.reference}};
  if (one.offset) {
    out["offset_ms"] = {{"least", Millis(one.offset->least)}, {"most", Millis(one.offset->most)}};
  } else {
    out["offset_ms"] = nullptr;
  }
  return out;
}

}  // namespace

std::vector<Bin> Bins(const Story& story, std::size_t most, Micros& width) {
  constexpr std::array<std::int64_t, 9> kWidths{1, 2, 5, 10, 15, 30, 60, 300, 3600};
  std::int64_t seconds = kWidths.back();
  for (const std::int64_t one : kWidths) {
    if (story.points.size() <= most * static_cast<std::size_t>(one)) {
      seconds = one;
      break;
    }
  }
  width = Micros{seconds * 1'000'000};
  std::vector<Bin> out;
  for (const Point& point : story.points) {
    const Micros at = point.at / width * width;
    if (out.empty() || out.back().at != at) {
      out.push_back({at, std::vector<double>(point.asked.size()), std::vector<double>(point.asked.size()),
                     std::vector<std::uint64_t>(point.asked.size()),
                     std::vector<std::uint64_t>(point.asked.size())});
    }
    Bin& bin = out.back();
    for (std::size_t c = 0; c < point.asked.size(); ++c) {
      bin.asked[c] += point.asked[c];
      bin.earned[c] += point.earned[c];
      bin.refused[c] += point.refused[c];
      bin.bad[c] += point.bad[c];
    }
  }
  return out;
}

Json ToJson(const Story& story) {
  Json out;
  out["schema"] = "tinspan-report-1";
  out["from"] = TimeText(story.from);
  out["to"] = TimeText(story.to);
  out["sentences"] = story.sentences;
  out["service"] = {{"figure", story.Service()},        {"whole", story.whole},
                    {"worst_10s", story.worst_ten},     {"worst_10s_at", TimeText(story.worst_ten_at)},
                    {"worst_class", story.worst_class}, {"usual", story.usual}};
  out["all"] = Of(story.all);
  out["classes"] = Json::array();
  for (const Tally& tally : story.classes) out["classes"].push_back(Of(tally));
  out["instances"] = Json::array();
  for (const Instance& one : story.instances) out["instances"].push_back(Of(one));
  out["impossible"] = story.impossible;
  out["incidents"] = Json::array();
  for (const Incident& one : story.incidents) {
    Json causes = Json::array();
    for (const Cause& cause : one.causes) {
      causes.push_back({{"at", TimeText(cause.at)},
                        {"uncertain_ms", Millis(cause.uncertain)},
                        {"what", cause.what},
                        {"evidence", cause.evidence}});
    }
    out["incidents"].push_back({{"from", TimeText(one.from)},
                                {"to", TimeText(one.to)},
                                {"worst_share", one.worst},
                                {"missed", one.missed},
                                {"causes", causes}});
  }
  out["events"] = Json::array();
  for (const Event& one : story.events) {
    Json event{{"at", TimeText(one.at)},
               {"uncertain_ms", Millis(one.uncertain)},
               {"kind", Name(one.kind)},
               {"who", one.who},
               {"text", one.text}};
    if (!one.heard.empty()) event["heard"] = one.heard;
    if (one.heard.size() > 1) event["last_heard_ms"] = Millis(one.last_heard);
    out["events"].push_back(std::move(event));
  }
  Micros width{0};
  const std::vector<Bin> bins = Bins(story, kMostBins, width);
  out["bin_ms"] = Millis(width);
  out["bins"] = Json::array();
  for (const Bin& bin : bins) {
    out["bins"].push_back({{"at", TimeText(bin.at)},
                           {"asked", bin.asked},
                           {"earned", bin.earned},
                           {"refused", bin.refused},
                           {"bad", bin.bad}});
  }
  out["latency"] = Json::array();
  for (const Latency& one : story.latency) {
    out["latency"].push_back({{"at", TimeText(one.at)},
                              {"class", one.class_id},
                              {"p50_ms", Millis(one.p50)},
                              {"p99_ms", Millis(one.p99)}});
  }
  out["servers"] = Json::array();
  for (const ServerStory& one : story.servers) {
    Json bands = Json::array(), load = Json::array();
    for (const auto& band : one.bands) {
      bands.push_back(
          {{"from", TimeText(band.from)}, {"to", TimeText(band.to)}, {"state", record::Name(band.state)}});
    }
    for (const auto& [at, cell] : one.load)
      load.push_back({TimeText(at), cell.attempts, cell.bad, cell.full});
    out["servers"].push_back({{"name", one.name},
                              {"address", one.address},
                              {"zone", one.zone},
                              {"kind", one.kind},
                              {"attempts", one.attempts},
                              {"bad", one.bad},
                              {"full", one.full},
                              {"bands", bands},
                              {"load", load}});
  }
  out["drains"] = Json::array();
  for (const DrainLine& one : story.drains) {
    out["drains"].push_back({{"server", one.server},
                             {"instance", one.instance},
                             {"told", TimeText(one.told)},
                             {"sent_after", one.sent},
                             {"last_after_ms", Millis(one.last)},
                             {"kept", one.kept}});
  }
  out["purges"] = Json::array();
  for (const PurgeLine& one : story.purges) {
    out["purges"].push_back({{"what", one.what},
                             {"instance", one.instance},
                             {"told", TimeText(one.told)},
                             {"served_older", one.served},
                             {"last_sent_after_ms", Millis(one.last_sent)},
                             {"last_served_after_ms", Millis(one.last_served)},
                             {"kept", one.kept}});
  }
  out["worst"] = Json::array();
  for (const WorstLine& one : story.worst) {
    wire::Record record;
    *record.mutable_trace() = one.trace;
    Json trace = record::ToJson(*one.book, one.at, record);
    trace["instance"] = one.instance;
    out["worst"].push_back(std::move(trace));
  }
  out["troubles"] = story.troubles;
  return out;
}

}  // namespace tinspan::report
