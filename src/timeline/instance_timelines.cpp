#include "timeline/instance_timelines.hpp"

#include <algorithm>
#include <numeric>

namespace tinspan::timeline {
namespace {

constexpr Micros kMinClockStep{50'000};  // a larger move between two heartbeats: the clock was set
constexpr std::size_t kMaxRouterLines = 2000;
constexpr std::size_t kMaxWorstRequests = 24;

std::int64_t BucketIndex(Micros at, Micros width) { return at.count() / width.count(); }

// Orders requests by how bad their ending was: broken, failed or overdue first, then refused, then the
// others; within each, by duration.
std::pair<int, std::uint32_t> Severity(const wire::Trace& trace) {
  using record::RequestOutcome;
  switch (static_cast<RequestOutcome>(trace.verdict())) {
    case RequestOutcome::kTruncated:
    case RequestOutcome::kFailed:
    case RequestOutcome::kDeadlineExceeded:
      return {2, trace.took_us()};
    case RequestOutcome::kRejected:
      return {1, trace.took_us()};
    default:
      return {0, trace.took_us()};
  }
}

}  // namespace

Micros Quantile(const LatencyCounts& counts, double share) {
  std::uint64_t sum = 0, passed = 0;
  for (const std::uint32_t count : counts) sum += count;
  if (sum == 0) return Micros{0};
  for (std::uint32_t bucket = 0; bucket < counts.size(); ++bucket) {
    passed += counts[bucket];
    if (static_cast<double>(passed) >= share * static_cast<double>(sum))
      return record::LatencyBucketLowerEdge(bucket + 1);
  }
  return Micros{0};
}

std::uint64_t ClassCounts::Ended() const {
  return std::accumulate(ended.begin(), ended.end(), std::uint64_t{0});
}

ClassCounts& ClassCounts::operator+=(const ClassCounts& other) {
  received += other.received;
  repeats += other.repeats;
  for (std::size_t i = 0; i < ended.size(); ++i) ended[i] += other.ended[i];
  return *this;
}

ServerKey InstanceTimelines::KeyOf(const Incarnation& incarnation, std::uint32_t number) {
  const wire::Server* const server = incarnation.dictionary.Server(number);
  return server == nullptr ? 0 : server->id();
}

void InstanceTimelines::OnRecord(const record::SegmentName& from, Micros, const wire::Record& record) {
  Incarnation& incarnation = incarnations_[{from.prefix, from.incarnation}];
  incarnation.dictionary.Apply(record);
  const wire::Header& header = incarnation.dictionary.Header();
  if (incarnation.record_count++ == 0) {
    incarnation.name = header.name();
    incarnation.number = from.incarnation;
    incarnation.start_wall = Micros{header.wall_us()};
    incarnation.start_mono = Micros{header.mono_us()};
  }
  const Micros at =
      incarnation.start_wall + Micros{header.mono_us() + record.at_us()} - incarnation.start_mono;
  if (incarnation.record_count == 1) incarnation.first_record_at = incarnation.last_record_at = at;
  incarnation.first_record_at = std::min(incarnation.first_record_at, at);
  incarnation.last_record_at = std::max(incarnation.last_record_at, at);
  switch (record.what_case()) {
    case wire::Record::kHeartbeat:
      return Apply(incarnation, at, record.heartbeat());
    case wire::Record::kLife:
      incarnation.lifecycle_events.push_back(
          {at, record.life().what(), record.life().signal(), record.life().open(), record.life().text()});
      incarnation.has_stopped = incarnation.has_stopped || record.life().what() == wire::Life::STOPPED ||
                                record.life().what() == wire::Life::CUT;
      return;
    case wire::Record::kServer: {
      const wire::Server& server = record.server();
      ServerInfo& info = servers_[server.id()];
      if (!server.name().empty()) info.name = server.name();
      if (!server.address().empty()) info.address = server.address();
      if (server.zone() < static_cast<std::uint32_t>(header.zones_size()))
        info.zone = header.zones(static_cast<int>(server.zone()));
      if (server.kind() < static_cast<std::uint32_t>(header.kinds_size()))
        info.kind = header.kinds(static_cast<int>(server.kind()));
      if (info.name.empty()) info.name = "server " + std::to_string(server.id() % 100'000);
      return;
    }
    case wire::Record::kMembers:
      return Apply(incarnation, at, record.members());
    case wire::Record::kPurge:
      incarnation.purges.push_back(
          {at, Micros{record.purge().made_us()}, record.purge().group(), record.purge().object()});
      return;
    case wire::Record::kWindow:
      return Apply(incarnation, at, record.window());
    case wire::Record::kTrace:
      return Apply(incarnation, at, record.trace());
    case wire::Record::kRouterLine:
      if (incarnation.router_lines.size() < kMaxRouterLines)
        incarnation.router_lines.push_back({at, record.router_line()});
      return;
    case wire::Record::kLost:
      incarnation.lost_connections.push_back({at, KeyOf(incarnation, record.lost().server()),
                                              record.lost().connections(), record.lost().open()});
      return;
    case wire::Record::kGap:
      incarnation.gaps.push_back(at);
      incarnation.dropped_records += record.gap().records();
      return;
    case wire::Record::kDrain:
      incarnation.drain_results.push_back({at - Micros{record.drain().told_us()},
                                           KeyOf(incarnation, record.drain().server()), record.drain().sent(),
                                           Micros{record.drain().last_us()}});
      return;
    case wire::Record::kPurgeHeld: {
      const wire::PurgeHeld& held = record.purge_held();
      incarnation.purge_results.push_back({at - Micros{held.told_us()}, held.group(), held.object(),
                                           held.served(), Micros{held.last_sent_us()},
                                           Micros{held.last_served_us()}});
      return;
    }
    case wire::Record::kHeader:
    case wire::Record::WHAT_NOT_SET:
      return;
  }
}

void InstanceTimelines::Apply(Incarnation& incarnation, Micros at, const wire::Heartbeat& heartbeat) {
  incarnation.last_heartbeat_at = at;
  incarnation.outstanding_attempts.clear();
  for (int i = 0; i + 1 < heartbeat.out_size(); i += 2)
    incarnation.outstanding_attempts[KeyOf(incarnation, heartbeat.out(i))] = heartbeat.out(i + 1);
  const Micros total_step = Micros{heartbeat.wall_us()} - at;
  Micros known_steps{0};
  for (const Incarnation::ClockStep& step : incarnation.clock_steps) known_steps += step.by;
  if (std::chrono::abs(total_step - known_steps) > kMinClockStep)
    incarnation.clock_steps.push_back({at, total_step - known_steps});
}

void InstanceTimelines::Apply(Incarnation& incarnation, Micros at, const wire::Members& members) {
  const bool first = std::none_of(
      incarnation.source_updates.begin(), incarnation.source_updates.end(),
      [&](const Incarnation::SourceUpdate& update) { return update.source == members.source(); });
  incarnation.source_updates.push_back({at, members.source(), members.version()});
  for (const wire::Member& member : members.members()) {
    const ServerKey key = KeyOf(incarnation, member.server());
    const auto state = static_cast<Availability>(std::min(member.state(), 2u));
    const auto [place, inserted] = incarnation.server_states.try_emplace(key, Availability::kRemoved);
    if (!inserted && place->second == state) continue;
    incarnation.server_changes.push_back({at, key, state, place->second, Micros{member.started_us()}, first});
    place->second = state;
  }
}

void InstanceTimelines::Apply(Incarnation& incarnation, Micros at, const wire::Window& window) {
  const auto classes = static_cast<std::size_t>(std::max(incarnation.dictionary.Header().classes_size(), 1));
  // The window covers the time before `at`: its middle decides the second that it counts in.
  std::vector<ClassCounts>& class_counts =
      incarnation.counts_by_second[BucketIndex(at - Micros{window.length_us() / 2}, Micros{1'000'000})];
  class_counts.resize(std::max(class_counts.size(), classes));
  for (int i = 0; i + 1 < window.came_size(); i += 2) {
    if (window.came(i) < classes) class_counts[window.came(i)].received += window.came(i + 1);
    incarnation.open_requests += window.came(i + 1);
  }
  for (int i = 0; i + 1 < window.repeats_size(); i += 2) {
    if (window.repeats(i) < classes) class_counts[window.repeats(i)].repeats += window.repeats(i + 1);
  }
  for (int i = 0; i + 1 < window.ended_size(); i += 2) {
    const record::Dictionary::CountKey key = incarnation.dictionary.SplitCountKey(window.ended(i));
    if (key.outcome < record::kRequestOutcomeCount)
      class_counts[key.class_id].ended[key.outcome] += window.ended(i + 1);
    incarnation.open_requests -= static_cast<std::int64_t>(window.ended(i + 1));
  }
  const std::int64_t bucket = BucketIndex(at, kServerBucketWidth);
  for (int i = 0; i + 1 < window.attempts_size(); i += 2) {
    const record::Dictionary::CountKey key = incarnation.dictionary.SplitCountKey(window.attempts(i));
    ServerCounts& server_counts = incarnation.server_counts[KeyOf(incarnation, key.server)][bucket];
    const auto count = static_cast<std::uint32_t>(window.attempts(i + 1));
    server_counts.attempts += count;
    switch (static_cast<Outcome>(key.outcome)) {
      case Outcome::kServed:
      case Outcome::kMiss:
      case Outcome::kCancelled:
        break;
      case Outcome::kRejected:
        server_counts.rejected += count;
        break;
      default:
        server_counts.failed += count;
    }
  }
  for (int i = 0; i + 1 < window.latency_size(); i += 2) {
    incarnation
        .latency[BucketIndex(at, kLatencyBucketWidth)][window.latency(i) / 256][window.latency(i) % 256] +=
        window.latency(i + 1);
  }
}

void InstanceTimelines::Apply(Incarnation& incarnation, Micros at, const wire::Trace& trace) {
  if (trace.sampled()) return;
  const auto is_more_severe = [](const Incarnation::NotableRequest& a, const Incarnation::NotableRequest& b) {
    return Severity(a.trace) > Severity(b.trace);
  };
  incarnation.worst_requests.push_back({at, trace});
  std::push_heap(incarnation.worst_requests.begin(), incarnation.worst_requests.end(),
                 is_more_severe);  // the least severe in front
  if (incarnation.worst_requests.size() <= kMaxWorstRequests) return;
  std::pop_heap(incarnation.worst_requests.begin(), incarnation.worst_requests.end(), is_more_severe);
  incarnation.worst_requests.pop_back();
}

}  // namespace tinspan::timeline
