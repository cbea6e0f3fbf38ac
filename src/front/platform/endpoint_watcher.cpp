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
// The discovery service sends a line every second. A connection without one for this long is considered dead
// even if no error is reported. The platform considers a change known to every instance 4 s after it was
// sent, whether or not it was received.
constexpr Micros kSilenceTimeout{1'800'000};
constexpr Micros kConnectTimeout{400'000};
// The delay before a reconnect is random, so that not all instances connect at the same moment to a discovery
// service that has restarted.
constexpr Micros kMinReconnectDelay{50'000};
constexpr Micros kMaxReconnectDelay{150'000};
// A reload with the same address reconnects if there was no line for this long; a line is due every second.
constexpr Micros kReloadSilenceTimeout{1'200'000};
// Combined with the configured seed, so that other users of that seed draw different random numbers.
constexpr std::uint64_t kSeedSalt = 0x6368616e6765ull;

}  // namespace

EndpointWatcher::EndpointWatcher(net::EventLoop& loop, const config::Platform& config,
                                 UpstreamConnections& upstream, std::vector<core::Event>& events)
    : loop_(loop),
      config_(config),
      address_(config.watch_address),
      upstream_(upstream),
      events_(events),
      parser_(config.site),
      random_(config.seed ^ kSeedSalt) {
  ApplyConfiguredEvents();
  Connect();
}

EndpointWatcher::~EndpointWatcher() { loop_.Timers().Cancel(timer_); }

void EndpointWatcher::ApplyConfiguredEvents() {
  for (const std::string& json : config_.initial_events) {
    try {
      Apply(json);
    } catch (const Malformed& error) {
      throw config::Error("known.results: " + error.field + ": expected " + error.expected);
    }
  }
  last_sequence_ = std::max(last_sequence_, config_.initial_sequence);
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
  log::Info("changelog.following", {{"address", address_text}, {"seq", last_sequence_}},
            "endpoint watch: following {} after event {}", address_text, last_sequence_);
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

// The connection is freed at the end of the round, since its data may be in use now.
void EndpointWatcher::CloseConnection(std::unique_ptr<net::Connection>& connection) {
  if (!connection) return;
  connection->Close();
  closed_.push_back(std::move(connection));
}

// Restarts the connect timeout or the silence timeout. The delay before a reconnect uses the same timer.
void EndpointWatcher::RestartTimer() {
  loop_.Timers().Cancel(timer_);
  const Micros timeout = connection_->IsOpen() ? kSilenceTimeout : kConnectTimeout;
  timer_ = loop_.Timers().Set(net::Now() + timeout, [this](Micros) {
    log::Warn("changelog.silent", {{"seq", last_sequence_}},
              "endpoint watch: silent, connecting anew after event {}", last_sequence_);
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
  connection.Write("since " + std::to_string(last_sequence_) + "\n");
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
  const LineSource source = &connection == previous_connection_.get() ? LineSource::kPreviousConnection
                                                                      : LineSource::kCurrentConnection;
  const std::string_view unread = connection.Unread();
  std::size_t handled = 0;
  while (true) {
    const std::size_t line_end = unread.find('\n', handled);
    if (line_end == std::string_view::npos) break;
    std::string_view line = unread.substr(handled, line_end - handled);
    if (line.ends_with('\r')) line.remove_suffix(1);
    try {
      HandleLine(line, source);
    } catch (const Malformed& error) {
      // The current connection receives the event again, complete.
      if (source == LineSource::kPreviousConnection) return CloseConnection(previous_connection_);
      return HandleMalformed(error, line.starts_with('{'));
    }
    handled = line_end + 1;
  }
  // An incomplete line does not restart the silence timeout: a sender may stall in the middle of an event.
  if (handled == 0) return;
  connection.Consume(handled);
  if (source == LineSource::kCurrentConnection) OnLinesHandled();
}

void EndpointWatcher::OnLinesHandled() {
  has_received_line_ = true;
  last_line_at_ = net::Now();
  CloseConnection(previous_connection_);
  RestartTimer();
}

// Reconnects, which requests the event again: one that was damaged in transit then arrives intact. An event
// that is malformed a second time is skipped, so that it does not block all later events.
void EndpointWatcher::HandleMalformed(const Malformed& error, bool is_event) {
  const bool is_skipped = is_event && malformed_after_ == last_sequence_;
  log::Error("changelog.unusable",
             {{"seq", last_sequence_},
              {"field", error.field},
              {"expected", error.expected},
              {"passed_over", is_skipped}},
             "endpoint watch: malformed input after event {}: {}: expected {}; {}", last_sequence_,
             error.field, error.expected, is_skipped ? "skipped" : "reconnecting");
  if (is_event) malformed_after_ = last_sequence_;
  if (is_skipped) ++last_sequence_;
  Reconnect();
}

void EndpointWatcher::HandleLine(std::string_view line, LineSource source) {
  if (line.empty()) return;
  if (line.front() == '{') return Apply(line);
  // Any other line is the number of the last event; it is evaluated only on the current connection.
  if (source == LineSource::kPreviousConnection) return;
  const auto announced_sequence = ReadNumber<std::uint64_t>(line);
  if (!announced_sequence) throw Malformed{"line", "an event or the last sequence number"};
  // All events up to that number should have arrived before this line, so at least one was lost.
  if (*announced_sequence > last_sequence_) throw Malformed{"last number", std::to_string(last_sequence_)};
}

void EndpointWatcher::Apply(std::string_view json) {
  // The event is parsed completely before any part of it is applied, so that a malformed event, which is
  // requested again, has no effect.
  std::optional<WatchEvent> event = parser_.Parse(json, last_sequence_);
  if (!event) return;
  if (auto* const list = std::get_if<EndpointListChange>(&event->change)) {
    ApplyEndpointList(std::move(*list));
  } else if (const auto* const purge = std::get_if<core::PurgeReceived>(&event->change)) {
    events_.emplace_back(*purge);
  }
  last_sequence_ = event->sequence;
}

void EndpointWatcher::ApplyEndpointList(EndpointListChange change) {
  core::EndpointsUpdated& update = change.update;
  if (update.kind == EndpointsEvent::Kind::kFull) {  // a server that is not in a full list is removed
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
