#include "cli/serve.hpp"

#include <xxhash.h>

#include <iostream>
#include <memory>

#include "front/http/http_front.hpp"
#include "front/platform/platform_front.hpp"
#include "front/runner.hpp"
#include "lease/agent.hpp"
#include "log/log.hpp"
#include "members/node.hpp"
#include "net/process_memory.hpp"
#include "record/recorder.hpp"

namespace tinspan::cli {
namespace {

core::CoordinatorOptions MakeCoordinatorOptions(const config::CommonConfig& config) {
  return {.response_margin = config.response_margin};
}

std::unique_ptr<record::Recorder> MakeRecorder(const config::Gateway& config) {
  if (config.record.folder.empty()) return nullptr;
  const std::string text = config::ReadFile("operator-file", config.path);
  record::RecorderOptions options{.folder = config.record.folder,
                                  .name = config.name,
                                  .version = TINSPAN_VERSION,
                                  .front = "gateway",
                                  .config = XXH3_64bits(text.data(), text.size()),
                                  .classes = config.site.classes,
                                  .zones = config.site.zones,
                                  .kinds = config.site.kinds,
                                  .rotation = {.segment_bytes = config.record.segment_bytes,
                                               .segment_age = config.record.segment_age,
                                               .total_bytes = config.record.total_bytes},
                                  .tracker = {.sample_ppm = config.record.sample_ppm},
                                  .seed = config.seed};
  try {
    return std::make_unique<record::Recorder>(config.site.settings, std::move(options),
                                              core::ClockReading{net::UnixNow(), net::Now()});
  } catch (const std::exception& error) {  // requests are served without recording
    log::Error("record.off", {{"reason", error.what()}, {"lost", 0}},
               "recording is off until the next start: {}", error.what());
    return nullptr;
  }
}
// The platform has no persistent disk, so nothing is recorded there.
std::unique_ptr<record::Recorder> MakeRecorder(const config::Platform&) { return nullptr; }

// Returns null if the configuration has no `members`. The platform's usual configurations have none: its
// instances share nothing.
std::unique_ptr<members::MembershipNode> MakeMembers(net::EventLoop& loop,
                                                     const config::CommonConfig& config) {
  if (!config.members) return nullptr;
  const config::Members& membership = *config.members;
  members::NodeOptions options;
  options.fleet = membership.fleet;
  options.name = config.name;
  options.zone = membership.zone;
  options.listen = membership.listen;
  options.advertise = membership.advertise;
  options.seeds = membership.seeds;
  options.view.probe_interval = membership.probe_interval;
  options.view.probe_timeout = membership.probe_timeout;
  options.view.indirect_probes = membership.indirect_probes;
  options.view.suspicion_alpha = membership.suspicion_alpha;
  options.view.suspicion_beta = membership.suspicion_beta;
  options.view.retransmit_multiplier = membership.retransmit_multiplier;
  options.view.sync_interval = membership.sync_interval;
  options.view.dead_retention = membership.dead_retention;
  // A random stream separate from those of the other users of the seed.
  options.random_seed = config.seed ^ 0x6d656d62657273ull;
  return std::make_unique<members::MembershipNode>(loop, std::move(options));
}

// The ballot timeout of a candidate is the lease duration divided by this.
constexpr int kBallotsPerLease = 8;

// Returns null if there is no fleet view or the configuration has no `leases`, as on the platform.
std::unique_ptr<lease::Agent> MakeLeases(net::EventLoop& loop, const config::CommonConfig& config,
                                         members::MembershipNode* node) {
  if (!config.leases || node == nullptr) return nullptr;
  const config::Leases& leases = *config.leases;
  lease::AgentOptions options;
  options.lease.voters = leases.voters;
  options.lease.lease_duration = leases.lease_duration;
  options.lease.max_clock_drift = leases.max_clock_drift;
  options.lease.ballot_timeout = leases.lease_duration / kBallotsPerLease;
  options.lease.can_start_alone = leases.can_start_alone;
  options.candidate_count = leases.candidate_count;
  if (leases.health_publication) {
    options.health_publication.emplace(leases.health_publication->store, leases.health_publication->key,
                                       leases.health_publication->interval);
  }
  options.distributes_purges = leases.distributes_purges;
  options.seed = config.seed ^ 0x6c6561736573ull ^ XXH3_64bits(config.name.data(), config.name.size());
  return std::make_unique<lease::Agent>(loop, *node, std::move(options));
}

void AddLeaseStats(const lease::Agent& agent, ops::Statistics& figures) {
  const lease::LeaseStats& stats = agent.Leases().Stats();
  const auto add_counter = [&](const char* name, std::uint64_t value) {
    figures.more.push_back({name, "counter", value});
  };
  add_counter("lease_messages_out_total", stats.messages_sent);
  add_counter("lease_messages_in_total", stats.messages_received);
  add_counter("lease_messages_refused_total", agent.RejectedMessages());
  add_counter("lease_ballots_total", stats.ballots);
  add_counter("lease_granted_total", stats.grants);
  add_counter("lease_renewed_total", stats.renewals);
  add_counter("lease_lapsed_total", stats.expirations);
  if (const auto& publisher = agent.HealthPublisher()) {
    add_counter("lease_published_total", publisher->PublishedCount());
    add_counter("lease_fenced_total", publisher->FencedCount());
    add_counter("lease_store_failures_total", publisher->FailureCount());
  }
  add_counter("purges_passed_on_total", agent.Purges().AppliedCount());
  add_counter("purges_refused_total", agent.Purges().RejectedCount());
}

front::AttachedServices MakeAttachedServices(members::MembershipNode* node, lease::Agent* agent) {
  front::AttachedServices attached;
  if (node == nullptr) return attached;
  attached.views.members = [node] { return node->FormatMembers(); };
  if (agent != nullptr) attached.views.leases = [agent] { return agent->StatusLines(); };
  attached.add_stats = [node, agent](ops::Statistics& figures) {
    const members::MembershipView& view = node->View();
    const members::MembershipStats& stats = view.Stats();
    const members::DatagramStats& datagrams = node->Stats();
    using members::State;
    figures.more.push_back({"fleet_members_alive", "gauge", view.Count(State::kAlive)});
    figures.more.push_back({"fleet_members_suspect", "gauge", view.Count(State::kSuspect)});
    figures.more.push_back(
        {"fleet_members_dead", "gauge", view.Count(State::kDead) + view.Count(State::kLeft)});
    figures.more.push_back(
        {"fleet_local_health", "gauge", static_cast<std::uint64_t>(view.LocalHealthMultiplier())});
    figures.more.push_back({"fleet_probes_total", "counter", stats.probes});
    figures.more.push_back({"fleet_indirect_probes_total", "counter", stats.indirect_probes});
    figures.more.push_back({"fleet_suspicions_total", "counter", stats.suspicions});
    figures.more.push_back({"fleet_declared_dead_total", "counter", stats.declared_dead});
    figures.more.push_back({"fleet_refutations_total", "counter", stats.refutations});
    figures.more.push_back({"fleet_syncs_total", "counter", stats.syncs});
    figures.more.push_back({"fleet_datagrams_in_total", "counter", datagrams.datagrams_in});
    figures.more.push_back({"fleet_datagrams_out_total", "counter", datagrams.datagrams_out});
    figures.more.push_back({"fleet_bytes_in_total", "counter", datagrams.bytes_in});
    figures.more.push_back({"fleet_bytes_out_total", "counter", datagrams.bytes_out});
    std::uint64_t rejected = 0;
    for (const std::uint64_t count : datagrams.rejected) rejected += count;
    figures.more.push_back({"fleet_datagrams_refused_total", "counter", rejected});
    figures.more.push_back({"fleet_send_errors_total", "counter", datagrams.send_errors});
    if (agent != nullptr) AddLeaseStats(*agent, figures);
  };
  attached.on_drain = [node, agent] {
    if (agent != nullptr) agent->Leave();  // first: voters are notified while the view still sends
    node->Leave();
  };
  if (agent != nullptr && agent->DistributesPurges()) {
    attached.on_purge = [agent](const core::PurgeReceived& received) -> std::optional<net::Micros> {
      lease::Purge purge;
      purge.group = static_cast<std::uint64_t>(received.group);
      if (received.object) purge.object = static_cast<std::uint64_t>(*received.object);
      const auto retry_after = agent->SubmitPurge(std::move(purge));
      if (retry_after) log::Warn("purge.not_passed_on", {}, "purge rejected: too many are being distributed");
      return retry_after;
    };
  }
  attached.on_failing_servers = [node](std::vector<std::uint64_t> failing) {
    node->SetFailingServers(std::move(failing));
  };
  return attached;
}

template <class Front, class Config>
void Serve(const Config& config) {
  net::ReturnLargeBlocksWhenFreed();
  net::EventLoop loop;
  front::Signals signals(loop);
  std::vector<core::Event> events;
  core::RequestCoordinator coordinator(config.site.settings, config.seed, net::Now(),
                                       MakeCoordinatorOptions(config));
  const std::unique_ptr<record::Recorder> recorder = MakeRecorder(config);
  // Must outlive the front, which queries it.
  const std::unique_ptr<members::MembershipNode> fleet = MakeMembers(loop, config);
  const std::unique_ptr<lease::Agent> leases = MakeLeases(loop, config, fleet.get());
  if (leases) {
    leases->SetPurgeHandler([&events](const lease::Purge& purge) {
      core::PurgeReceived received;
      received.purged_at = net::Now() - purge.age;
      received.group = GroupId{purge.group};
      if (purge.object) received.object = ObjectId{*purge.object};
      events.push_back(received);
    });
  }
  Front front(loop, config, coordinator, events);
  if constexpr (std::is_same_v<Front, http::HttpFront>) front.SetFeed(recorder.get());
  front.SetAttachedServices(MakeAttachedServices(fleet.get(), leases.get()));
  // The actual port: the configured port 0 requests any free one.
  const std::string address = net::Endpoint{config.listen.address, front.Port()}.Text();
  log::Info("serve.listening", {{"name", config.name}, {"address", address}}, "{} serving at {}", config.name,
            address);
  if (const auto ops = front.OpsPort()) {
    const std::string admin_address = net::Endpoint{config.ops->address, *ops}.Text();
    log::Info("serve.ops", {{"address", admin_address}}, "operators' door at {}", admin_address);
  }
  if (recorder)
    recorder->OnLifecycleEvent({net::UnixNow(), net::Now()}, core::LifecycleEvent::kServing, 0, address, 0);
  front::Run(loop, signals, coordinator, front, events, recorder.get());
}

config::Gateway ReadGateway(const Values& values) {
  config::Gateway config = config::ReadHttp(values["operator-file"].as<std::string>());
  http::ReadKeys(config, config.keys);
  http::ReadSigningKey(config);
  return config;
}

}  // namespace

void AddServeOptions(Options& options) {
  AddFileOptions(options);
  AddLogOptions(options);
}

int RunServe(const Values& values, const std::vector<std::string>&) {
  StartLog(values);
  try {
    if (values.count("operator-file") > 0) {
      Serve<http::HttpFront>(ReadGateway(values));
    } else {
      Serve<platform::PlatformFront>(config::ReadPlatform());
    }
  } catch (const std::exception& error) {
    log::Error("serve.failed", {{"reason", error.what()}}, "{}", error.what());
    return 1;
  }
  return 0;
}

int RunCheckConfig(const Values& values, const std::vector<std::string>&) {
  values.count("operator-file") > 0 ? static_cast<void>(ReadGateway(values))
                                    : static_cast<void>(config::ReadPlatform());
  std::cout << "the configuration is valid\n";
  return 0;
}

}  // namespace tinspan::cli
