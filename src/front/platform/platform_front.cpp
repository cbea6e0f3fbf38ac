#include "front/platform/platform_front.hpp"

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <utility>
#include <variant>

#include "log/log.hpp"

namespace tinspan::platform {
namespace {

// Responses that are read from servers or wait for clients may take three eighths of the memory limit.
std::size_t MaxResponseBytes(const config::Limits& limits) { return limits.MemoryBytes() / 8 * 3; }

// No server is read while more than this share of the memory limit waits for clients.
constexpr std::size_t kBacklogShare = 4;

// Joins the names with commas. Returns "-" if there are none.
std::string JoinNames(const std::vector<std::string>& names) {
  std::string joined;
  for (const std::string& name : names) joined += (joined.empty() ? "" : ",") + name;
  return joined.empty() ? std::string("-") : joined;
}

std::string_view Name(core::CompletionStatus status) {
  switch (status) {
    case core::CompletionStatus::kServed:
      return "served";
    case core::CompletionStatus::kTruncated:
      return "truncated";
    case core::CompletionStatus::kRejected:
      return "rejected";
    case core::CompletionStatus::kFailed:
      return "failed";
  }
  return "unknown";
}

std::string_view Name(core::CompletionReason reason) {
  switch (reason) {
    case core::CompletionReason::kRouter:
      return "router";
    case core::CompletionReason::kDeadline:
      return "deadline";
    case core::CompletionReason::kDraining:
      return "draining";
  }
  return "unknown";
}

}  // namespace

PlatformFront::PlatformFront(net::EventLoop& loop, const config::Platform& config,
                             core::RequestCoordinator& coordinator, std::vector<core::Event>& events)
    : response_budget_(MaxResponseBytes(config.limits)),
      max_downstream_backlog_(config.limits.MemoryBytes() / kBacklogShare),
      loop_(loop),
      coordinator_(coordinator),
      site_(config.site),
      config_keys_(config.keys),
      longest_deadline_(config.longest_deadline),
      downstream_(loop, config, coordinator, response_budget_, events),
      upstream_(loop, config, coordinator, downstream_, response_budget_, events),
      endpoint_watcher_(loop, config, upstream_, events) {
  if (config.ops) {
    admin_listener_.emplace(
        loop, *config.ops, service_, [this] { return Statistics(); }, views_);
  }
}

void PlatformFront::SetAttachedServices(front::AttachedServices attached) {
  views_ = attached.views;
  upstream_.FailureLog().ReportTo(attached.on_failing_servers);
  attached_ = std::move(attached);
}

ops::Statistics PlatformFront::Statistics() const {
  ops::Statistics figures = counters_;
  figures.pending = downstream_.PendingCount();
  figures.members = upstream_.EndpointCount();
  figures.members_unavailable = endpoint_watcher_.DrainingCount();
  AddStats(figures);
  if (attached_.add_stats) attached_.add_stats(figures);
  return figures;
}

// Adds the counts of rejected and failed requests, closed connections and socket errors, each by reason, and
// the step of the wall clock.
void PlatformFront::AddStats(ops::Statistics& figures) const {
  const auto add = [&figures](std::string name, const char* type, std::uint64_t value) {
    figures.more.push_back({std::move(name), type, value});
  };
  add("rejected_draining_total", "counter", rejected_draining_count_);
  add("failed_deadline_total", "counter", failed_deadline_count_);
  add("clients", "gauge", downstream_.ConnectionCount());
  add("request_buffer_bytes", "gauge", downstream_.PartialMessageBytes());
  add("scheduled_tasks", "gauge", coordinator_.ScheduledTasks());
  add("remembered_executions", "gauge", coordinator_.RememberedExecutions());
  add("response_buffer_bytes", "gauge", response_budget_.UsedBytes());
  front::AddMemoryStatistics(downstream_.BufferSizes(), upstream_.BufferSizes(), figures);
  const ClientCloseCounts& ends = downstream_.CloseCounts();
  for (std::size_t reason = 0; reason < ends.size(); ++reason) {
    const std::string name(Name(static_cast<ClientCloseReason>(reason)));
    add("clients_ended_" + name + "_total", "counter", ends[reason]);
  }
  for (std::size_t kind = 1; kind < static_cast<std::size_t>(net::SocketErrorKind::kCount); ++kind) {
    const auto error = static_cast<net::SocketErrorKind>(kind);
    const std::string name(net::Name(error));
    add("socket_errors_" + name + "_total", "counter", loop_.SocketErrors().Count(error));
  }
  const net::Micros step = net::WallClockStep();
  add("wall_clock_step_ms", "gauge", static_cast<std::uint64_t>(std::abs(step.count()) / 1000));
}

void PlatformFront::Execute(Micros now, const core::Command& command) {
  if (const auto* const start = std::get_if<core::StartAttempt>(&command)) {
    ++counters_.upstream;
    const auto request = static_cast<std::uint64_t>(start->action.id);
    const auto server = static_cast<std::uint64_t>(start->action.server);
    log::Debug("attempt.started", {{"request", request}, {"attempt", start->attempt}, {"server", server}},
               "request {}: attempt {} to server {}", request, start->attempt, server);
    upstream_.Execute(now, *start);
  } else if (const auto* const abort = std::get_if<core::AbortAttempt>(&command)) {
    upstream_.Execute(now, *abort);
  } else if (const auto* const message = std::get_if<core::LogMessage>(&command)) {
    log::Info("router.line", {}, "router: {}", message->text);
  } else if (const auto* const complete = std::get_if<core::CompleteRequest>(&command)) {
    Complete(*complete);
  }  // ForwardResponse needs no action: this front forwards only complete responses
}

void PlatformFront::Complete(const core::CompleteRequest& command) {
  const auto request = static_cast<std::uint64_t>(command.id);
  log::Debug("request.completed",
             {{"request", request}, {"status", Name(command.status)}, {"reason", Name(command.reason)}},
             "request {}: {} ({})", request, Name(command.status), Name(command.reason));
  if (command.reason == core::CompletionReason::kDeadline) ++failed_deadline_count_;
  switch (command.status) {
    case core::CompletionStatus::kServed:
      ++counters_.completed;
      return Respond(command.id);
    case core::CompletionStatus::kRejected:
      ++counters_.rejected;
      if (command.reason == core::CompletionReason::kDraining) ++rejected_draining_count_;
      return downstream_.Reject(command.id, command.retry_after);
    default:
      ++counters_.failed;
      return downstream_.Fail(command.id);
  }
}

void PlatformFront::Respond(RequestId id) {
  const ServedResponse* const response = upstream_.FindResponse(id);
  if (response != nullptr) return downstream_.Respond(id, response->is_not_modified, response->body);
  log::Error("core.answer_without_bytes", {},
             "request completed as served, but its response is missing; responding with an error");
  downstream_.Fail(id);
}

void PlatformFront::Drain(const core::DrainTimetable& timetable) {
  if (attached_.on_drain) attached_.on_drain();
  service_.MarkStopping();
  downstream_.StartDrain(timetable);
}

bool PlatformFront::Reload() {
  try {
    config::Platform config = config::ReadPlatform();
    config::RequireKeysOf(config_keys_, config.keys);
    ReloadResult reloaded = MergeReloadedSettings(site_, config.site);
    const std::vector<std::string> added = reloaded.added;
    const std::vector<std::string> dropped = reloaded.dropped;
    if (reloaded.changed) ApplySettings(std::move(reloaded));
    endpoint_watcher_.Follow(config.watch_address);
    longest_deadline_ = std::min(longest_deadline_, config.longest_deadline);
    config_keys_ = std::move(config.keys);
    ++counters_.config_reloads;
    LogReload(added, dropped);
    return true;
  } catch (const std::exception& error) {  // config::Error, or std::invalid_argument of the decision module
    ++counters_.config_reload_errors;
    log::Error("config.refused", {{"reason", error.what()}},
               "configuration not read anew, the old one holds: {}", error.what());
    return false;
  }
}

void PlatformFront::ApplySettings(ReloadResult reloaded) {
  coordinator_.UpdateSettings(reloaded.site.settings);
  downstream_.SetClasses(reloaded.site.classes);
  site_ = std::move(reloaded.site);
}

void PlatformFront::LogReload(const std::vector<std::string>& added,
                              const std::vector<std::string>& dropped) const {
  const std::string added_names = JoinNames(added);
  const std::string dropped_names = JoinNames(dropped);
  log::Info("config.reloaded",
            {{"added", added_names}, {"dropped", dropped_names}, {"attempts", site_.settings.max_attempts}},
            "configuration read anew: classes added or changed {}, no longer listed {}, max attempts {}; "
            "endpoint watch address applied; other changes need a restart",
            added_names, dropped_names, site_.settings.max_attempts);
}

void PlatformFront::EndRound(Micros now) {
  service_.MarkServing();  // the events in the configuration have been applied by the end of the first round
  ApplyServiceState(now);
  // When clients read their responses too slowly, reading from the servers is paused to bound the memory use.
  upstream_.SetReadPaused(downstream_.Backlog() > max_downstream_backlog_);
  downstream_.EndRound(now);
  upstream_.EndRound(now);
  endpoint_watcher_.EndRound();
  upstream_.FailureLog().EndRound(now);
}

// Applies a service state that an operator has set through the admin listener since the last round. Drain,
// not this function, starts a shutdown.
void PlatformFront::ApplyServiceState(Micros now) {
  const ops::ServiceState before = std::exchange(last_service_state_, service_.State());
  if (before == last_service_state_) return;
  const std::size_t pending = downstream_.PendingCount();
  log::Info("service.state",
            {{"from", ops::Name(before)},
             {"to", ops::Name(last_service_state_)},
             {"clients", downstream_.ConnectionCount()},
             {"pending", pending}},
            "service state changed from {} to {}: {} client connections, {} pending requests",
            ops::Name(before), ops::Name(last_service_state_), downstream_.ConnectionCount(), pending);
  if (last_service_state_ == ops::ServiceState::kStandby) {
    const core::DrainTimetable timetable = core::StandbyTimetable(now);
    coordinator_.StartDrain(timetable);
    downstream_.StartDrain(timetable);
  } else if (before == ops::ServiceState::kStandby && last_service_state_ == ops::ServiceState::kServing) {
    coordinator_.EndDrain();
    downstream_.EndDrain();
  }
}

}  // namespace tinspan::platform
