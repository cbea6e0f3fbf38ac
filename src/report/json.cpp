#include "record/json.hpp"

#include <algorithm>

#include "report/report.hpp"
#include "setup/time_text.hpp"

namespace tinspan::report {
namespace {

using Json = nlohmann::ordered_json;
using namespace timeline;

constexpr std::size_t kMaxBuckets = 600;

double Millis(Micros time) { return static_cast<double>(time.count()) / 1000; }

Json ToJson(const Tally& tally) {
  Json ended = Json::object();
  for (std::uint32_t e = 0; e < record::kRequestOutcomeCount; ++e) {
    if (tally.ended[e] > 0) ended[record::Name(static_cast<record::RequestOutcome>(e))] = tally.ended[e];
  }
  return {{"name", tally.name},
          {"came", tally.received},
          {"repeats", tally.repeats},
          {"lost", tally.lost},
          {"asked", tally.requested_weight},
          {"earned", tally.earned_weight},
          {"share", tally.EarnedShare()},
          {"ended", ended}};
}

Json ToJson(const Instance& instance) {
  constexpr std::array kEnds{"stopped", "cut", "died", "open"};
  Json out{{"name", instance.name},
           {"started", FormatTime(Micros{instance.incarnation})},
           {"version", instance.version},
           {"from", FormatTime(instance.from)},
           {"to", FormatTime(instance.to)},
           {"end", kEnds[static_cast<std::size_t>(instance.end)]},
           {"came", instance.received},
           {"dropped_records", instance.dropped_records},
           {"reference", instance.is_reference}};
  if (instance.offset) {
    out["offset_ms"] = {{"least", Millis(instance.offset->min)}, {"most", Millis(instance.offset->max)}};
  } else {
    out["offset_ms"] = nullptr;
  }
  return out;
}

}  // namespace

std::vector<TimeBucket> TimeBuckets(const FleetTimeline& fleet, std::size_t max_buckets, Micros& width) {
  constexpr std::array<std::int64_t, 9> kWidthSeconds{1, 2, 5, 10, 15, 30, 60, 300, 3600};
  std::int64_t seconds = kWidthSeconds.back();
  for (const std::int64_t candidate : kWidthSeconds) {
    if (fleet.points.size() <= max_buckets * static_cast<std::size_t>(candidate)) {
      seconds = candidate;
      break;
    }
  }
  width = Micros{seconds * 1'000'000};
  std::vector<TimeBucket> out;
  for (const ServicePoint& point : fleet.points) {
    const Micros at = point.at / width * width;
    if (out.empty() || out.back().at != at) {
      out.push_back({at, std::vector<double>(point.requested_weight.size()),
                     std::vector<double>(point.requested_weight.size()),
                     std::vector<std::uint64_t>(point.requested_weight.size()),
                     std::vector<std::uint64_t>(point.requested_weight.size())});
    }
    TimeBucket& bucket = out.back();
    for (std::size_t c = 0; c < point.requested_weight.size(); ++c) {
      bucket.requested_weight[c] += point.requested_weight[c];
      bucket.earned_weight[c] += point.earned_weight[c];
      bucket.refused[c] += point.refused[c];
      bucket.failed[c] += point.failed[c];
    }
  }
  return out;
}

Json ToJson(const FleetTimeline& fleet) {
  Json out;
  out["schema"] = "tinspan-report-1";
  out["from"] = FormatTime(fleet.from);
  out["to"] = FormatTime(fleet.to);
  out["sentences"] = fleet.sentences;
  out["service"] = {
      {"figure", fleet.ServiceFigure()},        {"whole", fleet.whole_share},
      {"worst_10s", fleet.worst_10s_share},     {"worst_10s_at", FormatTime(fleet.worst_10s_at)},
      {"worst_class", fleet.worst_class_share}, {"usual", fleet.median_share}};
  out["all"] = ToJson(fleet.total);
  out["classes"] = Json::array();
  for (const Tally& tally : fleet.classes) out["classes"].push_back(ToJson(tally));
  out["instances"] = Json::array();
  for (const Instance& instance : fleet.instances) out["instances"].push_back(ToJson(instance));
  out["impossible"] = fleet.contradictions;
  out["incidents"] = Json::array();
  for (const Incident& incident : fleet.incidents) {
    Json causes = Json::array();
    for (const Cause& cause : incident.causes) {
      causes.push_back({{"at", FormatTime(cause.at)},
                        {"uncertain_ms", Millis(cause.uncertainty)},
                        {"what", cause.name},
                        {"evidence", cause.evidence}});
    }
    out["incidents"].push_back({{"from", FormatTime(incident.from)},
                                {"to", FormatTime(incident.to)},
                                {"worst_share", incident.worst_share},
                                {"missed", incident.missed_weight},
                                {"causes", causes}});
  }
  out["events"] = Json::array();
  for (const Event& event : fleet.events) {
    Json entry{{"at", FormatTime(event.at)},
               {"uncertain_ms", Millis(event.uncertainty)},
               {"kind", Name(event.kind)},
               {"who", event.subject},
               {"text", event.text}};
    if (!event.received_by.empty()) entry["heard"] = event.received_by;
    if (event.received_by.size() > 1) entry["last_heard_ms"] = Millis(event.last_received_after);
    out["events"].push_back(std::move(entry));
  }
  Micros width{0};
  const std::vector<TimeBucket> buckets = TimeBuckets(fleet, kMaxBuckets, width);
  out["bin_ms"] = Millis(width);
  out["bins"] = Json::array();
  for (const TimeBucket& bucket : buckets) {
    out["bins"].push_back({{"at", FormatTime(bucket.at)},
                           {"asked", bucket.requested_weight},
                           {"earned", bucket.earned_weight},
                           {"refused", bucket.refused},
                           {"bad", bucket.failed}});
  }
  out["latency"] = Json::array();
  for (const ClassLatency& latency : fleet.latency) {
    out["latency"].push_back({{"at", FormatTime(latency.at)},
                              {"class", latency.class_id},
                              {"p50_ms", Millis(latency.p50)},
                              {"p99_ms", Millis(latency.p99)}});
  }
  out["servers"] = Json::array();
  for (const ServerTimeline& server : fleet.servers) {
    Json bands = Json::array(), load = Json::array();
    for (const auto& band : server.bands) {
      bands.push_back({{"from", FormatTime(band.from)},
                       {"to", FormatTime(band.to)},
                       {"state", record::Name(band.state)}});
    }
    for (const auto& [at, counts] : server.load)
      load.push_back({FormatTime(at), counts.attempts, counts.failed, counts.rejected});
    out["servers"].push_back({{"name", server.name},
                              {"address", server.address},
                              {"zone", server.zone},
                              {"kind", server.kind},
                              {"attempts", server.attempts},
                              {"bad", server.failed},
                              {"full", server.rejected},
                              {"bands", bands},
                              {"load", load}});
  }
  out["drains"] = Json::array();
  for (const DrainOutcome& drain : fleet.drains) {
    out["drains"].push_back({{"server", drain.server},
                             {"instance", drain.instance},
                             {"told", FormatTime(drain.received_at)},
                             {"sent_after", drain.sent_after},
                             {"last_after_ms", Millis(drain.last_sent_after)},
                             {"kept", drain.within_limit}});
  }
  out["purges"] = Json::array();
  for (const PurgeOutcome& purge : fleet.purges) {
    out["purges"].push_back({{"what", purge.subject},
                             {"instance", purge.instance},
                             {"told", FormatTime(purge.received_at)},
                             {"served_older", purge.older_copies_served},
                             {"last_sent_after_ms", Millis(purge.last_sent_after)},
                             {"last_served_after_ms", Millis(purge.last_served_after)},
                             {"kept", purge.within_limit}});
  }
  out["worst"] = Json::array();
  for (const WorstRequest& request : fleet.worst_requests) {
    wire::Record record;
    *record.mutable_trace() = request.trace;
    Json trace = record::ToJson(*request.dictionary, request.at, record);
    trace["instance"] = request.instance;
    out["worst"].push_back(std::move(trace));
  }
  out["troubles"] = fleet.read_errors;
  return out;
}

}  // namespace tinspan::report
