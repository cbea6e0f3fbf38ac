#include "front/http/http_front.hpp"

#include <utility>

#include "log/log.hpp"

namespace tinspan::http {
namespace {

AccessRules Rules(const config::Http& config) { return {config.origin, config.audience, config.leeway}; }

}  // namespace

KeySet ReadKeys(const config::Http& config, std::string_view json) {
  try {
    return KeySet::FromJwks(json, "keys_file");
  } catch (const Malformed& wrong) {
    throw config::Error(config.path + ": " + wrong.field + ": expected " + wrong.expected);
  }
}

Key ReadSigningKey(const config::Http& config) {
  try {
    Key key = Key::FromJwk(config.signing_key, "signing_key_file");
    if (!key.CanSign()) throw Malformed{"signing_key_file.d", "a private key"};
    return key;
  } catch (const Malformed& wrong) {
    throw config::Error(config.path + ": " + wrong.field + ": expected " + wrong.expected);
  }
}

HttpFront::HttpFront(net::EventLoop& loop, const config::Http& config, core::RequestCoordinator& coordinator,
                     std::vector<core::Event>& events)
    : config_(config),
      access_(ReadKeys(config, config.keys), Rules(config)),
      signer_(ReadSigningKey(config), config.name, Rules(config)),
      clients_(loop, config, coordinator, access_, events),
      upstream_(loop, config, coordinator, clients_, signer_, events),
      unlisted_(config.consul_services.size()) {
  for (const config::ConsulService& service : config.consul_services) {
    auto changed = [this, &events, &service, first = true](const std::vector<Node>& changes,
                                                           std::uint64_t index) mutable {
      core::EndpointsUpdated told;
      told.kind = EndpointsEvent::Kind::kDelta;
      told.source = "consul/" + service.name;
      told.version = index;
      for (const Node& node : changes) {
        const bool gone = node.member.availability == Availability::kRemoved;
        gone ? upstream_.Forsake(node.member.id) : upstream_.Know(node.member.id, {node.name, node.endpoint});
        told.endpoints.push_back(node.member);
        told.names.push_back({node.name, node.endpoint.Text()});
      }
      log::Info("consul.changed", {{"service", service.name}, {"changes", changes.size()}},
                "Consul, service {}: {} changes", service.name, changes.size());
      events.push_back(std::move(told));
      if (std::exchange(first, false) && --unlisted_ == 0) {
        clients_.SetReady();
        service_.Serving();
      }
    };
    watches_.push_back(std::make_unique<ConsulWatch>(loop, config, service, std::move(changed)));
  }
  if (config.ops) {
    door_.emplace(
        loop, *config.ops, service_,
        [this] {
          ops::Figures figures;
          if (attached_.add_stats) attached_.add_stats(figures);
          return figures;
        },
        views_);
  }
}

void HttpFront::Execute(net::Micros now, const core::Command& command) {
  if (const auto* send = std::get_if<core::StartAttempt>(&command)) return upstream_.Execute(now, *send);
  if (const auto* stop = std::get_if<core::AbortAttempt>(&command)) return upstream_.Execute(now, *stop);
  if (const auto* relay = std::get_if<core::ForwardResponse>(&command)) return upstream_.Execute(now, *relay);
  if (const auto* answer = std::get_if<core::CompleteRequest>(&command)) return Answer(*answer);
  if (const auto* line = std::get_if<core::LogMessage>(&command)) {
    log::Info("router.line", {}, "router: {}", line->text);
  }
}

void HttpFront::Answer(const core::CompleteRequest& answer) {
  if (answer.status == core::CompletionStatus::kServed) return clients_.Served(answer.id);
  if (answer.status == core::CompletionStatus::kTruncated) return clients_.Broken(answer.id);
  const Asked* const asked = clients_.Find(answer.id);
  const bool refused = answer.status == core::CompletionStatus::kRejected;
  int status = answer.deadline_exceeded ? 504 : refused ? 503 : 502;
  if (asked != nullptr && asked->blame != 0 && !answer.deadline_exceeded) status = asked->blame;
  std::string fields;
  if (status == 503) {
    const auto seconds = std::max<std::int64_t>(1, (answer.retry_after.count() + 999'999) / 1'000'000);
    fields = "Retry-After: " + std::to_string(seconds) + "\r\n";
  }
  clients_.Answer(answer.id, status, fields);
}

void HttpFront::EndRound(net::Micros now) {
  upstream_.EndRound(now);
  upstream_.Failing().EndRound(now);
  clients_.EndRound(now);
  for (const auto& watch : watches_) watch->EndRound();
}

bool HttpFront::Reload() {
  try {
    KeySet keys = ReadKeys(config_, config::ReadFile("keys_file", config_.keys_path));
    log::Info("keys.reloaded", {{"keys", keys.Size()}}, "keys read again: {} keys", keys.Size());
    access_.Replace(std::move(keys));
    return true;
  } catch (const config::Error& error) {
    log::Error("keys.refused", {{"reason", error.what()}}, "keys stay as they were: {}", error.what());
    return false;
  }
}

}  // namespace tinspan::http
