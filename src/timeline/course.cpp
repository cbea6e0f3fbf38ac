#include "timeline/course.hpp"

#include <algorithm>
#include <numeric>

namespace tinspan::timeline {
namespace {

constexpr Micros kStepSeen{50'000};  // a wall clock that moved by more than this between two beats was set
constexpr std::size_t kMostLines = 2000;
constexpr std::size_t kWorst = 24;

std::int64_t Bin(Micros at, Micros width) { return at.count() / width.count(); }

// The larger, the more it matters: what was begun and broke or failed before what was refused, before late.
std::pair<int, std::uint32_t> Weight(const wire::Trace& trace) {
  using record::Ending;
  switch (static_cast<Ending>(trace.verdict())) {
    case Ending::kBroken:
    case Ending::kFailed:
    case Ending::kOverdue:
      return {2, trace.took_us()};
    case Ending::kRefused:
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
    if (static_cast<double>(passed) >= share * static_cast<double>(sum)) return record::LatencyOf(bucket + 1);
  }
  return Micros{0};
}

std::uint64_t ClassCell::Ended() const {
  return std::accumulate(ended.begin(), ended.end(), std::uint64_t{0});
}

ClassCell& ClassCell::operator+=(const ClassCell& o) {
  came += o.came;
  repeats += o.repeats;
  for (std::size_t i = 0; i < ended.size(); ++i) ended[i] += o.ended[i];
  return *this;
}

ServerKey Course::KeyOf(const Life& life, std::uint32_t number) {
  const wire::Server* const server = life.book.Server(number);
  return server == nullptr ? 0 : server->id();
}

void Course::OnRecord(const record::SegmentName& from, Micros, const wire::Record& record) {
  Life& life = lives_[{from.prefix, from.incarnation}];
  life.book.Note(record);
  const wire::Header& header = life.book.Header();
  if (life.records++ == 0) {
    life.name = header.name();
    life.incarnation = from.incarnation;
    life.wall = Micros{header.wall_us()};
    life.mono = Micros{header.mono_us()};
  }
  const Micros at = life.wall + Micros{header.mono_us() + record.at_us()} - life.mono;
  if (life.records == 1) life.first = life.last = at;
  life.first = std::min(life.first, at);
  life.last = std::max(life.last, at);
  switch (record.what_case()) {
    case wire::Record::kHeartbeat:
      return Take(life, at, record.heartbeat());
    case wire::Record::kLife:
      life.turns.push_back(
          {at, record.life().what(), record.life().signal(), record.life().open(), record.life().text()});
      life.ended = life.ended || record.life().what() == wire::Life::STOPPED ||
                   record.life().what() == wire::Life::CUT;
      return;
    case wire::Record::kServer: {
      const wire::Server& server = record.server();
      ServerFacts& facts = servers_[server.id()];
      if (!server.name().empty()) facts.name = server.name();
      if (!server.address().empty()) facts.address = server.address();
      if (server.zone() < static_cast<std::uint32_t>(header.zones_size()))
        facts.zone = header.zones(static_cast<int>(server.zone()));
      if (server.kind() < static_cast<std::uint32_t>(header.kinds_size()))
        facts.kind = header.kinds(static_cast<int>(server.kind()));
      if (facts.name.empty()) facts.name = "server " + std::to_string(server.id() % 100'000);
      return;
    }
    case wire::Record::kMembers:
      return Take(life, at, record.members());
    case wire::Record::kPurge:
      life.purges.push_back(
          {at, Micros{record.purge().made_us()}, record.purge().group(), record.purge().object()});
      return;
    case wire::Record::kWindow:
      return Take(life, at, record.window());
    case wire::Record::kTrace:
      return Take(life, at, record.trace());
    case wire::Record::kRouterLine:
      if (life.lines.size() < kMostLines) life.lines.push_back({at, record.router_line()});
      return;
    case wire::Record::kLost:
      life.silences.push_back(
          {at, KeyOf(life, record.lost().server()), record.lost().connections(), record.lost().open()});
      return;
    case wire::Record::kGap:
      life.gaps.push_back(at);
      life.dropped += record.gap().records();
      return;
    case wire::Record::kDrain:
      life.drained.push_back({at - Micros{record.drain().told_us()}, KeyOf(life, record.drain().server()),
                              record.drain().sent(), Micros{record.drain().last_us()}});
      return;
    case wire::Record::kPurgeHeld: {
      const wire::PurgeHeld& held = record.purge_held();
      life.held.push_back({at - Micros{held.told_us()}, held.group(), held.object(), held.served(),
                           Micros{held.last_sent_us()}, Micros{held.last_served_us()}});
      return;
    }
    case wire::Record::kHeader:
    case wire::Record::WHAT_NOT_SET:
      return;
  }
}

void Course::Take(Life& life, Micros at, const wire::Heartbeat& beat) {
  life.beat = at;
  life.out.clear();
  for (int i = 0; i + 1 < beat.out_size(); i += 2) life.out[KeyOf(life, beat.out(i))] = beat.out(i + 1);
  const Micros moved = Micros{beat.wall_us()} - at;
  Micros before{0};
  for (const Life::Step& step : life.steps) before += step.by;
  if (std::chrono::abs(moved - before) > kStepSeen) life.steps.push_back({at, moved - before});
}

void Course::Take(Life& life, Micros at, const wire::Members& members) {
  const bool first = std::none_of(life.words.begin(), life.words.end(),
                                  [&](const Life::Word& word) { return word.source == members.source(); });
  life.words.push_back({at, members.source(), members.version()});
  for (const wire::Member& one : members.members()) {
    const ServerKey key = KeyOf(life, one.server());
    const auto state = static_cast<Availability>(std::min(one.state(), 2u));
    const auto [place, fresh] = life.states.try_emplace(key, Availability::kRemoved);
    if (!fresh && place->second == state) continue;
    life.changes.push_back({at, key, state, place->second, Micros{one.started_us()}, first});
    place->second = state;
  }
}

void Course::Take(Life& life, Micros at, const wire::Window& window) {
  const auto classes = static_cast<std::size_t>(std::max(life.book.Header().classes_size(), 1));
  // What ended in it ended before its end.
  std::vector<ClassCell>& cells = life.seconds[Bin(at - Micros{window.length_us() / 2}, Micros{1'000'000})];
  cells.resize(std::max(cells.size(), classes));
  for (int i = 0; i + 1 < window.came_size(); i += 2) {
    if (window.came(i) < classes) cells[window.came(i)].came += window.came(i + 1);
    life.open += window.came(i + 1);
  }
  for (int i = 0; i + 1 < window.repeats_size(); i += 2) {
    if (window.repeats(i) < classes) cells[window.repeats(i)].repeats += window.repeats(i + 1);
  }
  for (int i = 0; i + 1 < window.ended_size(); i += 2) {
    const record::Book::Key key = life.book.Split(window.ended(i));
    if (key.what < record::kEndings) cells[key.class_id].ended[key.what] += window.ended(i + 1);
    life.open -= static_cast<std::int64_t>(window.ended(i + 1));
  }
  const std::int64_t bin = Bin(at, kServerBin);
  for (int i = 0; i + 1 < window.attempts_size(); i += 2) {
    const record::Book::Key key = life.book.Split(window.attempts(i));
    ServerCell& cell = life.servers[KeyOf(life, key.server)][bin];
    const auto count = static_cast<std::uint32_t>(window.attempts(i + 1));
    cell.attempts += count;
    switch (static_cast<Outcome>(key.what)) {
      case Outcome::kServed:
      case Outcome::kMiss:
      case Outcome::kCancelled:
        break;
      case Outcome::kRejected:
        cell.full += count;
        break;
      default:
        cell.bad += count;
    }
  }
  for (int i = 0; i + 1 < window.latency_size(); i += 2) {
    life.latency[Bin(at, kLatencyBin)][window.latency(i) / 256][window.latency(i) % 256] +=
        window.latency(i + 1);
  }
}

void Course::Take(Life& life, Micros at, const wire::Trace& trace) {
  if (trace.sampled()) return;
  const auto lighter = [](const Life::Bad& a, const Life::Bad& b) {
    return Weight(a.trace) > Weight(b.trace);
  };
  life.worst.push_back({at, trace});
  std::push_heap(life.worst.begin(), life.worst.end(), lighter);  // the lightest in front
  if (life.worst.size() <= kWorst) return;
  std::pop_heap(life.worst.begin(), life.worst.end(), lighter);
  life.worst.pop_back();
}

}  // namespace tinspan::timeline
