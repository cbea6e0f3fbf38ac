#include "front/platform/endpoint_watcher.hpp"

#include <simdjson.h>

#include <utility>

#include "front/platform/fields.hpp"
#include "log/log.hpp"

namespace tinspan::platform {
namespace {

using simdjson::dom::element;

constexpr net::Connection::Limits kLimits{.max_read_bytes = 8 << 20, .max_write_bytes = 4096};
// A line comes each second. Without one for so long the connection is dead, though nothing says so; what the
// log has to tell counts as told 4 s after it stopped, whether it was heard or not.
constexpr Micros kSilence{1'800'000};
constexpr Micros kConnect{400'000};
// Before the next try: discovery that comes back is not called by all doormans in one moment.
constexpr Micros kAgainLeast{50'000};
constexpr Micros kAgainMost{150'000};
// A reload that names the same address asks whether the watch still lives: a line comes each second.
constexpr Micros kQuiet{1'200'000};

template <class Value>
Value Get(const element& in, std::string_view key) {
  Value value{};
  if (in[key].get(value) != simdjson::SUCCESS) throw Malformed{std::string(key), "a value of its type"};
  return value;
}
template <class Value>
Value GetOr(const element& in, std::string_view key, Value absent) {
  Value value{};
  return in[key].get(value) == simdjson::SUCCESS ? value : absent;
}

}  // namespace

EndpointWatcher::EndpointWatcher(net::EventLoop& loop, const config::Platform& config,
                                 UpstreamConnections& caches, std::vector<core::Event>& events)
    : loop_(loop),
      config_(config),
      at_(config.changelog),
      caches_(caches),
      events_(events),
      parser_(std::make_unique<simdjson::dom::parser>()),
      random_(config.seed ^ 0x6368616e6765ull) {  // its own stream of the told seed
  for (const std::string& one : config.known) {
    try {
      Apply(one);
    } catch (const Malformed& wrong) {
      throw config::Error("known.results: " + wrong.field + ": expected " + wrong.expected);
    }
  }
  seq_ = std::max(seq_, config.known_seq);
  Connect();
}

EndpointWatcher::~EndpointWatcher() { loop_.Timers().Cancel(timer_); }

void EndpointWatcher::Follow(const net::Endpoint& at) {
  if (at == at_) {
    if (connection_ && connection_->IsOpen() &&
        net::Now() - std::max(line_at_, connection_->OpenedAt()) > kQuiet)
      Reconnect();
    return;
  }
  at_ = at;
  const std::string to = at_.Text();
  log::Info("changelog.following", {{"address", to}, {"seq", seq_}},
            "change log: following {} after event {}", to, seq_);
  loop_.Timers().Cancel(timer_);
  if (spoke_ && connection_ && connection_->IsOpen()) {
    Drop(leaving_);
    leaving_ = std::move(connection_);
  } else {
    Drop(connection_);
  }
  Connect();
}

void EndpointWatcher::Connect() {
  spoke_ = false;
  connection_ = std::make_unique<net::Connection>(loop_, at_, *this, kLimits);
  Watch();
}

// Freed at the round's end: it may be the one that is being heard.
void EndpointWatcher::Drop(std::unique_ptr<net::Connection>& watch) {
  if (!watch) return;
  watch->Close();
  closed_.push_back(std::move(watch));
}

// One timer at a time: the connect's limit, the silence, or the wait before the next try.
void EndpointWatcher::Watch() {
  loop_.Timers().Cancel(timer_);
  const Micros wait = connection_->IsOpen() ? kSilence : kConnect;
  timer_ = loop_.Timers().Set(net::Now() + wait, [this](Micros) {
    log::Warn("changelog.silent", {{"seq", seq_}}, "change log: silent, connecting anew after event {}",
              seq_);
    Reconnect();
  });
}

void EndpointWatcher::Reconnect() {
  loop_.Timers().Cancel(timer_);
  Drop(connection_);
  std::uniform_int_distribution<Micros::rep> wait(kAgainLeast.count(), kAgainMost.count());
  timer_ = loop_.Timers().Set(net::Now() + Micros{wait(random_)}, [this](Micros) { Connect(); });
}

void EndpointWatcher::OnOpen(net::Connection& connection) {
  connection.Write("since " + std::to_string(seq_) + "\n");
  Watch();
}

void EndpointWatcher::OnClosed(net::Connection& connection) {
  &connection == leaving_.get() ? Drop(leaving_) : Reconnect();
}

void EndpointWatcher::OnData(net::Connection& connection) {
  const bool leaving = &connection == leaving_.get();
  const std::string_view unread = connection.Unread();
  std::size_t at = 0;
  for (std::size_t end; (end = unread.find('\n', at)) != std::string_view::npos; at = end + 1) {
    std::string_view line = unread.substr(at, end - at);
    if (line.ends_with('\r')) line.remove_suffix(1);
    try {
      Line(line, leaving);
    } catch (const Malformed& wrong) {
      if (leaving) return Drop(leaving_);  // the new watch is told of it whole
      return Unusable(wrong, line.starts_with('{'));
    }
  }
  if (at == 0) return;     // half a line is no sign of life: what stops in the middle of an event has stopped
  connection.Consume(at);  // nothing of it outlives this call
  if (leaving) return;
  spoke_ = true;
  line_at_ = net::Now();
  Drop(leaving_);
  Watch();
}

// What was spoilt on the way comes whole when asked for anew. Spoilt a second time it is passed over, so that
// one event cannot keep all later ones away for ever.
void EndpointWatcher::Unusable(const Malformed& wrong, bool event) {
  const bool again = event && stuck_ == seq_;
  log::Error("changelog.unusable",
             {{"seq", seq_}, {"field", wrong.field}, {"expected", wrong.expected}, {"passed_over", again}},
             "change log: after event {}: {}: expected {}; {}", seq_, wrong.field, wrong.expected,
             again ? "passed over" : "connecting anew");
  if (event) stuck_ = seq_;
  if (again) ++seq_;
  Reconnect();
}

void EndpointWatcher::Line(std::string_view line, bool leaving) {
  if (line.empty()) return;
  if (line.front() == '{') return Apply(line);
  if (leaving) return;  // how far it has got is for the new one to say
  const auto last = ReadNumber<std::uint64_t>(line);
  if (!last) throw Malformed{"line", "an event or the last number"};
  // Events before that number would have come by now: something was lost.
  if (*last > seq_) throw Malformed{"last number", std::to_string(seq_)};
}

void EndpointWatcher::Apply(std::string_view json) {
  element event;
  if (parser_->parse(json.data(), json.size()).get(event) != simdjson::SUCCESS) {
    throw Malformed{"event", "JSON"};
  }
  const auto seq = Get<std::uint64_t>(event, "seq");
  if (seq <= seq_) return;  // known already
  element part;
  if (event["fleet"].get(part) == simdjson::SUCCESS) {
    core::EndpointsUpdated told;
    told.source = "changelog";
    told.version = GetOr<std::uint64_t>(part, "version", 0);
    told.kind = GetOr(part, "full", false) ? EndpointsEvent::Kind::kFull : EndpointsEvent::Kind::kDelta;
    std::vector<std::optional<net::Endpoint>> endpoints;
    // Read whole before any of it holds: an event that breaks in the middle is asked for anew, and until then
    // nothing of it has been heard.
    for (const element one : Get<simdjson::dom::array>(part, "servers")) {
      // By the id: a new server may take the address of one that has gone.
      const auto name = Get<std::string_view>(one, "id");
      EndpointInfo member;
      member.id = HashName(name);
      member.weight = GetOr(one, "weight", 0.0);
      member.cell = static_cast<std::uint32_t>(GetOr<std::uint64_t>(one, "cell", 0));
      member.kind = KindId{PlaceOf(config_.site.kinds, Get<std::string_view>(one, "kind"), "kind")};
      member.zone = ZoneId{PlaceOf(config_.site.zones, Get<std::string_view>(one, "zone"), "zone")};
      member.started_at = Micros{GetOr<std::int64_t>(one, "started_ms", 0) * 1000};
      member.availability = Choose<Availability>(Get<std::string_view>(one, "state"), "state",
                                                 {{"up", Availability::kUp},
                                                  {"draining", Availability::kDraining},
                                                  {"removed", Availability::kRemoved}});
      const auto endpoint = net::Endpoint::Parse(GetOr<std::string_view>(one, "addr", ""));
      if (!endpoint && member.availability == Availability::kUp)
        throw Malformed{"addr", "an address and port"};
      told.endpoints.push_back(member);
      told.names.push_back({std::string(name), endpoint ? endpoint->Text() : std::string()});
      endpoints.push_back(endpoint);
    }
    if (told.kind == EndpointsEvent::Kind::kFull) {  // who is not named in a whole list has gone
      draining_.clear();
      std::unordered_set<ServerId> named;
      for (const EndpointInfo& member : told.endpoints) named.insert(member.id);
      caches_.ForsakeAllBut(named);
    }
    for (std::size_t i = 0; i < told.endpoints.size(); ++i) {
      const EndpointInfo& member = told.endpoints[i];
      if (endpoints[i]) caches_.Know(member.id, {told.names[i].name, *endpoints[i]});
      if (member.availability == Availability::kRemoved) caches_.Forsake(member.id);
      member.availability == Availability::kDraining ? static_cast<void>(draining_.insert(member.id))
                                                     : static_cast<void>(draining_.erase(member.id));
    }
    events_.push_back(std::move(told));
  } else if (event["invalidate"].get(part) == simdjson::SUCCESS) {
    core::PurgeReceived told;
    told.purged_at = Micros{Get<std::int64_t>(part, "time") * 1000};
    std::string_view object;
    if (part["object"].get(object) == simdjson::SUCCESS) {
      told.object = ParseObject(object, "object");
    } else {
      told.group = GroupId{Get<std::uint64_t>(part, "bucket")};
    }
    events_.push_back(told);
  }
  seq_ = seq;
}

void EndpointWatcher::EndRound() { closed_.clear(); }

}  // namespace tinspan::platform
