#include "front/platform/platform_front.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>
#include <variant>

#include "log/log.hpp"

namespace tinspan::platform {
namespace {

std::string Join(const std::vector<std::string>& names) {
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
    : max_downstream_backlog_(config.limits.memory_mb * (std::size_t{1} << 20) / 4),
      loop_(loop),
      coordinator_(coordinator),
      site_(config.site),
      longest_deadline_(config.longest),
      downstream_(loop, config, coordinator, events),
      upstream_(loop, config, coordinator, downstream_, events),
      endpoint_watcher_(loop, config, upstream_, events) {
  if (config.ops) {
    ops_door_.emplace(
        loop, *config.ops, service_, [this] { return Figures(); }, views_);
  }
}

void PlatformFront::SetAttachedServices(front::AttachedServices attached) {
  views_ = attached.views;
  upstream_.FailureLog().ReportTo(attached.on_failing_servers);
  attached_ = std::move(attached);
}

ops::Figures PlatformFront::Figures() const {
  ops::Figures figures = counters_;
  figures.pending = downstream_.PendingCount();
  figures.members = upstream_.EndpointCount();
  figures.members_unavailable = endpoint_watcher_.DrainingCount();
  AddStats(figures);
  if (attached_.add_stats) attached_.add_stats(figures);
  return figures;
}

// Why requests were rejected or failed, why connections ended, and what calls of the system failed.
void PlatformFront::AddStats(ops::Figures& figures) const {
  const auto add = [&figures](std::string name, const char* type, std::uint64_t value) {
    figures.more.push_back({std::move(name), type, value});
  };
  add("rejected_draining_total", "counter", rejected_draining_);
  add("failed_deadline_total", "counter", failed_at_deadline_);
  add("clients", "gauge", downstream_.ConnectionCount());
  const ClientEndCounts& ends = downstream_.EndCounts();
  for (std::size_t reason = 0; reason < ends.size(); ++reason) {
    const std::string name(Name(static_cast<ClientEnd>(reason)));
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
  }  // else ForwardResponse: responses are complete here
}

void PlatformFront::Complete(const core::CompleteRequest& command) {
  const auto request = static_cast<std::uint64_t>(command.id);
  log::Debug("request.completed",
             {{"request", request}, {"status", Name(command.status)}, {"reason", Name(command.reason)}},
             "request {}: {} ({})", request, Name(command.status), Name(command.reason));
  if (command.reason == core::CompletionReason::kDeadline) ++failed_at_deadline_;
  switch (command.status) {
    case core::CompletionStatus::kServed:
      ++counters_.completed;
      return Respond(command.id);
    case core::CompletionStatus::kRejected:
      ++counters_.rejected;
      if (command.reason == core::CompletionReason::kDraining) ++rejected_draining_;
      return downstream_.Reject(command.id, command.retry_after);
    default:
      ++counters_.failed;
      return downstream_.Fail(command.id);
  }
}

void PlatformFront::Respond(RequestId id) {
  const ServedResponse* const response = upstream_.FindResponse(id);
  if (response != nullptr) return downstream_.Respond(id, response->is_not_modified, response->body);
  log::Error("core.answer_without_bytes", {}, "a served request without its response");
  downstream_.Fail(id);
}

void PlatformFront::Drain(const core::DrainTimetable& timetable) {
  if (attached_.on_drain) attached_.on_drain();
  service_.Stopping();
  downstream_.StartDrain(timetable);
}

bool PlatformFront::Reload() {
  try {
    const config::Platform config = config::ReadPlatform();
    Retuned retuned = Retune(site_, config.site);
    const std::vector<std::string> added = retuned.added;
    const std::vector<std::string> dropped = retuned.dropped;
    if (retuned.changed) ApplySettings(std::move(retuned));
    endpoint_watcher_.Follow(config.changelog);
    longest_deadline_ = std::min(longest_deadline_, config.longest);
    ++counters_.config_reloads;
    LogReload(added, dropped);
    return true;
  } catch (const config::Error& error) {
    ++counters_.config_reload_errors;
    log::Error("config.refused", {{"reason", error.what()}},
               "configuration not read anew, the old one holds: {}", error.what());
    return false;
  }
}

void PlatformFront::ApplySettings(Retuned retuned) {
  coordinator_.Retune(retuned.site.settings);
  downstream_.SetClasses(retuned.site.classes);
  site_ = std::move(retuned.site);
}

void PlatformFront::LogReload(const std::vector<std::string>& added,
                              const std::vector<std::string>& dropped) const {
  const std::string added_names = Join(added);
  const std::string dropped_names = Join(dropped);
  log::Info("config.reloaded",
            {{"added", added_names}, {"dropped", dropped_names}, {"attempts", site_.settings.max_attempts}},
            "configuration read anew: classes added or changed {}, no longer listed {}, attempts {}; "
            "endpoint watch followed; the rest needs a restart",
            added_names, dropped_names, site_.settings.max_attempts);
}

void PlatformFront::EndRound(Micros now) {
  service_.Serving();  // the first round has applied what the configuration knows
  FollowServiceState(now);
  // Clients that are slow to take their responses hold up the servers' responses, not the memory.
  upstream_.SetReadPaused(downstream_.Backlog() > max_downstream_backlog_);
  downstream_.EndRound(now);
  upstream_.EndRound(now);
  endpoint_watcher_.EndRound();
  upstream_.FailureLog().EndRound(now);
}

// What an operator's call has changed since the last round. A shutdown is begun by Drain.
void PlatformFront::FollowServiceState(Micros now) {
  const ops::Life before = std::exchange(service_state_, service_.Now());
  if (before == service_state_) return;
  const std::size_t pending = downstream_.PendingCount();
  log::Info("service.state",
            {{"from", ops::Name(before)},
             {"to", ops::Name(service_state_)},
             {"clients", downstream_.ConnectionCount()},
             {"pending", pending}},
            "service state: {} to {}, {} clients' connections, {} requests open", ops::Name(before),
            ops::Name(service_state_), downstream_.ConnectionCount(), pending);
  if (service_state_ == ops::Life::kStandby) {
    const core::DrainTimetable timetable = core::StandbyTimetable(now);
    coordinator_.StartDrain(timetable);
    downstream_.StartDrain(timetable);
  } else if (before == ops::Life::kStandby && service_state_ == ops::Life::kServing) {
    coordinator_.EndDrain();
    downstream_.EndDrain();
  }
}

}  // namespace tinspan::platform
