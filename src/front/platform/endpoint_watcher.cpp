#include "front/platform/endpoint_watcher.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "front/platform/fields.hpp"
#include "log/log.hpp"

namespace tinspan::platform {
namespace {

constexpr net::Connection::Limits kLimits{.max_read_bytes = 8 << 20, .max_write_bytes = 4096};
// A line comes each second. Without one for so long the connection is dead, though nothing says so; the
// platform counts a change as known 4 s after it was sent, whether it was received or not.
constexpr Micros kSilenceTimeout{1'800'000};
constexpr Micros kConnectTimeout{400'000};
// Before the next connect: a discovery service that comes back is not called by all instances at one moment.
constexpr Micros kMinReconnectDelay{50'000};
constexpr Micros kMaxReconnectDelay{150'000};
// A reload that names the same address checks whether the connection is alive: a line comes each second.
constexpr Micros kReloadSilenceTimeout{1'200'000};
constexpr std::uint64_t kRandomStream = 0x6368616e6765ull;  // draws of its own from the configured seed

}  // namespace

EndpointWatcher::EndpointWatcher(net::EventLoop& loop, const config::Platform& config,
                                 UpstreamConnections& upstream, std::vector<core::Event>& events)
    : loop_(loop),
      config_(config),
      address_(config.changelog),
      upstream_(upstream),
      events_(events),
      parser_(config.site),
      random_(config.seed ^ kRandomStream) {
  ApplyConfiguredEvents();
  Connect();
}

EndpointWatcher::~EndpointWatcher() { loop_.Timers().Cancel(timer_); }

void EndpointWatcher::ApplyConfiguredEvents() {
  for (const std::string& json : config_.known) {
    try {
      Apply(json);
    } catch (const Malformed& error) {
      throw config::Error("known.results: " + error.field + ": expected " + error.expected);
    }
  }
  sequence_ = std::max(sequence_, config_.known_seq);
}

void EndpointWatcher::Follow(const net::Endpoint& address) {
  if (address == address_) {
    if (connection_ && connection_->IsOpen() &&
        net::Now() - std::max(last_line_at_, connection_->OpenedAt()) > kReloadSilenceTimeout)
      Reconnect();
    return;
  }
  address_ = address;
  const std::string address_text = address_.Text();
  log::Info("changelog.following", {{"address", address_text}, {"seq", sequence_}},
            "endpoint watch: following {} after event {}", address_text, sequence_);
  loop_.Timers().Cancel(timer_);
  if (has_received_line_ && connection_ && connection_->IsOpen()) {
    CloseConnection(previous_connection_);
    previous_connection_ = std::move(connection_);
  } else {
    CloseConnection(connection_);
  }
  Connect();
}

void EndpointWatcher::Connect() {
  has_received_line_ = false;
  connection_ = std::make_unique<net::Connection>(loop_, address_, *this, kLimits);
  RestartTimer();
}

// Freed at the round's end: it may be the one whose data is being handled.
void EndpointWatcher::CloseConnection(std::unique_ptr<net::Connection>& connection) {
  if (!connection) return;
  connection->Close();
  closed_.push_back(std::move(connection));
}

// One timer at a time: the connect timeout, the silence timeout, or the delay before the next connect.
void EndpointWatcher::RestartTimer() {
  loop_.Timers().Cancel(timer_);
  const Micros timeout = connection_->IsOpen() ? kSilenceTimeout : kConnectTimeout;
  timer_ = loop_.Timers().Set(net::Now() + timeout, [this](Micros) {
    log::Warn("changelog.silent", {{"seq", sequence_}},
              "endpoint watch: silent, connecting anew after event {}", sequence_);
    Reconnect();
  });
}

void EndpointWatcher::Reconnect() {
  loop_.Timers().Cancel(timer_);
  CloseConnection(connection_);
  std::uniform_int_distribution<Micros::rep> delay(kMinReconnectDelay.count(), kMaxReconnectDelay.count());
  timer_ = loop_.Timers().Set(net::Now() + Micros{delay(random_)}, [this](Micros) { Connect(); });
}

void EndpointWatcher::OnOpen(net::Connection& connection) {
  connection.Write("since " + std::to_string(sequence_) + "\n");
  RestartTimer();
}

void EndpointWatcher::OnClosed(net::Connection& connection) {
  if (&connection == previous_connection_.get()) {
    CloseConnection(previous_connection_);
  } else {
    Reconnect();
  }
}

void EndpointWatcher::OnData(net::Connection& connection) {
  const Sender sender = &connection == previous_connection_.get() ? Sender::kPrevious : Sender::kCurrent;
  const std::string_view unread = connection.Unread();
  std::size_t handled = 0;
  while (true) {
    const std::size_t line_end = unread.find('\n', handled);
    if (line_end == std::string_view::npos) break;
    std::string_view line = unread.substr(handled, line_end - handled);
    if (line.ends_with('\r')) line.remove_suffix(1);
    try {
      HandleLine(line, sender);
    } catch (const Malformed& error) {
      // The new connection gets the event again, complete.
      if (sender == Sender::kPrevious) return CloseConnection(previous_connection_);
      return HandleMalformed(error, line.starts_with('{'));
    }
    handled = line_end + 1;
  }
  // An incomplete line is no sign of life: a sender that stops in the middle of an event has stopped.
  if (handled == 0) return;
  connection.Consume(handled);
  if (sender == Sender::kCurrent) OnLinesHandled();
}

void EndpointWatcher::OnLinesHandled() {
  has_received_line_ = true;
  last_line_at_ = net::Now();
  CloseConnection(previous_connection_);
  RestartTimer();
}

// An event that was damaged on the way arrives complete when it is requested again. Malformed a second time
// it is skipped, so that one event cannot hold back all later ones for ever.
void EndpointWatcher::HandleMalformed(const Malformed& error, bool is_event) {
  const bool is_skipped = is_event && malformed_after_ == sequence_;
  log::Error(
      "changelog.unusable",
      {{"seq", sequence_}, {"field", error.field}, {"expected", error.expected}, {"passed_over", is_skipped}},
      "endpoint watch: after event {}: {}: expected {}; {}", sequence_, error.field, error.expected,
      is_skipped ? "skipped" : "reconnecting");
  if (is_event) malformed_after_ = sequence_;
  if (is_skipped) ++sequence_;
  Reconnect();
}

void EndpointWatcher::HandleLine(std::string_view line, Sender sender) {
  if (line.empty()) return;
  if (line.front() == '{') return Apply(line);
  if (sender == Sender::kPrevious) return;  // only the new connection says how far the sequence has got
  const auto last_sequence = ReadNumber<std::uint64_t>(line);
  if (!last_sequence) throw Malformed{"line", "an event or the last number"};
  // Events up to that number would have arrived by now: something was lost.
  if (*last_sequence > sequence_) throw Malformed{"last number", std::to_string(sequence_)};
}

void EndpointWatcher::Apply(std::string_view json) {
  // Parsed completely before any of it is applied: a malformed event is requested again, and until then none
  // of it has happened.
  std::optional<WatchEvent> event = parser_.Parse(json, sequence_);
  if (!event) return;
  if (auto* const list = std::get_if<EndpointListChange>(&event->change)) {
    ApplyEndpointList(std::move(*list));
  } else if (const auto* const purge = std::get_if<core::PurgeReceived>(&event->change)) {
    events_.emplace_back(*purge);
  }
  sequence_ = event->sequence;
}

void EndpointWatcher::ApplyEndpointList(EndpointListChange change) {
  core::EndpointsUpdated& update = change.update;
  if (update.kind == EndpointsEvent::Kind::kFull) {  // a server that a full list does not name has gone
    draining_.clear();
    std::unordered_set<ServerId> servers;
    for (const EndpointInfo& endpoint : update.endpoints) servers.insert(endpoint.id);
    upstream_.RetainOnly(servers);
  }
  for (std::size_t index = 0; index < update.endpoints.size(); ++index) {
    const EndpointInfo& endpoint = update.endpoints[index];
    const auto& address = change.addresses[index];
    if (address) upstream_.AddEndpoint(endpoint.id, {update.names[index].name, *address});
    if (endpoint.availability == Availability::kRemoved) upstream_.RemoveEndpoint(endpoint.id);
    if (endpoint.availability == Availability::kDraining) {
      draining_.insert(endpoint.id);
    } else {
      draining_.erase(endpoint.id);
    }
  }
  events_.emplace_back(std::move(update));
}

void EndpointWatcher::EndRound() { closed_.clear(); }

}  // namespace tinspan::platform
