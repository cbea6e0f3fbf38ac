#include "front/platform/platform_front.hpp"

#include "log/log.hpp"
#include "setup/retune.hpp"

namespace tinspan::platform {

ops::Figures PlatformFront::Figures() const {
  ops::Figures figures = counted_;
  figures.pending = downstream_.Open();
  figures.members = upstream_.EndpointCount();
  figures.members_unavailable = endpoint_watcher_.DrainingCount();
  if (attached_.add_stats) attached_.add_stats(figures);
  return figures;
}

void PlatformFront::Execute(Micros now, const core::Command& command) {
  if (const auto* send = std::get_if<core::StartAttempt>(&command)) {
    ++counted_.upstream;
    return upstream_.Execute(now, *send);
  }
  if (const auto* stop = std::get_if<core::AbortAttempt>(&command)) return upstream_.Execute(now, *stop);
  if (const auto* line = std::get_if<core::LogMessage>(&command))
    return log::Info("router.line", {}, "router: {}", line->text);
  const auto* const answer = std::get_if<core::CompleteRequest>(&command);
  if (answer == nullptr) return;  // ForwardResponse: responses are complete here
  ++(answer->status == core::CompletionStatus::kServed     ? counted_.completed
     : answer->status == core::CompletionStatus::kRejected ? counted_.rejected
                                                           : counted_.failed);
  if (answer->status == core::CompletionStatus::kServed) {
    const ServedResponse* const served = upstream_.FindResponse(answer->id);
    if (served != nullptr) return downstream_.Serve(answer->id, served->is_not_modified, served->body);
    log::Error("core.answer_without_bytes", {}, "an answer without its bytes");
    return downstream_.Fail(answer->id);
  }
  if (answer->status == core::CompletionStatus::kRejected)
    return downstream_.Refuse(answer->id, answer->retry_after);
  downstream_.Fail(answer->id);
}

// The file is read anew; requests, connections and all that was learnt stay. Where it cannot be used, what
// was told before holds on.
bool PlatformFront::Reload() {
  try {
    const config::Platform told = config::ReadPlatform();
    Retuned retuned = Retune(site_, told.site);
    if (retuned.changed) {
      coordinator_.Retune(retuned.site.settings);
      downstream_.SetClasses(retuned.site.classes);
      site_ = std::move(retuned.site);
    }
    endpoint_watcher_.Follow(told.changelog);
    ++counted_.config_reloads;
    const auto joined = [](const std::vector<std::string>& names) {
      std::string out;
      for (const std::string& name : names) out += (out.empty() ? "" : ",") + name;
      return out.empty() ? std::string("-") : out;
    };
    log::Info("config.reloaded",
              {{"added", joined(retuned.added)},
               {"dropped", joined(retuned.dropped)},
               {"attempts", site_.settings.max_attempts}},
              "configuration read anew: classes added or changed {}, no longer told {}, attempts {}; "
              "changelog followed; the rest needs a restart",
              joined(retuned.added), joined(retuned.dropped), site_.settings.max_attempts);
    return true;
  } catch (const config::Error& error) {
    ++counted_.config_reload_errors;
    log::Error("config.refused", {{"reason", error.what()}},
               "configuration not read anew, the old one holds: {}", error.what());
    return false;
  }
}

void PlatformFront::EndRound(Micros now) {
  service_.Serving();  // the first round has applied what was known at the start
  downstream_.SendAway(service_.Now() == ops::Life::kStandby);
  // Clients that are slow to take their answers hold up the servers' answers, not the memory.
  upstream_.SetReadPaused(downstream_.Backlog() > most_backlog_);
  downstream_.EndRound(now);
  upstream_.EndRound(now);
  endpoint_watcher_.EndRound();
  upstream_.FailureLog().EndRound(now);
}

}  // namespace tinspan::platform
