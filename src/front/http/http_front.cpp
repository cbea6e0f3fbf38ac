#include "front/http/http_front.hpp"

#include <utility>

#include "log/log.hpp"

namespace tinspan::http {
namespace {

// Responses that are read from servers or wait for clients may take three eighths of the memory limit.
std::size_t MaxResponseBytes(const config::Limits& limits) { return limits.MemoryBytes() / 8 * 3; }

AccessRules MakeAccessRules(const config::Gateway& config) {
  return {config.origin, config.audience, config.clock_leeway};
}

}  // namespace

KeySet ReadKeys(const config::Gateway& config, std::string_view json) {
  try {
    return KeySet::FromJwks(json, "keys_file");
  } catch (const Malformed& error) {
    throw config::Error(config.path + ": " + error.field + ": expected " + error.expected);
  }
}

Key ReadSigningKey(const config::Gateway& config) {
  try {
    Key key = Key::FromJwk(config.signing_key, "signing_key_file");
    if (!key.CanSign()) throw Malformed{"signing_key_file.d", "a private key"};
    return key;
  } catch (const Malformed& error) {
    throw config::Error(config.path + ": " + error.field + ": expected " + error.expected);
  }
}

HttpFront::HttpFront(net::EventLoop& loop, const config::Gateway& config,
                     core::RequestCoordinator& coordinator, std::vector<core::Event>& events)
    : config_(config),
      verifier_(ReadKeys(config, config.keys), MakeAccessRules(config)),
      signer_(ReadSigningKey(config), config.name, MakeAccessRules(config)),
      response_budget_(MaxResponseBytes(config.limits)),
      downstream_(loop, config, coordinator, verifier_, response_budget_, events),
      upstream_(loop, config, coordinator, downstream_, signer_, response_budget_, events),
      unlisted_services_(config.consul_services.size()) {
  for (const config::ConsulService& service : config.consul_services) {
    auto on_change = [this, &events, &service, is_first = true](const std::vector<Node>& changes,
                                                                std::uint64_t index) mutable {
      core::EndpointsUpdated updated;
      updated.kind = EndpointsEvent::Kind::kDelta;
      updated.source = "consul/" + service.name;
      updated.version = index;
      for (const Node& node : changes) {
        const bool is_removed = node.info.availability == Availability::kRemoved;
        is_removed ? upstream_.RemoveEndpoint(node.info.id)
                   : upstream_.AddEndpoint(node.info.id, {node.name, node.endpoint});
        updated.endpoints.push_back(node.info);
        updated.names.push_back({node.name, node.endpoint.Text()});
      }
      log::Info("consul.changed", {{"service", service.name}, {"changes", changes.size()}},
                "Consul, service {}: {} changes", service.name, changes.size());
      events.push_back(std::move(updated));
      if (std::exchange(is_first, false) && --unlisted_services_ == 0) {
        downstream_.SetReady();
        service_.MarkServing();
      }
    };
    watches_.push_back(std::make_unique<ConsulWatch>(loop, config, service, std::move(on_change)));
  }
  if (config.ops) {
    admin_listener_.emplace(
        loop, *config.ops, service_,
        [this] {
          ops::Statistics figures;
          figures.more.push_back({"request_buffer_bytes", "gauge", downstream_.PartialRequestBytes()});
          figures.more.push_back({"pending_request_bytes", "gauge", downstream_.PendingBytes()});
          figures.more.push_back({"response_buffer_bytes", "gauge", response_budget_.UsedBytes()});
          front::AddMemoryStatistics(downstream_.BufferSizes(), upstream_.BufferSizes(), figures);
          if (attached_.add_stats) attached_.add_stats(figures);
          return figures;
        },
        views_);
  }
}

void HttpFront::Execute(net::Micros now, const core::Command& command) {
  if (const auto* start = std::get_if<core::StartAttempt>(&command)) return upstream_.Execute(now, *start);
  if (const auto* cancel = std::get_if<core::AbortAttempt>(&command)) return upstream_.Execute(now, *cancel);
  if (const auto* forward = std::get_if<core::ForwardResponse>(&command))
    return upstream_.Execute(now, *forward);
  if (const auto* completion = std::get_if<core::CompleteRequest>(&command)) return Complete(*completion);
  if (const auto* line = std::get_if<core::LogMessage>(&command)) {
    log::Info("router.line", {}, "router: {}", line->text);
  }
}

void HttpFront::Complete(const core::CompleteRequest& completion) {
  if (completion.status == core::CompletionStatus::kServed)
    return downstream_.CompleteResponse(completion.id);
  if (completion.status == core::CompletionStatus::kTruncated)
    return downstream_.TruncateResponse(completion.id);
  const PendingRequest* const request = downstream_.Find(completion.id);
  const bool is_rejected = completion.status == core::CompletionStatus::kRejected;
  int status = completion.deadline_exceeded ? 504 : is_rejected ? 503 : 502;
  if (request != nullptr && request->override_status != 0 && !completion.deadline_exceeded)
    status = request->override_status;
  std::string fields;
  if (status == 503) fields = RetryAfterField(completion.retry_after);
  downstream_.SendLocalReply(completion.id, status, fields);
}

void HttpFront::EndRound(net::Micros now) {
  upstream_.EndRound(now);
  upstream_.FailureLog().EndRound(now);
  downstream_.EndRound(now);
  for (const auto& watch : watches_) watch->EndRound();
}

bool HttpFront::Reload() {
  try {
    KeySet keys = ReadKeys(config_, config::ReadFile("keys_file", config_.keys_path));
    log::Info("keys.reloaded", {{"keys", keys.Size()}}, "keys read again: {} keys", keys.Size());
    verifier_.ReplaceKeys(std::move(keys));
    return true;
  } catch (const config::Error& error) {
    log::Error("keys.refused", {{"reason", error.what()}},
               "keys not reloaded, the current ones stay in use: {}", error.what());
    return false;
  }
}

}  // namespace tinspan::http
